//! Connection state of one peer.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use quinn::Connection;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time without any received packet, while calls wait, after which the peer is
/// considered replaced or cut off: a peer that is only slow still acknowledges
/// packets.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after the first failed handshake; each further failure doubles it.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// Longest delay: a peer that is reachable again is reached within it.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Number of doublings from [`MIN_BACKOFF`] to [`MAX_BACKOFF`].
const MAX_DOUBLINGS: u32 = 4;

/// The next step of a call to a peer.
pub(crate) enum SlotStep {
    /// Use the connection.
    Use(Connection),
    /// Wait until the handshake in progress finishes.
    Wait(watch::Receiver<()>),
    /// Fail, since the last handshake failed a short time ago.
    Fail,
    /// Begin a handshake.
    Connect,
}

/// Number of datagrams received on a connection when a call started.
#[derive(Debug)]
pub(crate) struct CallBaseline {
    started: Instant,
    received: u64,
}

impl CallBaseline {
    /// Records the datagrams received on `connection` so far.
    pub(crate) fn new(connection: &Connection) -> Self {
        Self {
            started: Instant::now(),
            received: received_datagrams(connection),
        }
    }
}

/// A period without any received packet.
#[derive(Debug)]
struct SilentPeriod {
    /// Start of the first call in the period.
    since: Instant,
    /// Datagrams received before the period.
    received: u64,
    /// When the last timeout of a call in the period was recorded. Only a call
    /// that started later confirms the silence: if this process stalls, all
    /// calls in progress time out before it reads the packets that arrived.
    last_noted: Instant,
    /// Whether a later call has timed out too.
    confirmed: bool,
}

/// Returns the number of datagrams received on a connection.
fn received_datagrams(connection: &Connection) -> u64 {
    connection.stats().udp_rx.datagrams
}

/// A connection that is kept for reuse.
struct KeptConnection {
    connection: Connection,
    /// Whether a call on the connection received a reply. A peer may refuse this
    /// process only after the handshake.
    has_replied: bool,
    silent_period: Option<SilentPeriod>,
}

impl KeptConnection {
    fn is_open(&self) -> bool {
        self.connection.close_reason().is_none()
    }

    fn is_same(&self, connection: &Connection) -> bool {
        self.connection.stable_id() == connection.stable_id()
    }

    /// Whether no packet was received for too long while calls waited.
    fn is_silent(&self) -> bool {
        self.silent_period.as_ref().is_some_and(|period| {
            period.confirmed
                && period.received == received_datagrams(&self.connection)
                && period.since.elapsed() >= SILENCE_TIMEOUT
        })
    }

    /// Records that the call with `baseline` timed out.
    fn note_late(&mut self, baseline: &CallBaseline) {
        let received = received_datagrams(&self.connection);
        self.silent_period
            .take_if(|period| period.received != received);
        if baseline.received != received {
            return;
        }
        let now = Instant::now();
        let period = self.silent_period.get_or_insert(SilentPeriod {
            since: baseline.started,
            received,
            last_noted: now,
            confirmed: false,
        });
        if baseline.started >= period.last_noted {
            period.last_noted = now;
            period.confirmed = true;
        }
    }
}

/// The connection to one peer and the attempts to establish one.
struct SlotState {
    kept: Option<KeptConnection>,
    /// The handshake in progress; the channel closes when it finishes.
    handshake: Option<watch::Receiver<()>>,
    /// Handshakes since the last reply that led to no usable connection.
    failures: u32,
    /// No handshake begins before this time.
    retry_at: Instant,
    last_used: Instant,
}

impl SlotState {
    fn back_off(&mut self) {
        let factor = 1 << self.failures.min(MAX_DOUBLINGS);
        let backoff = MIN_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Instant::now() + backoff;
    }

    /// Drops the connection if it is closed. A closed connection without any
    /// reply counts as a failed handshake.
    fn drop_closed(&mut self) {
        let closed = self.kept.take_if(|kept| !kept.is_open());
        if closed.is_some_and(|kept| !kept.has_replied) {
            self.back_off();
        }
    }
}

/// State of one peer.
pub(crate) struct PeerSlot {
    state: Mutex<SlotState>,
    /// Permits for calls in progress.
    pub(crate) calls: Semaphore,
}

impl PeerSlot {
    /// Creates the state of a peer without a connection that allows `calls` in
    /// progress.
    pub(crate) fn new(calls: usize) -> Self {
        let now = Instant::now();
        Self {
            state: Mutex::new(SlotState {
                kept: None,
                handshake: None,
                failures: 0,
                retry_at: now,
                last_used: now,
            }),
            calls: Semaphore::new(calls),
        }
    }

    /// Returns the next step of a call.
    pub(crate) fn next_step(&self) -> SlotStep {
        let mut state = self.lock();
        state.last_used = Instant::now();
        if let Some(handshake) = &state.handshake {
            return SlotStep::Wait(handshake.clone());
        }
        state.drop_closed();
        if let Some(kept) = &state.kept {
            return SlotStep::Use(kept.connection.clone());
        }
        if state.last_used < state.retry_at {
            return SlotStep::Fail;
        }
        SlotStep::Connect
    }

    /// Records the start of a handshake that closes the channel `finished` at
    /// its end. Returns the handshake in progress instead if there is one.
    pub(crate) fn begin(&self, finished: &watch::Receiver<()>) -> Option<watch::Receiver<()>> {
        let mut state = self.lock();
        if state.handshake.is_none() {
            state.handshake = Some(finished.clone());
            return None;
        }
        state.handshake.clone()
    }

    /// Records the end of the handshake. A new connection replaces the previous
    /// one, which closes when the last of its calls ends.
    pub(crate) fn finish(&self, connection: Option<Connection>) {
        let mut state = self.lock();
        state.handshake = None;
        let Some(connection) = connection else {
            state.back_off();
            state.kept.take_if(|kept| kept.is_silent());
            return;
        };
        state.kept = Some(KeptConnection {
            connection,
            has_replied: false,
            silent_period: None,
        });
    }

    /// Records that a call on `connection` received a reply.
    pub(crate) fn note_reply(&self, connection: &Connection) {
        let mut state = self.lock();
        let Some(kept) = state.kept.as_mut().filter(|kept| kept.is_same(connection)) else {
            return;
        };
        kept.has_replied = true;
        kept.silent_period = None;
        state.failures = 0;
    }

    /// Records that the call with `baseline` on `connection` timed out; returns
    /// true if the connection must be replaced now.
    pub(crate) fn note_late(&self, connection: &Connection, baseline: &CallBaseline) -> bool {
        let mut state = self.lock();
        let Some(kept) = state.kept.as_mut().filter(|kept| kept.is_same(connection)) else {
            return false;
        };
        kept.note_late(baseline);
        if !kept.is_silent() {
            return false;
        }
        if !kept.has_replied {
            state.kept = None;
            state.back_off();
            return false;
        }
        Instant::now() >= state.retry_at
    }

    /// Returns the connection if it is open.
    pub(crate) fn open_connection(&self) -> Option<Connection> {
        let state = self.lock();
        let kept = state.kept.as_ref().filter(|kept| kept.is_open())?;
        Some(kept.connection.clone())
    }

    /// Whether the connection is open.
    pub(crate) fn is_open(&self) -> bool {
        self.lock()
            .kept
            .as_ref()
            .is_some_and(KeptConnection::is_open)
    }

    /// Whether there is an open connection or a handshake in progress.
    pub(crate) fn is_kept(&self) -> bool {
        let state = self.lock();
        state.handshake.is_some() || state.kept.as_ref().is_some_and(KeptConnection::is_open)
    }

    /// When a call last requested the connection.
    pub(crate) fn last_used(&self) -> Instant {
        self.lock().last_used
    }

    /// Drops the connection, which closes once no call uses it.
    pub(crate) fn release(&self) {
        self.lock().kept = None;
    }

    fn lock(&self) -> MutexGuard<'_, SlotState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! What a link knows of one peer.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use quinn::Connection;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time without any packet, while calls wait, after which the peer is taken
/// for replaced or cut off: a peer that is only slow confirms packets.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Pause after the first handshake that failed; each further one doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause: a peer that came back is reached within it.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Doublings after which the pause is the longest.
const DOUBLINGS_LIMIT: u32 = 4;

/// What a call to a peer does next.
pub(crate) enum SlotStep {
    /// It uses the connection.
    Use(Connection),
    /// It waits until the handshake in progress is over.
    Wait(watch::Receiver<()>),
    /// It fails: the last handshake failed a short time ago.
    Pause,
    /// It begins a handshake.
    Connect,
}

/// What was heard on a connection when a call began.
#[derive(Debug)]
pub(crate) struct CallMark {
    begun: Instant,
    heard: u64,
}

impl CallMark {
    /// What was heard on `connection` until now.
    pub(crate) fn new(connection: &Connection) -> Self {
        Self {
            begun: Instant::now(),
            heard: heard(connection),
        }
    }
}

/// A time without any packet.
#[derive(Debug)]
struct PeerSilence {
    /// The begin of the first call in it.
    since: Instant,
    heard: u64,
    /// When the last late call in it was noted. Only a call that began after
    /// this one shows more: a stall of this process makes all calls in
    /// progress late before it reads what came.
    noted: Instant,
    confirmed: bool,
}

/// Datagrams received on a connection.
fn heard(connection: &Connection) -> u64 {
    connection.stats().udp_rx.datagrams
}

/// A connection and what came on it.
struct KeptConnection {
    connection: Connection,
    /// Whether a call on it was answered: a peer that refuses this process may
    /// say so only after the handshake.
    proved: bool,
    silence: Option<PeerSilence>,
}

impl KeptConnection {
    fn is_open(&self) -> bool {
        self.connection.close_reason().is_none()
    }

    fn is_same(&self, connection: &Connection) -> bool {
        self.connection.stable_id() == connection.stable_id()
    }

    /// Whether nothing came for too long while calls waited.
    fn is_silent(&self) -> bool {
        self.silence.as_ref().is_some_and(|silence| {
            silence.confirmed
                && silence.heard == heard(&self.connection)
                && silence.since.elapsed() >= SILENCE_LIMIT
        })
    }

    /// Notes that the call of `mark` got no reply in time.
    fn note_late(&mut self, mark: &CallMark) {
        let heard = heard(&self.connection);
        self.silence.take_if(|silence| silence.heard != heard);
        if mark.heard != heard {
            return;
        }
        let now = Instant::now();
        let silence = self.silence.get_or_insert(PeerSilence {
            since: mark.begun,
            heard,
            noted: now,
            confirmed: false,
        });
        if mark.begun >= silence.noted {
            silence.noted = now;
            silence.confirmed = true;
        }
    }
}

/// The connection to one peer and the attempts to have one.
struct SlotState {
    kept: Option<KeptConnection>,
    /// Ends with the handshake in progress.
    handshake: Option<watch::Receiver<()>>,
    /// Handshakes since the last reply that gave no useful connection.
    failures: u32,
    /// No handshake begins before.
    paused_until: Instant,
    used: Instant,
}

impl SlotState {
    fn pause(&mut self) {
        let factor = 1 << self.failures.min(DOUBLINGS_LIMIT);
        let pause = FIRST_PAUSE.saturating_mul(factor).min(LONGEST_PAUSE);
        self.failures = self.failures.saturating_add(1);
        self.paused_until = Instant::now() + pause;
    }

    /// Drops a connection that has ended. One that never gave a reply counts
    /// as a failed handshake.
    fn review(&mut self) {
        let ended = self.kept.take_if(|kept| !kept.is_open());
        if ended.is_some_and(|kept| !kept.proved) {
            self.pause();
        }
    }
}

/// One peer.
pub(crate) struct PeerSlot {
    state: Mutex<SlotState>,
    /// Places for calls in progress.
    pub(crate) calls: Semaphore,
}

impl PeerSlot {
    /// A peer without a connection, with places for `calls`.
    pub(crate) fn new(calls: usize) -> Self {
        let now = Instant::now();
        Self {
            state: Mutex::new(SlotState {
                kept: None,
                handshake: None,
                failures: 0,
                paused_until: now,
                used: now,
            }),
            calls: Semaphore::new(calls),
        }
    }

    /// What a call does now.
    pub(crate) fn next_step(&self) -> SlotStep {
        let mut state = self.lock();
        state.used = Instant::now();
        if let Some(handshake) = &state.handshake {
            return SlotStep::Wait(handshake.clone());
        }
        state.review();
        if let Some(kept) = &state.kept {
            return SlotStep::Use(kept.connection.clone());
        }
        if state.used < state.paused_until {
            return SlotStep::Pause;
        }
        SlotStep::Connect
    }

    /// Notes a handshake that begins and ends with `over`; returns the one in
    /// progress instead if there is one.
    pub(crate) fn begin(&self, over: &watch::Receiver<()>) -> Option<watch::Receiver<()>> {
        let mut state = self.lock();
        if state.handshake.is_none() {
            state.handshake = Some(over.clone());
            return None;
        }
        state.handshake.clone()
    }

    /// Notes the end of the handshake. A connection that it gave replaces the
    /// former one, whose calls go on; the last of them closes it.
    pub(crate) fn finish(&self, connection: Option<Connection>) {
        let mut state = self.lock();
        state.handshake = None;
        let Some(connection) = connection else {
            state.pause();
            state.kept.take_if(|kept| kept.is_silent());
            return;
        };
        state.kept = Some(KeptConnection {
            connection,
            proved: false,
            silence: None,
        });
    }

    /// Notes that a call on `connection` was answered.
    pub(crate) fn note_reply(&self, connection: &Connection) {
        let mut state = self.lock();
        let Some(kept) = state.kept.as_mut().filter(|kept| kept.is_same(connection)) else {
            return;
        };
        kept.proved = true;
        kept.silence = None;
        state.failures = 0;
    }

    /// Notes that the call of `mark` on `connection` got no reply in time;
    /// true when the connection is to be replaced now.
    pub(crate) fn note_late(&self, connection: &Connection, mark: &CallMark) -> bool {
        let mut state = self.lock();
        let Some(kept) = state.kept.as_mut().filter(|kept| kept.is_same(connection)) else {
            return false;
        };
        kept.note_late(mark);
        if !kept.is_silent() {
            return false;
        }
        if !kept.proved {
            state.kept = None;
            state.pause();
            return false;
        }
        Instant::now() >= state.paused_until
    }

    /// The connection, when it is open.
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

    /// Whether there is a connection, or will be.
    pub(crate) fn is_kept(&self) -> bool {
        let state = self.lock();
        state.handshake.is_some() || state.kept.as_ref().is_some_and(KeptConnection::is_open)
    }

    /// When a call last asked for the connection.
    pub(crate) fn last_used(&self) -> Instant {
        self.lock().used
    }

    /// Ends the connection once no call uses it.
    pub(crate) fn end(&self) {
        self.lock().kept = None;
    }

    fn lock(&self) -> MutexGuard<'_, SlotState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

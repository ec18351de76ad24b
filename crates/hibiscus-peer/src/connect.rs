//! Cache of connections to peers.
//!
//! A handshake costs more than many calls, so a call that times out ends neither
//! the connection nor the handshake. Each handshake runs in its own task, and a
//! connection is replaced only after no packet at all was received on it for a
//! while.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use quinn::Connecting;
use quinn::Connection;
use quinn::Endpoint;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::counts;
use crate::counts::LinkCounters;
use crate::counts::LinkCounts;
use crate::keys::FLEET_NAME;
use crate::message;
use crate::message::MessageSender;
use crate::slot::CallBaseline;
use crate::slot::PeerSlot;
use crate::slot::SlotStep;

/// Most calls in progress to one peer. Further calls fail at once, so that an
/// unresponsive peer takes a bounded share of this process.
const CALL_LIMIT: usize = 4_096;
/// Timeout of a handshake: a peer with a busy processor needs many times the
/// processor time that the handshake costs.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of peers above which the state of those without a connection is
/// removed.
const SLOT_LIMIT: usize = 2_048;

/// Limits on the connections to peers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CacheLimits {
    /// Most connections; one more replaces the least recently used one.
    pub(crate) connections: usize,
    /// Most handshakes in progress; a call that needs one more fails at once.
    pub(crate) handshakes: usize,
    /// Largest reply, in bytes.
    pub(crate) message_bytes: usize,
}

/// Connections by the address of the peer.
pub(crate) struct ConnectionCache {
    endpoint: Endpoint,
    limits: CacheLimits,
    handshakes: Arc<Semaphore>,
    slots: Mutex<HashMap<SocketAddr, Arc<PeerSlot>>>,
    counters: Arc<LinkCounters>,
}

impl ConnectionCache {
    /// Creates an empty cache that connects through `endpoint`.
    pub(crate) fn new(endpoint: Endpoint, limits: CacheLimits) -> Self {
        Self {
            endpoint,
            limits,
            handshakes: Arc::new(Semaphore::new(limits.handshakes)),
            slots: Mutex::default(),
            counters: Arc::default(),
        }
    }

    /// The counters of the link.
    pub(crate) fn counters(&self) -> &Arc<LinkCounters> {
        &self.counters
    }

    /// Returns the current counts.
    pub(crate) fn counts(&self) -> LinkCounts {
        let slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        let open = slots.values().filter(|slot| slot.is_open()).count();
        self.counters.read(open as u64)
    }

    /// Sends `body` to `peer` and reads the reply; returns `None` on any failure
    /// and after `timeout`.
    pub(crate) async fn exchange(
        &self,
        peer: SocketAddr,
        body: &[u8],
        timeout: Duration,
    ) -> Option<Vec<u8>> {
        let deadline = Instant::now() + timeout;
        let slot = self.slot(peer);
        let _permit = slot.calls.try_acquire().ok()?;
        let Ok(connection) = tokio::time::timeout_at(deadline, self.connection(peer, &slot)).await
        else {
            counts::increment(&self.counters.calls_late);
            return None;
        };
        let connection = connection?;
        let baseline = CallBaseline::new(&connection);
        match tokio::time::timeout_at(
            deadline,
            exchange_messages(&connection, body, self.limits.message_bytes),
        )
        .await
        {
            Ok(reply) => {
                if reply.is_some() {
                    slot.note_reply(&connection);
                }
                reply
            }
            Err(_late) => {
                counts::increment(&self.counters.calls_late);
                if slot.note_late(&connection, &baseline) {
                    let _finished = self.begin(peer, &slot);
                }
                None
            }
        }
    }

    /// Returns a connection to the peer, which may have closed since the last
    /// check.
    async fn connection(&self, peer: SocketAddr, slot: &Arc<PeerSlot>) -> Option<Connection> {
        let mut finished = match slot.next_step() {
            SlotStep::Use(connection) => return Some(connection),
            SlotStep::Wait(finished) => finished,
            SlotStep::Fail => return None,
            SlotStep::Connect => self.begin(peer, slot)?,
        };
        // The channel closes when the handshake finishes.
        while finished.changed().await.is_ok() {}
        slot.open_connection()
    }

    /// Begins a handshake with `peer`; returns `None` if that is not possible
    /// now. The returned channel closes when the handshake finishes.
    fn begin(&self, peer: SocketAddr, slot: &Arc<PeerSlot>) -> Option<watch::Receiver<()>> {
        let permit = Arc::clone(&self.handshakes).try_acquire_owned().ok()?;
        self.make_room(slot)?;
        let (finish, finished) = watch::channel(());
        if let Some(present) = slot.begin(&finished) {
            return Some(present);
        }
        let Ok(connecting) = self.endpoint.connect(peer, FLEET_NAME) else {
            slot.finish(None);
            return None;
        };
        counts::increment(&self.counters.handshakes_begun);
        let handshake = PeerHandshake {
            slot: Arc::clone(slot),
            counters: Arc::clone(&self.counters),
            _permit: permit,
            _finish: finish,
        };
        tokio::spawn(handshake.run(connecting));
        Some(finished)
    }

    /// Drops the least recently used connection if a further one would exceed
    /// the limit; returns `None` if all are in use.
    fn make_room(&self, slot: &Arc<PeerSlot>) -> Option<()> {
        let slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = slots
            .values()
            .filter(|other| !Arc::ptr_eq(other, slot) && other.is_kept());
        if kept.clone().count() < self.limits.connections {
            return Some(());
        }
        let idle =
            kept.filter(|slot| slot.is_open() && slot.calls.available_permits() == CALL_LIMIT);
        idle.min_by_key(|slot| slot.last_used())?.release();
        Some(())
    }

    fn slot(&self, peer: SocketAddr) -> Arc<PeerSlot> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        if slots.len() >= SLOT_LIMIT && !slots.contains_key(&peer) {
            slots.retain(|_peer, slot| Arc::strong_count(slot) > 1 || slot.is_kept());
        }
        let slot = slots
            .entry(peer)
            .or_insert_with(|| Arc::new(PeerSlot::new(CALL_LIMIT)));
        Arc::clone(slot)
    }
}

/// Sends `body` on `connection` and reads the reply of up to `limit` bytes.
async fn exchange_messages(connection: &Connection, body: &[u8], limit: usize) -> Option<Vec<u8>> {
    let (send, mut receive) = connection.open_bi().await.ok()?;
    MessageSender::new(send).send(body).await?;
    message::receive(&mut receive, limit).await
}

/// A handshake in progress.
struct PeerHandshake {
    slot: Arc<PeerSlot>,
    counters: Arc<LinkCounters>,
    _permit: OwnedSemaphorePermit,
    /// Dropped when the handshake finishes, which closes the channel.
    _finish: watch::Sender<()>,
}

impl PeerHandshake {
    async fn run(self, connecting: Connecting) {
        let ended = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let connection = ended.ok().and_then(Result::ok);
        counts::increment(if connection.is_some() {
            &self.counters.handshakes_completed
        } else {
            &self.counters.handshakes_failed
        });
        self.slot.finish(connection);
    }
}

//! Connections to peers, kept for reuse.
//!
//! A handshake costs more than many calls, so a call that is late ends neither
//! a connection nor a handshake: connecting is a task of its own, and a
//! connection is replaced only after nothing at all came on it for a while.

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
use crate::slot::CallMark;
use crate::slot::PeerSlot;
use crate::slot::SlotStep;

/// Calls in progress to one peer; one more fails at once, so that a peer that
/// does not answer takes a bounded share of this process.
const CALL_LIMIT: usize = 4_096;
/// Time for one handshake: a peer whose processor is taken needs many times
/// what the handshake costs.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// Peers remembered; beyond it those without a connection are forgotten.
const SLOT_LIMIT: usize = 2_048;

/// Bounds of the connections to peers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CacheLimits {
    /// Connections kept; one more ends the one that was not used for longest.
    pub(crate) kept: usize,
    /// Handshakes in progress; a call that needs one more fails at once.
    pub(crate) handshakes: usize,
    /// Bytes of the largest reply.
    pub(crate) message: usize,
}

/// Connections by address.
pub(crate) struct ConnectionCache {
    endpoint: Endpoint,
    limits: CacheLimits,
    handshakes: Arc<Semaphore>,
    slots: Mutex<HashMap<SocketAddr, Arc<PeerSlot>>>,
    counters: Arc<LinkCounters>,
}

impl ConnectionCache {
    /// An empty cache over `endpoint`.
    pub(crate) fn new(endpoint: Endpoint, limits: CacheLimits) -> Self {
        Self {
            endpoint,
            limits,
            handshakes: Arc::new(Semaphore::new(limits.handshakes)),
            slots: Mutex::default(),
            counters: Arc::default(),
        }
    }

    /// What the connections count.
    pub(crate) fn counters(&self) -> &Arc<LinkCounters> {
        &self.counters
    }

    /// What was counted until now.
    pub(crate) fn counts(&self) -> LinkCounts {
        let slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        let open = slots.values().filter(|slot| slot.is_open()).count();
        self.counters.read(open as u64)
    }

    /// Sends `body` to `peer` and reads the reply; `None` on any failure and
    /// after `timeout`.
    pub(crate) async fn exchange(
        &self,
        peer: SocketAddr,
        body: &[u8],
        timeout: Duration,
    ) -> Option<Vec<u8>> {
        let deadline = Instant::now() + timeout;
        let slot = self.slot(peer);
        let _place = slot.calls.try_acquire().ok()?;
        let Ok(connection) = tokio::time::timeout_at(deadline, self.connection(peer, &slot)).await
        else {
            counts::add(&self.counters.calls_late);
            return None;
        };
        let connection = connection?;
        let mark = CallMark::new(&connection);
        match tokio::time::timeout_at(deadline, ask(&connection, body, self.limits.message)).await {
            Ok(reply) => {
                if reply.is_some() {
                    slot.note_reply(&connection);
                }
                reply
            }
            Err(_late) => {
                counts::add(&self.counters.calls_late);
                if slot.note_late(&connection, &mark) {
                    let _over = self.begin(peer, &slot);
                }
                None
            }
        }
    }

    /// A connection that was open when last looked at.
    async fn connection(&self, peer: SocketAddr, slot: &Arc<PeerSlot>) -> Option<Connection> {
        let mut over = match slot.next_step() {
            SlotStep::Use(connection) => return Some(connection),
            SlotStep::Wait(over) => over,
            SlotStep::Pause => return None,
            SlotStep::Connect => self.begin(peer, slot)?,
        };
        // An error says that the handshake is over.
        while over.changed().await.is_ok() {}
        slot.open_connection()
    }

    /// Begins a handshake with `peer`; `None` when none can begin now. The
    /// receiver learns of its end.
    fn begin(&self, peer: SocketAddr, slot: &Arc<PeerSlot>) -> Option<watch::Receiver<()>> {
        let place = Arc::clone(&self.handshakes).try_acquire_owned().ok()?;
        self.make_room(slot)?;
        let (ending, over) = watch::channel(());
        if let Some(present) = slot.begin(&over) {
            return Some(present);
        }
        let Ok(connecting) = self.endpoint.connect(peer, FLEET_NAME) else {
            slot.finish(None);
            return None;
        };
        counts::add(&self.counters.handshakes_begun);
        let handshake = PeerHandshake {
            slot: Arc::clone(slot),
            counters: Arc::clone(&self.counters),
            _place: place,
            _ending: ending,
        };
        tokio::spawn(handshake.run(connecting));
        Some(over)
    }

    /// Ends the connection that was not used for longest when one more than
    /// the bound would be kept; `None` when all are in use.
    fn make_room(&self, wanted: &Arc<PeerSlot>) -> Option<()> {
        let slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = slots
            .values()
            .filter(|slot| !Arc::ptr_eq(slot, wanted) && slot.is_kept());
        if kept.clone().count() < self.limits.kept {
            return Some(());
        }
        let idle =
            kept.filter(|slot| slot.is_open() && slot.calls.available_permits() == CALL_LIMIT);
        idle.min_by_key(|slot| slot.last_used())?.end();
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

/// Sends `body` on `connection` and reads the reply.
async fn ask(connection: &Connection, body: &[u8], limit: usize) -> Option<Vec<u8>> {
    let (send, mut receive) = connection.open_bi().await.ok()?;
    MessageSender::new(send).send(body).await?;
    message::receive(&mut receive, limit).await
}

/// A handshake in progress.
struct PeerHandshake {
    slot: Arc<PeerSlot>,
    counters: Arc<LinkCounters>,
    _place: OwnedSemaphorePermit,
    /// Dropped when the handshake is over.
    _ending: watch::Sender<()>,
}

impl PeerHandshake {
    async fn run(self, connecting: Connecting) {
        let ended = tokio::time::timeout(CONNECT_LIMIT, connecting).await;
        let connection = ended.ok().and_then(Result::ok);
        counts::add(if connection.is_some() {
            &self.counters.handshakes_completed
        } else {
            &self.counters.handshakes_failed
        });
        self.slot.finish(connection);
    }
}

//! Connections to peers, kept for reuse.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex as StdMutex;
use std::sync::PoisonError;
use std::time::Duration;

use quinn::Connection;
use quinn::Endpoint;
use tokio::sync::Mutex;
use tokio::sync::Semaphore;

use crate::keys::FLEET_NAME;
use crate::message;
use crate::message::MessageSender;

/// Calls in progress to one peer; one more fails at once, so that a peer that
/// does not answer takes a bounded share of this process.
const CALL_LIMIT: usize = 4_096;

/// The connection to one peer.
struct PeerSlot {
    /// The lock is held while connecting.
    connection: Mutex<Option<Connection>>,
    calls: Semaphore,
}

/// Connections by address.
pub(crate) struct ConnectionCache {
    endpoint: Endpoint,
    slots: StdMutex<HashMap<SocketAddr, Arc<PeerSlot>>>,
}

impl ConnectionCache {
    /// An empty cache over `endpoint`.
    pub(crate) fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            slots: StdMutex::new(HashMap::new()),
        }
    }

    /// Sends `body` to `peer` and reads the reply; `None` on any failure and
    /// after `timeout`.
    pub(crate) async fn exchange(
        &self,
        peer: SocketAddr,
        body: &[u8],
        timeout: Duration,
    ) -> Option<Vec<u8>> {
        let slot = self.slot(peer);
        let _place = slot.calls.try_acquire().ok()?;
        let mut used = None;
        let exchange = async {
            let connection = self.connection(peer, &slot).await?;
            used = Some(connection.stable_id());
            let (send, mut receive) = connection.open_bi().await.ok()?;
            MessageSender::new(send).send(body).await?;
            message::receive(&mut receive).await
        };
        let reply = tokio::time::timeout(timeout, exchange).await;
        if reply.is_err()
            && let Some(connection) = used
        {
            slot.forget(connection).await;
        }
        reply.ok().flatten()
    }

    /// A connection that was open when last looked at.
    async fn connection(&self, peer: SocketAddr, slot: &PeerSlot) -> Option<Connection> {
        let mut held = slot.connection.lock().await;
        if let Some(connection) = held.as_ref()
            && connection.close_reason().is_none()
        {
            return Some(connection.clone());
        }
        let connecting = self.endpoint.connect(peer, FLEET_NAME).ok()?;
        let connection = connecting.await.ok()?;
        *held = Some(connection.clone());
        Some(connection)
    }

    fn slot(&self, peer: SocketAddr) -> Arc<PeerSlot> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(slots.entry(peer).or_insert_with(|| {
            Arc::new(PeerSlot {
                connection: Mutex::new(None),
                calls: Semaphore::new(CALL_LIMIT),
            })
        }))
    }
}

impl PeerSlot {
    /// Lets the next call connect anew after one on `connection` got no reply:
    /// a process that was replaced at the same address does not know the old
    /// connection, and only its idle limit would end it. Other calls on it go
    /// on; the last one closes it.
    async fn forget(&self, connection: usize) {
        let mut held = self.connection.lock().await;
        if held
            .as_ref()
            .is_some_and(|held| held.stable_id() == connection)
        {
            *held = None;
        }
    }
}

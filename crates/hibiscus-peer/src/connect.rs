//! Connections to peers, kept for reuse.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex as StdMutex;
use std::sync::PoisonError;

use quinn::Connection;
use quinn::Endpoint;
use tokio::sync::Mutex;

use crate::keys::FLEET_NAME;

/// Largest message, in bytes.
pub(crate) const MESSAGE_LIMIT: usize = 16 * 1024 * 1024;

/// The connection to one peer; the lock is held while connecting.
type PeerSlot = Arc<Mutex<Option<Connection>>>;

/// Connections by address.
pub(crate) struct ConnectionCache {
    endpoint: Endpoint,
    slots: StdMutex<HashMap<SocketAddr, PeerSlot>>,
}

impl ConnectionCache {
    /// An empty cache over `endpoint`.
    pub(crate) fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            slots: StdMutex::new(HashMap::new()),
        }
    }

    /// Sends `body` to `peer` and reads the reply; `None` on any failure.
    pub(crate) async fn exchange(&self, peer: SocketAddr, body: &[u8]) -> Option<Vec<u8>> {
        let connection = self.connection(peer).await?;
        let (mut send, mut receive) = connection.open_bi().await.ok()?;
        send.write_all(body).await.ok()?;
        send.finish().ok()?;
        receive.read_to_end(MESSAGE_LIMIT).await.ok()
    }

    /// A connection that was open when last looked at.
    async fn connection(&self, peer: SocketAddr) -> Option<Connection> {
        let slot = self.slot(peer);
        let mut held = slot.lock().await;
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

    fn slot(&self, peer: SocketAddr) -> PeerSlot {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(slots.entry(peer).or_default())
    }
}

//! The thread of the link and its channels to other threads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc as std_mpsc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use hibiscus_events::EventRecorder;
use quinn::Endpoint;
use quinn::Incoming;
use quinn::RecvStream;
use quinn::SendStream;
use quinn::VarInt;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::connect::CacheLimits;
use crate::connect::ConnectionCache;
use crate::keys::KeyFault;
use crate::keys::LinkKeys;
use crate::message;
use crate::message::MessageSender;
use crate::tls;

/// Most calls that wait for the thread of the link.
const QUEUE_CAPACITY: usize = 8_192;
/// Longest wait for the last packets to be sent when the link closes.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest message, in bytes.
const MESSAGE_LIMIT: usize = 16 * 1024 * 1024;
/// Limits on the connections to peers: all instances of the list exchange
/// heartbeats.
const LIMITS: CacheLimits = CacheLimits {
    connections: 1_024,
    handshakes: 256,
    message_bytes: MESSAGE_LIMIT,
};
/// Size of the hybrid logical timestamp before each message.
const TIMESTAMP_BYTES: usize = 8;

/// Why the link failed.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// A key or certificate can't be used.
    #[error(transparent)]
    BadKeys(#[from] KeyFault),
    /// The port can't be opened.
    #[error("failed to open the peer port {address}")]
    Bind {
        /// Address of the port.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The peer didn't reply in time or refused the connection.
    #[error("failed to get a reply from the peer")]
    NoReply,
    /// Too many calls are waiting.
    #[error("failed to send to the peer: too many calls are waiting")]
    Busy,
}

/// Result of a link operation.
pub type Result<T> = std::result::Result<T, LinkError>;

/// Options for opening a link.
#[derive(Clone, Copy)]
pub struct LinkOptions<'a> {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Keys of this instance.
    pub keys: LinkKeys<'a>,
    /// Provides and observes the hybrid logical timestamp of each message.
    pub events: &'a Arc<EventRecorder>,
}

/// A call received from a peer.
#[derive(Debug)]
pub struct PeerCall {
    /// The request.
    pub body: Vec<u8>,
    reply: oneshot::Sender<Vec<u8>>,
}

impl PeerCall {
    /// Sends the reply, unless the peer no longer waits for it.
    pub fn reply(self, body: Vec<u8>) {
        let _gone = self.reply.send(body);
    }
}

/// A call to a peer, queued for the thread of the link.
struct OutgoingCall {
    peer: SocketAddr,
    body: Vec<u8>,
    timeout: Duration,
    reply: std_mpsc::SyncSender<Option<Vec<u8>>>,
}

/// A call that waits for its reply.
#[derive(Debug)]
pub struct PendingCall {
    reply: std_mpsc::Receiver<Option<Vec<u8>>>,
}

impl PendingCall {
    /// Waits for the reply, up to the timeout of the call.
    pub fn wait(self) -> Result<Vec<u8>> {
        match self.reply.recv() {
            Ok(Some(body)) => Ok(body),
            Ok(None) | Err(_) => Err(LinkError::NoReply),
        }
    }
}

/// The link of one process. Dropping the last clone closes it.
#[derive(Clone)]
pub struct PeerLink {
    address: SocketAddr,
    outgoing: mpsc::Sender<OutgoingCall>,
    events: Arc<EventRecorder>,
    thread: Arc<LinkThread>,
}

/// Handle to stop and join the thread of the link.
struct LinkThread {
    stop: mpsc::Sender<()>,
    handle: std::sync::Mutex<Option<JoinHandle<()>>>,
}

impl PeerLink {
    /// Opens the port and puts received calls into `inbox`. If `inbox` is full,
    /// the call is dropped and its sender receives no reply.
    ///
    /// # Errors
    ///
    /// Fails if a key can't be used or the port can't be opened.
    pub fn start(options: &LinkOptions<'_>, inbox: std_mpsc::SyncSender<PeerCall>) -> Result<Self> {
        options.keys.check()?;
        let server = tls::server_config(&options.keys)?;
        let client = tls::client_config(&options.keys)?;
        let listen = options.listen;
        let events = Arc::clone(options.events);
        let (outgoing, calls) = mpsc::channel(QUEUE_CAPACITY);
        let (stop, stopped) = mpsc::channel(1);
        let (ready, started) = std_mpsc::sync_channel(1);
        let handle = thread::Builder::new()
            .name("peer-link".to_owned())
            .spawn(move || {
                let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
                    .enable_all()
                    .build()
                else {
                    return;
                };
                runtime.block_on(async move {
                    let mut endpoint = match Endpoint::server(server, listen) {
                        Ok(endpoint) => endpoint,
                        Err(error) => {
                            let _gone = ready.send(Err(error));
                            return;
                        }
                    };
                    endpoint.set_default_client_config(client);
                    let _gone = ready.send(endpoint.local_addr());
                    run(endpoint, events, calls, stopped, inbox).await;
                });
                runtime.shutdown_background();
            })
            .map_err(|source| LinkError::Bind {
                address: listen,
                source,
            })?;
        let address = started
            .recv()
            .map_err(|_closed| LinkError::NoReply)?
            .map_err(|source| LinkError::Bind {
                address: listen,
                source,
            })?;
        Ok(Self {
            address,
            outgoing,
            events: Arc::clone(options.events),
            thread: Arc::new(LinkThread {
                stop,
                handle: std::sync::Mutex::new(Some(handle)),
            }),
        })
    }

    /// The address that the link listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends `body` to `peer` and waits up to `timeout` for the reply.
    pub fn call(&self, peer: SocketAddr, body: Vec<u8>, timeout: Duration) -> Result<Vec<u8>> {
        self.start_call(peer, body, timeout)?.wait()
    }

    /// Sends `body` to `peer` without waiting for the reply, so that several
    /// calls can be in progress.
    pub fn start_call(
        &self,
        peer: SocketAddr,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<PendingCall> {
        let (reply, pending) = std_mpsc::sync_channel(1);
        let call = OutgoingCall {
            peer,
            body: prepend_timestamp(&self.events, &body),
            timeout,
            reply,
        };
        self.outgoing
            .try_send(call)
            .map_err(|_full| LinkError::Busy)?;
        Ok(PendingCall { reply: pending })
    }

    /// Closes the link after its last replies are sent.
    pub fn close(&self) {
        let _closing = self.thread.stop.try_send(());
        let handle = self
            .thread
            .handle
            .lock()
            .ok()
            .and_then(|mut held| held.take());
        let Some(handle) = handle else {
            return;
        };
        let _ended = handle.join();
    }
}

/// Serves calls in both directions until the link is closed.
async fn run(
    endpoint: Endpoint,
    events: Arc<EventRecorder>,
    mut calls: mpsc::Receiver<OutgoingCall>,
    mut stopped: mpsc::Receiver<()>,
    inbox: std_mpsc::SyncSender<PeerCall>,
) {
    let cache = Arc::new(ConnectionCache::new(endpoint.clone(), LIMITS));
    loop {
        tokio::select! {
            call = calls.recv() => {
                let Some(call) = call else {
                    break;
                };
                tokio::spawn(send_call(Arc::clone(&cache), Arc::clone(&events), call));
            }
            incoming = endpoint.accept() => {
                let Some(incoming) = incoming else {
                    break;
                };
                tokio::spawn(serve_connection(incoming, Arc::clone(&events), inbox.clone()));
            }
            _stop = stopped.recv() => break,
        }
    }
    endpoint.close(VarInt::from_u32(0), b"closing");
    let _late = tokio::time::timeout(CLOSE_TIMEOUT, endpoint.wait_idle()).await;
}

/// Makes one call and returns its reply to the calling thread.
async fn send_call(cache: Arc<ConnectionCache>, events: Arc<EventRecorder>, call: OutgoingCall) {
    let reply = cache.exchange(call.peer, &call.body, call.timeout).await;
    let body = reply.and_then(|message| strip_timestamp(&events, message));
    let _gone = call.reply.try_send(body);
}

/// Receives the calls of one connection.
async fn serve_connection(
    incoming: Incoming,
    events: Arc<EventRecorder>,
    inbox: std_mpsc::SyncSender<PeerCall>,
) {
    let Ok(connection) = incoming.await else {
        return;
    };
    while let Ok((send, receive)) = connection.accept_bi().await {
        tokio::spawn(serve_call(
            send,
            receive,
            Arc::clone(&events),
            inbox.clone(),
        ));
    }
}

/// Receives one call and sends its reply.
async fn serve_call(
    send: SendStream,
    mut receive: RecvStream,
    events: Arc<EventRecorder>,
    inbox: std_mpsc::SyncSender<PeerCall>,
) {
    let mut sender = MessageSender::new(send);
    let Some(message) = message::receive(&mut receive, MESSAGE_LIMIT).await else {
        return;
    };
    let Some(body) = strip_timestamp(&events, message) else {
        return;
    };
    let (reply, response) = oneshot::channel();
    if inbox.try_send(PeerCall { body, reply }).is_err() {
        return;
    }
    let Ok(body) = response.await else {
        return;
    };
    let message = prepend_timestamp(&events, &body);
    let _gone = sender.send(&message).await;
}

/// Prepends the current timestamp to `body`.
fn prepend_timestamp(events: &EventRecorder, body: &[u8]) -> Vec<u8> {
    let mut message = Vec::with_capacity(TIMESTAMP_BYTES + body.len());
    message.extend_from_slice(&events.stamp().to_le_bytes());
    message.extend_from_slice(body);
    message
}

/// Observes the timestamp of a message and returns its body, or `None` if the
/// message is too short for a timestamp.
fn strip_timestamp(events: &EventRecorder, mut message: Vec<u8>) -> Option<Vec<u8>> {
    let (timestamp, _body) = message.split_first_chunk::<TIMESTAMP_BYTES>()?;
    events.observe(u64::from_le_bytes(*timestamp));
    message.drain(..TIMESTAMP_BYTES);
    Some(message)
}

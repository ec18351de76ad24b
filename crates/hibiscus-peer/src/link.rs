//! The link's thread and the rings that join it to the duties.

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

/// Calls that wait for the link's thread.
const RING_CAPACITY: usize = 8_192;
/// Time that the link waits for its last packets to leave.
const CLOSE_LIMIT: Duration = Duration::from_millis(300);
/// Largest message, in bytes.
const MESSAGE_LIMIT: usize = 16 * 1024 * 1024;
/// Bounds of the connections to peers: instances of one list beat to each
/// other.
const LIMITS: CacheLimits = CacheLimits {
    kept: 1_024,
    handshakes: 256,
    message: MESSAGE_LIMIT,
};
/// Bytes of the hybrid logical time in front of each message.
const STAMP_BYTES: usize = 8;

/// Why the link failed.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// A key or certificate cannot be used.
    #[error(transparent)]
    BadKeys(#[from] KeyFault),
    /// The port cannot be opened.
    #[error("failed to open the peer port {address}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The peer did not answer in time or refused the connection.
    #[error("failed to get a reply from the peer")]
    NoReply,
    /// Too many calls are waiting.
    #[error("failed to send to the peer: too many calls are waiting")]
    Busy,
}

/// Result of a link operation.
pub type Result<T> = std::result::Result<T, LinkError>;

/// What a link needs.
#[derive(Clone, Copy)]
pub struct LinkOptions<'a> {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Keys of this instance.
    pub keys: LinkKeys<'a>,
    /// Gives and observes the hybrid logical time of each message.
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
    /// Sends the reply. A peer that no longer waits gets none.
    pub fn reply(self, body: Vec<u8>) {
        let _gone = self.reply.send(body);
    }
}

/// A call to a peer, on its way to the link's thread.
struct OutgoingCall {
    peer: SocketAddr,
    body: Vec<u8>,
    timeout: Duration,
    reply: std_mpsc::SyncSender<Option<Vec<u8>>>,
}

/// A call whose reply has not come yet.
#[derive(Debug)]
pub struct PendingCall {
    reply: std_mpsc::Receiver<Option<Vec<u8>>>,
}

impl PendingCall {
    /// Waits for the reply; the call's own timeout bounds the wait.
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

/// Joins the link's thread when the link is closed.
struct LinkThread {
    stop: mpsc::Sender<()>,
    handle: std::sync::Mutex<Option<JoinHandle<()>>>,
}

impl PeerLink {
    /// Opens the port and puts received calls into `inbox`; a call that finds
    /// it full is dropped, and its sender sees no reply.
    ///
    /// # Errors
    ///
    /// Fails when a key cannot be read or the port cannot be opened.
    pub fn start(options: &LinkOptions<'_>, inbox: std_mpsc::SyncSender<PeerCall>) -> Result<Self> {
        options.keys.check()?;
        let server = tls::server_config(&options.keys)?;
        let client = tls::client_config(&options.keys)?;
        let listen = options.listen;
        let events = Arc::clone(options.events);
        let (outgoing, calls) = mpsc::channel(RING_CAPACITY);
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

    /// Address that the link listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends `body` to `peer` and waits up to `timeout` for the reply.
    pub fn call(&self, peer: SocketAddr, body: Vec<u8>, timeout: Duration) -> Result<Vec<u8>> {
        self.start_call(peer, body, timeout)?.wait()
    }

    /// Sends `body` to `peer`; several calls may be started, then waited for.
    pub fn start_call(
        &self,
        peer: SocketAddr,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<PendingCall> {
        let (reply, pending) = std_mpsc::sync_channel(1);
        let call = OutgoingCall {
            peer,
            body: add_stamp(&self.events, &body),
            timeout,
            reply,
        };
        self.outgoing
            .try_send(call)
            .map_err(|_full| LinkError::Busy)?;
        Ok(PendingCall { reply: pending })
    }

    /// Closes the link after its last replies have left.
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
    let _late = tokio::time::timeout(CLOSE_LIMIT, endpoint.wait_idle()).await;
}

/// Makes one call and hands its reply over.
async fn send_call(cache: Arc<ConnectionCache>, events: Arc<EventRecorder>, call: OutgoingCall) {
    let reply = cache.exchange(call.peer, &call.body, call.timeout).await;
    let body = reply.and_then(|message| take_stamp(&events, message));
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
    let Some(body) = take_stamp(&events, message) else {
        return;
    };
    let (reply, answered) = oneshot::channel();
    if inbox.try_send(PeerCall { body, reply }).is_err() {
        return;
    }
    let Ok(body) = answered.await else {
        return;
    };
    let message = add_stamp(&events, &body);
    let _gone = sender.send(&message).await;
}

/// Puts the present time in front of `body`.
fn add_stamp(events: &EventRecorder, body: &[u8]) -> Vec<u8> {
    let mut message = Vec::with_capacity(STAMP_BYTES + body.len());
    message.extend_from_slice(&events.stamp().to_le_bytes());
    message.extend_from_slice(body);
    message
}

/// Observes a message's time and returns its body; `None` when the message
/// is too short to have one.
fn take_stamp(events: &EventRecorder, mut message: Vec<u8>) -> Option<Vec<u8>> {
    let (stamp, _body) = message.split_first_chunk::<STAMP_BYTES>()?;
    events.observe(u64::from_le_bytes(*stamp));
    message.drain(..STAMP_BYTES);
    Some(message)
}

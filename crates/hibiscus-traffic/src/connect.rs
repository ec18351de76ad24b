//! Connections to backend servers.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::bounded::BoundedStream;
use crate::bounded::HeadByteCounter;
use crate::idle::IdleConnection;

/// Time for a new connection: links take a few milliseconds and a server 1 ms.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which sent bytes may stay unacknowledged; a path that is cut off
/// shows in no other way.
const ACKNOWLEDGE_LIMIT: Duration = Duration::from_millis(1_500);
/// Time for which a connection is kept idle when its server named none.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Part of a server's own idle time that is used, since its clock started
/// earlier.
const IDLE_PART: f64 = 0.7;

/// Result of opening a connection.
pub type Result<T> = std::result::Result<T, ConnectFault>;

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFault {
    /// Nothing listens at the address.
    Closed,
    /// The server reset it.
    Refused,
    /// The server did not answer in time.
    Silent,
}

/// What a new connection shows of the server at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortState {
    /// Something listens there.
    Open,
    /// Nothing listens there, and the machine says so.
    Closed,
    /// The machine does not answer.
    Silent,
}

/// Looks whether something listens at `address`.
pub async fn probe_port(address: SocketAddr) -> PortState {
    let connect = TcpStream::connect(address);
    match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(_stream)) => PortState::Open,
        Ok(Err(error)) => match error.kind() {
            ErrorKind::ConnectionRefused => PortState::Closed,
            // A full server resets connections that it has accepted.
            ErrorKind::ConnectionReset => PortState::Open,
            _ => PortState::Silent,
        },
        Err(_elapsed) => PortState::Silent,
    }
}

/// One connection. Dropping it closes the socket at once, which tells the
/// server to stop.
#[derive(Debug)]
pub struct ServerConnection {
    sender: SendRequest<Full<Bytes>>,
    head: HeadByteCounter,
    task: JoinHandle<()>,
    idle_limit: Duration,
    parked: Option<Instant>,
}

impl ServerConnection {
    /// Connects to the server at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the server refuses or stays silent.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let connect = TcpStream::connect(address);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Err(ConnectFault::Closed);
            }
            Ok(Err(_reset)) => return Err(ConnectFault::Refused),
            Err(_elapsed) => return Err(ConnectFault::Silent),
        };
        set_options(&stream);
        let head = HeadByteCounter::default();
        let stream = BoundedStream::new(stream, head.clone());
        let shaken = http1::Builder::new().handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|_closed| ConnectFault::Refused)?;
        let task = tokio::task::spawn_local(async move {
            // A failure shows at the request that used the connection.
            let _ended = connection.await;
        });
        Ok(Self {
            sender,
            head,
            task,
            idle_limit: IDLE_LIMIT,
            parked: None,
        })
    }

    /// The half that sends requests.
    pub fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.sender
    }

    /// Counts the bytes of the next answer's head.
    pub fn head(&self) -> &HeadByteCounter {
        &self.head
    }

    /// Takes over how long the server keeps the connection idle.
    pub fn set_idle_limit(&mut self, limit: Duration) {
        self.idle_limit = limit.mul_f64(IDLE_PART);
    }

    /// Notes that the connection is idle from now on.
    pub fn park(&mut self) {
        self.parked = Some(Instant::now());
    }
}

impl IdleConnection for ServerConnection {
    fn is_usable(&self) -> bool {
        let rested = self.parked.map_or(Duration::ZERO, |since| since.elapsed());
        !self.sender.is_closed() && rested < self.idle_limit
    }
}

impl Drop for ServerConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sets the options of a connection to a server or a caller.
pub fn set_options(stream: &TcpStream) {
    // Both only tune the connection: without them it still works.
    let _tuned = stream.set_nodelay(true);
    let _tuned = SockRef::from(stream).set_tcp_user_timeout(Some(ACKNOWLEDGE_LIMIT));
}

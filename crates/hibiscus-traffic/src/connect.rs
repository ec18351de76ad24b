//! Connections to backend servers.

pub mod bounded;
pub mod own_time;
pub mod path;

use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::connect::bounded::BoundedStream;
use crate::connect::bounded::HeadByteCounter;
use crate::connect::path::PathStream;
use crate::idle::IdleConnection;

/// Timeout for opening a connection. The network takes a few milliseconds and a
/// server 1 ms.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Receive buffer of a connection in bytes, of which the system uses twice as many. Without it
/// the system holds megabytes of a response that is read no further.
const RECEIVE_BUFFER_BYTES: u32 = 32 * 1024;
/// How long a connection is kept idle when its server states no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction of the server's idle timeout after which a connection is dropped,
/// since the server's timer started earlier.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;

/// Result of opening a connection.
pub type Result<T> = std::result::Result<T, ConnectFault>;

/// Why opening a connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFault {
    /// Nothing listens at the address.
    Closed,
    /// The connection was reset or failed in another way.
    Refused,
    /// The server did not respond in time.
    Silent,
}

/// State of a port, found by connecting to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortState {
    /// A process listens at the address.
    Open,
    /// No process listens at the address, and the machine refuses the connection.
    Closed,
    /// The machine does not respond.
    Silent,
}

/// Checks whether a process listens at `address`.
pub async fn probe_port(address: SocketAddr) -> PortState {
    let connect = TcpStream::connect(address);
    match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(_stream)) => PortState::Open,
        Ok(Err(error)) => match error.kind() {
            ErrorKind::ConnectionRefused => PortState::Closed,
            // A server at its connection limit resets connections that it has
            // accepted.
            ErrorKind::ConnectionReset => PortState::Open,
            _ => PortState::Silent,
        },
        Err(_elapsed) => PortState::Silent,
    }
}

/// A connection to a server. Dropping it closes the socket at once, which makes
/// the server abort the request.
#[derive(Debug)]
pub struct ServerConnection {
    sender: SendRequest<Full<Bytes>>,
    head_counter: HeadByteCounter,
    task: JoinHandle<()>,
    idle_timeout: Duration,
    /// When the connection became idle.
    parked: Option<Instant>,
    /// Whether the process at the other end is the one that wrote the server's entry.
    is_verified: bool,
}

impl ServerConnection {
    /// Connects to the server at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the server refuses the connection or does not respond.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let connect = connect(address);
        let stream = match own_time::timeout(CONNECT_TIMEOUT, connect).await {
            Some(Ok(stream)) => stream,
            Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Err(ConnectFault::Closed);
            }
            Some(Err(_reset)) => return Err(ConnectFault::Refused),
            None => return Err(ConnectFault::Silent),
        };
        let head_counter = HeadByteCounter::default();
        let stream = BoundedStream::new(PathStream::new(stream), head_counter.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(bounded::HEAD_LIMIT_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|_closed| ConnectFault::Refused)?;
        let task = tokio::task::spawn_local(async move {
            // A failure is reported to the request that used the connection.
            let _ended = connection.await;
        });
        Ok(Self {
            sender,
            head_counter,
            task,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            parked: None,
            is_verified: false,
        })
    }

    /// Sender of requests on the connection.
    pub fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.sender
    }

    /// Counter of the bytes of the next response's head.
    pub fn head_counter(&self) -> &HeadByteCounter {
        &self.head_counter
    }

    /// Sets how long the server keeps the connection open while it is idle.
    pub fn set_idle_timeout(&mut self, timeout: Duration) {
        self.idle_timeout = timeout.mul_f64(IDLE_TIMEOUT_FRACTION);
    }

    /// Whether the process at the other end is known to be the one that wrote the
    /// server's entry.
    pub fn is_verified(&self) -> bool {
        self.is_verified
    }

    /// Records that the process at the other end wrote the server's entry.
    pub fn set_verified(&mut self) {
        self.is_verified = true;
    }

    /// Records that the connection is idle from now on.
    pub fn park(&mut self) {
        self.parked = Some(Instant::now());
    }
}

/// Opens a connection with a small receive buffer.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A failure is ignored: the connection works without the option.
    let _tuned = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    socket.connect(address).await
}

impl IdleConnection for ServerConnection {
    fn is_usable(&self) -> bool {
        let idle_time = self.parked.map_or(Duration::ZERO, |since| since.elapsed());
        !self.sender.is_closed() && idle_time < self.idle_timeout
    }
}

impl Drop for ServerConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

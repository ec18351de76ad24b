//! Proxy for TCP connections.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::proxy::FaultCell;
use crate::proxy::LinkDirection;
use crate::proxy::LinkFaults;

/// Bytes moved at once.
const PIECE: usize = 16 * 1024;
/// Time between looks at the faults while bytes are kept back.
const HOLD_POLL: Duration = Duration::from_millis(5);

/// A TCP proxy on a loopback port.
pub struct TcpProxy {
    address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    faults: FaultCell,
    stopping: Arc<AtomicBool>,
}

impl TcpProxy {
    /// Starts a proxy in front of `target`.
    ///
    /// # Panics
    ///
    /// Panics when the port cannot be opened.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the proxy opens its port");
        let address = listener.local_addr().expect("the port has an address");
        let proxy = Self {
            address,
            target: Arc::new(Mutex::new(target)),
            faults: FaultCell::default(),
            stopping: Arc::new(AtomicBool::new(false)),
        };
        let target = Arc::clone(&proxy.target);
        let faults = proxy.faults.clone();
        let stopping = Arc::clone(&proxy.stopping);
        thread::spawn(move || accept_all(&listener, &target, &faults, &stopping));
        proxy
    }

    /// Address of the port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Leads new connections to `target`.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Replaces the faults of `direction`.
    pub fn set_faults(&self, direction: LinkDirection, faults: LinkFaults) {
        self.faults.set(direction, faults);
    }

    /// Cuts both directions, or heals them.
    pub fn set_cut(&self, cut: bool) {
        for direction in [LinkDirection::Forward, LinkDirection::Back] {
            let faults = LinkFaults {
                cut,
                ..LinkFaults::default()
            };
            self.faults.set(direction, faults);
        }
    }
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.set_cut(true);
        // Wakes the accepting thread, which then ends.
        let _woken = TcpStream::connect(self.address);
    }
}

/// Accepts connections until the proxy stops.
fn accept_all(
    listener: &TcpListener,
    target: &Mutex<SocketAddr>,
    faults: &FaultCell,
    stopping: &AtomicBool,
) {
    for client in listener.incoming() {
        if stopping.load(Ordering::Relaxed) {
            return;
        }
        let Ok(client) = client else {
            continue;
        };
        if faults.get(LinkDirection::Forward).cut {
            continue;
        }
        let target = *target.lock().unwrap_or_else(PoisonError::into_inner);
        let Ok(server) = TcpStream::connect(target) else {
            continue;
        };
        let (Ok(client_back), Ok(server_back)) = (client.try_clone(), server.try_clone()) else {
            continue;
        };
        let forward = faults.clone();
        let back = faults.clone();
        thread::spawn(move || pump(client, server, &forward, LinkDirection::Forward));
        thread::spawn(move || pump(server_back, client_back, &back, LinkDirection::Back));
    }
}

/// Moves bytes of one direction until it ends.
fn pump(mut from: TcpStream, mut to: TcpStream, faults: &FaultCell, direction: LinkDirection) {
    // A short timeout lets the thread see a cut while nothing arrives.
    let _unsupported = from.set_read_timeout(Some(HOLD_POLL * 4));
    let _unsupported = to.set_nodelay(true);
    let mut moved = 0;
    let mut piece = vec![0; PIECE];
    loop {
        let read = match from.read(&mut piece) {
            Ok(0) => break,
            Ok(read) => read,
            Err(error) if is_timeout(&error) => {
                if faults.get(direction).cut {
                    break;
                }
                continue;
            }
            Err(_) => break,
        };
        if !wait_out(faults, direction) {
            break;
        }
        let limit = faults.get(direction).close_after;
        let left = limit.map_or(read, |limit| read.min(limit.saturating_sub(moved)));
        if to.write_all(&piece[..left]).is_err() {
            break;
        }
        moved += left;
        if limit.is_some_and(|limit| moved >= limit) {
            break;
        }
    }
    if faults.get(direction).cut {
        let _closed = from.shutdown(Shutdown::Both);
        let _closed = to.shutdown(Shutdown::Both);
        return;
    }
    let _closed = to.shutdown(Shutdown::Write);
}

/// Waits while bytes are kept back; false when the direction is cut.
fn wait_out(faults: &FaultCell, direction: LinkDirection) -> bool {
    loop {
        let now = faults.get(direction);
        if now.cut {
            return false;
        }
        if !now.hold {
            thread::sleep(now.delay);
            return true;
        }
        thread::sleep(HOLD_POLL);
    }
}

/// Whether a read only ran out of time.
fn is_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}

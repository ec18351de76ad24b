//! Proxy for UDP datagrams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use fastrand::Rng;

use crate::proxy::FaultCell;
use crate::proxy::LinkDirection;
use crate::proxy::LinkFaults;

/// Largest datagram, in bytes.
const DATAGRAM_LIMIT: usize = 64 * 1024;
/// Time between looks at the stop flag.
const IDLE_WAIT: Duration = Duration::from_millis(50);

/// A UDP proxy on a loopback port.
pub struct UdpProxy {
    address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    faults: FaultCell,
    bytes: Arc<AtomicU64>,
    stopping: Arc<AtomicBool>,
}

impl UdpProxy {
    /// Starts a proxy in front of `target`; `seed` sets which datagrams are
    /// dropped and reordered.
    ///
    /// # Panics
    ///
    /// Panics when the port cannot be opened.
    pub fn start(target: SocketAddr, seed: u64) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("the proxy opens its port");
        let address = socket.local_addr().expect("the port has an address");
        let proxy = Self {
            address,
            target: Arc::new(Mutex::new(target)),
            faults: FaultCell::default(),
            bytes: Arc::default(),
            stopping: Arc::new(AtomicBool::new(false)),
        };
        let target = Arc::clone(&proxy.target);
        let parts = ProxyParts {
            faults: proxy.faults.clone(),
            bytes: Arc::clone(&proxy.bytes),
            stopping: Arc::clone(&proxy.stopping),
            seed,
        };
        thread::spawn(move || forward_all(&socket, &target, &parts));
        proxy
    }

    /// Address of the port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes received from both sides, without headers.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Leads datagrams to `target`.
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

impl Drop for UdpProxy {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}

/// What the threads of a proxy share.
#[derive(Clone)]
struct ProxyParts {
    faults: FaultCell,
    bytes: Arc<AtomicU64>,
    stopping: Arc<AtomicBool>,
    seed: u64,
}

/// Passes datagrams of all clients to the target.
fn forward_all(socket: &UdpSocket, target: &Arc<Mutex<SocketAddr>>, parts: &ProxyParts) {
    let _unsupported = socket.set_read_timeout(Some(IDLE_WAIT));
    let mut upstreams: HashMap<SocketAddr, UdpSocket> = HashMap::new();
    let mut line = DatagramLine::new(parts.faults.clone(), LinkDirection::Forward, parts.seed);
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    while !parts.stopping.load(Ordering::Relaxed) {
        let Ok((size, client)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        parts.bytes.fetch_add(size as u64, Ordering::Relaxed);
        let known = upstreams
            .get(&client)
            .and_then(|held| held.try_clone().ok());
        let Some(upstream) = known.or_else(|| {
            let upstream = start_back(socket, client, parts)?;
            let held = upstream.try_clone().ok()?;
            upstreams.insert(client, upstream);
            Some(held)
        }) else {
            continue;
        };
        let target = *target.lock().unwrap_or_else(PoisonError::into_inner);
        line.pass(buffer[..size].to_vec(), &upstream, target);
    }
}

/// Opens a socket towards the target and passes its datagrams back.
fn start_back(socket: &UdpSocket, client: SocketAddr, parts: &ProxyParts) -> Option<UdpSocket> {
    let upstream = UdpSocket::bind("127.0.0.1:0").ok()?;
    upstream.set_read_timeout(Some(IDLE_WAIT)).ok()?;
    let receive = upstream.try_clone().ok()?;
    let back = socket.try_clone().ok()?;
    let parts = parts.clone();
    let seed = parts.seed.wrapping_add(1);
    let mut line = DatagramLine::new(parts.faults.clone(), LinkDirection::Back, seed);
    thread::spawn(move || {
        let mut buffer = vec![0; DATAGRAM_LIMIT];
        while !parts.stopping.load(Ordering::Relaxed) {
            let Ok((size, _target)) = receive.recv_from(&mut buffer) else {
                continue;
            };
            parts.bytes.fetch_add(size as u64, Ordering::Relaxed);
            line.pass(buffer[..size].to_vec(), &back, client);
        }
    });
    Some(upstream)
}

/// Applies faults to the datagrams of one direction.
struct DatagramLine {
    faults: FaultCell,
    direction: LinkDirection,
    random: Rng,
    kept: Vec<Vec<u8>>,
}

impl DatagramLine {
    fn new(faults: FaultCell, direction: LinkDirection, seed: u64) -> Self {
        Self {
            faults,
            direction,
            random: Rng::with_seed(seed),
            kept: Vec::new(),
        }
    }

    /// Passes one datagram on, or drops, keeps or delays it.
    fn pass(&mut self, datagram: Vec<u8>, socket: &UdpSocket, to: SocketAddr) {
        let faults = self.faults.get(self.direction);
        if faults.cut || self.random.f64() < faults.drop_share {
            return;
        }
        if faults.hold || self.random.f64() < faults.reorder_share {
            self.kept.push(datagram);
            return;
        }
        let mut ready = vec![datagram];
        ready.append(&mut self.kept);
        for datagram in ready {
            send_after(faults.delay, datagram, socket, to);
        }
    }
}

/// Sends `datagram` after `delay`, without keeping the next ones waiting.
fn send_after(delay: Duration, datagram: Vec<u8>, socket: &UdpSocket, to: SocketAddr) {
    if delay.is_zero() {
        // A lost datagram is allowed.
        let _lost = socket.send_to(&datagram, to);
        return;
    }
    let Ok(socket) = socket.try_clone() else {
        return;
    };
    thread::spawn(move || {
        thread::sleep(delay);
        let _lost = socket.send_to(&datagram, to);
    });
}

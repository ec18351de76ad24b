//! Cost of heartbeats by the number of instances, on standard error.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventRecorder;
use hibiscus_peer::LinkError;
use hibiscus_peer::LinkKeys;
use hibiscus_peer::LinkOptions;
use hibiscus_peer::PeerCall;
use hibiscus_peer::PeerLink;
use hibiscus_support::gossip::GossipFleet;
use hibiscus_support::gossip::ROUND_MS;
use hibiscus_support::keys::FleetAuthority;

/// Numbers of instances, and their data centres.
const SIZES: [(usize, usize); 4] = [(7, 3), (10, 4), (100, 6), (810, 11)];
/// Rounds until all views have settled.
const SETTLE_ROUNDS: usize = 120;
/// Rounds that are measured.
const ROUNDS: usize = 60;
/// Bytes of the UDP and IP headers of one datagram.
const HEADER_BYTES: u64 = 28;
/// Exchanges over the real link that are measured.
const EXCHANGES: u64 = 200;
/// Time between two of them, so that none shares a datagram.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(20);
/// Time that one may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest datagram.
const DATAGRAM_LIMIT: usize = 64 * 1024;

/// Prints the cost at each size.
pub fn run() {
    for (count, data_centres) in SIZES {
        let mut fleet = GossipFleet::new(count, data_centres);
        for _round in 0..SETTLE_ROUNDS {
            fleet.round(|_from, _to| true);
        }
        let (bytes, messages) = (fleet.bytes, fleet.messages);
        let started = Instant::now();
        for _round in 0..ROUNDS {
            fleet.round(|_from, _to| true);
        }
        let elapsed = started.elapsed();
        let (least, most) = fleet.ready_range();
        let bytes = fleet.bytes - bytes;
        let messages = fleet.messages - messages;
        let seconds = ROUNDS as u64 * ROUND_MS / 1_000;
        let instance_seconds = (count as u64 * seconds) as f64;
        let mean = bytes / messages.max(1);
        // Each message is sent by one instance and received by another one.
        let exchanges = messages as f64 / instance_seconds;
        let wire = match exchange_bytes(usize::try_from(mean).unwrap_or(0)) {
            Ok(wire) => wire as f64,
            Err(error) => {
                eprintln!("error: {error}");
                return;
            }
        };
        eprintln!(
            "heartbeats: instances={count} ready_seen={least}..{most} message_bytes={mean} exchanges_per_second={exchanges:.2} wire_bytes_per_exchange={wire:.0} wire_bytes_per_second={:.0} cpu_us_per_second={:.0}",
            exchanges * wire,
            elapsed.as_secs_f64() * 1e6 / instance_seconds,
        );
    }
}

/// Bytes on the wire, headers included, of one call of `size` bytes with a
/// reply of the same size, over a link that is open.
fn exchange_bytes(size: usize) -> Result<u64, LinkError> {
    let authority = FleetAuthority::generate();
    let (server, inbox) = open(&authority)?;
    let (client, _unused) = open(&authority)?;
    thread::spawn(move || {
        for call in inbox {
            let body = call.body.clone();
            call.reply(body);
        }
    });
    let counter = Arc::new(AtomicU64::new(0));
    let Ok(relay) = relay(server.address(), &counter) else {
        return Err(LinkError::NoReply);
    };
    let call = || client.call(relay, vec![7; size], EXCHANGE_TIMEOUT);
    for _warm in 0..5 {
        call()?;
    }
    thread::sleep(EXCHANGE_TIMEOUT);
    let before = counter.load(Ordering::Relaxed);
    for _exchange in 0..EXCHANGES {
        call()?;
        thread::sleep(EXCHANGE_INTERVAL);
    }
    thread::sleep(EXCHANGE_TIMEOUT);
    let bytes = counter.load(Ordering::Relaxed) - before;
    client.close();
    server.close();
    Ok(bytes / EXCHANGES)
}

/// A link on a free port.
fn open(authority: &FleetAuthority) -> Result<(PeerLink, mpsc::Receiver<PeerCall>), LinkError> {
    let keys = authority.issue();
    let events = Arc::new(EventRecorder::new("bench"));
    let (inbox, calls) = mpsc::sync_channel(64);
    let options = LinkOptions {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        events: &events,
        keys: LinkKeys {
            authority: &keys.authority,
            certificate: &keys.certificate,
            key: &keys.key,
        },
    };
    Ok((PeerLink::start(&options, inbox)?, calls))
}

/// Passes datagrams between one client and `target`, and counts their bytes.
fn relay(target: SocketAddr, counter: &Arc<AtomicU64>) -> std::io::Result<SocketAddr> {
    let front = UdpSocket::bind("127.0.0.1:0")?;
    let back = UdpSocket::bind("127.0.0.1:0")?;
    back.connect(target)?;
    let address = front.local_addr()?;
    let (first_client, client) = mpsc::sync_channel(1);
    let (front_in, back_out) = (front.try_clone()?, back.try_clone()?);
    let counted = Arc::clone(counter);
    thread::spawn(move || {
        let mut buffer = vec![0; DATAGRAM_LIMIT];
        while let Ok((size, from)) = front_in.recv_from(&mut buffer) {
            let _known = first_client.try_send(from);
            counted.fetch_add(size as u64 + HEADER_BYTES, Ordering::Relaxed);
            let _lost = back_out.send(&buffer[..size]);
        }
    });
    let counted = Arc::clone(counter);
    thread::spawn(move || {
        let Ok(client) = client.recv() else {
            return;
        };
        let mut buffer = vec![0; DATAGRAM_LIMIT];
        while let Ok(size) = back.recv(&mut buffer) {
            counted.fetch_add(size as u64 + HEADER_BYTES, Ordering::Relaxed);
            let _lost = front.send_to(&buffer[..size], client);
        }
    });
    Ok(address)
}

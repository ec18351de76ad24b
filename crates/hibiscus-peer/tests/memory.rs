//! Memory of kept connections, alone in its process so that it can be measured.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use hibiscus_peer::PinSet;
use hibiscus_peer::PinnedCall;
use hibiscus_peer::PinnedKeys;
use hibiscus_peer::PinnedLink;
use tokio::sync::mpsc;

/// Timeout of a call.
const LIMIT: Duration = Duration::from_secs(10);
/// Connections that are open at the first measurement of memory.
const WARM_COUNT: u8 = 4;
/// Connections that are open at the second measurement.
const KEPT_COUNT: u8 = 60;
/// Memory limit for both ends of a connection, in bytes. A tenth of 88 MB is
/// available for 64 outgoing and as many incoming connections, so each end may
/// take some 64 KB.
const BOTH_ENDS_LIMIT: usize = 128 * 1024;
/// Bytes of a page.
const PAGE_BYTES: usize = 4_096;

/// Resident memory of this process, in bytes.
fn resident() -> usize {
    let sizes = fs::read_to_string("/proc/self/statm").expect("the sizes of this process");
    let pages = sizes.split(' ').nth(1).expect("the resident pages");
    pages.parse::<usize>().expect("a number") * PAGE_BYTES
}

/// Opens a link of the fleet `pins` on all loopback addresses.
fn open(pins: &PinSet) -> (PinnedLink, u16, mpsc::Receiver<PinnedCall>) {
    let socket = std::net::UdpSocket::bind("0.0.0.0:0").expect("a free port");
    let address = socket.local_addr().expect("an address");
    drop(socket);
    let keys = PinnedKeys::generate().expect("keys");
    pins.insert(keys.pin());
    let (inbox, calls) = mpsc::channel(8);
    let link = PinnedLink::open(address, &keys, pins, inbox).expect("a link");
    (link, address.port(), calls)
}

// Guards against: each end of a connection allocated hundreds of kilobytes for
// streams that were never opened, and processes were killed for lack of memory.
#[test]
fn kept_connections_to_a_whole_fleet_fit_a_small_machine() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let pins = PinSet::default();
        let (own, _port, _calls) = open(&pins);
        let (_other, port, mut calls) = open(&pins);
        tokio::spawn(async move {
            while let Some(call) = calls.recv().await {
                call.reply(Vec::new());
            }
        });
        let mut before = 0;
        for host in 1..=KEPT_COUNT {
            let peer = SocketAddr::from(([127, 0, 0, host], port));
            let reply = own.call(peer, b"abc", LIMIT).await;
            assert_eq!(reply.as_deref(), Some(&b""[..]));
            if host == WARM_COUNT {
                before = resident();
            }
        }
        let counts = own.counts();
        assert_eq!(counts.open_out, u64::from(KEPT_COUNT), "{counts:?}");
        let counted = usize::from(KEPT_COUNT - WARM_COUNT);
        let taken = resident().saturating_sub(before) / counted;
        assert!(taken <= BOTH_ENDS_LIMIT, "{taken} bytes a connection");
    });
}

//! The link between instances that pin each other's certificates.

use std::net::SocketAddr;
use std::time::Duration;

use hibiscus_peer::PinSet;
use hibiscus_peer::PinnedCall;
use hibiscus_peer::PinnedKeys;
use hibiscus_peer::PinnedLink;
use tokio::sync::mpsc;

const LIMIT: Duration = Duration::from_secs(5);

/// A process with its pins, link and port.
struct TestPeer {
    keys: PinnedKeys,
    pins: PinSet,
    link: PinnedLink,
    address: SocketAddr,
}

/// Opens a link that replies to each call with its reversed body.
fn open() -> TestPeer {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address = socket.local_addr().expect("an address");
    drop(socket);
    let keys = PinnedKeys::generate().expect("keys");
    let pins = PinSet::default();
    let (inbox, mut calls) = mpsc::channel::<PinnedCall>(8);
    let link = PinnedLink::open(address, &keys, &pins, inbox).expect("a link");
    tokio::spawn(async move {
        while let Some(call) = calls.recv().await {
            let mut body = call.body.clone();
            body.reverse();
            call.reply(body);
        }
    });
    TestPeer {
        keys,
        pins,
        link,
        address,
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(test);
}

#[test]
fn instances_that_pin_each_other_reply() {
    run(async {
        let (first, second) = (open(), open());
        first.pins.insert(second.keys.pin());
        second.pins.insert(first.keys.pin());
        let reply = first.link.call(second.address, b"abc", LIMIT).await;
        assert_eq!(reply.as_deref(), Some(&b"cba"[..]));
    });
}

// Guards against: small windows and limits of the link truncate messages.
#[test]
fn messages_of_up_to_64_kilobytes_arrive_and_larger_ones_do_not() {
    run(async {
        let (first, second) = (open(), open());
        first.pins.insert(second.keys.pin());
        second.pins.insert(first.keys.pin());
        let largest = vec![7; 64 * 1024];
        let reply = first.link.call(second.address, &largest, LIMIT).await;
        assert_eq!(reply.as_deref(), Some(&largest[..]));
        let larger = vec![7; 64 * 1024 + 1];
        assert_eq!(first.link.call(second.address, &larger, LIMIT).await, None);
    });
}

#[test]
fn a_process_that_is_not_announced_receives_no_reply() {
    run(async {
        let (first, second) = (open(), open());
        first.pins.insert(second.keys.pin());
        let unknown_caller = first.link.call(second.address, b"abc", LIMIT).await;
        assert_eq!(unknown_caller, None);
        let unknown_callee = second.link.call(first.address, b"abc", LIMIT).await;
        assert_eq!(unknown_callee, None);
    });
}

#[test]
fn a_process_that_was_removed_can_no_longer_connect() {
    run(async {
        let (first, second) = (open(), open());
        first.pins.insert(second.keys.pin());
        second.pins.insert(first.keys.pin());
        second.pins.remove(&first.keys.pin());
        assert_eq!(first.link.call(second.address, b"abc", LIMIT).await, None);
    });
}

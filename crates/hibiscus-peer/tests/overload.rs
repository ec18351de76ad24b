//! The link between instances that are too slow: handshakes are counted, not
//! timed.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use hibiscus_peer::PinSet;
use hibiscus_peer::PinnedCall;
use hibiscus_peer::PinnedKeys;
use hibiscus_peer::PinnedLink;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::sync::watch;

/// Time of a call that is answered.
const LIMIT: Duration = Duration::from_secs(10);
/// Time of a call that is not.
const SHORT_LIMIT: Duration = Duration::from_millis(30);
/// Pause between two looks at what another task does.
const LOOK_PAUSE: Duration = Duration::from_millis(5);
/// Largest datagram.
const DATAGRAM_BYTES: usize = 2_048;

/// A process with its pins, link, port and received calls.
struct TestPeer {
    keys: PinnedKeys,
    pins: PinSet,
    link: PinnedLink,
    address: SocketAddr,
    calls: mpsc::Receiver<PinnedCall>,
}

impl TestPeer {
    fn open() -> Self {
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let address = socket.local_addr().expect("an address");
        drop(socket);
        let keys = PinnedKeys::generate().expect("keys");
        let pins = PinSet::default();
        let (inbox, calls) = mpsc::channel(256);
        let link = PinnedLink::open(address, &keys, &pins, inbox).expect("a link");
        Self {
            keys,
            pins,
            link,
            address,
            calls,
        }
    }

    fn know(&self, other: &Self) {
        self.pins.insert(other.keys.pin());
        other.pins.insert(self.keys.pin());
    }

    /// Answers each call with its own body from now on; the link stays.
    fn echo(self) -> PinnedLink {
        let mut calls = self.calls;
        tokio::spawn(async move {
            while let Some(call) = calls.recv().await {
                let body = call.body.clone();
                call.reply(body);
            }
        });
        self.link
    }
}

/// Passes datagrams between one link and a peer that can be exchanged, and
/// keeps them back while it is shut.
struct TestRelay {
    address: SocketAddr,
    open: watch::Sender<bool>,
    target: watch::Sender<SocketAddr>,
}

impl TestRelay {
    async fn start(target: SocketAddr, open: bool) -> Self {
        let outer = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        let inner = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        let address = outer.local_addr().expect("an address");
        let (open, opened) = watch::channel(open);
        let (target, aimed) = watch::channel(target);
        tokio::spawn(pass(outer, inner, opened, aimed));
        Self {
            address,
            open,
            target,
        }
    }
}

/// Passes datagrams for as long as the relay stands.
async fn pass(
    outer: UdpSocket,
    inner: UdpSocket,
    mut opened: watch::Receiver<bool>,
    aimed: watch::Receiver<SocketAddr>,
) {
    let mut kept = VecDeque::new();
    let mut client = None;
    let (mut out, mut back) = ([0; DATAGRAM_BYTES], [0; DATAGRAM_BYTES]);
    loop {
        tokio::select! {
            received = outer.recv_from(&mut out) => {
                let Ok((length, from)) = received else {
                    continue;
                };
                client = Some(from);
                kept.push_back(out[..length].to_vec());
            }
            received = inner.recv_from(&mut back) => {
                let Ok((length, from)) = received else {
                    continue;
                };
                let Some(client) = client.filter(|_client| from == *aimed.borrow()) else {
                    continue;
                };
                let _sent = outer.send_to(&back[..length], client).await;
            }
            changed = opened.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
        if !*opened.borrow() {
            continue;
        }
        for datagram in kept.drain(..) {
            let target = *aimed.borrow();
            let _sent = inner.send_to(&datagram, target).await;
        }
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(test);
}

// Guards against: a late reply dropped the connection, and each question of a
// slow fleet paid a handshake.
#[test]
fn a_peer_that_answers_late_costs_no_new_connection() {
    run(async {
        let (own, mut slow) = (TestPeer::open(), TestPeer::open());
        own.know(&slow);
        let (first, ()) = tokio::join!(own.link.call(slow.address, b"first", LIMIT), async {
            let call = slow.calls.recv().await.expect("a call");
            call.reply(b"now".to_vec());
        });
        assert_eq!(first.as_deref(), Some(&b"now"[..]));
        for _call in 0..30 {
            let late = own.link.call(slow.address, b"late", SHORT_LIMIT).await;
            assert_eq!(late, None);
        }
        let (address, link) = (slow.address, slow.echo());
        let reply = own.link.call(address, b"last", LIMIT).await;
        assert_eq!(reply.as_deref(), Some(&b"last"[..]));
        let counts = own.link.counts();
        assert_eq!(counts.calls_late, 30, "{counts:?}");
        assert_eq!(counts.handshakes_begun, 1, "{counts:?}");
        assert_eq!(link.counts().handshakes_accepted, 1);
    });
}

// Guards against: a slow process gave tokens away to callers that had left,
// and the tokens were lost.
#[test]
fn a_call_whose_caller_left_is_known_to_be_unwanted() {
    run(async {
        let (own, mut slow) = (TestPeer::open(), TestPeer::open());
        own.know(&slow);
        let (reply, received) = tokio::join!(
            own.link.call(slow.address, b"abc", SHORT_LIMIT),
            slow.calls.recv(),
        );
        assert_eq!(reply, None);
        let call = received.expect("a call");
        for _look in 0..1_000 {
            if !call.is_caller_waiting() {
                break;
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        assert!(
            !call.is_caller_waiting(),
            "the caller is not known to have left"
        );
        let (reply, wanted) = tokio::join!(own.link.call(slow.address, b"abc", LIMIT), async {
            let call = slow.calls.recv().await.expect("a call");
            let wanted = call.is_caller_waiting();
            call.reply(b"now".to_vec());
            wanted
        });
        assert!(wanted, "a caller that waits was taken for gone");
        assert_eq!(reply.as_deref(), Some(&b"now"[..]));
    });
}

// Guards against: a handshake ran inside the time of one call, was thrown away
// with it, and the next call began another.
#[test]
fn a_peer_that_is_slow_to_accept_costs_one_handshake() {
    run(async {
        let (own, slow) = (TestPeer::open(), TestPeer::open());
        own.know(&slow);
        let relay = TestRelay::start(slow.address, false).await;
        let link = slow.echo();
        for _round in 0..3 {
            let mut waiting = Vec::new();
            for _call in 0..20 {
                let (link, address) = (own.link.clone(), relay.address);
                waiting.push(tokio::spawn(async move {
                    link.call(address, b"early", SHORT_LIMIT).await
                }));
            }
            for call in waiting {
                assert_eq!(call.await.expect("the call ends"), None);
            }
        }
        relay.open.send_replace(true);
        let reply = own.link.call(relay.address, b"abc", LIMIT).await;
        assert_eq!(reply.as_deref(), Some(&b"abc"[..]));
        let counts = own.link.counts();
        assert_eq!(counts.handshakes_begun, 1, "{counts:?}");
        assert_eq!(link.counts().handshakes_accepted, 1);
    });
}

// Guards against: each call to a peer that refuses the connection paid a
// handshake on both sides.
#[test]
fn a_peer_that_refuses_is_not_asked_anew_by_each_call() {
    run(async {
        let (own, other) = (TestPeer::open(), TestPeer::open());
        own.pins.insert(other.keys.pin());
        for _call in 0..200 {
            let refused = own.link.call(other.address, b"abc", SHORT_LIMIT).await;
            assert_eq!(refused, None);
        }
        let counts = own.link.counts();
        // The pauses of ten attempts add up to more than 200 calls can last.
        assert!(counts.handshakes_begun <= 10, "{counts:?}");
    });
}

// Guards against: a process that was replaced at its address without a word
// was asked over the connection of its predecessor until that ended.
#[test]
fn a_peer_that_was_replaced_at_its_address_is_reached_again() {
    run(async {
        let (own, first, second) = (TestPeer::open(), TestPeer::open(), TestPeer::open());
        own.know(&first);
        own.know(&second);
        let relay = TestRelay::start(first.address, true).await;
        let replaced = second.address;
        let _links = (first.echo(), second.echo());
        let reply = own.link.call(relay.address, b"one", LIMIT).await;
        assert_eq!(reply.as_deref(), Some(&b"one"[..]));
        relay.target.send_replace(replaced);
        let mut reply = None;
        for _call in 0..200 {
            reply = own.link.call(relay.address, b"two", SHORT_LIMIT).await;
            if reply.is_some() {
                break;
            }
        }
        assert_eq!(reply.as_deref(), Some(&b"two"[..]));
    });
}

// Guards against: connections to all peers of a large fleet were kept at once.
#[test]
fn connections_that_are_kept_are_bounded() {
    run(async {
        let own = TestPeer::open();
        let mut links = Vec::new();
        for _peer in 0..70 {
            let other = TestPeer::open();
            own.know(&other);
            let address = other.address;
            links.push(other.echo());
            let reply = own.link.call(address, b"abc", LIMIT).await;
            assert_eq!(reply.as_deref(), Some(&b"abc"[..]));
        }
        let counts = own.link.counts();
        assert!(counts.open_out <= 64, "{counts:?}");
    });
}

// Guards against: a process that many peers reach for at once worked on all
// their handshakes together, and none was done before its peer gave up.
#[test]
fn handshakes_of_peers_beyond_a_bound_are_refused_unread() {
    run(async {
        let busy = TestPeer::open();
        let sink = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        let target = sink.local_addr().expect("an address");
        let mut senders = Vec::new();
        for _peer in 0..40 {
            let other = TestPeer::open();
            busy.know(&other);
            let call = other.link.call(target, b"abc", SHORT_LIMIT);
            let mut datagram = [0; DATAGRAM_BYTES];
            let (reply, received) = tokio::join!(call, sink.recv_from(&mut datagram));
            let (length, _from) = received.expect("a first datagram");
            assert_eq!(reply, None);
            let sender = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
            // The peer's next datagrams do not come, so its handshake stays.
            let sent = sender.send_to(&datagram[..length], busy.address).await;
            assert!(sent.is_ok(), "{sent:?}");
            senders.push((sender, other));
            while sink.try_recv_from(&mut datagram).is_ok() {}
        }
        let mut counts = busy.link.counts();
        while counts.handshakes_accepted + counts.handshakes_refused < 40 {
            tokio::time::sleep(LOOK_PAUSE).await;
            counts = busy.link.counts();
        }
        assert!(counts.handshakes_accepted <= 16, "{counts:?}");
    });
}

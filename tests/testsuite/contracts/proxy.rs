//! The fault proxies: each fault in each direction.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::thread;
use std::time::Duration;

use hibiscus_support::proxy::LinkDirection;
use hibiscus_support::proxy::LinkFaults;
use hibiscus_support::proxy::TcpProxy;
use hibiscus_support::proxy::UdpProxy;

use crate::contracts::ContractRow;
use crate::contracts::run_table;

/// Time after which bytes that must come count as lost.
const ARRIVAL_LIMIT: Duration = Duration::from_secs(10);
/// Time in which bytes that are kept back must not come.
const QUIET_TIME: Duration = Duration::from_millis(200);
/// Datagrams that may be reordered; the number of those that follow.
const FILLER: u8 = 20;
/// Datagrams after which a kept one must have come.
const SEND_LIMIT: u32 = 100;
/// Both directions.
const DIRECTIONS: [LinkDirection; 2] = [LinkDirection::Forward, LinkDirection::Back];

/// Starts a TCP server that sends back what it receives.
fn start_echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the port opens");
    let address = listener.local_addr().expect("the port has an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || echo(stream));
        }
    });
    address
}

fn echo(mut stream: TcpStream) {
    let mut buffer = [0; 1024];
    while let Ok(read) = stream.read(&mut buffer) {
        if read == 0 || stream.write_all(&buffer[..read]).is_err() {
            return;
        }
    }
}

fn start_tcp() -> TcpProxy {
    TcpProxy::start(start_echo())
}

fn connect(proxy: &TcpProxy) -> TcpStream {
    let stream = TcpStream::connect(proxy.address()).expect("the proxy accepts");
    stream
        .set_read_timeout(Some(ARRIVAL_LIMIT))
        .expect("the timeout is set");
    stream
}

/// What comes back for `text`, up to its length; shorter when it ends early.
fn exchange(stream: &mut TcpStream, text: &str) -> String {
    // A cut connection may refuse the bytes.
    let _cut = stream.write_all(text.as_bytes());
    let mut received = Vec::new();
    let mut limited = stream.take(text.len() as u64);
    let _cut = limited.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}

#[test]
fn the_tcp_proxy_causes_each_fault_in_each_direction() {
    let rows: [ContractRow<TcpProxy>; 5] = [
        ContractRow {
            name: "without faults, bytes pass in both directions",
            check: |proxy| assert_eq!(exchange(&mut connect(proxy), "hello"), "hello"),
        },
        ContractRow {
            name: "a cut ends open connections and new ones, until it heals",
            check: |proxy| {
                let mut open = connect(proxy);
                assert_eq!(exchange(&mut open, "hello"), "hello");
                proxy.set_cut(true);
                assert_eq!(exchange(&mut open, "hello"), "");
                assert_eq!(exchange(&mut connect(proxy), "hello"), "");
                proxy.set_cut(false);
                assert_eq!(exchange(&mut connect(proxy), "hello"), "hello");
            },
        },
        ContractRow {
            name: "held bytes come once the fault is lifted",
            check: |proxy| {
                for direction in DIRECTIONS {
                    proxy.set_faults(
                        direction,
                        LinkFaults {
                            hold: true,
                            ..LinkFaults::default()
                        },
                    );
                    let mut stream = connect(proxy);
                    stream.write_all(b"hello").expect("the bytes leave");
                    stream
                        .set_read_timeout(Some(QUIET_TIME))
                        .expect("the timeout is set");
                    assert!(stream.read(&mut [0; 8]).is_err(), "{direction:?}");
                    proxy.set_faults(direction, LinkFaults::default());
                    stream
                        .set_read_timeout(Some(ARRIVAL_LIMIT))
                        .expect("the timeout is set");
                    let mut received = [0; 5];
                    stream.read_exact(&mut received).expect("the bytes come");
                    assert_eq!(&received, b"hello");
                }
            },
        },
        ContractRow {
            name: "a direction closes after its bytes, the other stays",
            check: |proxy| {
                for direction in DIRECTIONS {
                    proxy.set_faults(
                        direction,
                        LinkFaults {
                            close_after: Some(3),
                            ..LinkFaults::default()
                        },
                    );
                    assert_eq!(
                        exchange(&mut connect(proxy), "hello"),
                        "hel",
                        "{direction:?}"
                    );
                    proxy.set_faults(direction, LinkFaults::default());
                }
            },
        },
        ContractRow {
            name: "delayed bytes come whole, and a new target serves new connections",
            check: |proxy| {
                for direction in DIRECTIONS {
                    proxy.set_faults(
                        direction,
                        LinkFaults {
                            delay: Duration::from_millis(50),
                            ..LinkFaults::default()
                        },
                    );
                }
                assert_eq!(exchange(&mut connect(proxy), "hello"), "hello");
                proxy.set_target(start_echo());
                assert_eq!(exchange(&mut connect(proxy), "again"), "again");
            },
        },
    ];
    run_table(&rows, start_tcp);
}

/// A UDP proxy with the sockets on both sides of it.
struct UdpPair {
    proxy: UdpProxy,
    client: UdpSocket,
    target: UdpSocket,
}

fn bind() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("the port opens");
    socket
        .set_read_timeout(Some(ARRIVAL_LIMIT))
        .expect("the timeout is set");
    socket
}

fn start_udp() -> UdpPair {
    let target = bind();
    let address = target.local_addr().expect("the port has an address");
    UdpPair {
        proxy: UdpProxy::start(address, 7),
        client: bind(),
        target,
    }
}

impl UdpPair {
    fn send(&self, number: u8) {
        self.client
            .send_to(&[number], self.proxy.address())
            .expect("the datagram leaves");
    }

    /// The datagrams that reach the target, up to `count`.
    fn receive(&self, count: usize, limit: Duration) -> Vec<u8> {
        self.target
            .set_read_timeout(Some(limit))
            .expect("the timeout is set");
        let mut numbers = Vec::new();
        let mut buffer = [0; 8];
        while numbers.len() < count {
            let Ok((_size, _from)) = self.target.recv_from(&mut buffer) else {
                break;
            };
            numbers.push(buffer[0]);
        }
        numbers
    }

    fn set(&self, faults: LinkFaults) {
        self.proxy.set_faults(LinkDirection::Forward, faults);
    }
}

#[test]
fn the_udp_proxy_causes_each_fault() {
    let rows: [ContractRow<UdpPair>; 5] = [
        ContractRow {
            name: "without faults, datagrams pass in both directions",
            check: |pair| {
                pair.send(1);
                let mut buffer = [0; 8];
                let (_size, from) = pair.target.recv_from(&mut buffer).expect("it comes");
                pair.target.send_to(&[2], from).expect("the reply leaves");
                let (_size, _from) = pair.client.recv_from(&mut buffer).expect("it comes");
                assert_eq!(buffer[0], 2);
            },
        },
        ContractRow {
            name: "a cut loses datagrams for good",
            check: |pair| {
                pair.proxy.set_cut(true);
                pair.send(1);
                assert!(pair.receive(1, QUIET_TIME).is_empty());
                pair.proxy.set_cut(false);
                pair.send(2);
                assert_eq!(pair.receive(1, ARRIVAL_LIMIT), [2]);
            },
        },
        ContractRow {
            name: "a drop share of one loses every datagram of its direction",
            check: |pair| {
                pair.set(LinkFaults {
                    drop_share: 1.0,
                    ..LinkFaults::default()
                });
                pair.send(1);
                assert!(pair.receive(1, QUIET_TIME).is_empty());
            },
        },
        ContractRow {
            name: "held datagrams come behind the next one",
            check: |pair| {
                pair.set(LinkFaults {
                    hold: true,
                    ..LinkFaults::default()
                });
                pair.send(1);
                pair.send(2);
                assert!(pair.receive(1, QUIET_TIME).is_empty());
                pair.set(LinkFaults::default());
                pair.send(3);
                let mut received = pair.receive(3, ARRIVAL_LIMIT);
                assert_eq!(received[0], 3);
                received.sort_unstable();
                assert_eq!(received, [1, 2, 3]);
            },
        },
        ContractRow {
            name: "a reorder share swaps datagrams and loses none",
            check: |pair| {
                pair.set(LinkFaults {
                    reorder_share: 0.5,
                    ..LinkFaults::default()
                });
                for number in 0..FILLER {
                    pair.send(number);
                }
                // The last ones may be kept until another datagram follows.
                let mut received = Vec::new();
                let mut sent = 0;
                while received.len() < usize::from(FILLER) {
                    sent += 1;
                    assert!(sent < SEND_LIMIT, "datagrams are lost: {received:?}");
                    pair.send(FILLER);
                    let numbers = pair.receive(2, QUIET_TIME);
                    received.extend(numbers.into_iter().filter(|number| *number < FILLER));
                }
                assert!(!received.is_sorted(), "{received:?}");
                received.sort_unstable();
                assert_eq!(received, (0..FILLER).collect::<Vec<u8>>());
            },
        },
    ];
    run_table(&rows, start_udp);
}

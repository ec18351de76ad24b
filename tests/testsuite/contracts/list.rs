//! The instance list: versions, long polls, views, lag and outage.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use hibiscus_clients::list::InstanceList;
use hibiscus_clients::list::ListClient;
use hibiscus_clients::list::ListError;
use hibiscus_clients::list::ListedInstance;
use hibiscus_clients::list::ListedServer;
use hibiscus_clients::list::ListedState;
use hibiscus_support::ListStandin;

use crate::contracts::ContractRow;
use crate::contracts::run_table;

/// Time beyond its wait after which the client gives a read up.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Wait of a read that must return early.
const LONG_WAIT: Duration = Duration::from_secs(20);
/// Lag of the lagging list.
const LAG: Duration = Duration::from_secs(2);

/// A stand-in and its client.
struct ListPair {
    standin: ListStandin,
    client: ListClient,
}

fn start() -> ListPair {
    start_lagging(Duration::ZERO)
}

fn start_lagging(lag: Duration) -> ListPair {
    let standin = ListStandin::start(lag);
    let client = ListClient::new(&standin.url(), READ_TIMEOUT);
    ListPair { standin, client }
}

impl ListPair {
    fn read(&self) -> InstanceList {
        self.client
            .read(u64::MAX, Duration::ZERO)
            .expect("the list answers")
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn instance(name: &str) -> ListedInstance {
    ListedInstance {
        name: name.into(),
        data_centre: "regina".into(),
        region: "prairie".into(),
        callers: address(1),
        operators: address(2),
        peers: address(3),
        state: ListedState::Live,
    }
}

fn server(name: &str) -> ListedServer {
    ListedServer {
        name: name.into(),
        service: "stylist-llm".into(),
        data_centre: "regina".into(),
        address: address(4),
        state: ListedState::Live,
    }
}

#[test]
fn the_instance_list_and_its_client_keep_one_contract() {
    let rows: [ContractRow<ListPair>; 7] = [
        ContractRow {
            name: "an empty list has version 0",
            check: |list| assert_eq!(list.read(), InstanceList::default()),
        },
        ContractRow {
            name: "instances and servers come back as listed, and a change is a new version",
            check: |list| {
                list.standin.put_instance(instance("router-1"));
                list.standin.put_server(server("engine-1"));
                let read = list.read();
                assert_eq!(read.version, 2);
                assert_eq!(read.instances, [instance("router-1")]);
                assert_eq!(read.servers, [server("engine-1")]);
            },
        },
        ContractRow {
            name: "listing a name again replaces it",
            check: |list| {
                list.standin.put_instance(instance("router-1"));
                let moved = ListedInstance {
                    callers: address(9),
                    ..instance("router-1")
                };
                list.standin.put_instance(moved.clone());
                assert_eq!(list.read().instances, [moved]);
            },
        },
        ContractRow {
            name: "a removed name is gone and a leaving server stays, marked",
            check: |list| {
                list.standin.put_instance(instance("router-1"));
                list.standin.put_server(server("engine-1"));
                list.standin.remove_instance(&"router-1".into());
                list.standin.mark_leaving(&"engine-1".into());
                let read = list.read();
                assert!(read.instances.is_empty());
                assert_eq!(read.servers[0].state, ListedState::Leaving);
                list.standin.remove_server(&"engine-1".into());
                assert!(list.read().servers.is_empty());
            },
        },
        ContractRow {
            name: "a read of the present version waits for the next",
            check: |list| {
                let client = list.client.clone();
                let reader = thread::spawn(move || client.read(0, LONG_WAIT));
                list.standin.put_instance(instance("router-1"));
                let read = reader.join().expect("the reader ends");
                assert_eq!(read.expect("the list answers").version, 1);
            },
        },
        ContractRow {
            name: "a viewer sees its own address of a peer, others the listed one",
            check: |list| {
                list.standin.put_instance(instance("router-1"));
                list.standin
                    .set_view("router-2", &"router-1".into(), address(77));
                let seen = |viewer: &str| {
                    let client = ListClient::new(&list.standin.view_url(viewer), READ_TIMEOUT);
                    let read = client.read(u64::MAX, Duration::ZERO);
                    read.expect("the list answers").instances[0].peers
                };
                assert_eq!(seen("router-2"), address(77));
                assert_eq!(seen("router-3"), address(3));
                assert_eq!(list.read().instances[0].peers, address(3));
            },
        },
        ContractRow {
            name: "an outage refuses reads and keeps the list",
            check: |list| {
                list.standin.put_instance(instance("router-1"));
                list.standin.set_outage(true);
                let read = list.client.read(0, Duration::ZERO);
                assert!(matches!(read, Err(ListError::Unavailable { status: 503 })));
                list.standin.set_outage(false);
                assert_eq!(list.read().version, 1);
            },
        },
    ];
    run_table(&rows, start);
}

#[test]
fn a_lagging_list_shows_a_change_late() {
    let list = start_lagging(LAG);
    list.standin.put_instance(instance("router-1"));
    let read = list.client.read(0, LONG_WAIT).expect("the list answers");
    assert_eq!(read.instances, [instance("router-1")]);
}

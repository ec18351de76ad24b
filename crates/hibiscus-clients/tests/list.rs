//! The client of the instance list against its stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use hibiscus_clients::list::InstanceList;
use hibiscus_clients::list::ListChanges;
use hibiscus_clients::list::ListClient;
use hibiscus_clients::list::ListedInstance;
use hibiscus_clients::list::ListedServer;
use hibiscus_clients::list::ListedState;
use hibiscus_support::ListStandin;

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn server(name: &str, state: ListedState) -> ListedServer {
    ListedServer {
        name: name.into(),
        service: "stylist-llm".into(),
        data_centre: "regina".into(),
        address: address(),
        state,
    }
}

fn instance(name: &str) -> ListedInstance {
    ListedInstance {
        name: name.into(),
        data_centre: "regina".into(),
        region: "prairie".into(),
        callers: address(),
        operators: address(),
        peers: address(),
        state: ListedState::Live,
    }
}

/// `list` without the order of its rows.
fn sorted(mut list: InstanceList) -> InstanceList {
    list.instances.sort_by(|a, b| a.name.cmp(&b.name));
    list.servers.sort_by(|a, b| a.name.cmp(&b.name));
    list
}

#[test]
fn a_followed_list_stays_equal_to_the_whole_list() {
    let standin = ListStandin::start(Duration::ZERO);
    let client = ListClient::new(&standin.url(), Duration::from_secs(5));
    let mut followed = InstanceList::default();
    let steps: [&dyn Fn(); 7] = [
        &|| standin.put_instance(instance("router-1")),
        &|| standin.put_server(server("engine-1", ListedState::Live)),
        &|| standin.put_server(server("engine-2", ListedState::Live)),
        &|| standin.mark_leaving(&"engine-1".into()),
        &|| standin.remove_server(&"engine-1".into()),
        &|| standin.remove_instance(&"router-1".into()),
        &|| standin.put_instance(instance("router-2")),
    ];
    for step in steps {
        step();
        let changed = client.follow(&mut followed, Duration::ZERO);
        assert!(changed.expect("the list answers"));
        let whole = client.read(0, Duration::ZERO).expect("the list answers");
        assert_eq!(sorted(followed.clone()), sorted(whole));
    }
    let same = client.follow(&mut followed, Duration::ZERO);
    assert!(!same.expect("the list answers"));
    // Many changes later, the platform no longer knows what changed.
    for number in 0..40 {
        standin.put_server(server(&format!("engine-{number}"), ListedState::Live));
    }
    let changed = client.follow(&mut followed, Duration::ZERO);
    assert!(changed.expect("the list answers"));
    assert_eq!(followed.servers.len(), 40);
}

#[test]
fn a_change_costs_its_own_bytes_and_not_those_of_the_list() {
    let standin = ListStandin::start(Duration::ZERO);
    let client = ListClient::new(&standin.url(), Duration::from_secs(5));
    for number in 0..500 {
        standin.put_server(server(&format!("engine-{number:03}"), ListedState::Live));
    }
    let mut followed = InstanceList::default();
    let changed = client.follow(&mut followed, Duration::ZERO);
    assert!(changed.expect("the list answers"));
    let before = standin.bytes();
    standin.mark_leaving(&"engine-007".into());
    let changed = client.follow(&mut followed, Duration::ZERO);
    assert!(changed.expect("the list answers"));
    assert!(standin.bytes() - before < 500);
    let held = followed
        .servers
        .iter()
        .find(|held| held.name.as_str() == "engine-007");
    assert_eq!(held.map(|held| held.state), Some(ListedState::Leaving));
}

#[test]
fn changes_after_another_version_are_not_taken() {
    let mut list = InstanceList {
        version: 4,
        ..InstanceList::default()
    };
    let changes = ListChanges {
        version: 9,
        changed_after: Some(7),
        servers: vec![server("engine-1", ListedState::Live)],
        ..ListChanges::default()
    };
    assert!(!list.apply(changes));
    assert_eq!(list.version, 4);
}

//! Tests which servers stay in the registry while the store is lost and returns.

use std::time::Duration;

use hibiscus_traffic::model::ServerEntry;
use hibiscus_traffic::model::ServerPhase;
use hibiscus_traffic::server_registry::ENTRY_RETURN_TIME;
use hibiscus_traffic::server_registry::RegistryChange;
use hibiscus_traffic::server_registry::ServerRegistry;
use hibiscus_types::ServerName;

fn server(name: &str, phase: ServerPhase) -> ServerEntry {
    ServerEntry {
        name: ServerName::from(name),
        service: "models".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: "a".into(),
        phase,
        slots: 8,
        started: 1,
        software: "v1".into(),
    }
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A registry that lost the store and read it again at `returned`.
fn returned_at(returned: Duration) -> ServerRegistry {
    let mut registry = ServerRegistry::default();
    registry.put(server("i-1", ServerPhase::Serving));
    registry.note_store_lost();
    registry.note_store_read(returned);
    registry
}

#[test]
fn a_removed_entry_is_dropped_at_once_while_the_store_is_reachable() {
    let mut registry = ServerRegistry::default();
    registry.put(server("i-1", ServerPhase::Serving));
    let gone = registry.remove(&"i-1".into(), at(5_000));
    assert_eq!(gone, Some(RegistryChange::Gone("i-1".into())));
}

#[test]
fn an_entry_that_expired_during_an_outage_has_time_to_return() {
    let mut registry = returned_at(at(10_000));
    assert_eq!(registry.remove(&"i-1".into(), at(10_100)), None);
    assert!(
        registry
            .expire(at(10_000) + ENTRY_RETURN_TIME - at(1))
            .is_empty()
    );
    let gone = registry.expire(at(10_000) + ENTRY_RETURN_TIME);
    assert_eq!(gone, [RegistryChange::Gone("i-1".into())]);
}

#[test]
fn an_entry_that_returns_stays() {
    let mut registry = returned_at(at(10_000));
    registry.remove(&"i-1".into(), at(10_100));
    registry.put(server("i-1", ServerPhase::Serving));
    assert!(registry.expire(at(20_000)).is_empty());
}

#[test]
fn a_draining_server_is_removed_at_once_after_an_outage() {
    let mut registry = ServerRegistry::default();
    registry.put(server("i-1", ServerPhase::Leaving));
    registry.note_store_lost();
    registry.note_store_read(at(10_000));
    assert!(registry.remove(&"i-1".into(), at(10_100)).is_some());
}

/// Guards against new requests to a draining server whose earlier entry is in a store that
/// came back from a copy (issue 39).
#[test]
fn an_earlier_entry_of_a_draining_process_does_not_end_its_draining() {
    let mut registry = ServerRegistry::default();
    registry.put(server("i-1", ServerPhase::Leaving));
    let earlier = registry.put(server("i-1", ServerPhase::Serving));
    assert_eq!(earlier, None);
    let next = ServerEntry {
        started: 2,
        ..server("i-1", ServerPhase::Serving)
    };
    assert!(registry.put(next).is_some());
}

#[test]
fn no_server_is_removed_during_an_outage() {
    let mut registry = ServerRegistry::default();
    registry.put(server("i-1", ServerPhase::Serving));
    registry.note_store_lost();
    registry.remove(&"i-1".into(), at(1_000));
    assert!(registry.expire(at(60_000)).is_empty());
}

#[test]
fn replacing_all_entries_removes_those_that_are_missing() {
    let mut registry = ServerRegistry::default();
    registry.put(server("i-1", ServerPhase::Serving));
    let changes = registry.replace(vec![server("i-2", ServerPhase::Serving)], at(9_000));
    assert!(changes.contains(&RegistryChange::Gone("i-1".into())));
    assert_eq!(changes.len(), 2);
}

#[test]
fn an_unchanged_entry_makes_no_change() {
    let mut registry = ServerRegistry::default();
    assert!(registry.put(server("i-1", ServerPhase::Serving)).is_some());
    assert!(registry.put(server("i-1", ServerPhase::Serving)).is_none());
    assert!(registry.put(server("i-1", ServerPhase::Leaving)).is_some());
}

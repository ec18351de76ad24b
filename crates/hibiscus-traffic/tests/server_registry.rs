//! Which servers may be used while the store comes and goes.

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
    }
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A roster that lost the store at once and read it again at `returned`.
fn returned_at(returned: Duration) -> ServerRegistry {
    let mut server_registry = ServerRegistry::default();
    server_registry.put(server("i-1", ServerPhase::Serving));
    server_registry.note_store_lost();
    server_registry.note_store_read(returned);
    server_registry
}

#[test]
fn a_removed_entry_is_gone_at_once_while_the_store_is_there() {
    let mut server_registry = ServerRegistry::default();
    server_registry.put(server("i-1", ServerPhase::Serving));
    let gone = server_registry.remove(&"i-1".into(), at(5_000));
    assert_eq!(gone, Some(RegistryChange::Gone("i-1".into())));
}

#[test]
fn an_entry_that_lapsed_while_the_store_was_away_has_time_to_return() {
    let mut server_registry = returned_at(at(10_000));
    assert_eq!(server_registry.remove(&"i-1".into(), at(10_100)), None);
    assert!(
        server_registry
            .expire(at(10_000) + ENTRY_RETURN_TIME - at(1))
            .is_empty()
    );
    let gone = server_registry.expire(at(10_000) + ENTRY_RETURN_TIME);
    assert_eq!(gone, [RegistryChange::Gone("i-1".into())]);
}

#[test]
fn an_entry_that_came_back_stays() {
    let mut server_registry = returned_at(at(10_000));
    server_registry.remove(&"i-1".into(), at(10_100));
    server_registry.put(server("i-1", ServerPhase::Serving));
    assert!(server_registry.expire(at(20_000)).is_empty());
}

#[test]
fn a_server_that_said_it_was_leaving_did_not_lapse() {
    let mut server_registry = ServerRegistry::default();
    server_registry.put(server("i-1", ServerPhase::Leaving));
    server_registry.note_store_lost();
    server_registry.note_store_read(at(10_000));
    assert!(server_registry.remove(&"i-1".into(), at(10_100)).is_some());
}

#[test]
fn an_absent_store_empties_nothing() {
    let mut server_registry = ServerRegistry::default();
    server_registry.put(server("i-1", ServerPhase::Serving));
    server_registry.note_store_lost();
    server_registry.remove(&"i-1".into(), at(1_000));
    assert!(server_registry.expire(at(60_000)).is_empty());
}

#[test]
fn a_new_reading_of_all_entries_drops_those_that_are_missing() {
    let mut server_registry = ServerRegistry::default();
    server_registry.put(server("i-1", ServerPhase::Serving));
    let changes = server_registry.replace(vec![server("i-2", ServerPhase::Serving)], at(9_000));
    assert!(changes.contains(&RegistryChange::Gone("i-1".into())));
    assert_eq!(changes.len(), 2);
}

#[test]
fn an_entry_that_only_grew_older_changes_nothing() {
    let mut server_registry = ServerRegistry::default();
    assert!(
        server_registry
            .put(server("i-1", ServerPhase::Serving))
            .is_some()
    );
    assert!(
        server_registry
            .put(server("i-1", ServerPhase::Serving))
            .is_none()
    );
    assert!(
        server_registry
            .put(server("i-1", ServerPhase::Leaving))
            .is_some()
    );
}

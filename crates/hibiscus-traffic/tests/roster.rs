//! Which servers may be used while the store comes and goes.

use std::time::Duration;

use hibiscus_traffic::model::ServerEntry;
use hibiscus_traffic::model::ServerPhase;
use hibiscus_traffic::roster::RETURN_TIME;
use hibiscus_traffic::roster::RosterChange;
use hibiscus_traffic::roster::ServerRoster;
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
fn returned_at(returned: Duration) -> ServerRoster {
    let mut roster = ServerRoster::default();
    roster.put(server("i-1", ServerPhase::Serving));
    roster.note_store_lost();
    roster.note_store_read(returned);
    roster
}

#[test]
fn a_removed_entry_is_gone_at_once_while_the_store_is_there() {
    let mut roster = ServerRoster::default();
    roster.put(server("i-1", ServerPhase::Serving));
    let gone = roster.remove(&"i-1".into(), at(5_000));
    assert_eq!(gone, Some(RosterChange::Gone("i-1".into())));
}

#[test]
fn an_entry_that_lapsed_while_the_store_was_away_has_time_to_return() {
    let mut roster = returned_at(at(10_000));
    assert_eq!(roster.remove(&"i-1".into(), at(10_100)), None);
    assert!(roster.expire(at(10_000) + RETURN_TIME - at(1)).is_empty());
    let gone = roster.expire(at(10_000) + RETURN_TIME);
    assert_eq!(gone, [RosterChange::Gone("i-1".into())]);
}

#[test]
fn an_entry_that_came_back_stays() {
    let mut roster = returned_at(at(10_000));
    roster.remove(&"i-1".into(), at(10_100));
    roster.put(server("i-1", ServerPhase::Serving));
    assert!(roster.expire(at(20_000)).is_empty());
}

#[test]
fn a_server_that_said_it_was_leaving_did_not_lapse() {
    let mut roster = ServerRoster::default();
    roster.put(server("i-1", ServerPhase::Leaving));
    roster.note_store_lost();
    roster.note_store_read(at(10_000));
    assert!(roster.remove(&"i-1".into(), at(10_100)).is_some());
}

#[test]
fn an_absent_store_empties_nothing() {
    let mut roster = ServerRoster::default();
    roster.put(server("i-1", ServerPhase::Serving));
    roster.note_store_lost();
    roster.remove(&"i-1".into(), at(1_000));
    assert!(roster.expire(at(60_000)).is_empty());
}

#[test]
fn a_new_reading_of_all_entries_drops_those_that_are_missing() {
    let mut roster = ServerRoster::default();
    roster.put(server("i-1", ServerPhase::Serving));
    let changes = roster.replace(vec![server("i-2", ServerPhase::Serving)], at(9_000));
    assert!(changes.contains(&RosterChange::Gone("i-1".into())));
    assert_eq!(changes.len(), 2);
}

#[test]
fn an_entry_that_only_grew_older_changes_nothing() {
    let mut roster = ServerRoster::default();
    assert!(roster.put(server("i-1", ServerPhase::Serving)).is_some());
    assert!(roster.put(server("i-1", ServerPhase::Serving)).is_none());
    assert!(roster.put(server("i-1", ServerPhase::Leaving)).is_some());
}

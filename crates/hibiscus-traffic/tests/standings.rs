//! What servers' processes have said, over entries that come and go.

use std::time::Duration;
use std::time::Instant;

use hibiscus_routing::availability::ServerOpening;
use hibiscus_traffic::model::ServerIncarnation;
use hibiscus_traffic::standings::ServerStandings;

/// Processes that leave and are gone, more than are remembered.
const MANY: u64 = 40_000;

fn start(started: u64) -> ServerIncarnation {
    ServerIncarnation {
        server: "i-1".into(),
        started,
    }
}

fn opening(standings: &mut ServerStandings, started: u64) -> ServerOpening {
    let said = standings.of(&start(started));
    let said = said.borrow();
    said.opening(Instant::now())
}

#[test]
fn news_of_a_leaving_process_hold_for_the_entry_that_comes_later() {
    let mut standings = ServerStandings::default();
    assert!(standings.note_leaving(&start(5)));
    assert!(!standings.note_leaving(&start(5)));
    assert_eq!(opening(&mut standings, 5), ServerOpening::Leaving);
}

#[test]
fn late_news_of_a_process_say_nothing_of_the_next_one() {
    let mut standings = ServerStandings::default();
    let _next = standings.of(&start(6));
    assert!(standings.note_leaving(&start(5)));
    assert_eq!(opening(&mut standings, 6), ServerOpening::Open);
    standings.note_absent(&start(5));
    assert_eq!(opening(&mut standings, 6), ServerOpening::Open);
}

#[test]
fn what_a_process_said_holds_on_while_its_entry_is_away() {
    let mut standings = ServerStandings::default();
    let said = standings.of(&start(5));
    said.borrow_mut()
        .note_refused(Some(Duration::from_secs(60)), Instant::now());
    drop(said);
    standings.note_absent(&start(5));
    let back = opening(&mut standings, 5);
    assert!(matches!(back, ServerOpening::Paused(Some(_))), "{back:?}");
}

#[test]
fn processes_without_an_entry_are_forgotten_in_the_end_and_others_are_not() {
    let mut standings = ServerStandings::default();
    let kept = standings.of(&start(0));
    kept.borrow_mut().note_leaving();
    standings.note_absent(&start(0));
    for started in 1..MANY {
        standings.note_leaving(&start(started));
    }
    assert_eq!(opening(&mut standings, 0), ServerOpening::Leaving);
    assert_eq!(opening(&mut standings, 1), ServerOpening::Open);
    assert_eq!(opening(&mut standings, MANY - 1), ServerOpening::Leaving);
}

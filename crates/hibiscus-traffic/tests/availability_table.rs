//! What servers' processes have said, over entries that come and go.

use std::time::Duration;
use std::time::Instant;

use hibiscus_routing::availability::ServerEligibility;
use hibiscus_traffic::availability_table::AvailabilityTable;
use hibiscus_traffic::model::ServerIncarnation;

/// Processes that leave and are gone, more than are remembered.
const MANY: u64 = 40_000;

fn start(started: u64) -> ServerIncarnation {
    ServerIncarnation {
        server: "i-1".into(),
        started,
    }
}

fn eligibility(availability_table: &mut AvailabilityTable, started: u64) -> ServerEligibility {
    let said = availability_table.of(&start(started));
    let said = said.borrow();
    said.eligibility(Instant::now())
}

#[test]
fn news_of_a_leaving_process_hold_for_the_entry_that_comes_later() {
    let mut availability_table = AvailabilityTable::default();
    assert!(availability_table.note_draining(&start(5)));
    assert!(!availability_table.note_draining(&start(5)));
    assert_eq!(
        eligibility(&mut availability_table, 5),
        ServerEligibility::Draining
    );
}

#[test]
fn late_news_of_a_process_say_nothing_of_the_next_one() {
    let mut availability_table = AvailabilityTable::default();
    let _next = availability_table.of(&start(6));
    assert!(availability_table.note_draining(&start(5)));
    assert_eq!(
        eligibility(&mut availability_table, 6),
        ServerEligibility::Open
    );
    availability_table.note_absent(&start(5));
    assert_eq!(
        eligibility(&mut availability_table, 6),
        ServerEligibility::Open
    );
}

#[test]
fn what_a_process_said_holds_on_while_its_entry_is_away() {
    let mut availability_table = AvailabilityTable::default();
    let said = availability_table.of(&start(5));
    said.borrow_mut()
        .note_refused(Some(Duration::from_secs(60)), Instant::now());
    drop(said);
    availability_table.note_absent(&start(5));
    let back = eligibility(&mut availability_table, 5);
    assert!(
        matches!(back, ServerEligibility::Paused(Some(_))),
        "{back:?}"
    );
}

#[test]
fn processes_without_an_entry_are_forgotten_in_the_end_and_others_are_not() {
    let mut availability_table = AvailabilityTable::default();
    let kept = availability_table.of(&start(0));
    kept.borrow_mut().note_draining();
    availability_table.note_absent(&start(0));
    for started in 1..MANY {
        availability_table.note_draining(&start(started));
    }
    assert_eq!(
        eligibility(&mut availability_table, 0),
        ServerEligibility::Draining
    );
    assert_eq!(
        eligibility(&mut availability_table, 1),
        ServerEligibility::Open
    );
    assert_eq!(
        eligibility(&mut availability_table, MANY - 1),
        ServerEligibility::Draining
    );
}

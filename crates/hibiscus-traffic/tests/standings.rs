//! What servers' processes have said, over entries that come and go.

use std::time::Duration;
use std::time::Instant;

use hibiscus_routing::availability::ServerEligibility;
use hibiscus_traffic::availability_table::AvailabilityTable;
use hibiscus_traffic::model::ServerStart;

/// Processes that leave and are gone, more than are remembered.
const MANY: u64 = 40_000;

fn start(started: u64) -> ServerStart {
    ServerStart {
        server: "i-1".into(),
        started,
    }
}

fn eligibility(table: &mut AvailabilityTable, started: u64) -> ServerEligibility {
    let said = table.get_or_insert(&start(started));
    let said = said.borrow();
    said.eligibility(Instant::now())
}

#[test]
fn news_of_a_leaving_process_hold_for_the_entry_that_comes_later() {
    let mut table = AvailabilityTable::default();
    assert!(table.note_draining(&start(5)));
    assert!(!table.note_draining(&start(5)));
    assert_eq!(eligibility(&mut table, 5), ServerEligibility::Draining);
}

#[test]
fn late_news_of_a_process_say_nothing_of_the_next_one() {
    let mut table = AvailabilityTable::default();
    let _next = table.get_or_insert(&start(6));
    assert!(table.note_draining(&start(5)));
    assert_eq!(eligibility(&mut table, 6), ServerEligibility::Open);
    table.note_entry_removed(&start(5));
    assert_eq!(eligibility(&mut table, 6), ServerEligibility::Open);
}

#[test]
fn what_a_process_said_holds_on_while_its_entry_is_away() {
    let mut table = AvailabilityTable::default();
    let said = table.get_or_insert(&start(5));
    said.borrow_mut()
        .note_refused(Some(Duration::from_secs(60)), Instant::now());
    drop(said);
    table.note_entry_removed(&start(5));
    let back = eligibility(&mut table, 5);
    assert!(
        matches!(back, ServerEligibility::Paused(Some(_))),
        "{back:?}"
    );
}

#[test]
fn processes_without_an_entry_are_forgotten_in_the_end_and_others_are_not() {
    let mut table = AvailabilityTable::default();
    let kept = table.get_or_insert(&start(0));
    kept.borrow_mut().note_draining();
    table.note_entry_removed(&start(0));
    for started in 1..MANY {
        table.note_draining(&start(started));
    }
    assert_eq!(eligibility(&mut table, 0), ServerEligibility::Draining);
    assert_eq!(eligibility(&mut table, 1), ServerEligibility::Open);
    assert_eq!(
        eligibility(&mut table, MANY - 1),
        ServerEligibility::Draining
    );
}

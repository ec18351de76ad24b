//! What the process tells of its machine.

use std::thread;
use std::time::Duration;

use hibiscus_traffic::machine::MachineUse;
use hibiscus_traffic::machine::ThresholdTrigger;
use hibiscus_traffic::tally::DrawOutcome;
use hibiscus_types::TokenCount;

#[test]
fn the_use_of_memory_is_read_from_the_system() {
    let used = MachineUse::read();
    // A test program has loaded more than 100 KiB and not 100 GiB.
    assert!(used.resident_bytes > 100 << 10);
    assert!(used.resident_bytes < 100 << 30);
}

// Guards against a clock that runs while the process does not.
#[test]
fn processor_time_grows_with_work_and_not_with_waiting() {
    let begun = MachineUse::read().processor;
    let mut worked = 0_u64;
    // Some 100 ms of work, in steps that the system's unit of 10 ms shows.
    while MachineUse::read().processor < begun + Duration::from_millis(100) {
        worked += 1;
    }
    assert!(worked > 0);
    let before = MachineUse::read().processor;
    thread::sleep(Duration::from_millis(400));
    assert!(MachineUse::read().processor < before + Duration::from_millis(400));
}

// Guards against a line for each look at a level that stays high.
#[test]
fn a_rise_is_told_once_until_the_level_was_low_again() {
    let mut watch = ThresholdTrigger::new(0.75, 0.65);
    let levels = [0.5, 0.8, 0.9, 0.7, 0.8, 0.6, 0.74, 0.75, 0.9];
    let told = levels.map(|level| watch.fires(level));
    assert_eq!(
        told,
        [false, true, false, false, false, false, false, true, false]
    );
}

#[test]
fn a_draw_is_counted_by_what_came_of_it() {
    let asked = TokenCount::new(100);
    let outcome = |granted| DrawOutcome::of(asked, TokenCount::new(granted));
    assert_eq!(outcome(0), DrawOutcome::Nothing);
    assert_eq!(outcome(1), DrawOutcome::Part);
    assert_eq!(outcome(100), DrawOutcome::Whole);
}

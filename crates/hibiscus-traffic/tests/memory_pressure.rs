//! Reaction of a process to memory pressure.

use hibiscus_traffic::memory_pressure::FULL_REQUEST_LIMIT;
use hibiscus_traffic::memory_pressure::MemoryPressure;
use hibiscus_traffic::memory_pressure::PressureGauge;

/// Memory of the smallest machines of the grown deployments.
const MEMORY: usize = 88_000_000;

/// `share` percent of the memory.
fn percent(share: usize) -> usize {
    MEMORY / 100 * share
}

// Guards against a process that accepts requests until the system kills it and
// all of them are lost.
#[test]
fn requests_are_refused_before_the_memory_is_used_up() {
    let mut gauge = PressureGauge::new(MEMORY);
    assert!(!gauge.observe(percent(30)));
    assert!(gauge.level().admits(10_000));
    assert!(gauge.observe(percent(95)));
    assert_eq!(gauge.level(), MemoryPressure::Full);
    assert!(!gauge.level().admits(FULL_REQUEST_LIMIT + 1));
}

// Guards against refusing callers while memory can be freed by dropping kept
// connections.
#[test]
fn kept_connections_are_dropped_before_callers_are_refused() {
    let mut gauge = PressureGauge::new(MEMORY);
    let mut levels = vec![gauge.level()];
    for share in 0..=100 {
        if gauge.observe(percent(share)) {
            levels.push(gauge.level());
        }
    }
    let order = [
        MemoryPressure::Calm,
        MemoryPressure::Tight,
        MemoryPressure::Full,
    ];
    assert_eq!(levels, order);
}

// Guards against a level that flaps between two checks.
#[test]
fn a_level_ends_only_well_below_the_threshold_at_which_it_began() {
    let mut gauge = PressureGauge::new(MEMORY);
    let entered = (0..=100).find(|share| {
        gauge.observe(percent(*share));
        gauge.level() == MemoryPressure::Full
    });
    let entered = entered.expect("the memory becomes full");
    assert!(!gauge.observe(percent(entered - 2)));
    assert_eq!(gauge.level(), MemoryPressure::Full);
    assert!(gauge.observe(percent(entered - 6)));
    assert!(gauge.level() < MemoryPressure::Full);
}

// Guards against a process that refuses all requests forever, because freed
// memory stays with the process.
#[test]
fn a_process_with_full_memory_and_few_requests_still_serves() {
    let mut gauge = PressureGauge::new(MEMORY);
    gauge.observe(percent(97));
    assert!(gauge.level().admits(1));
    assert!(gauge.level().admits(FULL_REQUEST_LIMIT));
}

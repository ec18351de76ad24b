//! What a process does as its memory runs out.

use hibiscus_traffic::memory_pressure::FULL_REQUESTS;
use hibiscus_traffic::memory_pressure::MemoryPressure;
use hibiscus_traffic::memory_pressure::PressureGauge;

/// Memory of the smallest machines of the grown deployments.
const MEMORY: usize = 88_000_000;

/// `share` percent of the memory.
fn percent(share: usize) -> usize {
    MEMORY / 100 * share
}

// Guards against a process that takes requests until the system kills it and
// loses all of them.
#[test]
fn requests_are_refused_before_the_memory_is_used_up() {
    let mut gauge = PressureGauge::new(MEMORY);
    assert!(!gauge.observe(percent(30)));
    assert!(gauge.level().admits(10_000));
    assert!(gauge.observe(percent(95)));
    assert_eq!(gauge.level(), MemoryPressure::Full);
    assert!(!gauge.level().admits(FULL_REQUESTS + 1));
}

// Guards against refusing callers while memory can be had by dropping what is
// only kept.
#[test]
fn kept_connections_are_given_up_before_callers_are_refused() {
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

// Guards against a level that is entered and left at each look.
#[test]
fn a_level_is_left_only_well_below_where_it_was_entered() {
    let mut gauge = PressureGauge::new(MEMORY);
    let entered = (0..=100).find(|share| {
        gauge.observe(percent(*share));
        gauge.level() == MemoryPressure::Full
    });
    let entered = entered.expect("it is full in the end");
    assert!(!gauge.observe(percent(entered - 2)));
    assert_eq!(gauge.level(), MemoryPressure::Full);
    assert!(gauge.observe(percent(entered - 6)));
    assert!(gauge.level() < MemoryPressure::Full);
}

// Guards against a process that serves nobody for ever: memory that was freed
// stays with it.
#[test]
fn a_full_process_with_little_to_do_serves_on() {
    let mut gauge = PressureGauge::new(MEMORY);
    gauge.observe(percent(97));
    assert!(gauge.level().admits(1));
    assert!(gauge.level().admits(FULL_REQUESTS));
}

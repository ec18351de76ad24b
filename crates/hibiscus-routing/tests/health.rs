//! Avoidance of servers that fail.

use std::time::Duration;
use std::time::Instant;

use hibiscus_routing::health::ServerHealth;

#[test]
fn a_failed_server_is_probed_by_one_request_after_a_growing_time() {
    let start = Instant::now();
    let mut health = ServerHealth::default();
    let mut now = start;
    for wait in [2, 4, 8, 16, 30, 30] {
        health.note_failed(now);
        let wait = Duration::from_secs(wait);
        assert!(!health.is_usable(now + wait - Duration::from_millis(1)));
        now += wait;
        assert!(health.is_usable(now));
        health.note_sent();
        assert!(!health.is_usable(now));
    }
    health.note_success();
    assert!(health.is_usable(now));
}

#[test]
fn a_probe_that_showed_nothing_is_repeated() {
    let start = Instant::now();
    let mut health = ServerHealth::default();
    health.note_failed(start);
    let later = start + Duration::from_secs(2);
    health.note_sent();
    assert!(!health.is_usable(later));
    health.note_inconclusive();
    assert!(health.is_usable(later));
}

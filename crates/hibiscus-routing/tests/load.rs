//! Estimates of load and of prefix caches.

use std::time::Duration;
use std::time::Instant;

use hibiscus_routing::affinity::CacheChange;
use hibiscus_routing::affinity::CacheEvent;
use hibiscus_routing::affinity::PrefixEstimate;
use hibiscus_routing::load::LoadTracker;
use hibiscus_routing::load::REPORT_LIFETIME;
use hibiscus_routing::load::ServerLoad;
use hibiscus_routing::policy::LagAware;
use hibiscus_routing::policy::LeastReported;
use hibiscus_routing::policy::RandomChoice;
use hibiscus_routing::policy::RoundRobin;
use hibiscus_routing::policy::RoutingPolicy;

const SECOND: Duration = Duration::from_secs(1);

fn server(expected: f64) -> ServerLoad {
    ServerLoad {
        name: "server".into(),
        service: "service".into(),
        address: ([127, 0, 0, 1], 1).into(),
        draining: false,
        reported: 0,
        own: 0,
        expected,
        token_seconds: 0.0,
        cached: 0.0,
    }
}

#[test]
fn what_was_sent_since_a_report_counts_on_top_of_it() {
    let start = Instant::now();
    let mut load = LoadTracker::default();
    load.note_sent(start);
    // Made while this process had one of the five in progress.
    load.note_report(5, start + SECOND);
    load.note_sent(start + 2 * SECOND);
    assert!((load.expected(start + 2 * SECOND, 0) - 6.0).abs() < 1e-9);
    // One other router is taken to have sent nearly as much.
    assert!((load.expected(start + 2 * SECOND, 1) - 6.75).abs() < 1e-9);
}

#[test]
fn a_late_report_is_compared_with_the_requests_of_its_time() {
    let start = Instant::now();
    let mut load = LoadTracker::default();
    load.note_sent(start);
    load.note_sent(start + 2 * SECOND);
    load.note_report(4, start + SECOND);
    assert!((load.expected(start + 3 * SECOND, 0) - 5.0).abs() < 1e-9);
    load.note_report(9, start);
    assert_eq!(load.reported(), 4);
}

#[test]
fn an_old_report_is_not_used() {
    let start = Instant::now();
    let mut load = LoadTracker::default();
    load.note_report(50, start);
    assert!(load.is_fresh(start + REPORT_LIFETIME));
    let later = start + REPORT_LIFETIME + SECOND;
    assert!(!load.is_fresh(later));
    load.note_sent(later);
    assert!((load.expected(later, 2) - 3.0).abs() < 1e-9);
}

#[test]
fn no_policy_chooses_a_leaving_server() {
    let mut servers = vec![server(0.0), server(9.0), server(0.0)];
    servers[0].draining = true;
    servers[2].draining = true;
    for pick in 0..50 {
        assert_eq!(LagAware.choose(&servers, pick), Some(1));
        assert_eq!(LeastReported.choose(&servers, pick), Some(1));
        assert_eq!(RandomChoice.choose(&servers, pick), Some(1));
        assert_eq!(RoundRobin::default().choose(&servers, pick), Some(1));
    }
    servers[1].draining = true;
    assert_eq!(LagAware.choose(&servers, 1), None);
    assert_eq!(LagAware.choose(&[], 1), None);
}

#[test]
fn a_slow_server_and_a_cached_prefix_count() {
    let mut servers = vec![server(3.0), server(2.0)];
    servers[0].token_seconds = 0.01;
    servers[1].token_seconds = 0.03;
    assert_eq!(LagAware.choose(&servers, 1), Some(0));
    servers[1].cached = 1.0;
    assert_eq!(LagAware.choose(&servers, 1), Some(1));
}

#[test]
fn lost_cache_events_shrink_what_is_believed() {
    let event = |sequence, prefix, change| CacheEvent {
        sequence,
        prefix,
        change,
    };
    let mut belief = PrefixEstimate::default();
    belief.take(&event(0, 7, CacheChange::Stored));
    assert!((belief.of(7) - 1.0).abs() < 1e-9);
    belief.take(&event(2, 8, CacheChange::Stored));
    assert!((belief.of(7) - 0.9).abs() < 1e-9);
    // A repeated event changes nothing.
    belief.take(&event(0, 9, CacheChange::Stored));
    assert!(belief.of(9).abs() < 1e-9);
    belief.take(&event(3, 7, CacheChange::Evicted));
    assert!(belief.of(7).abs() < 1e-9);
    // After so many lost events nothing is believed.
    belief.take(&event(100, 1, CacheChange::Stored));
    assert!(belief.of(8).abs() < 1e-9);
}

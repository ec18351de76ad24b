//! Small parts of the request path: streams, retries, routes, addresses.

use std::sync::Arc;
use std::time::Duration;

use hibiscus_traffic::directory::InstanceDirectory;
use hibiscus_traffic::model::CallerLimits;
use hibiscus_traffic::model::FleetConfig;
use hibiscus_traffic::model::InstanceEntry;
use hibiscus_traffic::model::RequestKind;
use hibiscus_traffic::model::RouteRule;
use hibiscus_traffic::model::TeamRule;
use hibiscus_traffic::model::WeightedService;
use hibiscus_traffic::response::LocalReason;
use hibiscus_traffic::retries::RetryBound;
use hibiscus_traffic::retries::RetryCounter;
use hibiscus_traffic::stream::EventParser;
use hibiscus_traffic::table;
use hibiscus_traffic::table::RouteTable;
use hibiscus_types::IncarnationId;
use hibiscus_types::ServiceName;

#[test]
fn events_are_counted_however_their_bytes_are_cut() {
    let bytes = b"id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n: note\n\nid: 3\n\n";
    for size in [1, 2, 7, bytes.len()] {
        let mut follower = EventParser::default();
        for piece in bytes.chunks(size) {
            follower.take(piece);
        }
        assert_eq!(follower.events(), 3, "pieces of {size}");
        assert_eq!(follower.last(), Some(3));
        assert!(follower.is_at_boundary() && !follower.is_disordered());
    }
}

#[test]
fn a_missing_a_repeated_and_a_cut_event_show() {
    let mut gap = EventParser::default();
    gap.take(b"id: 1\n\nid: 3\n\n");
    assert!(gap.is_disordered());
    let mut twice = EventParser::default();
    twice.take(b"id: 1\n\nid: 1\n\n");
    assert!(twice.is_disordered());
    let mut after = EventParser::after(Some(4));
    after.take(b"id: 1\n\n");
    assert!(after.is_disordered());
    let mut cut = EventParser::default();
    cut.take(b"id: 1\n\nid: 2\nda");
    assert!(!cut.is_at_boundary());
}

/// A third of the servers fail, and callers repeat at once: over any window,
/// all instances together stay within the bound, also when none sees another.
#[test]
fn retries_of_a_fleet_stay_within_the_bound_in_every_window() {
    let bound = RetryBound {
        share: 0.2,
        slack: 54.0,
        window: Duration::from_secs(10),
    };
    let service = ServiceName::from("models");
    let mut fleet: Vec<RetryCounter> = (0..7).map(|_index| RetryCounter::new(bound)).collect();
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for step in 0..3_000_u64 {
        let now = Duration::from_millis(step * 10);
        for counter in &mut fleet {
            if step % 4 == 0 {
                counter.count_request(&service, now);
                requests.push(now);
            }
            if counter.take_retry(&service, 7, now) {
                retries.push(now);
            }
        }
    }
    let within = |times: &[Duration], end: Duration| {
        let begin = end.saturating_sub(bound.window);
        times
            .iter()
            .filter(|time| **time > begin && **time <= end)
            .count() as f64
    };
    for second in 1..30 {
        let end = Duration::from_secs(second);
        let limit = within(&requests, end) * bound.share + bound.slack;
        assert!(within(&retries, end) <= limit, "at {end:?}");
    }
    assert!(retries.len() > 300);
}

fn route(prefix: &str, services: &[(&str, u32)]) -> Arc<RouteRule> {
    let share = |(service, weight): &(&str, u32)| WeightedService {
        service: ServiceName::from(*service),
        weight: *weight,
    };
    Arc::new(RouteRule {
        name: prefix.to_owned(),
        host: "h.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority: 1,
        services: services.iter().map(share).collect(),
        attempts: 1,
        anonymous: false,
    })
}

fn table() -> RouteTable {
    RouteTable::new(Arc::new(FleetConfig {
        version: 1,
        routes: vec![
            route("/a/", &[("one", 1)]),
            route("/a/b/", &[("one", 90), ("two", 10)]),
        ],
        engines: Default::default(),
        skipped_routes: Vec::new(),
        connections: Default::default(),
        teams: vec![Arc::new(TeamRule {
            name: "team".into(),
            keys: vec!["k1".to_owned(), "k2".to_owned()],
            priority: None,
            prepaid: None,
        })],
        needs_key: true,
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1_000,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
    }))
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table();
    let name = |path: &str| {
        table
            .route("h.example:80", path)
            .map(|route| route.name.clone())
    };
    assert_eq!(name("/a/x").as_deref(), Some("/a/"));
    assert_eq!(name("/a/b/x").as_deref(), Some("/a/b/"));
    assert_eq!(name("/b/x"), None);
    assert!(table.route("other.example", "/a/x").is_none());
    assert!(table.team("k2").is_some() && table.team("k3").is_none());
}

#[test]
fn a_route_splits_its_requests_by_weight() {
    let rule = route("/a/", &[("one", 90), ("two", 10)]);
    let to_two = (0..1_000).filter(|pick| table::pick_service(&rule, *pick) == Some(&"two".into()));
    assert_eq!(to_two.count(), 100);
}

fn instance(number: u16, incarnation: u128) -> InstanceEntry {
    let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port + number));
    InstanceEntry {
        name: format!("front-{number}").as_str().into(),
        incarnation: IncarnationId::from_u128(incarnation),
        callers: address(8_000),
        readiness: address(9_000),
        peers: address(7_000),
        pin: [0; 32],
        data_centre: "a".into(),
        shutting_down: false,
        capacity: 500,
    }
}

#[test]
fn addresses_name_who_serves_and_are_never_none() {
    let mut directory = InstanceDirectory::new(instance(0, 1));
    assert_eq!(directory.addresses(None), [instance(0, 1).callers]);
    directory.set_ready(true);
    let other = instance(1, 1);
    assert!(directory.announce(other.clone()));
    assert_eq!(directory.addresses(None).len(), 1);
    directory.note_reachable(&other, true);
    assert_eq!(directory.addresses(None).len(), 2);
    // An old process of the same instance neither returns nor speaks for it.
    let successor = instance(1, 2);
    assert!(directory.announce(successor.clone()));
    assert!(!directory.announce(other.clone()));
    directory.note_reachable(&other, true);
    assert_eq!(directory.addresses(None).len(), 1);
    directory.note_reachable(&successor, true);
    directory.set_ready(false);
    assert_eq!(directory.addresses(None), [successor.callers]);
}

#[test]
fn near_addresses_come_first_and_far_ones_follow() {
    let mut directory = InstanceDirectory::new(instance(0, 1));
    directory.set_ready(true);
    for number in 1..6 {
        let entry = InstanceEntry {
            data_centre: if number < 3 { "b".into() } else { "a".into() },
            ..instance(number, 1)
        };
        directory.announce(entry.clone());
        directory.note_reachable(&entry, true);
    }
    let addresses = directory.addresses(Some(&"b".into()));
    assert_eq!(addresses.len(), 6);
    let near = [instance(1, 1).callers, instance(2, 1).callers];
    assert!(addresses[..2].iter().all(|address| near.contains(address)));
}

/// A process takes the order of its name from the time of day, which may be
/// set back while its machine restarts it.
#[test]
fn a_process_that_started_after_its_clock_was_set_back_is_known() {
    let mut directory = InstanceDirectory::new(instance(0, 1));
    directory.set_ready(true);
    directory.announce(InstanceEntry {
        shutting_down: true,
        ..instance(1, 9)
    });
    let successor = instance(1, 3);
    assert!(directory.announce(successor.clone()));
    directory.note_reachable(&successor, true);
    assert_eq!(directory.addresses(None).len(), 2);
    assert!(!directory.announce(instance(1, 9)));
    assert!(directory.is_current(&successor));
}

/// Instances on both sides of a cut send retries: each must keep to a share
/// that leaves room for those it cannot see.
#[test]
fn instances_that_do_not_answer_still_count_for_the_share_of_retries() {
    let mut directory = InstanceDirectory::new(instance(0, 1));
    for number in 1..7 {
        let other = instance(number, 1);
        directory.announce(other.clone());
        directory.note_reachable(&other, true);
        directory.note_reachable(&other, false);
    }
    assert_eq!(directory.live_count(), 1);
    assert_eq!(directory.possibly_live_count(), 7);
}

#[test]
fn an_instance_that_leaves_is_named_to_nobody() {
    let mut directory = InstanceDirectory::new(instance(0, 1));
    directory.set_ready(true);
    let other = instance(1, 1);
    directory.announce(other.clone());
    directory.note_reachable(&other, true);
    directory.announce(InstanceEntry {
        shutting_down: true,
        ..other
    });
    assert_eq!(directory.addresses(None), [instance(0, 1).callers]);
}

/// Callers take these statuses for a promise that the request did not run.
#[test]
fn only_reasons_before_a_server_are_promises() {
    let unknown = [LocalReason::Unknown, LocalReason::TimedOut];
    for reason in unknown {
        let status = reason.status().as_u16();
        assert!(![408, 421, 429, 503].contains(&status), "{reason:?}");
    }
    for reason in [
        LocalReason::NoConfig,
        LocalReason::ServersFull,
        LocalReason::Stopping,
    ] {
        assert_eq!(reason.status().as_u16(), 503);
        assert!(reason.retry_after().is_some(), "{reason:?}");
    }
}

/// A directory of `large` instances with 500 thousandths of a core and `small`
/// ones with 120, the own one among the large.
fn fleet(large: u16, small: u16) -> InstanceDirectory {
    let mut directory = InstanceDirectory::new(instance(0, 1));
    directory.set_ready(true);
    for number in 1..large + small {
        let entry = InstanceEntry {
            capacity: if number < large { 500 } else { 120 },
            ..instance(number, 1)
        };
        directory.announce(entry.clone());
        directory.note_reachable(&entry, true);
    }
    directory
}

// Guards against small machines that get as many requests as large ones: callers
// pick one of the named addresses at random.
#[test]
fn instances_are_named_in_proportion_to_their_capacity() {
    const ANSWERS: u32 = 2_000;
    fastrand::seed(17);
    let directory = fleet(8, 54);
    let mut large = 0;
    let mut small = 0;
    for _answer in 0..ANSWERS {
        for address in directory.addresses(None) {
            if address.port() < 8_008 {
                large += 1;
            } else {
                small += 1;
            }
        }
    }
    assert_eq!(large, 8 * ANSWERS);
    let share = f64::from(small) / f64::from(54 * ANSWERS);
    assert!((0.22..0.26).contains(&share), "{share}, not 120 of 500");
}

// Guards against an answer with so few addresses that a caller who keeps it has
// none left after some instances died.
#[test]
fn an_answer_names_several_instances_also_when_one_is_much_larger() {
    fastrand::seed(17);
    let directory = fleet(1, 61);
    for _answer in 0..200 {
        let mut addresses = directory.addresses(None);
        addresses.sort();
        addresses.dedup();
        assert!(addresses.len() >= 12, "{addresses:?}");
    }
    assert_eq!(fleet(1, 5).addresses(None).len(), 6);
}

// Guards against leaving instances out of a fleet whose machines are alike.
#[test]
fn instances_of_equal_capacity_are_all_named() {
    fastrand::seed(17);
    for directory in [fleet(20, 0), fleet(62, 0)] {
        let expected = directory.live_count() as usize;
        for _answer in 0..50 {
            assert_eq!(directory.addresses(None).len(), expected);
        }
    }
}

// Guards against callers that give up their connections with each answer, since
// it names other instances than the one before.
#[test]
fn a_caller_is_named_the_same_instances_by_all_of_them() {
    fastrand::seed(17);
    let directory = fleet(8, 54);
    let named = |number: u8| {
        let caller = std::net::IpAddr::from([10, 9, 0, number]);
        let mut addresses = directory.addresses_for(None, Some(caller));
        addresses.sort();
        addresses
    };
    let mut small = 0;
    for number in 0..200 {
        assert_eq!(named(number), named(number));
        small += named(number).len() - 8;
    }
    let share = small as f64 / (54.0 * 200.0);
    assert!((0.21..0.27).contains(&share), "{share}, not 120 of 500");
}

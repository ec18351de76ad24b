//! Where prompts go, under the loads that the module names.

use std::time::Duration;

use hibiscus_routing::placement;
use hibiscus_routing::placement::PlacementCandidate;
use hibiscus_routing::placement::PlacementRequest;
use hibiscus_routing::placement::PrefillTracker;

const NOW: Duration = Duration::from_secs(100);
/// Shared parts of a session: a part of many sessions, then its own.
const SESSION: [(u64, u64); 2] = [(1, 2_500), (77, 3_800)];

/// Servers that differ by name only.
struct TestFleet {
    names: Vec<String>,
    books: Vec<PrefillTracker>,
    expected: Vec<f64>,
    remote: Vec<bool>,
}

impl TestFleet {
    fn new(count: usize) -> Self {
        Self {
            names: (0..count).map(|index| format!("i-{index}")).collect(),
            books: vec![PrefillTracker::default(); count],
            expected: vec![0.0; count],
            remote: vec![false; count],
        }
    }

    fn choose(&self, shared: &[(u64, u64)], own_tokens: u64) -> (usize, u64) {
        let mut views = Vec::new();
        for (index, prefill) in self.books.iter().enumerate() {
            views.push(PlacementCandidate {
                name: &self.names[index],
                prefill,
                expected: self.expected[index],
                waiting: 0,
                slots: 8,
                remote: self.remote[index],
                connected: true,
                jitter: 0.0,
            });
        }
        let case = PlacementRequest {
            shared,
            own_tokens,
            now: NOW,
        };
        placement::choose(&views, &case).expect("there are servers")
    }
}

#[test]
fn two_instances_choose_the_same_home_for_a_session() {
    let (first, _unread) = TestFleet::new(18).choose(&SESSION, 100);
    let (second, _unread) = TestFleet::new(18).choose(&SESSION, 2_000);
    assert_eq!(first, second);
    let others = (0..40).map(|part| TestFleet::new(18).choose(&[(1, 2_500), (part, 3_800)], 1).0);
    let homes: std::collections::BTreeSet<usize> = others.collect();
    assert!(homes.len() >= 12, "40 sessions have {} homes", homes.len());
}

#[test]
fn parts_that_were_sent_are_not_counted_as_unread() {
    let mut fleet = TestFleet::new(6);
    let (home, before) = fleet.choose(&SESSION, 500);
    fleet.books[home].note_sent(&SESSION, before, NOW);
    fleet.books[home].note_prefill_done(before);
    let (again, after) = fleet.choose(&SESSION, 500);
    assert_eq!((again, after), (home, 500));
    assert!(before > after);
}

/// One session gets much of the traffic: its home must not queue it all.
#[test]
fn a_hot_session_spreads_when_its_home_has_much_to_read() {
    let mut fleet = TestFleet::new(6);
    let mut used = std::collections::BTreeSet::new();
    for _request in 0..60 {
        let (server, prefill_tokens) = fleet.choose(&SESSION, 2_900);
        fleet.books[server].note_sent(&SESSION, prefill_tokens, NOW);
        used.insert(server);
    }
    assert!(used.len() >= 4, "only {used:?} got the hot session");
}

/// Long prompts of others queue at the home: the answer would be late there.
#[test]
fn a_prompt_leaves_a_home_whose_queue_is_longer_than_reading_anew() {
    let mut fleet = TestFleet::new(6);
    let (home, _unread) = fleet.choose(&SESSION, 100);
    fleet.books[home].note_sent(&[], 60_000, NOW);
    assert_ne!(fleet.choose(&SESSION, 100).0, home);
}

#[test]
fn a_server_without_a_free_place_is_avoided() {
    let mut fleet = TestFleet::new(3);
    fleet.expected = vec![30.0, 30.0, 1.0];
    assert_eq!(fleet.choose(&[], 100).0, 2);
}

#[test]
fn equal_servers_are_taken_in_the_same_data_centre() {
    let mut fleet = TestFleet::new(4);
    fleet.remote = vec![true, true, false, true];
    assert_eq!(fleet.choose(&[], 100).0, 2);
}

#[test]
fn parts_are_forgotten_after_their_lifetime() {
    let mut prefill = PrefillTracker::default();
    prefill.note_sent(&SESSION, 0, Duration::from_secs(1));
    assert!(prefill.missing(&SESSION, false, Duration::from_secs(2)) < 1.0);
    assert!(prefill.missing(&SESSION, false, Duration::from_secs(90)) > 6_000.0);
}

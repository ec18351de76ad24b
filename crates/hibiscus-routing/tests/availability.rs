//! Servers that leave, pause, refuse and start anew.

use std::time::Duration;
use std::time::Instant;

use hibiscus_routing::availability::ServerAvailability;
use hibiscus_routing::availability::ServerEligibility;
use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::proptest;

/// Time within which a server that refused is tried again at the latest.
const TRIED_AGAIN: Duration = Duration::from_secs(2);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_server_that_leaves_takes_nothing_more() {
    let now = Instant::now();
    let mut availability = ServerAvailability::default();
    assert!(availability.note_draining());
    assert!(!availability.note_draining());
    availability.note_accepted(false);
    availability.note_refused(Some(ms(10)), now);
    for later in [0, 11, 3_600_000] {
        let eligibility = availability.eligibility(now + ms(later));
        assert_eq!(eligibility, ServerEligibility::Draining);
        assert!(!availability.still_accepts(true, now + ms(later)));
    }
}

#[test]
fn a_pause_lasts_as_long_as_the_server_said_and_ends_with_a_few_trials() {
    let now = Instant::now();
    let mut availability = ServerAvailability::default();
    availability.note_refused(Some(ms(3_000)), now);
    let end = now + ms(3_000);
    let paused = ServerEligibility::Paused(Some(end));
    assert_eq!(availability.eligibility(now), paused);
    assert_eq!(availability.eligibility(end - ms(1)), paused);
    assert_eq!(availability.eligibility(end), ServerEligibility::Open);
    let mut sent = 0;
    for round in 0..4 {
        let mut trials = 0;
        while availability.eligibility(end) == ServerEligibility::Open && trials < 100 {
            assert!(availability.note_sent(end));
            assert!(availability.still_accepts(true, end));
            trials += 1;
        }
        assert_eq!(trials, 1 << round);
        sent += trials;
        assert!(!availability.still_accepts(false, end));
        availability.note_accepted(true);
        for _other in 1..trials {
            availability.note_unanswered(true);
        }
    }
    assert_eq!(sent, 15);
    assert!(!availability.note_sent(end));
    assert_eq!(availability.eligibility(end), ServerEligibility::Open);
}

#[test]
fn a_request_from_before_a_pause_shows_nothing_of_it() {
    let now = Instant::now();
    let mut availability = ServerAvailability::default();
    let trial = availability.note_sent(now);
    availability.note_refused(Some(ms(500)), now);
    for _late in 0..20 {
        availability.note_accepted(trial);
    }
    assert!(matches!(
        availability.eligibility(now + ms(499)),
        ServerEligibility::Paused(Some(_))
    ));
}

#[test]
fn a_later_refusal_without_a_time_does_not_shorten_a_pause() {
    let now = Instant::now();
    let mut availability = ServerAvailability::default();
    availability.note_refused(Some(ms(4_000)), now);
    availability.note_refused(None, now + ms(5));
    availability.note_refused(Some(ms(1_000)), now + ms(6));
    assert_eq!(
        availability.eligibility(now + ms(3_999)),
        ServerEligibility::Paused(Some(now + ms(4_000)))
    );
    availability.note_refused(Some(ms(9_000)), now + ms(7));
    assert_eq!(
        availability.eligibility(now + ms(9_006)),
        ServerEligibility::Paused(Some(now + ms(9_007)))
    );
}

#[test]
fn a_pause_beyond_the_clock_has_no_end() {
    let now = Instant::now();
    let mut availability = ServerAvailability::default();
    availability.note_refused(Some(Duration::MAX), now);
    availability.note_refused(Some(ms(1)), now);
    let year = Duration::from_secs(365 * 24 * 3_600);
    assert_eq!(
        availability.eligibility(now + year),
        ServerEligibility::Paused(None)
    );
}

#[test]
fn a_server_that_refuses_all_is_tried_by_one_request_at_growing_times() {
    let mut now = Instant::now();
    let mut availability = ServerAvailability::default();
    let mut tried = 0;
    let end = now + Duration::from_secs(60);
    while now < end {
        if availability.eligibility(now) == ServerEligibility::Open {
            availability.note_sent(now);
            availability.note_refused(None, now);
            tried += 1;
        }
        now += ms(10);
    }
    assert!((30..40).contains(&tried), "{tried} requests in a minute");
    assert_eq!(availability.eligibility(now), ServerEligibility::LastResort);
}

/// What happens at one server.
#[derive(Clone, Debug)]
enum ServerEvent {
    Leaves,
    StartsAnew,
    Refuses(Option<u64>),
    Sent,
    Taken(usize),
    Unanswered(usize),
    Passes(u64),
}

fn event() -> impl Strategy<Value = ServerEvent> {
    prop_oneof![
        1 => Just(ServerEvent::Leaves),
        1 => Just(ServerEvent::StartsAnew),
        3 => proptest::option::of(1_u64..6_000).prop_map(ServerEvent::Refuses),
        8 => Just(ServerEvent::Sent),
        4 => (0_usize..8).prop_map(ServerEvent::Taken),
        2 => (0_usize..8).prop_map(ServerEvent::Unanswered),
        6 => (0_u64..2_500).prop_map(ServerEvent::Passes),
    ]
}

proptest! {
    /// Nothing is sent to a process that leaves, nor within a pause; a new
    /// start is used; every pause ends.
    #[test]
    fn whatever_the_order_pauses_are_kept_and_end(events in vec(event(), 0..120)) {
        let mut now = Instant::now();
        let mut availability = ServerAvailability::default();
        let mut flights: Vec<bool> = Vec::new();
        let mut paused_until = now;
        let mut leaves = false;
        for event in events {
            match event {
                ServerEvent::Leaves => {
                    availability.note_draining();
                    leaves = true;
                }
                ServerEvent::StartsAnew => {
                    availability = ServerAvailability::default();
                    flights.clear();
                    paused_until = now;
                    leaves = false;
                    prop_assert!(availability.eligibility(now) == ServerEligibility::Open);
                }
                ServerEvent::Refuses(wanted) => {
                    let wanted = wanted.map(ms);
                    availability.note_refused(wanted, now);
                    if let Some(wanted) = wanted {
                        paused_until = paused_until.max(now + wanted);
                    }
                }
                ServerEvent::Sent => {
                    let eligibility = availability.eligibility(now);
                    let sent = matches!(eligibility, ServerEligibility::Open | ServerEligibility::LastResort);
                    if sent {
                        prop_assert!(!leaves && now >= paused_until);
                        let trial = availability.note_sent(now);
                        prop_assert!(availability.still_accepts(trial, now));
                        flights.push(trial);
                    }
                }
                ServerEvent::Taken(number) if number < flights.len() => {
                    availability.note_accepted(flights.swap_remove(number));
                }
                ServerEvent::Unanswered(number) if number < flights.len() => {
                    availability.note_unanswered(flights.swap_remove(number));
                }
                ServerEvent::Taken(_) | ServerEvent::Unanswered(_) => {}
                ServerEvent::Passes(millis) => now += ms(millis),
            }
            // What was counted before must not leave within the pause.
            let may_leave = [true, false].map(|trial| availability.still_accepts(trial, now));
            prop_assert!((!leaves && now >= paused_until) || may_leave == [false, false]);
        }
        for trial in flights {
            availability.note_unanswered(trial);
        }
        let later = now.max(paused_until) + TRIED_AGAIN;
        prop_assert!(leaves || availability.eligibility(later) == ServerEligibility::Open);
    }
}

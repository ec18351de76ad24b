//! A store that refuses calls: for its rate, because it rejects an instance, or because the
//! records that are read were deleted.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use platform_standins::StoreFaults;
use platform_standins::StoreRates;

use crate::front::PREPAID;
use crate::front::Platform;
use crate::front::config;
use crate::front::count_logs;
use crate::front::status;
use crate::front::steady_callers::SteadyCallers;
use crate::front::wait_for;
use crate::front::write_server;

/// Time after a change in which it has to be known: `drain-timeout-ms`.
const CHANGE_LIMIT: Duration = Duration::from_secs(2);
/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(20);
/// Number of removals in a test of the store's rate.
const ROUNDS: u32 = 4;
/// Time before the first removal.
const ROUND_PAUSE: Duration = Duration::from_secs(2);
/// Time by which each further removal comes later, so that it meets other calls.
const ROUND_STEP: Duration = Duration::from_millis(230);
/// Part of each second for which the store refuses calls in that test.
const REFUSED_TIME: Duration = Duration::from_millis(600);
/// Number of an instance's threads that read from the store.
const READERS: usize = 8;
/// Time for which calls are counted.
const COUNT_TIME: Duration = Duration::from_secs(3);
/// Pause of a reader before it starts again, in milliseconds.
const RESTART_PAUSE_MS: usize = 150;
/// Time for which the store refuses all calls, longer than any window of its rates.
const REFUSAL_TIME: Duration = Duration::from_secs(4);
/// Time after the return of the store by which a lapsed entry is written again: less than the
/// 2 s that the platform names.
const ENTRY_RETURN: Duration = Duration::from_secs(1);

/// Guards against instances that take calls refused for the store's rate (429) for an outage,
/// and keep servers whose entries are removed (issue 48). The store refuses all calls for
/// [`REFUSED_TIME`] of each second, so that every reader is served within 2 s.
#[test]
fn a_removed_server_is_not_kept_while_calls_exceed_the_rate_of_the_store() {
    let platform = Platform::start();
    platform.add_second_server();
    let fronts = std::slice::from_ref(&platform.front);
    let callers = SteadyCallers::new(fronts, "/often/x");
    let has_ended = AtomicBool::new(false);
    let mut late = Vec::new();
    thread::scope(|scope| {
        scope.spawn(|| {
            while !has_ended.load(Ordering::Relaxed) {
                platform.store.set_faults(StoreFaults {
                    refuse: Some(429),
                    ..StoreFaults::default()
                });
                thread::sleep(REFUSED_TIME);
                platform.store.set_faults(StoreFaults::default());
                thread::sleep(Duration::from_secs(1) - REFUSED_TIME);
            }
        });
        callers.during(|| {
            for round in 0..ROUNDS {
                thread::sleep(ROUND_PAUSE + ROUND_STEP * round);
                platform.store.write("keyed.servers", "i-second", b"");
                let removed = Instant::now();
                thread::sleep(2 * CHANGE_LIMIT);
                let arrivals = platform.second.arrivals();
                let arrivals = arrivals.iter().filter(|at| **at > removed + CHANGE_LIMIT);
                late.push(arrivals.count());
                write_server(
                    &platform.store,
                    "i-second",
                    "plain",
                    &platform.second,
                    "ready",
                );
            }
            has_ended.store(true, Ordering::Relaxed);
        });
    });
    println!("late arrivals: {late:?}");
    assert!(late.iter().all(|count| *count == 0), "{late:?}");
}

/// Guards against readers that call a store more often while it refuses calls for its rate
/// (issue 48): each of them five times a second at most.
#[test]
fn readers_ask_a_store_that_refuses_calls_for_its_rate_less_often() {
    let platform = Platform::start();
    platform.store.set_faults(StoreFaults {
        rates: Some(StoreRates {
            reads: 0,
            writes: 0,
        }),
        ..StoreFaults::default()
    });
    // Reads that wait for records end first.
    thread::sleep(CHANGE_LIMIT);
    let before = platform.store.refused().rate;
    thread::sleep(COUNT_TIME);
    let calls = platform.store.refused().rate - before;
    println!("{calls} calls");
    let limit = READERS * 5 * COUNT_TIME.as_secs() as usize;
    assert!(
        (1..=limit).contains(&calls),
        "{calls} calls, {limit} allowed"
    );
}

/// Guards against readers that start again without a pause where the store has deleted the
/// records of all offsets that they read (issue 48).
#[test]
fn readers_pause_before_they_start_again() {
    let platform = Platform::start();
    let (_appends, before) = platform.store.calls();
    platform.store.set_faults(StoreFaults {
        expire_all: true,
        ..StoreFaults::default()
    });
    thread::sleep(COUNT_TIME);
    let (_appends, after) = platform.store.calls();
    let reads = after - before;
    println!("{reads} reads");
    // Each start takes a look at the newest records, and a read that is refused.
    let limit = READERS * 2 * (COUNT_TIME.as_millis() as usize / RESTART_PAUSE_MS + 1);
    assert!(reads <= limit, "{reads} reads, {limit} allowed");
}

/// Sends requests while a store that refuses all calls with `status` removes the entry of the
/// only server, which is written again after the store's return. Returns the numbers of
/// requests and of those that were not served.
fn play_lapsed_entry(status_code: u16) -> (usize, usize) {
    let platform = Platform::start();
    let fronts = std::slice::from_ref(&platform.front);
    let callers = SteadyCallers::new(fronts, "/often/x").with_load(2, CALLER_PAUSE);
    let responses = callers.during(|| {
        platform.store.set_faults(StoreFaults {
            refuse: Some(status_code),
            ..StoreFaults::default()
        });
        thread::sleep(REFUSAL_TIME);
        platform.store.write("keyed.servers", "i-plain", b"");
        platform.store.set_faults(StoreFaults::default());
        thread::sleep(ENTRY_RETURN);
        write_server(
            &platform.store,
            "i-plain",
            "plain",
            &platform.plain,
            "ready",
        );
        thread::sleep(CHANGE_LIMIT);
    });
    let failed = responses
        .iter()
        .filter(|response| status(&response.text) != "200");
    let outcome = (responses.len(), failed.count());
    println!("status {status_code}: requests, not served: {outcome:?}");
    outcome
}

/// Guards against callers that are refused since an instance takes a store that rejects it
/// with 429 for a while for one that is up: servers' entries may lapse then, as with 503, and
/// are written again after its return (issue 48).
#[test]
fn a_server_whose_entry_lapses_while_the_store_refuses_all_calls_is_kept() {
    for status_code in [503, 429] {
        let (requests, failed) = play_lapsed_entry(status_code);
        assert!(requests > 0);
        assert_eq!(failed, 0, "status {status_code}");
    }
}

/// Guards against an instance that reads the operators' topic again and again without a pause,
/// and no new version, at a store that came back shorter and names no new era (issue 48).
#[test]
fn a_version_comes_into_force_if_the_topic_is_shorter_and_no_new_era_is_named() {
    let platform = Platform::start();
    let faults = StoreFaults {
        named_era: Some("0"),
        refuse_beyond_end: true,
        ..StoreFaults::default()
    };
    platform.store.set_faults(faults);
    let copy = platform.store.copy();
    let in_force = |version: u64| {
        let line = format!("HS2001 configuration version is in force version={version} ");
        let fronts = std::slice::from_ref(&platform.front);
        wait_for(&line, || count_logs(fronts, &line) == 1);
    };
    let write = |version: u64| {
        let text = config(version, PREPAID, "");
        platform.store.write("keyed.op", "config", text.as_bytes());
    };
    for version in 2..8 {
        write(version);
        in_force(version);
    }
    platform.store.come_back_from(copy);
    let (_appends, before) = platform.store.calls();
    thread::sleep(COUNT_TIME);
    let (_appends, after) = platform.store.calls();
    let reads = after - before;
    let written = Instant::now();
    write(8);
    in_force(8);
    let took = written.elapsed();
    println!("{reads} reads, in force after {took:?}");
    let limit = READERS * 2 * (COUNT_TIME.as_millis() as usize / RESTART_PAUSE_MS + 1);
    assert!(reads <= limit, "{reads} reads, {limit} allowed");
    assert!(took < CHANGE_LIMIT, "{took:?}");
}

//! Servers that say in their answers that they leave, or that they want no
//! requests for some time.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use platform_standins::BackendBehaviour;
use platform_standins::BackendStandin;
use platform_standins::FrontProcess;
use platform_standins::StoreFaults;
use platform_standins::StoreStandin;

use crate::front::PREPAID;
use crate::front::Platform;
use crate::front::UPDATE_LIMIT;
use crate::front::config;
use crate::front::request;
use crate::front::start_fronts;
use crate::front::status;
use crate::front::wait_for;

/// The header of a server that leaves.
const DRAINING: &str = "Server-Leaving: 1\r\n";
/// Instances of a fleet that is more than each of them watches.
const INSTANCES: usize = 10;
/// Variable with another number of instances, for a run by hand.
const INSTANCES_VARIABLE: &str = "HIBISCUS_TEST_INSTANCES";
/// Callers of one instance at the same time.
const CALLERS: usize = 6;
/// Time after the first answer with [`DRAINING`] in which requests may still
/// arrive: `drain-timeout-ms` of the tests' settings.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Time after a refusal in which what was on its way may still arrive.
const ON_THE_WAY: Duration = Duration::from_millis(500);
/// Requests that may arrive between that and the end of a pause.
const PAUSED_LIMIT: usize = 2;

/// Callers that send to `path` at all `fronts` until they are stopped.
struct SteadyCallers<'a> {
    fronts: &'a [FrontProcess],
    path: &'a str,
    stopped: AtomicBool,
}

impl<'a> SteadyCallers<'a> {
    fn new(fronts: &'a [FrontProcess], path: &'a str) -> Self {
        Self {
            fronts,
            path,
            stopped: AtomicBool::new(false),
        }
    }

    /// Sends one request after the other; the answers with their times.
    fn send(&self, first: usize) -> Vec<(Instant, String)> {
        let mut responses = Vec::new();
        for number in first.. {
            if self.stopped.load(Ordering::Relaxed) {
                break;
            }
            let front = &self.fronts[number % self.fronts.len()];
            let id = format!("id-{:x}", fastrand::u64(..));
            let response = front.call(&request(self.path, &id, ""));
            responses.push((Instant::now(), response));
            thread::sleep(Duration::from_millis(5));
        }
        responses
    }

    /// Lets [`CALLERS`] send while `events` run; all answers.
    fn during(&self, events: impl FnOnce()) -> Vec<(Instant, String)> {
        thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLERS)
                .map(|number| scope.spawn(move || self.send(number)))
                .collect();
            events();
            self.stopped.store(true, Ordering::Relaxed);
            let responses = callers.into_iter().map(|caller| caller.join());
            responses
                .flat_map(|responses| responses.expect("a caller ends"))
                .collect()
        })
    }
}

/// Refuses all calls of the store.
fn make_store_unavailable(store: &StoreStandin) {
    store.set_faults(StoreFaults {
        refuse: Some(503),
        ..StoreFaults::default()
    });
}

/// Arrivals at `server` later than `limit` after `from`, and before `until`.
fn arrivals_between(server: &BackendStandin, from: Instant, until: Instant) -> usize {
    let arrivals = server.arrivals();
    arrivals
        .iter()
        .filter(|at| **at > from && **at < until)
        .count()
}

/// Fails when an answer has another status than 200.
fn check_served(responses: &[(Instant, String)]) {
    let failed: Vec<_> = responses
        .iter()
        .filter(|(_at, response)| status(response) != "200")
        .map(|(_at, response)| response.lines().next().unwrap_or("no answer"))
        .collect();
    println!(
        "{} answers, {} of them failures",
        responses.len(),
        failed.len()
    );
    assert!(
        failed.is_empty(),
        "{} of {} failed: {:?}",
        failed.len(),
        responses.len(),
        failed.first()
    );
}

fn far_future() -> Instant {
    Instant::now() + Duration::from_secs(3_600)
}

/// Writes the entry of `server`, which began at `born`.
fn write_start(store: &StoreStandin, name: &str, server: &BackendStandin, slots: u32, born: u64) {
    let entry = format!(
        r#"{{"service":"plain","address":"{}","zone":"a","version":"v1","slots":{slots},"state":"ready","cold-remaining-ms":0,"sequence":1,"born":{born}}}"#,
        server.address()
    );
    store.write("keyed.servers", name, entry.as_bytes());
}

/// Guards against requests that go to a server whose answers say that it
/// leaves, while its entry says that it serves (issue 27).
#[test]
fn a_server_that_says_in_its_answers_that_it_leaves_gets_nothing_more() {
    for (path, away) in [
        ("/once/x", false),
        ("/often/x", false),
        ("/once/x", true),
        ("/often/x", true),
    ] {
        let platform = Platform::start();
        platform.add_second_server();
        let fronts = std::slice::from_ref(&platform.front);
        let callers = SteadyCallers::new(fronts, path);
        let mut told = Instant::now();
        let responses = callers.during(|| {
            wait_for("both servers to be used", || {
                !platform.plain.arrivals().is_empty() && !platform.second.arrivals().is_empty()
            });
            if away {
                make_store_unavailable(&platform.store);
            }
            platform.plain.set_extra_headers(DRAINING);
            told = Instant::now();
            thread::sleep(DRAIN_LIMIT + Duration::from_millis(1_500));
        });
        let late = arrivals_between(&platform.plain, told + DRAIN_LIMIT, far_future());
        println!("{path} store away {away}: {late} late arrivals");
        assert_eq!(late, 0, "{path}, store away: {away}");
        check_served(&responses);
    }
}

/// Guards against the same with a stream's head, and against running streams
/// that are cut for it.
#[test]
fn a_stream_whose_head_says_that_the_server_leaves_runs_on_to_its_end() {
    let platform = Platform::start();
    platform
        .engine
        .set_behaviour(BackendBehaviour::Events { count: 40 });
    platform.engine.set_extra_headers(DRAINING);
    let whole = platform.stream("id-1", 100, 120);
    assert!(whole.contains("id: 39\n"), "{whole}");
    assert!(whole.ends_with("0\r\n\r\n"), "{whole}");
    let refused = platform.stream("id-2", 100, 120);
    assert_eq!(status(&refused), "503", "{refused}");
    assert_eq!(platform.engine.requests().len(), 1);
}

/// A failure says it as well as a success; the caller that gets it is told at
/// once that nothing ran when no other server is left.
#[test]
fn a_refusal_at_once_follows_when_all_servers_of_a_service_leave() {
    let platform = Platform::start();
    platform.add_second_server();
    platform.plain.set_behaviour(BackendBehaviour::Fail);
    for server in [&platform.plain, &platform.second] {
        server.set_extra_headers(DRAINING);
    }
    for number in 0..2 {
        platform.call("/once/x", &format!("id-{number}"), "");
    }
    let arrived = platform.plain.requests().len() + platform.second.requests().len();
    assert_eq!(arrived, 2);
    let begun = Instant::now();
    let response = platform.call("/often/x", "id-3", "");
    assert_eq!(status(&response), "503", "{response}");
    assert!(
        response.to_lowercase().contains("retry-after: "),
        "{response}"
    );
    assert!(begun.elapsed() < Duration::from_secs(1), "{response}");
    let arrived = platform.plain.requests().len() + platform.second.requests().len();
    assert_eq!(arrived, 2);
}

/// Guards against a server that comes back into use since its entry was
/// written anew, or lapsed and returned, and against one that started anew and
/// stays avoided.
#[test]
fn a_leaving_server_is_used_again_when_it_has_started_anew_and_not_before() {
    let platform = Platform::start();
    platform.plain.set_extra_headers(DRAINING);
    assert_eq!(status(&platform.call("/once/x", "id-1", "")), "200");
    assert_eq!(status(&platform.call("/once/x", "id-2", "")), "503");
    write_start(&platform.store, "i-plain", &platform.plain, 9, 5);
    thread::sleep(UPDATE_LIMIT);
    assert_eq!(status(&platform.call("/once/x", "id-3", "")), "503");
    platform.store.write("keyed.servers", "i-plain", b"");
    thread::sleep(UPDATE_LIMIT);
    write_start(&platform.store, "i-plain", &platform.plain, 8, 5);
    thread::sleep(UPDATE_LIMIT);
    assert_eq!(status(&platform.call("/once/x", "id-4", "")), "503");
    platform.plain.set_extra_headers("");
    write_start(&platform.store, "i-plain", &platform.plain, 8, 6);
    wait_for("the new start to be used", || {
        status(&platform.call("/once/x", "id-5", "")) == "200"
    });
    platform.plain.set_extra_headers(DRAINING);
    assert_eq!(status(&platform.call("/once/x", "id-6", "")), "200");
    platform.plain.set_extra_headers("");
    write_start(&platform.store, "i-other", &platform.plain, 8, 6);
    wait_for("another server at the address to be used", || {
        status(&platform.call("/once/x", "id-7", "")) == "200"
    });
}

/// Guards against an instance that learns only by its own requests that a
/// server leaves, while the store is away.
#[test]
fn what_one_instance_learns_of_a_leaving_server_holds_for_all() {
    let instances = std::env::var(INSTANCES_VARIABLE);
    let instances = instances.ok().and_then(|text| text.parse().ok());
    let instances = instances.unwrap_or(INSTANCES);
    let store = StoreStandin::start_for(instances);
    store.write("keyed.op", "config", config(1, PREPAID, "").as_bytes());
    let leaving = BackendStandin::start(BackendBehaviour::Respond);
    let staying = BackendStandin::start(BackendBehaviour::Respond);
    write_start(&store, "i-0", &leaving, 8, 5);
    write_start(&store, "i-1", &staying, 8, 5);
    let fronts = start_fronts(&store, instances);
    make_store_unavailable(&store);
    leaving.set_extra_headers(DRAINING);
    wait_for("the server to be used", || {
        let response = fronts[0].call(&request("/often/x", "id-1", ""));
        assert_eq!(status(&response), "200", "{response}");
        !leaving.arrivals().is_empty()
    });
    let told = Instant::now();
    thread::sleep(DRAIN_LIMIT);
    let callers = SteadyCallers::new(&fronts, "/once/x");
    let responses = callers.during(|| thread::sleep(Duration::from_secs(2)));
    let late = arrivals_between(&leaving, told + DRAIN_LIMIT, far_future());
    println!("{instances} instances: {late} late arrivals");
    assert_eq!(late, 0);
    check_served(&responses);
}

/// Guards against requests that reach a server in the time for which it wants
/// none, and against callers who are refused meanwhile (issue 27).
#[test]
fn a_server_that_asks_for_a_pause_gets_it_and_callers_notice_nothing() {
    for (path, pause, frozen) in [
        ("/once/x", "3", false),
        ("/often/x", "2.5", false),
        ("/once/x", "4", true),
    ] {
        let platform = Platform::start();
        platform.add_second_server();
        let fronts = std::slice::from_ref(&platform.front);
        let callers = SteadyCallers::new(fronts, path);
        let mut refused = None;
        let length = Duration::from_secs_f64(pause.parse().expect("a number"));
        let responses = callers.during(|| {
            wait_for("both servers to be used", || {
                !platform.plain.arrivals().is_empty() && !platform.second.arrivals().is_empty()
            });
            let before = platform.plain.arrivals().len();
            platform
                .plain
                .set_extra_headers(&format!("Retry-After: {pause}\r\n"));
            platform.plain.set_behaviour(BackendBehaviour::Refuse);
            wait_for("a refusal", || platform.plain.arrivals().len() > before);
            refused = platform.plain.arrivals().get(before).copied();
            platform.plain.set_behaviour(BackendBehaviour::Respond);
            platform.plain.set_extra_headers("");
            if frozen {
                thread::sleep(Duration::from_millis(300));
                platform.front.signal(Signal::SIGSTOP);
                thread::sleep(Duration::from_millis(1_200));
                platform.front.signal(Signal::SIGCONT);
            }
            thread::sleep(length + Duration::from_secs(1));
        });
        let refused = refused.expect("a refusal");
        let early = arrivals_between(&platform.plain, refused + ON_THE_WAY, refused + length);
        println!("{path} pause {pause}: {early} arrivals within it");
        assert!(early <= PAUSED_LIMIT, "{path}: {early} within the pause");
        let after = arrivals_between(&platform.plain, refused + length, far_future());
        assert!(after > 0, "{path}: the server is not used again");
        check_served(&responses);
    }
}

/// Guards against callers who lose a share of their requests to a server that
/// refuses all that it gets, with a value that is no time or without one.
#[test]
fn a_server_that_refuses_all_that_it_gets_costs_callers_nothing() {
    for value in [
        "",
        "soon",
        "-5",
        "NaN",
        "inf",
        "Wed, 21 Oct 2026 07:28:00 GMT",
        "1e400",
    ] {
        let platform = Platform::start();
        platform.add_second_server();
        let fronts = std::slice::from_ref(&platform.front);
        let callers = SteadyCallers::new(fronts, "/once/x");
        let responses = callers.during(|| {
            let header = format!("Retry-After: {value}\r\n");
            platform.plain.set_extra_headers(&header);
            platform.plain.set_behaviour(BackendBehaviour::Refuse);
            thread::sleep(Duration::from_secs(3));
        });
        println!("value {value:?}");
        check_served(&responses);
        assert_eq!(status(&platform.call("/often/x", "id-1", "")), "200");
    }
}

/// A time beyond what the clock can count holds until the server starts anew.
#[test]
fn a_pause_without_an_end_holds_until_the_server_starts_anew() {
    let platform = Platform::start();
    platform.add_second_server();
    platform.plain.set_extra_headers("Retry-After: 1e300\r\n");
    platform.plain.set_behaviour(BackendBehaviour::Refuse);
    wait_for("a refusal", || {
        let response = platform.call("/often/x", "id-1", "");
        assert_eq!(status(&response), "200", "{response}");
        !platform.plain.arrivals().is_empty()
    });
    platform.plain.set_behaviour(BackendBehaviour::Respond);
    let refused = platform.plain.arrivals().len();
    for number in 0..200 {
        let response = platform.call("/once/x", &format!("id-{number}"), "");
        assert_eq!(status(&response), "200", "{response}");
    }
    assert_eq!(platform.plain.arrivals().len(), refused);
    write_start(&platform.store, "i-plain", &platform.plain, 8, 6);
    let fronts = std::slice::from_ref(&platform.front);
    let responses = SteadyCallers::new(fronts, "/once/x").during(|| {
        wait_for("the new start to be used", || {
            platform.plain.arrivals().len() > refused
        });
    });
    check_served(&responses);
}

/// The time that `response` tells its caller to wait, in seconds.
fn retry_after(response: &str) -> f64 {
    let lower = response.to_lowercase();
    let value = lower.split("retry-after: ").nth(1);
    let value = value.and_then(|rest| rest.split("\r\n").next());
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or_else(|| panic!("no time in {response}"))
}

/// Guards against callers who are told to come back before there is a chance,
/// or all at the same moment.
#[test]
fn callers_are_told_when_the_first_server_is_back_when_all_pause() {
    let platform = Platform::start();
    platform.add_second_server();
    for (server, pause) in [(&platform.plain, 4), (&platform.second, 6)] {
        server.set_extra_headers(&format!("Retry-After: {pause}\r\n"));
        server.set_behaviour(BackendBehaviour::Refuse);
    }
    let begun = Instant::now();
    wait_for("both servers to pause", || {
        let response = platform.call("/often/x", "id-1", "");
        assert_eq!(status(&response), "503", "{response}");
        !platform.plain.arrivals().is_empty() && !platform.second.arrivals().is_empty()
    });
    let first = platform.plain.arrivals()[0] + Duration::from_secs(4);
    let arrived = platform.plain.arrivals().len() + platform.second.arrivals().len();
    let mut told = Vec::new();
    for number in 0..20 {
        let asked = Instant::now();
        let response = platform.call("/once/x", &format!("id-{number}"), "");
        assert_eq!(status(&response), "503", "{response}");
        let back = asked + Duration::from_secs_f64(retry_after(&response));
        // The refusal reached the instance a little later than it was made.
        assert!(back + Duration::from_millis(50) >= first, "{response}");
        assert!(back <= first + Duration::from_millis(1_500), "{response}");
        told.push(back - begun);
    }
    told.sort();
    told.dedup_by_key(|back| back.as_millis() / 20);
    assert!(told.len() > 5, "all return at the same moment: {told:?}");
    let now = platform.plain.arrivals().len() + platform.second.arrivals().len();
    assert_eq!(now, arrived, "a server was asked within its pause");
}

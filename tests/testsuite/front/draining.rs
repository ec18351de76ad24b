//! Servers whose responses say that they are draining, or that they want a pause
//! (`Retry-After`).

use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use platform_standins::BackendBehaviour;
use platform_standins::BackendStandin;
use platform_standins::StoreStandin;

use crate::front::PREPAID;
use crate::front::Platform;
use crate::front::UPDATE_LIMIT;
use crate::front::config;
use crate::front::make_store_unavailable;
use crate::front::request;
use crate::front::start_fronts;
use crate::front::status;
use crate::front::steady_callers::SteadyCallers;
use crate::front::steady_callers::TimedResponse;
use crate::front::wait_for;

/// Header of a server that is draining.
const DRAINING: &str = "Server-Leaving: 1\r\n";
/// Size of a fleet: too large for each instance to monitor all others.
const INSTANCES: usize = 10;
/// Environment variable with another number of instances, for manual runs.
const INSTANCES_VARIABLE: &str = "HIBISCUS_TEST_INSTANCES";
/// Time after the first response with [`DRAINING`] in which requests may still
/// arrive: `drain-timeout-ms` of the tests' settings.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Time after a refusal in which requests that were already sent may arrive.
const IN_TRANSIT_TIME: Duration = Duration::from_millis(500);
/// Number of requests that may arrive between that time and the end of a pause.
const PAUSED_LIMIT: usize = 2;

/// Returns the number of arrivals at `server` after `from` and before `until`.
fn arrivals_between(server: &BackendStandin, from: Instant, until: Instant) -> usize {
    let arrivals = server.arrivals();
    arrivals
        .iter()
        .filter(|at| **at > from && **at < until)
        .count()
}

/// Asserts that all responses have the status 200.
fn check_served(responses: &[TimedResponse]) {
    let failed: Vec<_> = responses
        .iter()
        .filter(|response| status(&response.text) != "200")
        .map(|response| response.text.lines().next().unwrap_or("no answer"))
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

/// Writes the entry of `server` with the start time `born`.
pub(super) fn write_start(
    store: &StoreStandin,
    name: &str,
    server: &BackendStandin,
    slots: u32,
    born: u64,
) {
    let entry = format!(
        r#"{{"service":"plain","address":"{}","zone":"a","version":"v1","slots":{slots},"state":"ready","cold-remaining-ms":0,"sequence":1,"born":{born}}}"#,
        server.address()
    );
    store.write("keyed.servers", name, entry.as_bytes());
}

/// Guards against requests to a server whose responses say that it is draining
/// while its entry says that it is ready (issue 27).
#[test]
fn a_server_whose_responses_say_that_it_is_draining_gets_no_more_requests() {
    for (path, unreachable) in [
        ("/once/x", false),
        ("/often/x", false),
        ("/once/x", true),
        ("/often/x", true),
    ] {
        let platform = Platform::start();
        platform.add_second_server();
        let fronts = std::slice::from_ref(&platform.front);
        let callers = SteadyCallers::new(fronts, path);
        let mut draining_since = Instant::now();
        let responses = callers.during(|| {
            wait_for("both servers to be used", || {
                !platform.plain.arrivals().is_empty() && !platform.second.arrivals().is_empty()
            });
            if unreachable {
                make_store_unavailable(&platform.store);
            }
            platform.plain.set_extra_headers(DRAINING);
            draining_since = Instant::now();
            thread::sleep(DRAIN_LIMIT + Duration::from_millis(1_500));
        });
        let late = arrivals_between(&platform.plain, draining_since + DRAIN_LIMIT, far_future());
        println!("{path} store unreachable {unreachable}: {late} late arrivals");
        assert_eq!(late, 0, "{path}, store unreachable: {unreachable}");
        check_served(&responses);
    }
}

/// Guards against requests to a draining server that says so in the head of a
/// stream, and against running streams that are cut for it.
#[test]
fn a_stream_whose_head_says_that_the_server_is_draining_runs_to_its_end() {
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

/// An error response counts as well as a success. When no other server remains,
/// the caller gets an immediate response that the request did not run.
#[test]
fn requests_are_refused_at_once_when_all_servers_of_a_service_are_draining() {
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
    let started = Instant::now();
    let answer = platform.call("/often/x", "id-3", "");
    assert_eq!(status(&answer), "503", "{answer}");
    assert!(answer.to_lowercase().contains("retry-after: "), "{answer}");
    assert!(started.elapsed() < Duration::from_secs(1), "{answer}");
    let arrived = platform.plain.requests().len() + platform.second.requests().len();
    assert_eq!(arrived, 2);
}

/// Guards against a draining server that is used again because its entry was
/// rewritten, or expired and returned, and against a restarted server that is
/// still avoided.
#[test]
fn a_draining_server_is_used_again_after_its_restart_and_not_before() {
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
    wait_for("another server at the same address to be used", || {
        status(&platform.call("/once/x", "id-7", "")) == "200"
    });
}

/// Guards against instances that detect a draining server only by their own
/// requests while the store is unreachable.
#[test]
fn a_draining_server_that_one_instance_detects_is_avoided_by_all() {
    let instances = std::env::var(INSTANCES_VARIABLE);
    let instances = instances.ok().and_then(|text| text.parse().ok());
    let instances = instances.unwrap_or(INSTANCES);
    let store = StoreStandin::start();
    store.write("keyed.op", "config", config(1, PREPAID, "").as_bytes());
    let draining = BackendStandin::start(BackendBehaviour::Respond);
    let staying = BackendStandin::start(BackendBehaviour::Respond);
    write_start(&store, "i-0", &draining, 8, 5);
    write_start(&store, "i-1", &staying, 8, 5);
    let fronts = start_fronts(&store, instances);
    make_store_unavailable(&store);
    draining.set_extra_headers(DRAINING);
    wait_for("the server to be used", || {
        let answer = fronts[0].call(&request("/often/x", "id-1", ""));
        assert_eq!(status(&answer), "200", "{answer}");
        !draining.arrivals().is_empty()
    });
    let draining_since = Instant::now();
    thread::sleep(DRAIN_LIMIT);
    let callers = SteadyCallers::new(&fronts, "/once/x");
    let responses = callers.during(|| thread::sleep(Duration::from_secs(2)));
    let late = arrivals_between(&draining, draining_since + DRAIN_LIMIT, far_future());
    println!("{instances} instances: {late} late arrivals");
    assert_eq!(late, 0);
    check_served(&responses);
}

/// Guards against requests that reach a server during its requested pause, and
/// against callers who are refused meanwhile (issue 27).
#[test]
fn a_server_gets_its_requested_pause_and_callers_are_served_meanwhile() {
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
        let early = arrivals_between(&platform.plain, refused + IN_TRANSIT_TIME, refused + length);
        println!("{path} pause {pause}: {early} arrivals within it");
        assert!(early <= PAUSED_LIMIT, "{path}: {early} within the pause");
        let after = arrivals_between(&platform.plain, refused + length, far_future());
        assert!(after > 0, "{path}: the server is not used again");
        check_served(&responses);
    }
}

/// Guards against failed requests of callers because one server refuses all its
/// requests, with an invalid or an empty `Retry-After`.
#[test]
fn callers_are_served_when_one_server_refuses_all_requests() {
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

/// A `Retry-After` beyond the range of the clock lasts until the server restarts.
#[test]
fn an_endless_pause_lasts_until_the_server_restarts() {
    let platform = Platform::start();
    platform.add_second_server();
    platform.plain.set_extra_headers("Retry-After: 1e300\r\n");
    platform.plain.set_behaviour(BackendBehaviour::Refuse);
    wait_for("a refusal", || {
        let answer = platform.call("/often/x", "id-1", "");
        assert_eq!(status(&answer), "200", "{answer}");
        !platform.plain.arrivals().is_empty()
    });
    platform.plain.set_behaviour(BackendBehaviour::Respond);
    let refused = platform.plain.arrivals().len();
    for number in 0..200 {
        let answer = platform.call("/once/x", &format!("id-{number}"), "");
        assert_eq!(status(&answer), "200", "{answer}");
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

/// Returns the `Retry-After` time of `response` in seconds.
pub(super) fn retry_after(response: &str) -> f64 {
    let lower = response.to_lowercase();
    let value = lower.split("retry-after: ").nth(1);
    let value = value.and_then(|rest| rest.split("\r\n").next());
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or_else(|| panic!("no retry-after in {response}"))
}

/// Guards against a `Retry-After` to callers that ends before the first pause of a
/// server, or that makes all callers return at the same moment.
#[test]
fn callers_are_told_to_retry_after_the_first_pause_when_all_servers_pause() {
    let platform = Platform::start();
    platform.add_second_server();
    for (server, pause) in [(&platform.plain, 4), (&platform.second, 6)] {
        server.set_extra_headers(&format!("Retry-After: {pause}\r\n"));
        server.set_behaviour(BackendBehaviour::Refuse);
    }
    let started = Instant::now();
    wait_for("both servers to pause", || {
        let answer = platform.call("/often/x", "id-1", "");
        assert_eq!(status(&answer), "503", "{answer}");
        !platform.plain.arrivals().is_empty() && !platform.second.arrivals().is_empty()
    });
    let first = platform.plain.arrivals()[0] + Duration::from_secs(4);
    let arrived = platform.plain.arrivals().len() + platform.second.arrivals().len();
    let mut retry_times = Vec::new();
    for number in 0..20 {
        let sent = Instant::now();
        let answer = platform.call("/once/x", &format!("id-{number}"), "");
        assert_eq!(status(&answer), "503", "{answer}");
        let back = sent + Duration::from_secs_f64(retry_after(&answer));
        // The pause starts when the refusal reaches the instance, a little later.
        assert!(back + Duration::from_millis(50) >= first, "{answer}");
        assert!(back <= first + Duration::from_millis(1_500), "{answer}");
        retry_times.push(back - started);
    }
    retry_times.sort();
    retry_times.dedup_by_key(|back| back.as_millis() / 20);
    assert!(
        retry_times.len() > 5,
        "all return at the same moment: {retry_times:?}"
    );
    let now = platform.plain.arrivals().len() + platform.second.arrivals().len();
    assert_eq!(now, arrived, "a server got a request during its pause");
}

//! Planned stops of router processes.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_support::EngineStandin;
use hibiscus_support::PlainStandin;
use hibiscus_support::engine::EngineBehaviour;
use hibiscus_support::requests;
use hibiscus_support::requests::CallerReply;
use hibiscus_support::requests::RequestFleet;
use nix::sys::signal::Signal;

/// Streams open when the stop begins.
const STREAMS: usize = 50;
/// Tokens of each answer.
const LENGTH: usize = 100;
/// Time for which callers may keep an address, in milliseconds.
const LIFETIME_MS: u64 = 1_500;
/// Give-up limit of waits.
const LIMIT: Duration = Duration::from_secs(30);
/// Time between looks of a wait.
const POLL: Duration = Duration::from_millis(20);
/// Exit code of a stop that a second signal forced.
const EXIT_FORCED: i32 = 4;

/// Three routers before one engine.
fn stop_fleet() -> (RequestFleet, EngineStandin, PlainStandin) {
    let engine = EngineStandin::start(EngineBehaviour {
        token_interval: Duration::from_millis(40),
        ..EngineBehaviour::default()
    });
    let service = PlainStandin::start();
    let fleet = RequestFleet::start(3, Duration::ZERO, |settings| {
        settings.limits.address_lifetime_ms = LIFETIME_MS;
    });
    let platform = &fleet.platform;
    platform.list_server("engine-1", "stylist-llm", "regina", engine.address());
    platform.list_server("book-1", "tailorbook", "regina", service.address());
    fleet.wait_ready();
    (fleet, engine, service)
}

/// Waits for `check`.
fn wait_for<F: FnMut() -> bool>(what: &str, mut check: F) {
    let deadline = Instant::now() + LIMIT;
    while !check() {
        assert!(Instant::now() < deadline, "gave up waiting for {what}");
        thread::sleep(POLL);
    }
}

#[test]
fn a_planned_stop_cuts_no_stream_and_refuses_new_requests_with_other_addresses() {
    let (mut fleet, engine, _service) = stop_fleet();
    let address = fleet.address(0);
    let mut callers = Vec::new();
    for index in 0..STREAMS {
        callers.push(thread::spawn(move || {
            let key = format!("stop-{index}");
            let prompt = format!("fit{index} len={LENGTH}");
            // Until allowance has grown to so many requests, some are refused.
            let mut last = CallerReply::default();
            wait_for("an accepted stream", || {
                last = requests::stream_chat(address, &key, &prompt);
                last.outcome != "not-run"
            });
            last
        }));
    }
    wait_for("all streams", || engine.running() == STREAMS);
    fleet.routers[0].signal(Signal::SIGTERM);
    wait_for("a refusal", || {
        let reply = requests::stream_chat(address, "stop-new", "late len=4");
        if reply.code() != "stopping" {
            return false;
        }
        assert_eq!((reply.status, reply.outcome.as_str()), (503, "not-run"));
        assert!(
            reply.body.contains(&fleet.address(1).to_string()),
            "{reply:?}"
        );
        true
    });
    for (index, caller) in callers.into_iter().enumerate() {
        let reply = caller.join().expect("the caller ends");
        assert!(reply.has_end(), "stream {index}: {reply:?}");
        let last = format!("fit{index}.{} ", LENGTH - 1);
        assert!(reply.streamed_text().ends_with(&last), "{reply:?}");
    }
    let status = fleet.routers[0].wait(LIMIT).expect("the process ends");
    assert_eq!(status.code(), Some(0));
}

#[test]
fn a_second_signal_ends_a_planned_stop_at_once() {
    let (mut fleet, engine, _service) = stop_fleet();
    let address = fleet.address(0);
    let caller = thread::spawn(move || {
        requests::stream_chat(address, "forced", "slow len=500");
    });
    wait_for("the stream", || engine.running() == 1);
    fleet.routers[0].signal(Signal::SIGTERM);
    wait_for("the stop", || {
        requests::stream_chat(address, "forced-new", "late len=4").code() == "stopping"
    });
    fleet.routers[0].signal(Signal::SIGTERM);
    let status = fleet.routers[0].wait(LIMIT).expect("the process ends");
    assert_eq!(status.code(), Some(EXIT_FORCED));
    caller.join().expect("the caller ends");
}

//! Planned stops of router processes.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_support::EngineStandin;
use hibiscus_support::PlainStandin;
use hibiscus_support::engine::EngineBehaviour;
use hibiscus_support::log::LogFaults;
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
/// Bytes of a token of a large answer, and its tokens: more than the buffers
/// of a loopback connection hold.
const LARGE_TOKEN: usize = 16 * 1024;
const LARGE_LENGTH: usize = 1_000;
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
fn a_planned_stop_waits_for_a_caller_that_reads_slowly() {
    let (mut fleet, engine, _service) = stop_fleet();
    engine.set_behaviour(EngineBehaviour {
        token_interval: Duration::ZERO,
        ..EngineBehaviour::default()
    });
    let marker = "m".repeat(LARGE_TOKEN);
    let body = format!(
        "{{\"model\":\"stylist\",\"max_tokens\":{LARGE_LENGTH},\"messages\":\
         [{{\"role\":\"user\",\"content\":\"{marker} len={LARGE_LENGTH}\"}}]}}"
    );
    let mut caller = TcpStream::connect(fleet.address(0)).expect("the port accepts");
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\nconnection: close\r\n\
         authorization: Bearer regina-example-key\r\nidempotency-key: large\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    caller
        .write_all(request.as_bytes())
        .expect("the port takes the request");
    let ran = || {
        engine
            .runs()
            .iter()
            .any(|run| run.request_id == "large" && run.whole)
    };
    wait_for("the whole run", ran);
    fleet.routers[0].signal(Signal::SIGTERM);
    let early = fleet.routers[0].wait(Duration::from_millis(3 * LIFETIME_MS));
    let mut answer = Vec::new();
    caller
        .read_to_end(&mut answer)
        .expect("the answer is not broken off");
    assert!(answer.ends_with(b"}"), "the answer is cut");
    assert!(
        answer.len() > LARGE_TOKEN * LARGE_LENGTH,
        "{}",
        answer.len()
    );
    assert_eq!(early, None, "the process ended before its caller had read");
    let status = fleet.routers[0].wait(LIMIT).expect("the process ends");
    assert_eq!(status.code(), Some(0));
}

#[test]
fn charges_survive_planned_stops_of_both_witnesses_while_the_log_is_down() {
    let (mut fleet, _engine, _service) = stop_fleet();
    let address = fleet.address(0);
    let answer = |key: &str| {
        wait_for("an answer", || {
            requests::stream_chat(address, key, "fit len=4").has_end()
        });
    };
    answer("before");
    fleet.platform.log.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    answer("during");
    for index in [1, 2] {
        fleet.routers[index].signal(Signal::SIGTERM);
        let status = fleet.routers[index].wait(LIMIT).expect("the process ends");
        assert_eq!(status.code(), Some(0));
    }
    fleet.platform.log.set_faults(LogFaults::default());
    wait_for("the charge", || !fleet.charges_of("during").is_empty());
    assert_eq!(fleet.charges_of("during").len(), 1);
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

//! Failures known from operators of similar systems, reproduced on this daemon.

use std::collections::BTreeSet;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use platform_standins::BackendBehaviour;
use platform_standins::FrontProcess;
use platform_standins::TruncatedFraming;

use crate::front::PREPAID;
use crate::front::Platform;
use crate::front::config;
use crate::front::count_logs;
use crate::front::request;
use crate::front::start_fronts;
use crate::front::status;
use crate::front::wait_for;
use crate::front::write_server;

/// Number of concurrent callers.
const CALLERS: usize = 8;

/// Guards against requests that are taken late in a planned stop and cut at its end (issue 45,
/// LOST; report of an operator).
#[test]
fn a_request_that_a_planned_stop_would_cut_is_refused() {
    let mut platform = Platform::start();
    let route = r#",{"name":"r-long","hostname":"h.example","path-prefix":"/long/","route-type":"non_idempotent","timeout-ms":15000,"target-latency-ms":500,"priority":1,"service":"plain","allow-anonymous":false,"max-attempts":1}"#;
    let text = config(2, PREPAID, route);
    platform.store.write("keyed.op", "config", text.as_bytes());
    let line = "HS2001 configuration version is in force version=2 ";
    wait_for(line, || {
        count_logs(std::slice::from_ref(&platform.front), line) == 1
    });
    platform.front.signal(Signal::SIGTERM);
    thread::sleep(Duration::from_millis(2_800));
    let short = platform.call("/once/x", "id-short", "");
    assert_eq!(status(&short), "200", "{short}");
    let behaviour = BackendBehaviour::Delayed(Duration::from_secs(6));
    platform.plain.set_behaviour(behaviour);
    let long = request("/long/x", "id-long", "");
    let long = long.replace("Deadline-Ms: 2500", "Deadline-Ms: 12000");
    let response = platform.front.call(&long);
    assert_eq!(status(&response), "503", "{response}");
    let status = platform.front.wait(Duration::from_secs(10));
    assert!(status.expect("the instance ends").success());
}

/// Guards against a duplicate response that arrives late and is forwarded to the
/// next caller whose request uses the connection.
#[test]
fn an_answer_that_is_sent_twice_reaches_nobody_else() {
    for pause in [0, 1, 5, 20, 60] {
        let platform = Platform::start();
        let pause = Duration::from_millis(pause);
        platform
            .plain
            .set_behaviour(BackendBehaviour::DuplicateResponse(pause));
        let platform = &platform;
        thread::scope(|scope| {
            for caller in 0..CALLERS {
                scope.spawn(move || {
                    for number in 0..25 {
                        let id = format!("id-{caller}-{number}");
                        let path = if number % 2 == 0 {
                            "/once/x"
                        } else {
                            "/often/x"
                        };
                        let response = platform.call(path, &id, "");
                        let own = response.ends_with(&format!("for {id}"));
                        assert!(
                            own || !response.contains("for id-"),
                            "{id} got another request's response: {response}"
                        );
                        assert!(own || status(&response) == "502", "{id}: {response}");
                    }
                });
            }
        });
        let requests = platform.plain.requests();
        let connections = platform.plain.connections();
        println!(
            "{pause:?}: {} requests on {connections} connections",
            requests.len()
        );
    }
}

/// Outcome of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CallOutcome {
    /// The complete response was received.
    Whole(String),
    /// The connection was refused, so nothing was sent.
    NotConnected,
    /// The connection ended before the complete response; holds the received part.
    Cut(String),
}

/// Returns whether `response` is complete.
fn is_whole(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_lowercase();
    if head.contains("transfer-encoding: chunked") {
        return body.ends_with("0\r\n\r\n");
    }
    let length = head.split("content-length: ").nth(1);
    let length = length.and_then(|rest| rest.lines().next()?.trim().parse().ok());
    body.len() >= length.unwrap_or(0)
}

/// Sends `text` on `stream` and reads one response.
fn exchange_on(stream: &mut TcpStream, text: &str) -> CallOutcome {
    let _limit = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let mut response = String::new();
    if stream.write_all(text.as_bytes()).is_err() {
        return CallOutcome::Cut(response);
    }
    let mut buffer = [0; 4_096];
    while !is_whole(&response) {
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => {
                response.push_str(&String::from_utf8_lossy(&buffer[..count]));
            }
            _ended => return CallOutcome::Cut(response),
        }
    }
    CallOutcome::Whole(response)
}

/// Sends requests on new connections until `stop` is set.
fn call_on_new_connections(
    callers: SocketAddr,
    path: &str,
    name: &str,
    stop: &AtomicBool,
) -> Vec<CallOutcome> {
    let mut outcomes = Vec::new();
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let Ok(mut stream) = TcpStream::connect(callers) else {
            outcomes.push(CallOutcome::NotConnected);
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        let id = format!("{name}-{number}");
        let text = request(path, &id, "Token-Counts: 10,15\r\n");
        outcomes.push(exchange_on(&mut stream, &text));
    }
    outcomes
}

/// Guards against a refusal although a server is available: a kept connection to
/// it is closed because of a duplicate response while the next request is being
/// sent on it.
#[test]
fn a_request_whose_kept_connection_ends_is_sent_on_a_new_one() {
    const PAUSE: Duration = Duration::from_millis(500);
    /// Time after which all threads of the process have stopped.
    const STOPPED: Duration = Duration::from_millis(50);
    let platform = Platform::start();
    platform
        .plain
        .set_behaviour(BackendBehaviour::DuplicateResponse(PAUSE));
    for path in ["/once/x", "/often/x"] {
        for number in 0..5 {
            let mut stream = TcpStream::connect(platform.front.ports.callers).expect("a caller");
            let mut call = |id: &str| {
                let text = request(path, id, "").replace("Connection: close\r\n", "");
                stream.write_all(text.as_bytes()).expect("sent");
                stream.try_clone().expect("a stream")
            };
            let first = exchange_on(&mut call(&format!("first-{number}")), "");
            assert!(matches!(first, CallOutcome::Whole(_)), "{first:?}");
            platform.front.signal(Signal::SIGSTOP);
            thread::sleep(STOPPED);
            // The instance reads the request before the end of the kept connection.
            let id = format!("second-{number}");
            let mut second = call(&id);
            thread::sleep(PAUSE + Duration::from_millis(100));
            platform.front.signal(Signal::SIGCONT);
            let CallOutcome::Whole(response) = exchange_on(&mut second, "") else {
                panic!("{path} {id}: no complete response");
            };
            assert_eq!(status(&response), "200", "{path} {id}: {response}");
            assert!(
                response.ends_with(&format!("for {id}")),
                "{path}: {response}"
            );
        }
    }
}

/// As [`call_on_new_connections`], but reuses connections; returns the ids of
/// requests without a complete response.
fn call_on_kept_connections(
    callers: SocketAddr,
    path: &str,
    name: &str,
    stop: &AtomicBool,
) -> Vec<String> {
    let mut cut = Vec::new();
    let mut kept: Option<TcpStream> = None;
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let id = format!("{name}-{number}");
        let Some(mut stream) = kept.take().or_else(|| TcpStream::connect(callers).ok()) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        let text =
            request(path, &id, "Token-Counts: 10,15\r\n").replace("Connection: close\r\n", "");
        match exchange_on(&mut stream, &text) {
            CallOutcome::Whole(response)
                if !response.to_lowercase().contains("connection: close") =>
            {
                kept = Some(stream);
            }
            CallOutcome::Whole(_) | CallOutcome::NotConnected => {}
            CallOutcome::Cut(_) => cut.push(id),
        }
    }
    cut
}

/// Guards against accepted requests that get no response when the process exits.
#[test]
fn a_planned_stop_under_load_answers_all_that_it_has_accepted() {
    let mut platform = Platform::start();
    let callers = platform.front.ports.callers;
    let stop = AtomicBool::new(false);
    let (on_new, cut) = thread::scope(|scope| {
        let stop = &stop;
        let on_new: Vec<_> = (0..CALLERS)
            .map(|number| {
                let path = ["/once/x", "/often/x", "/stream/x"][number % 3];
                scope.spawn(move || {
                    call_on_new_connections(callers, path, &format!("new-{number}"), stop)
                })
            })
            .collect();
        let kept: Vec<_> = (0..CALLERS)
            .map(|number| {
                let path = ["/once/x", "/often/x", "/stream/x"][number % 3];
                scope.spawn(move || {
                    call_on_kept_connections(callers, path, &format!("kept-{number}"), stop)
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(700));
        platform.front.signal(Signal::SIGTERM);
        let ended = platform.front.wait(Duration::from_secs(10));
        assert!(ended.is_some_and(|ended| ended.success()), "{ended:?}");
        thread::sleep(Duration::from_millis(200));
        stop.store(true, Ordering::Relaxed);
        let on_new = on_new.into_iter().map(|caller| caller.join());
        let on_new: Vec<_> = on_new
            .flat_map(|outcomes| outcomes.expect("a caller ends"))
            .collect();
        let kept = kept.into_iter().map(|caller| caller.join());
        let cut: Vec<_> = kept.flat_map(|cut| cut.expect("a caller ends")).collect();
        (on_new, cut)
    });
    let served = on_new
        .iter()
        .filter(|outcome| matches!(outcome, CallOutcome::Whole(_)));
    let bad: Vec<_> = on_new
        .iter()
        .filter(|outcome| matches!(outcome, CallOutcome::Cut(_)))
        .collect();
    println!(
        "{} complete, {} cut on new connections, {} on kept connections",
        served.count(),
        bad.len(),
        cut.len()
    );
    assert!(bad.is_empty(), "{bad:?}");
    // The instance may close a kept connection while a request is sent on it; such
    // a request must not have been forwarded.
    let ran: BTreeSet<String> = [&platform.plain, &platform.engine]
        .iter()
        .flat_map(|server| server.requests())
        .filter_map(|request| request.header("request-id").map(str::to_owned))
        .collect();
    let lost: Vec<_> = cut.iter().filter(|id| ran.contains(*id)).collect();
    assert!(lost.is_empty(), "forwarded without a response: {lost:?}");
    assert!(cut.len() <= CALLERS, "{cut:?}");
}

/// Guards against slow streams that are cut off, and stalled streams that never
/// end because a byte arrives now and then.
#[test]
fn a_slow_stream_passes_whole_and_a_stalled_one_ends_at_its_deadline() {
    let platform = Platform::start();
    let slow = BackendBehaviour::SlowEvents {
        count: 4,
        pause: Duration::from_millis(550),
    };
    platform.engine.set_behaviour(slow);
    let platform = &platform;
    thread::scope(|scope| {
        let slow = scope.spawn(|| platform.stream("id-slow", 10, 15));
        wait_for("the slow stream", || !platform.engine.requests().is_empty());
        let stalled = BackendBehaviour::Stalled(Duration::from_millis(100));
        platform.engine.set_behaviour(stalled);
        let started = Instant::now();
        let stalled = platform.stream("id-stalled", 10, 15);
        let taken = started.elapsed();
        assert!(stalled.contains("id: 0\n"), "{stalled}");
        assert!(!is_whole(&stalled), "{stalled}");
        // The deadline of the request is 2.5 s.
        assert!(taken >= Duration::from_millis(2_400), "{taken:?}");
        assert!(taken < Duration::from_millis(4_000), "{taken:?}");
        let slow = slow.join().expect("a caller ends");
        assert!(slow.contains("id: 3\n") && is_whole(&slow), "{slow}");
    });
}

/// Guards against two active processes of one instance: the second process cannot
/// open the ports while the first exists, even if the first is frozen, and so
/// does not close the accounts of the first.
#[test]
fn a_second_process_of_an_instance_does_nothing_while_the_first_lives() {
    let platform = Platform::start();
    assert_eq!(status(&platform.stream("id-1", 1_000, 15)), "200");
    platform.front.signal(Signal::SIGSTOP);
    let ports = platform.front.ports;
    let mut second = FrontProcess::start("front-1", ports, platform.store.address());
    let ended = second.wait(Duration::from_secs(10));
    assert!(ended.is_some_and(|ended| !ended.success()), "{ended:?}");
    let log = std::fs::read_to_string(second.log_file()).expect("a log");
    assert!(
        !log.contains("HS3105"),
        "the second process closed an account: {log}"
    );
    platform.front.signal(Signal::SIGCONT);
    let mut spent = 1_000 + 15;
    for number in 0.. {
        let response = platform.stream(&format!("id-more-{number}"), 9_000, 15);
        if status(&response) != "200" {
            break;
        }
        spent += 9_000 + 15;
    }
    assert!(spent <= crate::front::PREPAID, "{spent} tokens");
    assert!(spent > crate::front::PREPAID * 8 / 10, "{spent} tokens");
}

/// Guards against requests in progress that are repeated elsewhere or aborted
/// because their instance was unresponsive for a while.
#[test]
fn a_frozen_instance_goes_on_with_its_streams_and_nobody_repeats_them() {
    let platform = Platform::start();
    let others = start_fronts(&platform.store, 2);
    let events = BackendBehaviour::SlowEvents {
        count: 12,
        pause: Duration::from_millis(150),
    };
    platform.engine.set_behaviour(events);
    let platform = &platform;
    thread::scope(|scope| {
        let streams: Vec<_> = (0..4)
            .map(|number| scope.spawn(move || platform.stream(&format!("id-{number}"), 10, 60)))
            .collect();
        wait_for("the streams", || platform.engine.requests().len() == 4);
        platform.front.signal(Signal::SIGSTOP);
        thread::sleep(Duration::from_millis(1_300));
        platform.front.signal(Signal::SIGCONT);
        for stream in streams {
            let answer = stream.join().expect("a caller ends");
            assert!(answer.contains("id: 11\n") && is_whole(&answer), "{answer}");
        }
    });
    assert_eq!(platform.engine.requests().len(), 4);
    drop(others);
}

/// Guards against a truncated response that looks complete, for each framing of a
/// response.
#[test]
fn an_answer_that_ends_early_never_looks_whole() {
    for end in [
        TruncatedFraming::Length,
        TruncatedFraming::Chunks,
        TruncatedFraming::Connection,
    ] {
        let platform = Platform::start();
        for (server, name) in [(&platform.engine, "engine"), (&platform.plain, "plain")] {
            server.set_behaviour(BackendBehaviour::Truncated(end));
            write_server(&platform.store, &format!("i-{name}"), name, server, "ready");
        }
        let stream = platform.stream("id-1", 10, 60);
        assert!(stream.contains("id: 1\n"), "{end:?}: {stream}");
        assert!(!stream.ends_with("0\r\n\r\n"), "{end:?}: {stream}");
        for path in ["/once/x", "/often/x"] {
            let response = platform.call(path, "id-2", "");
            assert_eq!(status(&response), "502", "{end:?} {path}: {response}");
        }
        assert_eq!(platform.engine.requests().len(), 1);
    }
}

/// Guards against a request that is aborted because its server was unresponsive
/// for a while, although no other server is available.
#[test]
fn a_request_at_the_only_server_is_not_given_up_while_that_is_silent() {
    let platform = Platform::start();
    let late = BackendBehaviour::Delayed(Duration::from_millis(1_200));
    platform.plain.set_behaviour(late);
    let answer = platform.call("/often/x", "id-1", "");
    assert_eq!(status(&answer), "200", "{answer}");
    assert!(answer.ends_with("for id-1"), "{answer}");
    assert_eq!(platform.plain.requests().len(), 1);
}

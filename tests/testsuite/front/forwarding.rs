//! Forwarding of requests and responses, and proofs that a request did not run.

use std::thread;

use platform_standins::BackendBehaviour;
use platform_standins::FrontProcess;
use platform_standins::StoreFaults;
use platform_standins::StoreStandin;
use platform_standins::front::FrontPorts;

use crate::front::POLL_INTERVAL;
use crate::front::Platform;
use crate::front::request;
use crate::front::status;
use crate::front::wait_for;

#[test]
fn a_response_is_forwarded_unchanged_and_the_server_gets_the_fleets_headers() {
    let platform = Platform::start();
    let answer = platform.call("/once/x?q=1", "id-1", "Tenant: forged\r\nX-Own: kept\r\n");
    assert_eq!(status(&answer), "200", "{answer}");
    assert!(
        answer.to_lowercase().contains("response-seal: seal-id-1"),
        "{answer}"
    );
    assert!(answer.ends_with("done"), "{answer}");
    let requests = platform.plain.requests();
    assert_eq!(requests.len(), 1);
    let seen = &requests[0];
    assert_eq!(seen.line, "POST /once/x?q=1 HTTP/1.1");
    assert_eq!(seen.body, b"body");
    assert_eq!(seen.header("tenant"), Some("team-a"));
    assert_eq!(seen.header("expect-instance"), Some("i-plain"));
    assert_eq!(seen.header("x-own"), Some("kept"));
    assert_eq!(seen.header("authorization"), None);
    let left: u64 = seen
        .header("deadline-ms")
        .and_then(|text| text.parse().ok())
        .expect("a deadline");
    assert!((1_000..=2_500).contains(&left), "{left}");
}

#[test]
fn a_stream_is_forwarded_whole_and_a_truncated_one_does_not_look_complete() {
    let platform = Platform::start();
    let whole = platform.stream("id-1", 100, 30);
    assert_eq!(status(&whole), "200", "{whole}");
    for number in 0..5 {
        assert!(whole.contains(&format!("id: {number}\n")), "{whole}");
    }
    assert!(whole.ends_with("0\r\n\r\n"), "{whole}");
    for behaviour in [
        BackendBehaviour::TruncatedEvents,
        BackendBehaviour::MissingEvent,
    ] {
        platform.engine.set_behaviour(behaviour);
        let cut = platform.stream("id-2", 100, 30);
        assert!(cut.contains("id: 1\n"), "{behaviour:?}: {cut}");
        assert!(!cut.ends_with("0\r\n\r\n"), "{behaviour:?}: {cut}");
    }
}

#[test]
fn a_request_that_the_configuration_does_not_allow_reaches_no_server() {
    let platform = Platform::start();
    assert_eq!(status(&platform.call("/nowhere/x", "id-1", "")), "404");
    let unknown = request("/once/x", "id-2", "").replace("key-a", "key-b");
    assert_eq!(status(&platform.front.call(&unknown)), "401");
    let counts = platform.call("/stream/x", "id-4", "Token-Counts: many\r\n");
    assert_eq!(status(&counts), "400");
    assert!(platform.plain.requests().is_empty());
    assert!(platform.engine.requests().is_empty());
}

#[test]
fn an_instance_without_a_configuration_responds_that_the_request_did_not_run() {
    let store = StoreStandin::start();
    store.set_faults(StoreFaults {
        refuse: Some(503),
        ..StoreFaults::default()
    });
    let front = FrontProcess::start("front-1", FrontPorts::find(), store.address());
    wait_for("the port", || {
        !front.call(&request("/once/x", "id-1", "")).is_empty()
    });
    let answer = front.call(&request("/once/x", "id-1", ""));
    assert_eq!(status(&answer), "503", "{answer}");
    assert!(answer.to_lowercase().contains("retry-after: "), "{answer}");
    assert!(!front.is_ready());
}

/// Guards against request smuggling: a request with a length and chunked encoding
/// is read by its chunks alone, and its body is not a second request.
#[test]
fn a_request_with_a_length_and_chunks_is_forwarded_with_one_framing() {
    let platform = Platform::start();
    let inner = request("/once/inner", "id-inner", "");
    let text = request("/once/x", "id-1", "Transfer-Encoding: chunked\r\n").replace(
        "\r\n\r\nbody",
        &format!("\r\n\r\n{:x}\r\n{inner}\r\n0\r\n\r\n", inner.len()),
    );
    assert_eq!(status(&platform.front.call(&text)), "200");
    let requests = platform.plain.requests();
    assert_eq!(requests.len(), 1);
    assert_eq!(requests[0].header("request-id"), Some("id-1"));
    assert_eq!(requests[0].header("transfer-encoding"), None);
    assert_eq!(requests[0].body, inner.as_bytes());
}

/// Checks the status that callers get for each behaviour of the server, for a
/// request that may run only once and for one that may be retried.
#[test]
fn a_response_that_a_request_did_not_run_needs_the_servers_proof() {
    let rows = [
        (BackendBehaviour::Respond, "200", "200"),
        (BackendBehaviour::Refuse, "503", "503"),
        (BackendBehaviour::RefuseWithoutProof, "502", "502"),
        (BackendBehaviour::WrongRequestId, "502", "502"),
        (BackendBehaviour::Unsigned, "502", "502"),
        (BackendBehaviour::Reset, "502", "502"),
        (BackendBehaviour::Fail, "500", "500"),
        (BackendBehaviour::CloseDelimited, "200", "200"),
    ];
    for (behaviour, once, often) in rows {
        let platform = Platform::start();
        platform.plain.set_behaviour(behaviour);
        let answer = platform.call("/once/x", "id-1", "");
        assert_eq!(status(&answer), once, "{behaviour:?}: {answer}");
        let runs = platform.plain.requests().len();
        assert_eq!(
            runs, 1,
            "{behaviour:?}: a request that may run once was sent {runs} times"
        );
        let answer = platform.call("/often/x", "id-2", "");
        assert_eq!(status(&answer), often, "{behaviour:?}: {answer}");
        assert!(
            !answer.contains("theirs") && !answer.contains("unsigned"),
            "{answer}"
        );
    }
}

#[test]
fn an_idempotent_request_is_retried_at_another_server() {
    let platform = Platform::start();
    platform.add_second_server();
    for behaviour in [
        BackendBehaviour::Refuse,
        BackendBehaviour::Reset,
        BackendBehaviour::Fail,
        BackendBehaviour::WrongRequestId,
    ] {
        platform.plain.set_behaviour(behaviour);
        for number in 0..4 {
            let response = platform.call("/often/x", &format!("id-{number}"), "");
            assert_eq!(status(&response), "200", "{behaviour:?}: {response}");
        }
    }
}

#[test]
fn bytes_after_a_response_are_not_used_for_another_request() {
    let platform = Platform::start();
    platform
        .plain
        .set_behaviour(BackendBehaviour::ExtraResponse);
    for number in 0..6 {
        let answer = platform.call("/once/x", &format!("id-{number}"), "");
        assert!(!answer.contains("theirs"), "{answer}");
    }
}

#[test]
fn connections_to_servers_are_reused() {
    let platform = Platform::start();
    for number in 0..10 {
        let answer = platform.call("/once/x", &format!("id-{number}"), "");
        assert_eq!(status(&answer), "200", "{answer}");
        thread::sleep(POLL_INTERVAL);
    }
    assert!(
        platform.plain.connections() <= 2,
        "{}",
        platform.plain.connections()
    );
}

/// Guards against a stream without a length or chunks that breaks off inside an event or
/// before the first one and looks complete (issue 38).
#[test]
fn a_stream_that_ends_with_its_connection_is_whole_only_after_an_event() {
    let platform = Platform::start();
    for (count, partial, is_whole) in [(4, false, true), (4, true, false), (0, false, false)] {
        let behaviour = BackendBehaviour::UnframedEvents { count, partial };
        platform.engine.set_behaviour(behaviour);
        let text = platform.stream("id-1", 100, 30);
        assert_eq!(text.contains("id: 3\n"), count > 0, "{behaviour:?}: {text}");
        assert_eq!(
            text.ends_with("0\r\n\r\n"),
            is_whole,
            "{behaviour:?}: {text}"
        );
    }
}

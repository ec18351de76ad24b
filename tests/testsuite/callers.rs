//! The callers' port against bad input, slow callers and too many of them.

use std::fs;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use hibiscus_router::callers::answer;
use hibiscus_router::settings::LimitSettings;
use hibiscus_support::example::API_KEY;
use hibiscus_support::example::CHAT_BODY;
use hibiscus_support::example::ExampleFleet;
use hibiscus_types::RefusalReason;
use serde_json::Value;

/// The page that documents the port.
const PAGE: &str = include_str!("../../docs/callers.md");
/// Time that the fleet may take to answer its first request.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time after which a read on a test's own socket is given up.
const READ_LIMIT: Duration = Duration::from_secs(20);
/// Memory that a router may take, in KiB: the users' bound for a daemon.
const MEMORY_LIMIT_KIB: u64 = 64 * 1024;
/// Beginning of an answer with a result.
const STATUS_LINE: &[u8; 12] = b"HTTP/1.1 200";
/// The example, of which callers use the first instance.
struct CallerFleet {
    example: ExampleFleet,
}

/// An answer as it stood on the wire.
struct RawAnswer {
    status: u16,
    head: String,
    body: String,
}

impl CallerFleet {
    /// Starts a fleet whose processes have `limits`.
    fn start(limits: &LimitSettings) -> Self {
        Self {
            example: ExampleFleet::start(limits),
        }
    }

    /// Address of the first process.
    fn address(&self) -> SocketAddr {
        self.example.routers[0].addresses.callers
    }

    /// Sends `bytes` and reads until the connection is closed.
    fn exchange(&self, bytes: &[u8]) -> RawAnswer {
        let mut stream = self.connect();
        stream.write_all(bytes).expect("the port takes the bytes");
        read_answer(&mut stream)
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address()).expect("the port accepts");
        stream
            .set_read_timeout(Some(READ_LIMIT))
            .expect("the limit is set");
        stream
    }

    /// The answer to a request that every check accepts.
    fn good_answer(&self) -> RawAnswer {
        self.exchange(&chat_request("", CHAT_BODY))
    }

    /// Begins a stream that does not end. The place of the request before is
    /// free soon after its answer, not at once: tries until one begins.
    fn hang(&self) -> TcpStream {
        let body = CHAT_BODY
            .replace("len=4", "hang")
            .replace("{\"model\"", "{\"stream\":true,\"model\"");
        let deadline = Instant::now() + READY_LIMIT;
        while Instant::now() < deadline {
            let mut stream = self.connect();
            stream
                .write_all(&chat_request("", &body))
                .expect("the port takes the bytes");
            let mut status = [0; STATUS_LINE.len()];
            stream.read_exact(&mut status).expect("an answer begins");
            if status == *STATUS_LINE {
                return stream;
            }
        }
        panic!("no stream begins");
    }

    /// Resident memory of the first process, in KiB.
    fn memory_kib(&self) -> u64 {
        self.status_field("VmRSS:")
    }

    /// Threads of the first process.
    fn threads(&self) -> u64 {
        self.status_field("Threads:")
    }

    fn status_field(&self, name: &str) -> u64 {
        let path = format!("/proc/{}/status", self.example.routers[0].id());
        let status = fs::read_to_string(path).expect("the process is there");
        status
            .lines()
            .find_map(|line| line.strip_prefix(name))
            .and_then(|rest| rest.split_whitespace().next()?.parse().ok())
            .expect("the kernel names the field")
    }
}

impl RawAnswer {
    /// The error that the body holds.
    fn error(&self) -> Value {
        let body: Value = serde_json::from_str(&self.body)
            .unwrap_or_else(|error| panic!("{error}: {} {}", self.head, self.body));
        body["error"].clone()
    }

    /// Checks a refusal: status, code, message and that nothing ran.
    fn assert_refused(&self, status: u16, code: &str, message: &str) {
        assert_eq!(self.status, status, "{} {}", self.head, self.body);
        assert!(
            self.head.contains("x-hibiscus-outcome: not-run"),
            "{}",
            self.head
        );
        let error = self.error();
        assert_eq!(error["code"], code, "{error}");
        assert_eq!(error["message"], message, "{error}");
    }
}

/// A chat request with more headers, closed after its answer.
fn chat_request(headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\nconnection: close\r\n\
         authorization: Bearer {API_KEY}\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    )
    .into_bytes()
}

/// Reads one answer up to the close of its connection. A reset after the
/// answer is the close of a connection with unread bytes.
fn read_answer(stream: &mut TcpStream) -> RawAnswer {
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    loop {
        match stream.read(&mut part) {
            Ok(0) => break,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => break,
            Err(error) => panic!("the port does not end the answer: {error}"),
        }
    }
    let text = String::from_utf8(bytes).expect("the answer is text");
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|word| word.parse().ok())
        .unwrap_or(0);
    RawAnswer {
        status,
        head: head.to_owned(),
        body: body.to_owned(),
    }
}

#[test]
fn a_thousand_callers_stopped_in_mid_header_hold_neither_threads_nor_memory() {
    let fleet = CallerFleet::start(&LimitSettings::default());
    let threads = fleet.threads();
    let mut stopped = Vec::new();
    for _caller in 0..1_000 {
        let mut stream = fleet.connect();
        stream
            .write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost: rou")
            .expect("the port takes the bytes");
        stopped.push(stream);
    }
    let answer = fleet.good_answer();
    assert_eq!(answer.status, 200, "{} {}", answer.head, answer.body);
    // Threads of the normal requests come and go; none belongs to a
    // connection.
    assert!(fleet.threads() < threads + 100, "{}", fleet.threads());
    assert!(
        fleet.memory_kib() < MEMORY_LIMIT_KIB,
        "{} KiB",
        fleet.memory_kib()
    );
}

#[test]
fn an_endless_header_is_refused_and_not_kept() {
    let fleet = CallerFleet::start(&LimitSettings::default());
    let mut stream = fleet.connect();
    stream
        .write_all(b"POST /v1/chat/completions HTTP/1.1\r\nendless: ")
        .expect("the port takes the bytes");
    let piece = [b'x'; 64 * 1024];
    let mut sent = 0;
    while sent < 64 * 1024 * 1024 && stream.write_all(&piece).is_ok() {
        sent += piece.len();
    }
    assert!(sent < 64 * 1024 * 1024, "the whole header was taken");
    assert!(
        fleet.memory_kib() < MEMORY_LIMIT_KIB,
        "{} KiB",
        fleet.memory_kib()
    );
    assert_eq!(fleet.good_answer().status, 200);
}

#[test]
fn each_bad_header_is_refused_with_its_name_and_what_is_allowed() {
    let fleet = CallerFleet::start(&LimitSettings::default());
    let runs = fleet.example.engine.runs().len();
    let long_key = format!("idempotency-key: {}\r\n", "k".repeat(129));
    let key_message = "failed to read header `idempotency-key`: \
        it must be 1 to 128 printable ASCII characters without spaces";
    let deadline_message = "failed to read header `x-deadline-ms`: \
        it must be a whole number from 1 to 3600000";
    let cases = [
        (long_key.as_str(), key_message),
        ("idempotency-key: two words\r\n", key_message),
        ("idempotency-key:\r\n", key_message),
        (
            "idempotency-key: a\r\nidempotency-key: b\r\n",
            "failed to read header `idempotency-key`: it stands more than once",
        ),
        (
            "idempotency-key: caf\u{e9}\r\n",
            "failed to read header `idempotency-key`: it must be printable ASCII",
        ),
        ("x-deadline-ms: 0\r\n", deadline_message),
        ("x-deadline-ms: soon\r\n", deadline_message),
        ("x-deadline-ms: 18446744073709551615\r\n", deadline_message),
        ("x-deadline-ms: +5\r\n", deadline_message),
        (
            "x-priority: 10\r\n",
            "failed to read header `x-priority`: it must be a whole number from 0 to 9",
        ),
        (
            "x-hibiscus-budget: winnipeg-tokens\r\n",
            "failed to read header `x-hibiscus-budget`: \
             team `regina-shop` has no budget `winnipeg-tokens`",
        ),
    ];
    for (headers, message) in cases {
        let answer = fleet.exchange(&chat_request(headers, CHAT_BODY));
        answer.assert_refused(400, "bad_request", message);
    }
    let newer = chat_request("x-hibiscus-config: 7\r\n", CHAT_BODY);
    let answer = fleet.exchange(&newer);
    answer.assert_refused(
        503,
        "not_ready",
        "failed to take the request: configuration version 7 is not in force here yet, \
         version 1 is",
    );
    assert_eq!(answer.error()["retry_after_ms"], 500);
    assert!(
        answer.head.contains("x-hibiscus-config: 1"),
        "{}",
        answer.head
    );
    let large = format!("x-large: {}\r\n", "x".repeat(17 * 1024));
    let answer = fleet.exchange(&chat_request(&large, CHAT_BODY));
    answer.assert_refused(
        431,
        "headers_too_large",
        "failed to read the headers: they are larger than 16384 bytes",
    );
    assert_eq!(
        fleet.example.engine.runs().len(),
        runs,
        "a refused request ran"
    );
    let named = chat_request("x-hibiscus-budget: regina-tokens\r\n", CHAT_BODY);
    assert_eq!(fleet.exchange(&named).status, 200);
}

#[test]
fn each_bad_body_is_refused_with_its_field_and_what_is_allowed() {
    let fleet = CallerFleet::start(&LimitSettings::default());
    let runs = fleet.example.engine.runs().len();
    let tokens_message =
        "failed to read field `max_tokens`: it must be a whole number from 1 to 1000000";
    let cases = [
        (
            r#"{"model":"stylist","#,
            "failed to read the body as JSON: EOF while parsing a value at line 1 column 19",
        ),
        ("[1]", "failed to read the body: it must be a JSON object"),
        (r#"{}"#, "failed to read field `model`: it must be a string"),
        (
            r#"{"model":"stylist"}"#,
            "failed to read field `messages`: it must be a list of at least one message",
        ),
        (
            r#"{"model":"stylist","messages":[{"content":"a"}]}"#,
            "failed to read field `messages[0].role`: it must be a string",
        ),
        (
            r#"{"model":"stylist","messages":[{"role":"user"}],"n":2}"#,
            "failed to read field `n`: it must be 1",
        ),
        (
            r#"{"model":"stylist","messages":[{"role":"user"}],"stream":"yes"}"#,
            "failed to read field `stream`: it must be true or false",
        ),
        (
            r#"{"model":"stylist","messages":[{"role":"user"}],"max_tokens":0}"#,
            tokens_message,
        ),
        (
            r#"{"model":"stylist","messages":[{"role":"user"}],"max_tokens":18446744073709551615}"#,
            tokens_message,
        ),
        (
            r#"{"model":"stylist","messages":[{"role":"user"}],"max_tokens":-1}"#,
            tokens_message,
        ),
        (
            r#"{"model":"stylist","messages":[{"role":"user"}],"max_tokens":8,"max_completion_tokens":9}"#,
            "failed to read field `max_completion_tokens`: \
             it must be equal to `max_tokens`, or one of the two left out",
        ),
    ];
    for (body, message) in cases {
        let answer = fleet.exchange(&chat_request("", body));
        answer.assert_refused(400, "bad_request", message);
    }
    assert_eq!(
        fleet.example.engine.runs().len(),
        runs,
        "a refused request ran"
    );
}

#[test]
fn an_engine_is_asked_for_no_more_tokens_than_were_reserved() {
    let fleet = CallerFleet::start(&LimitSettings::default());
    let body = r#"{"model":"stylist","max_completion_tokens":3,"messages":[{"role":"user","content":"fit len=40"}]}"#;
    let answer = fleet.exchange(&chat_request("idempotency-key: bounded\r\n", body));
    assert_eq!(answer.status, 200, "{} {}", answer.head, answer.body);
    let runs = fleet.example.engine.runs();
    let run = runs.iter().find(|run| run.request_id == "bounded");
    assert_eq!(run.map(|run| run.sent), Some(3));
}

#[test]
fn a_wrong_target_is_refused_with_what_to_use() {
    let fleet = CallerFleet::start(&LimitSettings::default());
    let call = |line: &str| {
        let request = format!(
            "{line} HTTP/1.1\r\nhost: router\r\nconnection: close\r\n\
             authorization: Bearer {API_KEY}\r\n\r\n"
        );
        fleet.exchange(request.as_bytes())
    };
    let answer = call("GET /v1/chat/completions");
    answer.assert_refused(
        405,
        "method_not_allowed",
        "failed to call `/v1/chat/completions` by GET: use POST",
    );
    assert!(answer.head.contains("allow: POST"), "{}", answer.head);
    call("POST /nowhere").assert_refused(
        404,
        "no_route",
        "failed to find a routing rule for `/nowhere`",
    );
    call("POST /tailorbook/sizes?size=9").assert_refused(
        400,
        "bad_request",
        "failed to call `/tailorbook/sizes`: it takes no query string",
    );
    call("GET /v1/address?who=me").assert_refused(
        400,
        "bad_request",
        "failed to read the query string: it must be `caller=ID` \
         with 1 to 128 letters, digits, `-`, `_` or `.`",
    );
    let unknown = b"POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\nconnection: close\r\n\
        authorization: Bearer nobody\r\nexpect: 100-continue\r\ncontent-length: 500000\r\n\r\n";
    let answer = fleet.exchange(unknown);
    answer.assert_refused(
        401,
        "unauthenticated",
        "failed to identify the team: the API key is missing or unknown; \
         send `authorization: Bearer KEY`",
    );
}

#[test]
fn two_lengths_of_one_body_are_refused() {
    let fleet = CallerFleet::start(&LimitSettings::default());
    let runs = fleet.example.engine.runs().len();
    let smuggled = "POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\n\
        authorization: Bearer regina-example-key\r\n\
        content-length: 5\r\ncontent-length: 6\r\n\r\nabcde";
    assert_eq!(fleet.exchange(smuggled.as_bytes()).status, 400);
    assert_eq!(
        fleet.example.engine.runs().len(),
        runs,
        "a refused request ran"
    );
}

#[test]
fn requests_sent_at_once_on_one_connection_get_their_own_answers_in_order() {
    let fleet = CallerFleet::start(&LimitSettings::default());
    let mut bytes = Vec::new();
    let mut expected = Vec::new();
    for marker in ["hem", "sleeve", "collar"] {
        let body = CHAT_BODY.replace("fit", marker);
        let key = format!("idempotency-key: {marker}\r\n");
        let request = String::from_utf8(chat_request(&key, &body)).expect("it is text");
        // Only the last request closes the connection.
        let keep = if marker == "collar" {
            request
        } else {
            request.replace("connection: close\r\n", "")
        };
        bytes.extend_from_slice(keep.as_bytes());
        expected.push(format!("{marker}.0 {marker}.1 {marker}.2 {marker}.3"));
    }
    let answer = fleet.exchange(&bytes);
    let all = format!("{}{}", answer.head, answer.body);
    let mut from = 0;
    for text in expected {
        let found = all[from..].find(&text);
        from += found.unwrap_or_else(|| panic!("`{text}` is missing in its place: {all}"));
    }
    assert_eq!(all.matches("HTTP/1.1 200").count(), 3, "{all}");
}

#[test]
fn a_body_over_the_limit_is_refused_by_length_and_by_parts() {
    let limits = LimitSettings {
        body_bytes: 1_000,
        ..LimitSettings::default()
    };
    let fleet = CallerFleet::start(&limits);
    let message = "failed to receive the body: it is larger than 1000 bytes";
    let answer = fleet.exchange(&chat_request("", &"x".repeat(1_001)));
    answer.assert_refused(413, "body_too_large", message);
    let mut parts = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\nconnection: close\r\n\
         authorization: Bearer {API_KEY}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    for _part in 0..3 {
        parts.push_str(&format!("190\r\n{}\r\n", "x".repeat(400)));
    }
    let answer = fleet.exchange(parts.as_bytes());
    answer.assert_refused(413, "body_too_large", message);
    assert_eq!(fleet.good_answer().status, 200);
}

#[test]
fn the_memory_of_all_bodies_together_is_bounded() {
    let limits = LimitSettings {
        body_bytes: 16 * 1024,
        body_memory_bytes: 16 * 1024,
        ..LimitSettings::default()
    };
    let fleet = CallerFleet::start(&limits);
    let mut partial = chat_request("", &"x".repeat(14 * 1024));
    partial.truncate(partial.len() - 1024);
    // A slow body may arrive after the next one, or be refused itself: send
    // more until one holds the memory.
    let mut slow = Vec::new();
    let deadline = Instant::now() + READY_LIMIT;
    let answer = loop {
        let mut stream = fleet.connect();
        stream
            .write_all(&partial)
            .expect("the port takes the bytes");
        slow.push(stream);
        let answer = fleet.exchange(&chat_request("", &"x".repeat(8 * 1024)));
        if answer.status == 429 {
            break answer;
        }
        assert!(Instant::now() < deadline, "{} {}", answer.head, answer.body);
    };
    answer.assert_refused(
        429,
        "overloaded",
        "failed to take the request: the memory for request bodies is in use",
    );
    assert!(answer.head.contains("retry-after: 1"), "{}", answer.head);
    let error = answer.error();
    assert_eq!(error["retry"], true);
    assert_eq!(error["retry_after_ms"], 1_000);
    // The memory of an answered request is free soon after, not at once.
    drop(slow);
    while fleet.good_answer().status != 200 {
        assert!(Instant::now() < deadline, "the memory is not given back");
    }
}

#[test]
fn a_slow_sender_is_refused_and_one_that_closes_early_is_dropped() {
    let limits = LimitSettings {
        receive_ms: 500,
        ..LimitSettings::default()
    };
    let fleet = CallerFleet::start(&limits);
    let mut request = chat_request("idempotency-key: slow\r\n", CHAT_BODY);
    request.truncate(request.len() - 10);
    let answer = fleet.exchange(&request);
    answer.assert_refused(
        408,
        "receive_timeout",
        "failed to receive the body within 500 ms",
    );
    assert!(
        answer.head.contains("x-hibiscus-key: slow"),
        "{}",
        answer.head
    );
    let mut closed = fleet.connect();
    closed
        .write_all(&request)
        .expect("the port takes the bytes");
    closed.shutdown(Shutdown::Write).expect("it half closes");
    let answer = read_answer(&mut closed);
    assert_ne!(answer.status, 200, "{} {}", answer.head, answer.body);
    let runs = fleet.example.engine.runs();
    assert!(!runs.iter().any(|run| run.request_id == "slow"));
}

#[test]
fn requests_and_connections_over_their_limits_are_refused_at_once() {
    let limits = LimitSettings {
        requests: 1,
        connections: 3,
        ..LimitSettings::default()
    };
    let fleet = CallerFleet::start(&limits);
    let _hanging = fleet.hang();
    fleet.good_answer().assert_refused(
        429,
        "overloaded",
        "failed to take the request: 1 requests are in progress",
    );
    // One that is refused itself holds no place: open until all are held.
    let mut idle = Vec::new();
    let deadline = Instant::now() + READY_LIMIT;
    loop {
        idle.push(fleet.connect());
        let answer = fleet.good_answer();
        if answer.body.contains("too many are open") {
            answer.assert_refused(
                429,
                "overloaded",
                "failed to take the connection: too many are open",
            );
            let length = format!("content-length: {}", answer.body.len());
            assert!(answer.head.contains(&length), "{}", answer.head);
            return;
        }
        assert!(Instant::now() < deadline, "{} {}", answer.head, answer.body);
    }
}

#[test]
fn the_page_lists_every_code_with_its_status() {
    let mut expected = Vec::new();
    for reason in RefusalReason::ALL {
        let status = answer::status_of(reason);
        expected.push(format!("| {status} | `{}` |", reason.as_str()));
    }
    expected.sort();
    let mut listed = Vec::new();
    for line in PAGE.lines() {
        let is_code = line.starts_with("| 4") || line.starts_with("| 5");
        if !is_code {
            continue;
        }
        let cells: Vec<&str> = line.split('|').collect();
        listed.push(format!("|{}|{}|", cells[1], cells[2]));
    }
    listed.sort();
    assert_eq!(listed, expected);
}

//! Answers of servers that break off at each of their bytes, and answers with odd framing,
//! judged from the bytes that the callers get.

use std::time::Duration;

use platform_standins::AnswerEnd;
use platform_standins::RawAnswer;

use crate::front::Platform;
use crate::front::raw_caller::CallerAnswer;
use crate::front::raw_caller::RawCaller;
use crate::front::raw_caller::kept_request;

/// Time for bytes to be read before the connection ends.
const READ_TIME: Duration = Duration::from_millis(3);
/// Body of a plain answer.
const PLAIN_BODY: &str = "done at once";
/// Body of a stream.
const STREAM_BODY: &str = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";

/// How a server marks the end of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerFraming {
    Length,
    Chunks,
    Connection,
}

/// A whole answer of a server, of which a test sends the beginning.
struct ServerAnswer {
    is_stream: bool,
    framing: ServerFraming,
    bytes: Vec<u8>,
    head_length: usize,
    body: &'static str,
}

impl ServerAnswer {
    /// Creates the answer to the request `id`.
    fn new(is_stream: bool, framing: ServerFraming, id: &str) -> Self {
        let body = if is_stream { STREAM_BODY } else { PLAIN_BODY };
        let framing_header = match framing {
            ServerFraming::Length => format!("Content-Length: {}\r\n", body.len()),
            ServerFraming::Chunks => "Transfer-Encoding: chunked\r\n".to_owned(),
            ServerFraming::Connection => String::new(),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: seal-{id}\r\n{framing_header}\r\n"
        );
        let (first, second) = body.split_at(body.len() / 2);
        let sent_body = match framing {
            ServerFraming::Chunks => format!(
                "{:x}\r\n{first}\r\n{:x}\r\n{second}\r\n0\r\n\r\n",
                first.len(),
                second.len()
            ),
            ServerFraming::Length | ServerFraming::Connection => body.to_owned(),
        };
        Self {
            is_stream,
            framing,
            head_length: head.len(),
            bytes: format!("{head}{sent_body}").into_bytes(),
            body,
        }
    }

    /// Whether the answer is complete if the connection ends with `end` after `cut` bytes.
    fn is_whole(&self, cut: usize, end: AnswerEnd) -> bool {
        if self.framing != ServerFraming::Connection {
            return cut == self.bytes.len();
        }
        if cut < self.head_length || end == AnswerEnd::Reset {
            return false;
        }
        // A body without a byte tells of a crash after the head.
        let body = &self.body[..cut - self.head_length];
        if self.is_stream {
            body.ends_with("\n\n")
        } else {
            !body.is_empty()
        }
    }
}

/// Checks that a success is the server's and looks complete only if it is `whole_body`.
fn check_success(answer: &CallerAnswer, id: &str, body: &str, whole_body: Option<&str>) {
    let seal = format!("seal-{id}");
    assert_eq!(answer.header("response-seal"), Some(&*seal), "{answer:?}");
    assert_eq!(answer.header("request-id"), Some(id), "{answer:?}");
    let text = answer.text();
    assert!(body.starts_with(&text), "foreign bytes: {answer:?}");
    if answer.is_whole {
        assert_eq!(Some(&*text), whole_body, "looks complete: {answer:?}");
    }
}

/// Sends answers that end with `end` after each of their bytes; on a connection that has
/// served a request before, if `is_used`.
fn cut_at_each_byte(is_stream: bool, framing: ServerFraming, end: AnswerEnd, is_used: bool) {
    let platform = Platform::start();
    let (server, path, more) = if is_stream {
        (&platform.engine, "/stream/x", "Token-Counts: 1,3\r\n")
    } else {
        (&platform.plain, "/once/x", "")
    };
    let mut caller = RawCaller::new(platform.front.ports.callers);
    let mut successes = 0;
    let length = ServerAnswer::new(is_stream, framing, "c-000").bytes.len();
    for cut in 0..=length {
        let id = format!("c-{cut:03}");
        let answer = ServerAnswer::new(is_stream, framing, &id);
        let mut script = Vec::new();
        let earlier = ServerAnswer::new(is_stream, ServerFraming::Length, "{id}");
        let earlier_length = earlier.body.len();
        if is_used {
            script.push(RawAnswer::new(earlier.bytes, AnswerEnd::Keep));
        }
        script.push(RawAnswer::new(&answer.bytes[..cut], end).end_after(READ_TIME));
        server.set_script(script);
        if is_used {
            let first = caller.call(&kept_request(path, &format!("u-{cut:03}"), more));
            assert_eq!(first.status, 200, "{first:?}");
            assert!(
                first.is_whole && first.body.len() == earlier_length,
                "{first:?}"
            );
        }
        let got = caller.call(&kept_request(path, &id, more));
        let case = format!("{is_stream} {framing:?} {end:?} {is_used} at {cut}: {got:?}");
        assert!(!got.is_hanging, "{case}");
        let whole = answer.is_whole(cut, end);
        if got.status == 200 {
            successes += usize::from(got.is_whole);
            let sent = cut.saturating_sub(answer.head_length);
            let whole_body = match framing {
                ServerFraming::Connection => &answer.body[..sent],
                _ => answer.body,
            };
            assert!(cut >= answer.head_length, "{case}");
            check_success(&got, &id, answer.body, whole.then_some(whole_body));
        }
        let begun = is_stream && cut >= answer.head_length;
        if !whole && !begun {
            assert_eq!((got.status, got.is_whole), (502, true), "{case}");
        }
        // The end of an answer may overtake its reset.
        if whole && end == AnswerEnd::Close {
            assert!(got.status == 200 && got.is_whole, "{case}");
        }
    }
    let requests = server.requests();
    let used = requests.iter().filter(|request| request.number > 1).count();
    println!(
        "{is_stream} {framing:?} {end:?} {is_used}: {successes} of {length} whole, {used} on connections in use again"
    );
    assert!(!is_used || used > length * 9 / 10, "{used} of {length}");
}

/// Guards against a head or a body that breaks off and is taken for a complete answer
/// (issue 48, MIXED).
#[test]
fn a_plain_answer_that_ends_at_any_byte_never_looks_whole() {
    for framing in [
        ServerFraming::Length,
        ServerFraming::Chunks,
        ServerFraming::Connection,
    ] {
        for end in [AnswerEnd::Close, AnswerEnd::Reset] {
            cut_at_each_byte(false, framing, end, false);
            cut_at_each_byte(false, framing, end, true);
        }
    }
}

/// Guards against a stream that breaks off and is taken for a complete one (issue 48,
/// ORDER).
#[test]
fn a_stream_that_ends_at_any_byte_never_looks_whole() {
    for framing in [
        ServerFraming::Length,
        ServerFraming::Chunks,
        ServerFraming::Connection,
    ] {
        for end in [AnswerEnd::Close, AnswerEnd::Reset] {
            cut_at_each_byte(true, framing, end, false);
            cut_at_each_byte(true, framing, end, true);
        }
    }
}

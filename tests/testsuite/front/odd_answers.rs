//! Answers of servers with odd framing, and bytes that belong to no request, judged from
//! the bytes that the callers get.

use std::time::Duration;

use platform_standins::AnswerEnd;
use platform_standins::BackendStandin;
use platform_standins::RawAnswer;

use crate::front::Platform;
use crate::front::raw_caller::CallerAnswer;
use crate::front::raw_caller::RawCaller;
use crate::front::raw_caller::kept_request;

/// Time for bytes to be read before the connection ends.
const READ_TIME: Duration = Duration::from_millis(3);
/// Status line of a success.
const SUCCESS: &str = "HTTP/1.1 200 OK";
/// Status line of a success of the older protocol.
const OLD_SUCCESS: &str = "HTTP/1.0 200 OK";
/// A body that is also a stream of one event.
const BODY: &str = "id: 0\ndata: a\n\n";
/// A stream that ends inside its second event.
const CUT_EVENTS: &str = "id: 0\ndata: a\n\nid: 1\nda";

/// What a caller may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerResult {
    /// The server's whole answer.
    Whole,
    /// A part of it that doesn't look complete, or a failure.
    Broken,
}

/// A caller's request and the path by which it reaches a server.
struct CallerCase<'a> {
    platform: &'a Platform,
    server: &'a BackendStandin,
    path: &'static str,
    headers: &'static str,
}

impl<'a> CallerCase<'a> {
    fn plain(platform: &'a Platform) -> Self {
        Self {
            platform,
            server: &platform.plain,
            path: "/once/x",
            headers: "",
        }
    }

    fn stream(platform: &'a Platform) -> Self {
        Self {
            platform,
            server: &platform.engine,
            path: "/stream/x",
            headers: "Token-Counts: 1,3\r\n",
        }
    }

    fn request(&self, id: &str) -> String {
        kept_request(self.path, id, self.headers)
    }

    /// Sends `answer` to one request, checks that its caller gets `result`, and that the
    /// next request on the same connection gets its own answer.
    fn check(&self, name: &str, answer: &RawAnswer, status: u16, body: &str, result: CallerResult) {
        let mut caller = RawCaller::new(self.platform.front.ports.callers);
        let next = signed(SUCCESS, "Content-Length: 18\r\n", "id: 0\ndata: {id}\n\n");
        let next = RawAnswer::new(next, AnswerEnd::Keep);
        self.server.set_script([answer.clone(), next]);
        let got = caller.call(&self.request("c001"));
        let case = format!("{} {name}: {got:?}", self.path);
        check_answer(&case, &got, "c001");
        let is_whole = got.is_whole && got.status == status;
        match result {
            CallerResult::Whole => {
                assert!(is_whole && got.text() == body, "{case}");
            }
            CallerResult::Broken => {
                assert!(!is_whole, "looks complete: {case}");
                assert!(
                    got.status != status || body.starts_with(&got.text()),
                    "{case}"
                );
                assert!([0, 502, status].contains(&got.status), "{case}");
            }
        }
        let second = caller.call(&self.request("c002"));
        check_answer(name, &second, "c002");
        assert!(second.is_whole, "{case}; then {second:?}");
        assert_eq!(
            second.text(),
            "id: 0\ndata: c002\n\n",
            "{case}; then {second:?}"
        );
    }
}

/// Checks what holds for each answer to the request `id`.
fn check_answer(case: &str, answer: &CallerAnswer, id: &str) {
    assert!(!answer.is_hanging, "{case}");
    assert!(answer.rest.is_empty(), "bytes without a request: {case}");
    if answer.status == 0 {
        assert!(answer.head.is_empty(), "{case}");
        return;
    }
    assert!(answer.head.starts_with("http/1.1 "), "{case}");
    assert_eq!(answer.header("request-id"), Some(id), "{case}");
    if (200..300).contains(&answer.status) {
        let seal = format!("seal-{id}");
        assert_eq!(answer.header("response-seal"), Some(&*seal), "{case}");
    }
}

/// Returns an answer that is signed and names its request.
fn signed(line: &str, headers: &str, body: &str) -> String {
    format!("{line}\r\nRequest-Id: {{id}}\r\nResponse-Seal: seal-{{id}}\r\n{headers}\r\n{body}")
}

/// Guards against answers of the older protocol whose framing reaches callers, so that a
/// stream that breaks off looks complete (issue 48, ORDER and MIXED).
#[test]
fn an_answer_of_the_older_protocol_is_framed_anew() {
    use AnswerEnd::Close;
    use AnswerEnd::Keep;
    use AnswerEnd::Reset;
    use CallerResult::Broken;
    use CallerResult::Whole;
    let platform = Platform::start();
    let plain = CallerCase::plain(&platform);
    let stream = CallerCase::stream(&platform);
    let length = "Content-Length: 15\r\n";
    for (name, headers, body, end, of_plain, of_stream) in [
        ("length", length, BODY, Keep, Whole, Whole),
        ("whole", "", BODY, Close, Whole, Whole),
        ("cut", "", CUT_EVENTS, Close, Whole, Broken),
        ("reset", "", BODY, Reset, Broken, Broken),
        ("short", length, "id: 0\nd", Close, Broken, Broken),
    ] {
        let answer = RawAnswer::new(signed(OLD_SUCCESS, headers, body), end);
        let answer = answer.end_after(READ_TIME);
        plain.check(name, &answer, 200, body, of_plain);
        stream.check(name, &answer, 200, body, of_stream);
    }
}

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
/// That body in one chunk.
const CHUNKED_BODY: &str = "f\r\nid: 0\ndata: a\n\n\r\n0\r\n\r\n";
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

/// Guards against a success without length whose server closed right after the head, and
/// that reaches its caller as an empty answer (issue 48, MIXED).
#[test]
fn an_unframed_success_that_ends_with_its_head_is_not_whole() {
    let platform = Platform::start();
    let answer = RawAnswer::new(signed(SUCCESS, "", ""), AnswerEnd::Close);
    let plain = CallerCase::plain(&platform);
    plain.check("empty", &answer, 200, "", CallerResult::Broken);
    let stream = CallerCase::stream(&platform);
    stream.check("empty", &answer, 200, "", CallerResult::Broken);
    let coded = signed(SUCCESS, "Transfer-Encoding: gzip\r\n", "");
    let coded = RawAnswer::new(coded, AnswerEnd::Close);
    plain.check("coded", &coded, 200, "", CallerResult::Broken);
    stream.check("coded", &coded, 200, "", CallerResult::Broken);
    let whole = signed(SUCCESS, "Content-Length: 0\r\n", "");
    let whole = RawAnswer::new(whole, AnswerEnd::Keep);
    plain.check("length", &whole, 200, "", CallerResult::Whole);
    for line in ["HTTP/1.1 204 None", "HTTP/1.1 404 No"] {
        let status = if line.contains("204") { 204 } else { 404 };
        let bare = RawAnswer::new(signed(line, "", ""), AnswerEnd::Close);
        plain.check(line, &bare, status, "", CallerResult::Whole);
    }
}

/// Guards against the length that a server states for another body than the one that is
/// sent, and for a stream that ends inside an event (issue 48, MIXED and ORDER).
#[test]
fn the_length_of_an_answer_is_that_of_its_bytes() {
    use CallerResult::Broken;
    use CallerResult::Whole;
    let platform = Platform::start();
    let plain = CallerCase::plain(&platform);
    let stream = CallerCase::stream(&platform);
    let chunked = "Transfer-Encoding: chunked\r\n";
    for (name, headers, body, of_plain, of_stream) in [
        (
            "one length",
            "Content-Length: 15\r\n".to_owned(),
            BODY,
            Whole,
            Whole,
        ),
        (
            "twice",
            "Content-Length: 15\r\nContent-Length: 15\r\n".to_owned(),
            BODY,
            Whole,
            Whole,
        ),
        (
            "list",
            "Content-Length: 15, 15\r\n".to_owned(),
            BODY,
            Whole,
            Whole,
        ),
        (
            "two",
            "Content-Length: 15\r\nContent-Length: 14\r\n".to_owned(),
            BODY,
            Broken,
            Broken,
        ),
        (
            "negative",
            "Content-Length: -15\r\n".to_owned(),
            BODY,
            Broken,
            Broken,
        ),
        (
            "sign",
            "Content-Length: +15\r\n".to_owned(),
            BODY,
            Broken,
            Broken,
        ),
        (
            "long and chunks",
            format!("{chunked}Content-Length: 99\r\n"),
            CHUNKED_BODY,
            Whole,
            Whole,
        ),
        (
            "short and chunks",
            format!("Content-Length: 3\r\n{chunked}"),
            CHUNKED_BODY,
            Whole,
            Whole,
        ),
    ] {
        let bytes = signed(SUCCESS, &headers, body);
        let answer = RawAnswer::new(bytes, AnswerEnd::Keep);
        plain.check(name, &answer, 200, BODY, of_plain);
        stream.check(name, &answer, 200, BODY, of_stream);
    }
    let cut = signed(SUCCESS, "Content-Length: 23\r\n", CUT_EVENTS);
    let cut = RawAnswer::new(cut, AnswerEnd::Keep);
    plain.check("inside an event", &cut, 200, CUT_EVENTS, Whole);
    stream.check("inside an event", &cut, 200, CUT_EVENTS, Broken);
    for (line, status) in [("HTTP/1.1 204 None", 204), ("HTTP/1.1 304 Same", 304)] {
        let answer = signed(line, "Content-Length: 15\r\n", "");
        let answer = RawAnswer::new(answer, AnswerEnd::Keep);
        plain.check(line, &answer, status, "", Whole);
        stream.check(line, &answer, status, "", Whole);
    }
}

/// Guards against a switch of protocols that no caller asked for and that takes the place
/// of its answer (issue 48, MIXED).
#[test]
fn a_switch_of_protocols_is_no_answer() {
    let platform = Platform::start();
    let switch = "HTTP/1.1 101 Switching Protocols";
    let answer = signed(switch, "Upgrade: other\r\nConnection: upgrade\r\n", BODY);
    let answer = RawAnswer::new(answer, AnswerEnd::Keep);
    for case in [CallerCase::plain(&platform), CallerCase::stream(&platform)] {
        case.check("switch", &answer, 101, "", CallerResult::Broken);
    }
}

/// Guards against bytes of an earlier answer that arrive late on a connection that is used
/// again, and reach the caller of the next request (issue 48, MIXED).
#[test]
fn the_late_rest_of_an_earlier_answer_reaches_no_other_caller() {
    const SERVER_TIME: Duration = Duration::from_millis(12);
    const DELAYS_MS: [u64; 4] = [0, 1, 3, 6];
    let platform = Platform::start();
    let other = "Request-Id: earlier\r\nResponse-Seal: seal-earlier\r\n";
    let rests = [
        "rest".to_owned(),
        "\r\n".to_owned(),
        "5\r\nother\r\n0\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nResp".to_owned(),
        "HTTP/1.1 200 OK\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother".to_owned(),
        "HTTP/1.1 404 No\r\nContent-Length: 5\r\n\r\nother".to_owned(),
        "HTTP/1.1 500 No\r\nContent-Length: 5\r\n\r\nother".to_owned(),
        format!("HTTP/1.1 200 OK\r\n{other}Content-Length: 5\r\n\r\nother"),
        format!("HTTP/1.1 404 No\r\n{other}Content-Length: 5\r\n\r\nother"),
        format!("HTTP/1.1 503 No\r\n{other}Not-Executed: 1\r\nContent-Length: 5\r\n\r\nother"),
        format!("HTTP/1.1 200 OK\r\n{other}Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n"),
        format!("HTTP/1.1 103 Hints\r\n{other}\r\n"),
    ];
    let first = signed(SUCCESS, "Transfer-Encoding: chunked\r\n", CHUNKED_BODY);
    let next = signed(
        SUCCESS,
        "Transfer-Encoding: chunked\r\n",
        "12\r\nid: 0\ndata: {id}\n\n\r\n0\r\n\r\n",
    );
    let mut used = 0;
    for case in [CallerCase::plain(&platform), CallerCase::stream(&platform)] {
        let cases = rests
            .iter()
            .flat_map(|rest| DELAYS_MS.map(|delay| (rest, delay)));
        for (number, (rest, delay)) in cases.enumerate() {
            let mut caller = RawCaller::new(platform.front.ports.callers);
            let delay = Duration::from_millis(delay);
            let ids = [format!("c{number:03}"), format!("d{number:03}")];
            let first = RawAnswer::new(&*first, AnswerEnd::Keep).late(delay, &**rest);
            let next = RawAnswer::new("", AnswerEnd::Keep).then(SERVER_TIME, &*next);
            case.server
                .set_script([first.only_for(&ids[0]), next.only_for(&ids[1])]);
            for (id, own) in ids
                .iter()
                .zip([BODY, &format!("id: 0\ndata: {}\n\n", ids[1])])
            {
                let got = caller.call(&case.request(id));
                let name = format!("{} {delay:?} {rest}: {got:?}", case.path);
                check_answer(&name, &got, id);
                assert!(got.is_whole, "{name}");
                // The rest may break the connection of either request.
                let is_own = got.status == 200 && got.text() == own;
                assert!(is_own || got.status == 502, "{name}");
            }
        }
        let requests = case.server.requests();
        used += requests.iter().filter(|request| request.number > 1).count();
    }
    println!("{used} requests on connections in use again");
    assert!(used > rests.len(), "{used}");
}

/// Guards against an answer that begins inside the head of another, so that a head holds
/// the ids of two requests and the body is that of the other (issue 48, MIXED).
#[test]
fn an_answer_that_begins_inside_another_head_is_no_answer() {
    let platform = Platform::start();
    let other = signed(SUCCESS, "Content-Length: 15\r\n", BODY).replace("{id}", "other");
    let length = signed(SUCCESS, "Content-Length: 15\r\n", "").len();
    let mut foreign = 0;
    for case in [CallerCase::plain(&platform), CallerCase::stream(&platform)] {
        for cut in 0..length - 1 {
            let id = format!("c{cut:03}");
            let head = signed(SUCCESS, "Content-Length: 15\r\n", "").replace("{id}", &id);
            let begun = &head[..cut];
            let answer = RawAnswer::new(format!("{begun}{other}"), AnswerEnd::Close);
            case.server.set_script([answer.only_for(&id)]);
            let mut caller = RawCaller::new(platform.front.ports.callers);
            let got = caller.call(&case.request(&id));
            if got.status == 200 {
                println!("{} at {cut}: {got:?}", case.path);
                foreign += 1;
                continue;
            }
            check_answer(&format!("{} at {cut}: {got:?}", case.path), &got, &id);
            assert_eq!(got.status, 502, "{} at {cut}: {got:?}", case.path);
        }
    }
    assert_eq!(foreign, 0, "answers with the body of another");
}

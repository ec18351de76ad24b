//! Answers of servers that break off or are not what they should be. Callers get
//! whole answers or none: what they receive is read byte by byte.

mod odd_answers;
mod raw_caller;
mod scripted_fleet;
mod scripted_server;

use std::collections::BTreeSet;
use std::time::Duration;

use crate::broken_answers::odd_answers::odd_answers;
use crate::broken_answers::odd_answers::odd_continuations;
use crate::broken_answers::odd_answers::odd_streams;
use crate::broken_answers::raw_caller::AnswerEnd;
use crate::broken_answers::scripted_fleet::BODY_FRAMINGS;
use crate::broken_answers::scripted_fleet::BodyFraming;
use crate::broken_answers::scripted_fleet::BrokenCase;
use crate::broken_answers::scripted_fleet::CALL_KINDS;
use crate::broken_answers::scripted_fleet::CallKind;
use crate::broken_answers::scripted_fleet::SERVERS;
use crate::broken_answers::scripted_fleet::scripted_fleet;
use crate::broken_answers::scripted_server::ScriptEnd;
use crate::broken_answers::scripted_server::ScriptedAnswer;
use crate::broken_answers::scripted_server::chat_event;
use crate::broken_answers::scripted_server::chat_events;
use crate::broken_answers::scripted_server::chunked;
use crate::broken_answers::scripted_server::head;
use crate::broken_answers::scripted_server::plain_body;
use crate::broken_answers::scripted_server::sized;
use crate::broken_answers::scripted_server::unframed;
use crate::request_fleet::SILENCE_MS;

/// Attempts that a request may make.
const ATTEMPTS: usize = 3;
/// Tokens that a caller has before its stream breaks off.
const FIRST_TOKENS: usize = 2;
/// Start of the names of the odd answers that bring an event.
const CONTINUED: &str = "then-";
/// Requests that earn the retries of one request.
const RETRY_DEPOSITS: usize = 20;
/// Time for which a server sends nothing, longer than the routers wait.
const LATE_REST: Duration = Duration::from_millis(SILENCE_MS + 500);

/// Guards against an answer whose head never ended reaching a caller as a 200 (issue 48).
#[test]
fn a_head_that_is_cut_at_any_byte_is_no_answer() {
    let fleet = scripted_fleet();
    let mut cases = Vec::new();
    for kind in [CallKind::Stream, CallKind::Sizes, CallKind::Order] {
        for end in [ScriptEnd::Close, ScriptEnd::Reset] {
            let length = head(200, "head-000", "content-length: 13\r\n").len();
            for cut in 0..length {
                let key = format!("head-{}", cases.len());
                let mut bytes = head(200, &key, "content-length: 13\r\n").into_bytes();
                bytes.truncate(cut.min(bytes.len() - 1));
                let end = end.clone();
                let answer = ScriptedAnswer { bytes, end };
                cases.push(BrokenCase::repeated(kind, key, ATTEMPTS, answer));
            }
        }
    }
    fleet.check_all(&cases, |_case| AnswerEnd::Refused(502));
}

/// Guards against a body that ended early being framed as whole (issue 48).
#[test]
fn a_body_that_ends_early_is_never_whole() {
    let fleet = scripted_fleet();
    let mut cases = Vec::new();
    for kind in CALL_KINDS {
        for framing in BODY_FRAMINGS {
            let name = format!("{kind:?}-{framing:?}").to_lowercase();
            for cut in framing.cuts(kind, &format!("{name}-0000")) {
                let key = format!("{name}-{cut:04}");
                let mut bytes = framing.answer(kind, &key);
                bytes.truncate(cut);
                let end = if cut % 2 == 0 {
                    ScriptEnd::Close
                } else {
                    ScriptEnd::Reset
                };
                let mut answers = vec![ScriptedAnswer { bytes, end }; ATTEMPTS];
                if kind.is_chat() {
                    // Else a stream would be continued to its end.
                    let error = sized(500, &key, b"FOREIGN");
                    answers[1..].fill(ScriptedAnswer::kept_open(error));
                }
                cases.push(BrokenCase {
                    answers,
                    ..BrokenCase::sound(kind, key)
                });
            }
        }
    }
    let ends = fleet.make_all(&cases);
    for case in &cases {
        let text = String::from_utf8_lossy(&case.answers[0].bytes);
        let end = ends[&case.key];
        let broken = case.kind == CallKind::Stream && matches!(end, AnswerEnd::Broken(_));
        assert!(broken || end == AnswerEnd::Refused(502), "{end:?}: {text}");
    }
    fleet.check_charges(&cases, &ends);
}

/// Guards against the end of a connection passing for the end of a body whose framing
/// does not show it (issue 48).
#[test]
fn a_body_whose_framing_shows_no_end_is_never_whole() {
    let fleet = scripted_fleet();
    let framings = [
        ("identity", "transfer-encoding: identity\r\n"),
        ("gzip", "transfer-encoding: gzip\r\n"),
        ("unknown", "transfer-encoding: xchunked\r\n"),
        ("reversed", "transfer-encoding: chunked, gzip\r\n"),
        ("word", "content-length: many\r\n"),
        ("list", "content-length: 99, 99\r\n"),
        ("signed", "content-length: +99\r\n"),
        ("negative", "content-length: -99\r\n"),
        ("suffix", "content-length: 99 bytes\r\n"),
        ("blank", "content-length:\r\n"),
        ("huge", "content-length: 18446744073709551623\r\n"),
        ("differing", "content-length: 7\r\ncontent-length: 99\r\n"),
        ("falling", "content-length: 99\r\ncontent-length: 7\r\n"),
        ("twice", "content-length: 99\r\ncontent-length: 99\r\n"),
        ("folded", "content-length:\r\n 99\r\n"),
        ("spaced", "content-length : 99\r\n"),
        (
            "both-chunked",
            "content-length: 7\r\ntransfer-encoding: chunked\r\n",
        ),
        (
            "both",
            "content-length: 7\r\ntransfer-encoding: identity\r\n",
        ),
    ];
    let mut cases = Vec::new();
    for kind in [CallKind::Sizes, CallKind::Order] {
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            for (name, framing) in framings {
                let key = format!("{kind:?}-{name}-{version}").to_lowercase();
                let head = head(200, &key, framing).replacen("HTTP/1.1", version, 1);
                let bytes = [head.as_bytes(), &plain_body(&key).as_bytes()[..7]].concat();
                let answer = ScriptedAnswer::closed(bytes);
                cases.push(BrokenCase::repeated(kind, key, ATTEMPTS, answer));
            }
        }
        // HTTP/1.0 has no chunks: the lines of their sizes would be content.
        let key = format!("{kind:?}-chunks-http/1.0").to_lowercase();
        let mut bytes = chunked(200, &key, plain_body(&key).as_bytes());
        bytes[..8].copy_from_slice(b"HTTP/1.0");
        let answer = ScriptedAnswer::closed(bytes);
        cases.push(BrokenCase::repeated(kind, key, ATTEMPTS, answer));
    }
    fleet.check_all(&cases, |_case| AnswerEnd::Refused(502));
}

/// Guards against answers that are none, or not to the request, reaching a caller
/// (issue 48).
#[test]
fn what_is_no_answer_to_the_request_reaches_no_caller() {
    let fleet = scripted_fleet();
    let mut cases = Vec::new();
    for kind in CALL_KINDS {
        let mut names: Vec<&str> = Vec::new();
        names.extend(odd_answers("").iter().map(|(name, _bytes)| name));
        if kind.is_chat() {
            names.extend(odd_streams("").iter().map(|(name, _bytes)| name));
        }
        for name in names {
            let key = format!("{kind:?}-{name}").to_lowercase();
            let answer = ScriptedAnswer::closed(odd_answer(name, &key, 0));
            cases.push(BrokenCase::repeated(kind, key, ATTEMPTS, answer));
        }
    }
    fleet.check_all(&cases, |case| {
        // Only a refusal of this request by an engine shows that it did not run.
        if case.key.ends_with("busy-sized") {
            AnswerEnd::NotRun(503)
        } else {
            AnswerEnd::Refused(502)
        }
    });
}

/// The odd answer `name` to the request `key` that goes on from the token `next`.
fn odd_answer(name: &str, key: &str, next: usize) -> Vec<u8> {
    let mut answers = odd_answers(key);
    answers.extend(odd_streams(key));
    answers.extend(odd_continuations(key, next));
    let found = answers.into_iter().find(|(found, _bytes)| *found == name);
    found.expect("the name is known").1
}

/// A stream that breaks off inside its third event, then gets `odd_attempts` odd answers.
fn continued_case(name: &str, odd_attempts: usize) -> BrokenCase {
    let key = format!("next-{name}-{odd_attempts}");
    let mut bytes = chunked(200, &key, chat_events(&key, 0).as_bytes());
    bytes.truncate(half_of(&bytes, CallKind::Stream, &key));
    let mut answers = vec![ScriptedAnswer::closed(bytes)];
    let mut next = FIRST_TOKENS;
    for _ in 0..odd_attempts {
        answers.push(ScriptedAnswer::closed(odd_answer(name, &key, next)));
        next += usize::from(name.starts_with(CONTINUED));
    }
    BrokenCase {
        kind: CallKind::Stream,
        key,
        answers,
        deposits: RETRY_DEPOSITS,
    }
}

/// Guards against what another server answers, in place of a stream's continuation,
/// reaching the caller, and against a short stream with an end (issue 48).
#[test]
fn a_stream_that_broke_off_takes_only_its_continuation_from_another_server() {
    let fleet = scripted_fleet();
    let mut names: Vec<&str> = Vec::new();
    names.extend(odd_answers("").iter().map(|(name, _bytes)| name));
    names.extend(odd_streams("").iter().map(|(name, _bytes)| name));
    names.extend(odd_continuations("", 0).iter().map(|(name, _bytes)| name));
    let mut cases = Vec::new();
    for name in names {
        for odd_attempts in 1..ATTEMPTS {
            cases.push(continued_case(name, odd_attempts));
        }
    }
    fleet.check_all(&cases, |case| {
        let step = usize::from(case.key.contains(CONTINUED));
        if case.answers.len() < ATTEMPTS {
            AnswerEnd::Whole
        } else {
            AnswerEnd::Broken(FIRST_TOKENS + 2 * step)
        }
    });
    for case in &cases {
        let step = usize::from(case.key.contains(CONTINUED));
        let mut resumed = Vec::new();
        for attempt in fleet.script.attempts(&case.key) {
            resumed.push(attempt.resume_from);
        }
        let expected = [0, FIRST_TOKENS, FIRST_TOKENS + step];
        assert_eq!(resumed, expected, "{}", case.key);
    }
}

/// Guards against the rest of an earlier answer being taken for the answer to the next
/// request on a connection (issue 48).
#[test]
fn the_rest_of_an_earlier_answer_reaches_no_other_request() {
    let fleet = scripted_fleet();
    let mut cases = Vec::new();
    for kind in CALL_KINDS {
        let name = format!("{kind:?}").to_lowercase();
        let (more, late) = (format!("{name}-more"), format!("{name}-late"));
        let foreign = sized(200, &format!("{name}-0"), b"FOREIGN");
        let whole = BodyFraming::Sized.answer(kind, &more);
        let surplus = ScriptedAnswer::kept_open([&whole[..], &foreign].concat());
        cases.push(BrokenCase::repeated(kind, more, 1, surplus));
        let whole = BodyFraming::Sized.answer(kind, &late);
        let (begun, rest) = whole.split_at(half_of(&whole, kind, &late));
        let begun = ScriptedAnswer {
            bytes: begun.to_vec(),
            end: ScriptEnd::Late(LATE_REST, [rest, &foreign].concat()),
        };
        let error = ScriptedAnswer::closed(unframed(500, &late, b"FOREIGN"));
        cases.push(BrokenCase {
            answers: vec![begun, error.clone(), error],
            ..BrokenCase::sound(kind, late)
        });
        for index in 0..SERVERS {
            cases.push(BrokenCase::sound(kind, format!("{name}-{index}")));
        }
    }
    // One call after the other at one router.
    let ends = fleet.make_with(1, &cases);
    fleet.check_ends(&cases, &ends, |case| match case.kind {
        _ if !case.key.ends_with("late") => AnswerEnd::Whole,
        CallKind::Stream => AnswerEnd::Broken(FIRST_TOKENS),
        _ => AnswerEnd::Refused(502),
    });
    let mut connections = BTreeSet::new();
    for case in &cases {
        for attempt in fleet.script.attempts(&case.key) {
            assert!(connections.insert(attempt.connection), "{attempt:?}");
        }
    }
}

/// The length of the first part of an answer, which ends inside the third event of a
/// chat's.
fn half_of(answer: &[u8], kind: CallKind, key: &str) -> usize {
    if !kind.is_chat() {
        return answer.len() - plain_body(key).len() / 2;
    }
    let third = chat_event(key, FIRST_TOKENS);
    let text = String::from_utf8_lossy(answer);
    let start = text.find(&third).expect("the event is there");
    start + third.len() / 2
}

/// Guards against a short answer to a call that may run once being recorded and served
/// as complete to those who ask again (issue 48).
#[test]
fn a_short_answer_to_a_call_that_may_run_once_is_not_recorded() {
    let fleet = scripted_fleet();
    let mut cases = Vec::new();
    for framing in BODY_FRAMINGS {
        for end in [ScriptEnd::Close, ScriptEnd::Reset] {
            let key = format!("once-{framing:?}-{end:?}").to_lowercase();
            let mut bytes = framing.answer(CallKind::Order, &key);
            let cuts = framing.cuts(CallKind::Order, &key);
            bytes.truncate(cuts[0]);
            let answer = ScriptedAnswer { bytes, end };
            cases.push(BrokenCase::repeated(CallKind::Order, key, 1, answer));
        }
    }
    cases.push(BrokenCase::sound(CallKind::Order, "once-whole".to_owned()));
    let expected = |case: &BrokenCase, status| {
        if case.answers.is_empty() {
            AnswerEnd::Whole
        } else {
            AnswerEnd::Refused(status)
        }
    };
    fleet.check_all(&cases, |case| expected(case, 502));
    // Further attempts would get a complete answer.
    fleet.check_all(&cases, |case| expected(case, 409));
    for case in &cases {
        assert_eq!(fleet.script.attempts(&case.key).len(), 1, "{}", case.key);
    }
}

/// Guards against a whole answer being charged again after a broken one under the same
/// key (issue 48).
#[test]
fn a_request_that_is_sent_again_after_a_broken_answer_gets_a_whole_one_and_is_charged_once() {
    let fleet = scripted_fleet();
    let mut cases = Vec::new();
    for kind in [CallKind::Stream, CallKind::Chat, CallKind::Sizes] {
        for framing in BODY_FRAMINGS {
            let key = format!("again-{kind:?}-{framing:?}").to_lowercase();
            let mut bytes = framing.answer(kind, &key);
            bytes.truncate(framing.cuts(kind, &key)[1]);
            let answer = ScriptedAnswer::closed(bytes);
            let error = ScriptedAnswer::closed(Vec::new());
            let answers = vec![answer, error.clone(), error];
            cases.push(BrokenCase {
                answers,
                ..BrokenCase::sound(kind, key)
            });
        }
    }
    let ends = fleet.make_all(&cases);
    for case in &mut cases {
        assert_ne!(ends[&case.key], AnswerEnd::Whole, "{}", case.key);
        case.answers.clear();
    }
    fleet.check_all(&cases, |_case| AnswerEnd::Whole);
}

/// Guards against a request that a server began being called not run, and not charged,
/// because the next server refused it (issue 48).
#[test]
fn a_request_that_a_server_began_is_not_called_not_run_when_the_next_one_refuses_it() {
    let fleet = scripted_fleet();
    let mut cases = Vec::new();
    for kind in [CallKind::Stream, CallKind::Chat] {
        for (name, status) in [("many", 429), ("busy", 503)] {
            let key = format!("began-{kind:?}-{name}").to_lowercase();
            let mut bytes = BodyFraming::Sized.answer(kind, &key);
            bytes.truncate(half_of(&bytes, kind, &key));
            let refusal = ScriptedAnswer::closed(sized(status, &key, b"FOREIGN"));
            cases.push(BrokenCase {
                answers: vec![ScriptedAnswer::closed(bytes), refusal.clone(), refusal],
                deposits: RETRY_DEPOSITS,
                ..BrokenCase::sound(kind, key)
            });
        }
    }
    fleet.check_all(&cases, |case| match case.kind {
        CallKind::Stream => AnswerEnd::Broken(FIRST_TOKENS),
        _ => AnswerEnd::Refused(502),
    });
    for case in &cases {
        let attempts = fleet.script.attempts(&case.key);
        assert_eq!(attempts.len(), ATTEMPTS, "{}", case.key);
    }
}

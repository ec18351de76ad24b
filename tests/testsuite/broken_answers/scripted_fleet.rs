//! Calls to a fleet whose servers answer from a script.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::panic;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_support::requests::RequestFleet;
use hibiscus_types::RequestKey;

use super::raw_caller::AnswerEnd;
use super::raw_caller::RawCaller;
use super::scripted_server::ANSWER_TOKENS;
use super::scripted_server::AnswerScript;
use super::scripted_server::CHAT_CHARGE;
use super::scripted_server::ScriptedAnswer;
use super::scripted_server::ScriptedServer;
use super::scripted_server::chat_end;
use super::scripted_server::chat_events;
use super::scripted_server::chunked;
use super::scripted_server::plain_body;
use super::scripted_server::sized;
use super::scripted_server::unframed;
use crate::request_fleet::ORDER;
use crate::request_fleet::POLL;
use crate::request_fleet::SILENCE_MS;

/// A plain call that may run again.
const SIZES: &str = "/tailorbook/sizes";
/// Servers of each service: one for each attempt of a request.
pub(super) const SERVERS: usize = 3;
/// Routers of the fleet.
const ROUTERS: usize = 3;
/// Distance of the cuts in the body of a chat's answer, in bytes.
const CHAT_CUT_STEP: usize = 7;
/// Team of the callers.
const TEAM: &str = "regina-shop";
/// Time after which a settlement should be in the log.
const SETTLE_LIMIT: Duration = Duration::from_secs(10);
/// Callers at once.
const CALLERS: usize = 6;

/// A fleet before scripted servers.
pub(super) struct ScriptedFleet {
    pub(super) fleet: RequestFleet,
    pub(super) script: Arc<AnswerScript>,
    _servers: Vec<ScriptedServer>,
}

/// Starts routers before scripted servers of both services.
pub(super) fn scripted_fleet() -> ScriptedFleet {
    let script = Arc::new(AnswerScript::default());
    let fleet = RequestFleet::start(ROUTERS, Duration::ZERO, |settings| {
        settings.limits.server_silence_ms = SILENCE_MS;
    });
    let mut servers = Vec::new();
    for (service, name) in [("stylist-llm", "engine"), ("tailorbook", "book")] {
        for index in 0..SERVERS {
            let server = ScriptedServer::start(&script);
            let name = format!("{name}-{index}");
            let platform = &fleet.platform;
            platform.list_server(&name, service, "regina", server.address);
            servers.push(server);
        }
    }
    fleet.wait_ready();
    ScriptedFleet {
        fleet,
        script,
        _servers: servers,
    }
}

/// The calls that callers make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// A streamed chat completion.
    Stream,
    /// A chat completion in one piece.
    Chat,
    /// A plain call that may run again.
    Sizes,
    /// A plain call that may run once.
    Order,
}

/// Every kind of call.
pub(super) const CALL_KINDS: [CallKind; 4] = [
    CallKind::Stream,
    CallKind::Chat,
    CallKind::Sizes,
    CallKind::Order,
];

impl CallKind {
    /// Whether a model engine answers it.
    pub(super) fn is_chat(self) -> bool {
        matches!(self, Self::Stream | Self::Chat)
    }

    /// The body of a server's complete answer.
    pub(super) fn body(self, key: &str) -> String {
        if self.is_chat() {
            chat_events(key, 0) + &chat_end(key)
        } else {
            plain_body(key)
        }
    }

    /// Makes the call `key` and checks its answer.
    pub(super) fn make(self, caller: &mut RawCaller, key: &str) -> AnswerEnd {
        // Every wrong answer of a test is printed, not only the first one.
        let checked = panic::catch_unwind(AssertUnwindSafe(|| match self {
            Self::Stream => caller.chat(key, true).check_stream(key),
            Self::Chat => caller.chat(key, false).check_chat(key),
            Self::Sizes => caller.call(SIZES, key, "{}").check_plain(key),
            Self::Order => caller.call(ORDER, key, "{}").check_plain(key),
        }));
        checked.unwrap_or(AnswerEnd::Wrong)
    }
}

/// A call whose servers answer from a script.
#[derive(Clone, Debug)]
pub(super) struct BrokenCase {
    pub(super) kind: CallKind,
    pub(super) key: String,
    pub(super) answers: Vec<ScriptedAnswer>,
    /// Requests sent before, which earn the retries.
    pub(super) deposits: usize,
}

impl BrokenCase {
    /// A case in which the first `attempts` attempts get the same answer.
    pub(super) fn repeated(
        kind: CallKind,
        key: String,
        attempts: usize,
        answer: ScriptedAnswer,
    ) -> Self {
        Self {
            answers: vec![answer; attempts],
            ..Self::sound(kind, key)
        }
    }

    /// A case in which all attempts get a complete answer.
    pub(super) fn sound(kind: CallKind, key: String) -> Self {
        Self {
            kind,
            key,
            answers: Vec::new(),
            deposits: 0,
        }
    }
}

impl BrokenCase {
    /// What the call may be charged: the tokens generated, by the engine's count if it
    /// came.
    pub(super) fn charge(&self, end: AnswerEnd) -> RangeInclusive<u64> {
        match (end, self.kind) {
            (AnswerEnd::Whole, CallKind::Stream | CallKind::Chat) => CHAT_CHARGE..=CHAT_CHARGE,
            (AnswerEnd::Whole, CallKind::Sizes | CallKind::Order) => 1..=1,
            (AnswerEnd::Broken(ANSWER_TOKENS), _) => ANSWER_TOKENS as u64..=CHAT_CHARGE,
            (AnswerEnd::Broken(tokens), _) => tokens as u64..=tokens as u64,
            (AnswerEnd::Refused(_), CallKind::Chat) => 0..=CHAT_CHARGE,
            (AnswerEnd::Refused(_) | AnswerEnd::NotRun(_) | AnswerEnd::Wrong, _) => 0..=0,
        }
    }
}

impl ScriptedFleet {
    /// Makes the calls of all `cases`, some at a time, and returns how each ended.
    /// A connection that had a complete answer is used again.
    pub(super) fn make_all(&self, cases: &[BrokenCase]) -> BTreeMap<String, AnswerEnd> {
        self.make_with(CALLERS, cases)
    }

    /// As [`Self::make_all`], with so many callers.
    pub(super) fn make_with(
        &self,
        count: usize,
        cases: &[BrokenCase],
    ) -> BTreeMap<String, AnswerEnd> {
        let next = AtomicUsize::new(0);
        thread::scope(|scope| {
            let mut callers = Vec::new();
            for index in 0..count {
                let next = &next;
                callers.push(scope.spawn(move || {
                    let address = self.fleet.address(index % ROUTERS);
                    let mut ends = Vec::new();
                    let mut caller = RawCaller::connect(address);
                    while let Some(case) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
                        for index in 0..case.deposits {
                            let key = format!("{}-before-{index}", case.key);
                            let end = CallKind::Stream.make(&mut caller, &key);
                            assert_eq!(end, AnswerEnd::Whole);
                        }
                        self.script.set(&case.key, &case.answers);
                        let end = case.kind.make(&mut caller, &case.key);
                        if end == AnswerEnd::Wrong {
                            caller = RawCaller::connect(address);
                        }
                        if matches!(end, AnswerEnd::Broken(_)) {
                            assert!(caller.is_ended(), "{}", case.key);
                            caller = RawCaller::connect(address);
                        }
                        ends.push((case.key.clone(), end));
                    }
                    ends
                }));
            }
            callers
                .into_iter()
                .flat_map(|caller| caller.join().expect("the caller ends"))
                .collect()
        })
    }

    /// Makes the calls of `cases` and compares the end and charge of each with what
    /// `expected` says of the end.
    pub(super) fn check_all<F>(&self, cases: &[BrokenCase], expected: F)
    where
        F: Fn(&BrokenCase) -> AnswerEnd,
    {
        self.check_ends(cases, &self.make_all(cases), expected);
    }

    /// Compares ends and charges as [`Self::check_all`] does.
    pub(super) fn check_ends<F>(
        &self,
        cases: &[BrokenCase],
        ends: &BTreeMap<String, AnswerEnd>,
        expected: F,
    ) where
        F: Fn(&BrokenCase) -> AnswerEnd,
    {
        let mut faults = Vec::new();
        for case in cases {
            let (end, expected) = (ends[&case.key], expected(case));
            if end != expected {
                faults.push(format!("{}: {end:?}, not {expected:?}", case.key));
            }
        }
        let (count, all) = (faults.len(), cases.len());
        assert!(
            faults.is_empty(),
            "{count} of {all}:\n{}",
            faults.join("\n")
        );
        self.check_charges(cases, ends);
    }

    /// Compares the charges in the ledger with the ends that callers saw.
    pub(super) fn check_charges(&self, cases: &[BrokenCase], ends: &BTreeMap<String, AnswerEnd>) {
        let deadline = Instant::now() + SETTLE_LIMIT;
        loop {
            let ledger = self.fleet.ledger();
            let found = cases.iter().find_map(|case| {
                let key = RequestKey::new(TEAM.into(), &case.key);
                let settled = ledger.settlement(&key);
                let charged = settled.map_or(0, |settlement| settlement.charge.get());
                let end = ends[&case.key];
                let fits = case.charge(end).contains(&charged);
                (!fits).then(|| format!("{charged} charged for {}, {end:?}", case.key))
            });
            let Some(wrong) = found else {
                return;
            };
            // Settlements are on their way to the log.
            assert!(Instant::now() < deadline, "{wrong}");
            thread::sleep(POLL);
        }
    }
}

/// The framings of a complete answer.
#[derive(Clone, Copy, Debug)]
pub(super) enum BodyFraming {
    /// A length.
    Sized,
    /// Chunks.
    Chunked,
    /// The end of the connection.
    Unframed,
}

/// Every framing.
pub(super) const BODY_FRAMINGS: [BodyFraming; 3] = [
    BodyFraming::Sized,
    BodyFraming::Chunked,
    BodyFraming::Unframed,
];

impl BodyFraming {
    /// A complete answer to the call `key`.
    pub(super) fn answer(self, kind: CallKind, key: &str) -> Vec<u8> {
        let body = kind.body(key);
        match self {
            Self::Sized => sized(200, key, body.as_bytes()),
            Self::Chunked => chunked(200, key, body.as_bytes()),
            Self::Unframed => unframed(200, key, body.as_bytes()),
        }
    }

    /// The lengths at which the answer can be cut so that its end is missing.
    pub(super) fn cuts(self, kind: CallKind, key: &str) -> Vec<usize> {
        let answer = String::from_utf8(self.answer(kind, key)).expect("an answer is text");
        let first = answer.find("\r\n\r\n").expect("a head has an end") + 4;
        let end = match self {
            // A stream is whole with the line of its end marker.
            _ if kind.is_chat() => answer.find("[DONE]\n").expect("a stream has an end") + 6,
            Self::Sized => answer.len() - 1,
            // A body in chunks is whole with the line of its last chunk.
            Self::Chunked => answer.len() - 3,
            // No byte shows that nothing is missing.
            Self::Unframed => answer.len(),
        };
        let step = if kind.is_chat() { CHAT_CUT_STEP } else { 1 };
        (first..=end).rev().step_by(step).collect()
    }
}

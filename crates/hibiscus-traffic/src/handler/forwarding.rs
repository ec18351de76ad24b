//! Sends a request to one server after the other until one answers.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_request::fingerprint::RequestFingerprint;
use hibiscus_routing::placement::PartTokens;
use hibiscus_routing::placement::PlacementRequest;
use hibiscus_types::ServerName;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;

use crate::connect::ConnectFault;
use crate::crash_detector::CrashCandidate;
use crate::crash_detector::CrashDetector;
use crate::crash_detector::StreamCandidate;
use crate::handler::Result;
use crate::handler::admission::AdmittedRequest;
use crate::in_flight::InFlightRequest;
use crate::in_flight::RequestCharge;
use crate::in_flight::RequestProgress;
use crate::in_flight::ResponseTracker;
use crate::response::LocalReason;
use crate::response::LocalRefusal;
use crate::response_body::ResponseBody;
use crate::response_body::StreamForwarder;
use crate::send;
use crate::send::FailureCause;
use crate::send::OutgoingRequest;
use crate::send::SendOutcome;
use crate::send::ServerResponse;
use crate::servers::NoServer;
use crate::servers::ServerHandle;
use crate::state::TrafficState;
use crate::suspects;
use crate::suspects::SuspectStatus;
use crate::suspects::SuspectTracker;
use crate::traffic_metrics::RequestOutcome;
use crate::traffic_metrics::TrafficMetrics;
use crate::wire_format::CallerHeaders;
use crate::wire_format::ServerHeaders;
use crate::wire_format::WireFormat;

/// Servers tried for one request while none has run it.
const TRIES: usize = 4;

/// Servers with a closed port that are passed over for one request.
const CLOSED_TRIES: usize = 12;

/// Longest answer that is gathered before its head goes out, in bytes.
const GATHER_LIMIT: usize = 256 * 1024;

/// Time below which sending to another server is not worth it.
const LEAST_TIME: Duration = Duration::from_millis(20);

/// What was tried for one request so far.
struct ForwardTrail {
    tried: Vec<ServerName>,
    /// Those whose port was closed, which costs a round trip.
    closed: usize,
    /// Servers that may have run the request.
    runs: u32,
    /// The answer when nothing better comes.
    refusal: LocalRefusal,
    /// A server's own failure, which says more than the reason.
    failure: Option<Response<Bytes>>,
}

/// What follows an attempt.
enum NextStep {
    /// The caller gets this.
    Answer(Box<ForwardedAnswer>),
    /// Another server may be tried, as a retry.
    Retry,
    /// Another server may be tried: nothing arrived at this one.
    Elsewhere,
    /// Nothing more may be tried.
    End,
}

impl ForwardTrail {
    /// No server ran the request at this attempt.
    fn note_not_run(&mut self, reason: LocalReason, charge: Option<&Rc<RequestCharge>>) {
        if self.runs > 0 {
            return;
        }
        self.refusal = reason.into();
        if let Some(charge) = charge {
            charge.note_sent(false);
        }
    }

    /// No other server can be used; a refusal of one that was tried says more.
    fn note_none(&mut self, none: NoServer) {
        if self.runs > 0 {
            return;
        }
        if let NoServer::Pausing(back) = none {
            let reason = match self.refusal.reason {
                LocalReason::NoServer => LocalReason::ServersPausing,
                other => other,
            };
            self.refusal = LocalRefusal {
                reason,
                chance: back,
            };
        }
    }

    /// A server may have run the request, and its answer is no use.
    fn note_failed(
        &mut self,
        admitted: &AdmittedRequest,
        server: &ServerName,
        cause: FailureCause,
    ) -> NextStep {
        event!(
            EventCode::ServerFailed,
            "request={} server={server} cause={cause} after_ms={}",
            admitted.signs.id,
            admitted.arrived.elapsed().as_millis()
        );
        self.runs += 1;
        self.refusal = LocalReason::Unknown.into();
        if may_run_again(admitted, self.runs) {
            NextStep::Retry
        } else {
            NextStep::End
        }
    }

    /// The end without an answer of a server that is of use.
    fn end(self) -> Result<ForwardedAnswer> {
        self.failure.map(ForwardedAnswer::Whole).ok_or(self.refusal)
    }
}

/// What is known against the request; fails when it must not be sent.
pub(super) fn check_suspect_status<D: WireFormat>(
    state: &TrafficState<D>,
    admitted: &AdmittedRequest,
) -> Result<SuspectStatus> {
    let standing = state.suspects.status(&admitted.identity);
    if let SuspectStatus::Quarantined(_) = standing {
        let fingerprint = admitted.identity.fingerprint();
        suspects::log_suspect_status(&admitted.signs.id, &fingerprint, &standing);
        return Err(LocalReason::EndsServers.into());
    }
    Ok(standing)
}

/// Sends the request until a server answers or nothing more may be tried.
pub(super) async fn forward<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    admitted: &AdmittedRequest,
    charge: Option<Rc<RequestCharge>>,
) -> Result<ForwardedAnswer> {
    let mut trail = ForwardTrail {
        tried: Vec::new(),
        closed: 0,
        runs: 0,
        refusal: LocalReason::NoServer.into(),
        failure: None,
    };
    state
        .retries
        .borrow_mut()
        .count_request(&admitted.service, state.now());
    while trail.closed < CLOSED_TRIES && trail.tried.len() - trail.closed < TRIES {
        let left = admitted.until.saturating_duration_since(Instant::now());
        if left < LEAST_TIME {
            let sent = trail.runs > 0;
            trail.refusal = if sent {
                LocalReason::TimedOut.into()
            } else {
                LocalReason::TimeSpent.into()
            };
            break;
        }
        match attempt(state, admitted, charge.as_ref(), &mut trail).await {
            NextStep::Answer(answer) => return Ok(*answer),
            NextStep::Elsewhere => {}
            NextStep::End => break,
            NextStep::Retry => {
                let instances = state.directory.borrow().possibly_live_count();
                let mut retries = state.retries.borrow_mut();
                if !retries.take_retry(&admitted.service, instances, state.now()) {
                    break;
                }
                state.measures.count_retry();
            }
        }
    }
    trail.end()
}

/// Chooses a server that was not tried and sends the request there.
async fn attempt<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    admitted: &AdmittedRequest,
    charge: Option<&Rc<RequestCharge>>,
    trail: &mut ForwardTrail,
) -> NextStep {
    // Other instances may have learned more since the attempt before.
    let standing = match check_suspect_status(state, admitted) {
        Ok(standing) => standing,
        Err(refusal) => {
            trail.refusal = refusal;
            return NextStep::End;
        }
    };
    let (shared, own_tokens) = shared_parts(&admitted.signs);
    let case = PlacementRequest {
        shared: &shared,
        own_tokens,
        now: state.now(),
    };
    let others = state.directory.borrow().live_count().saturating_sub(1);
    let chosen = state.servers.borrow().choose(
        &admitted.service,
        &trail.tried,
        &state.data_centre,
        others,
        &case,
    );
    let chosen = match chosen {
        Ok(chosen) => chosen,
        Err(none) => {
            trail.note_none(none);
            return NextStep::End;
        }
    };
    let name = chosen.server.entry.name.clone();
    trail.tried.push(name.clone());
    let mut headers = admitted.headers.clone();
    let signs = ServerHeaders {
        server: &name,
        team: admitted.team.as_ref().map(|team| &team.name),
        time_left: admitted.until.saturating_duration_since(Instant::now()),
        urgency: urgency(admitted),
        resume_after: None,
    };
    state.wire_format.set_server_headers(&signs, &mut headers);
    let outgoing = OutgoingRequest {
        method: &admitted.method,
        target: admitted.identity.target(),
        headers: &headers,
        body: &admitted.identity.body,
        id: &admitted.signs.id,
        until: admitted.until,
        abandon_if_silent: may_run_again(admitted, trail.runs + 1),
    };
    let suspect = match &standing {
        SuspectStatus::Clear => None,
        _ => Some(admitted.identity.fingerprint()),
    };
    if let Some(fingerprint) = &suspect
        && trail.tried.len() == 1
    {
        suspects::log_suspect_status(&admitted.signs.id, fingerprint, &standing);
    }
    let flight = InFlightRequest::begin(&chosen, &shared, state.now());
    if let Some(charge) = charge {
        charge.note_sent(true);
    }
    event!(
        EventCode::RequestForwarded,
        "request={} server={name}",
        admitted.signs.id
    );
    let request = CrashCandidate::new(&admitted.signs.id, &admitted.identity, standing.rounds());
    let has_other = || {
        let instances = state.directory.borrow().possibly_live_count();
        let mut retries = state.retries.borrow_mut();
        retries.has_retry(&admitted.service, instances, state.now())
            && state
                .servers
                .borrow()
                .has_other(&admitted.service, &trail.tried)
    };
    let report = send::send(&state.wire_format, flight, &outgoing, has_other).await;
    if report.leaving {
        state.note_draining(&chosen.server.entry.incarnation(), "answer");
    }
    let attempt = SentAttempt {
        server: chosen.server,
        request,
        crash_detector: Rc::clone(&state.crash_detector),
        suspects: Rc::clone(&state.suspects),
        suspect,
    };
    follow(admitted, charge, trail, attempt, report.outcome).await
}

/// A request that was sent to a server, and where to tell what became of it.
#[derive(Clone)]
pub(super) struct SentAttempt {
    server: Rc<ServerHandle>,
    request: CrashCandidate,
    crash_detector: Rc<CrashDetector>,
    suspects: Rc<SuspectTracker>,
    /// The request, if servers ended under it before.
    suspect: Option<RequestFingerprint>,
}

impl SentAttempt {
    /// The server answered the whole of it.
    fn note_response(&self) {
        if let Some(fingerprint) = &self.suspect {
            self.suspects.note_response(&self.request.id, fingerprint);
        }
    }

    /// The server gave no answer that is of use.
    fn fail(
        self,
        admitted: &AdmittedRequest,
        trail: &mut ForwardTrail,
        cause: FailureCause,
    ) -> NextStep {
        let next = trail.note_failed(admitted, &self.server.entry.name, cause);
        if !cause.is_broken() {
            return next;
        }
        self.crash_detector
            .note_broken(&self.server, Some(self.request));
        // The next server would end too if the request ends servers.
        if self.suspect.is_some() {
            return NextStep::End;
        }
        next
    }
}

/// Decides what follows the outcome of an attempt.
async fn follow(
    admitted: &AdmittedRequest,
    charge: Option<&Rc<RequestCharge>>,
    trail: &mut ForwardTrail,
    attempt: SentAttempt,
    outcome: SendOutcome,
) -> NextStep {
    let server = Rc::clone(&attempt.server);
    let name = &server.entry.name;
    match outcome {
        SendOutcome::Answered(answer) => {
            match take_answer(admitted, *answer, charge, &attempt).await {
                Ok(ForwardedAnswer::Whole(answer)) if answer.status().is_server_error() => {
                    trail.failure = Some(answer);
                    trail.note_failed(admitted, name, FailureCause::ServerError)
                }
                Ok(answer) => NextStep::Answer(Box::new(answer)),
                Err(cause) => attempt.fail(admitted, trail, cause),
            }
        }
        SendOutcome::NotSent(fault) => {
            event!(
                EventCode::ServerNotReached,
                "request={} server={name} cause={fault:?}",
                admitted.signs.id
            );
            trail.note_not_run(LocalReason::NoServer, charge);
            if fault == ConnectFault::Closed {
                // One known to be closed is tried for want of others only.
                trail.closed += usize::from(!server.is_closed());
                attempt.crash_detector.note_broken(&server, None);
            }
            NextStep::Elsewhere
        }
        SendOutcome::NotRun(status) => {
            event!(
                EventCode::ServerRefused,
                "request={} server={name} status={status}",
                admitted.signs.id
            );
            trail.note_not_run(LocalReason::ServersFull, charge);
            NextStep::Retry
        }
        SendOutcome::Withdrawn => {
            trail.note_not_run(LocalReason::NoServer, charge);
            NextStep::Elsewhere
        }
        SendOutcome::Unknown(cause) => attempt.fail(admitted, trail, cause),
        SendOutcome::TimedOut => {
            trail.refusal = LocalReason::TimedOut.into();
            NextStep::End
        }
    }
}

/// Whether another server may run the request after `runs` may have.
fn may_run_again(admitted: &AdmittedRequest, runs: u32) -> bool {
    admitted.route.kind.is_repeatable() && runs < admitted.route.attempts
}

/// An answer that may go to the caller.
pub(super) enum ForwardedAnswer {
    /// All of it is here.
    Whole(Response<Bytes>),
    /// A stream that has begun.
    Stream(Box<BegunStream>),
}

/// A stream whose head has come.
pub(super) struct BegunStream {
    head: http::response::Parts,
    body: Incoming,
    flight: InFlightRequest,
    charge: Option<Rc<RequestCharge>>,
    attempt: SentAttempt,
}

impl ForwardedAnswer {
    /// The caller's answer; a stream counts as in progress until it has passed.
    pub(super) fn into_answer(
        self,
        admitted: &AdmittedRequest,
        progress: RequestProgress,
        measures: Rc<TrafficMetrics>,
    ) -> Response<ResponseBody> {
        let kind = admitted.route.kind;
        let stream = match self {
            Self::Whole(answer) => {
                let taken = admitted.arrived.elapsed();
                measures.record_first_event(kind, taken);
                measures.record_request_end(Some(kind), RequestOutcome::Passed, taken);
                return answer.map(ResponseBody::whole);
            }
            Self::Stream(stream) => *stream,
        };
        let attempt = stream.attempt;
        let engine = admitted.table.engine(&admitted.service);
        let watch = ResponseTracker {
            id: admitted.signs.id.clone(),
            kind,
            arrived: admitted.arrived,
            heard: None,
            measures,
            flight: stream.flight,
            charge: stream.charge,
            tokens_per_event: engine.map_or(1, |engine| engine.tokens_per_event),
            progress,
            exposure: StreamCandidate::new(attempt.request, attempt.crash_detector),
            suspects: attempt.suspects,
            suspect: attempt.suspect,
        };
        let deadline = tokio::time::sleep_until(admitted.until.into());
        let relay = StreamForwarder::new(stream.body, admitted.signs.resume_after, deadline, watch);
        Response::from_parts(stream.head, ResponseBody::Stream(Box::new(relay)))
    }
}

/// Takes a server's answer over: a stream passes as it comes, any other body
/// is gathered first, so that a broken one is never begun.
async fn take_answer(
    admitted: &AdmittedRequest,
    answer: ServerResponse,
    charge: Option<&Rc<RequestCharge>>,
    attempt: &SentAttempt,
) -> std::result::Result<ForwardedAnswer, FailureCause> {
    let (mut head, body) = answer.answer.into_parts();
    send::strip_connection_headers(&mut head.headers);
    let mut flight = answer.flight;
    if admitted.route.kind.is_stream() && head.status.is_success() {
        return Ok(ForwardedAnswer::Stream(Box::new(BegunStream {
            head,
            body,
            flight,
            charge: charge.map(Rc::clone),
            attempt: attempt.clone(),
        })));
    }
    let wait = admitted.until.saturating_duration_since(Instant::now());
    let gathered = Limited::new(body, GATHER_LIMIT).collect();
    let gathered = tokio::time::timeout(wait, gathered).await;
    let Ok(Ok(gathered)) = gathered else {
        flight.server().note_failed();
        return Err(FailureCause::AnswerBroken);
    };
    flight.note_prefill_done();
    flight.server().note_healthy();
    attempt.note_response();
    event!(
        EventCode::RequestEnded,
        "request={} server={} status={} total_ms={}",
        admitted.signs.id,
        flight.server().entry.name,
        head.status.as_u16(),
        admitted.arrived.elapsed().as_millis()
    );
    flight.keep_link();
    let answer = Response::from_parts(head, gathered.to_bytes());
    Ok(ForwardedAnswer::Whole(answer))
}

/// The team's priority goes before the route's.
fn urgency(admitted: &AdmittedRequest) -> u8 {
    let team = admitted.team.as_ref().and_then(|team| team.priority);
    team.unwrap_or(admitted.route.priority)
}

/// The parts of a prompt that other requests may share, and the rest's tokens.
fn shared_parts(signs: &CallerHeaders) -> (Vec<PartTokens>, u64) {
    let Some((own, shared)) = signs.parts.split_last() else {
        return (Vec::new(), signs.prompt_tokens);
    };
    let shared = shared.iter().map(|part| (part.id, part.tokens)).collect();
    (shared, own.tokens)
}

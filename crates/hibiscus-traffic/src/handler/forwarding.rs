//! Sends a request to one backend server after the other until one responds.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_request::fingerprint::RequestFingerprint;
use hibiscus_request::prompt_parts::PartStatus;
use hibiscus_routing::placement::PartTokens;
use hibiscus_routing::placement::PlacementRequest;
use hibiscus_types::ServerName;
use hibiscus_types::hash::stable_hash;
use http::Response;
use http::StatusCode;
use metrics::counter;

use crate::connect::ConnectFault;
use crate::crash_detector::BrokenRequest;
use crate::crash_detector::CrashCandidate;
use crate::crash_detector::CrashDetector;
use crate::handler::Result;
use crate::handler::admission::AdmittedRequest;
use crate::handler::response_intake;
use crate::handler::response_intake::ForwardedResponse;
use crate::handler::selection;
use crate::in_flight::InFlightRequest;
use crate::in_flight::RequestCharge;
use crate::model::RequestKind;
use crate::part_tracker::PromptWatch;
use crate::response::LocalReason;
use crate::response::LocalRefusal;
use crate::send;
use crate::send::FailureCause;
use crate::send::OutgoingRequest;
use crate::send::ProcessCheck;
use crate::send::SendOutcome;
use crate::servers::ServerHandle;
use crate::servers::choice::NoServer;
use crate::state::TrafficState;
use crate::stream_versions::STREAM_TAKE_UPS;
use crate::suspects;
use crate::suspects::SuspectStatus;
use crate::suspects::SuspectTracker;
use crate::wire_format::CallerHeaders;
use crate::wire_format::ServerHeaders;
use crate::wire_format::WireFormat;

/// Maximum number of servers tried for one request, not counting those whose
/// port is closed.
const TRIED_SERVERS_LIMIT: usize = 4;

/// Maximum number of servers with a closed port that are skipped for one
/// request.
const CLOSED_SERVERS_LIMIT: usize = 12;

/// Number of times that a request may be withdrawn from servers that have named a
/// limit in the meantime, and try them again.
const WITHDRAWAL_LIMIT: usize = 2;

/// Minimum time before the deadline for sending to another server.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

/// The attempts for one request so far.
struct AttemptHistory {
    tried: Vec<ServerName>,
    /// Tried servers whose port was closed. Each cost one round trip.
    closed: usize,
    /// Number of times that the request was withdrawn because of a limit.
    withdrawn: usize,
    /// Number of servers that may have run the request.
    runs: u32,
    /// Local response if no attempt succeeds.
    refusal: LocalRefusal,
    /// Last error response of a server. It is forwarded in place of `refusal`,
    /// since it tells the caller more.
    failure: Option<Response<Bytes>>,
}

/// What to do after an attempt.
enum NextStep {
    /// Send this response to the caller.
    Respond(Box<ForwardedResponse>),
    /// Try another server; this counts as a retry.
    Retry,
    /// Try another server. Nothing arrived at this one, so this does not count
    /// as a retry.
    TryElsewhere,
    /// Nothing more may be tried.
    End,
}

impl AttemptHistory {
    /// Records that no further server may get the request. If one may have run it, the
    /// response must not promise the contrary.
    fn note_refused(&mut self, refusal: LocalRefusal) {
        let promises_not_run = refusal.reason.status() == StatusCode::SERVICE_UNAVAILABLE;
        if self.runs == 0 || !promises_not_run {
            self.refusal = refusal;
        }
    }

    /// Records an attempt at which no server ran the request.
    fn note_not_run(&mut self, reason: LocalReason) {
        if self.runs == 0 {
            self.refusal = reason.into();
        }
    }

    /// Records that no other server is usable. If a tried server refused the
    /// request, the refusal keeps that reason, since it tells the caller more.
    fn note_no_server(&mut self, none: NoServer, admitted: &AdmittedRequest) {
        if self.runs > 0 {
            return;
        }
        let (no_server, recovery) = match none {
            NoServer::Missing if admitted.versions.is_strict() => {
                (LocalReason::StreamUnavailable, None)
            }
            NoServer::Missing => return,
            NoServer::Pausing(pause) => (LocalReason::ServersPausing, pause),
            NoServer::Limited(time) => (LocalReason::ServersLimited, Some(time)),
            NoServer::Evacuated => (LocalReason::ServersEvacuated, None),
            NoServer::MemoryFull => (LocalReason::ServersFull, None),
            NoServer::TooLate(retry) => (LocalReason::DeadlineUnreachable, Some(retry)),
        };
        let reason = match self.refusal.reason {
            LocalReason::NoServer => no_server,
            other => other,
        };
        self.refusal = LocalRefusal { reason, recovery };
    }

    /// Records an attempt at which a server may have run the request but gave no
    /// usable response.
    fn note_failed(
        &mut self,
        admitted: &AdmittedRequest,
        server: &ServerName,
        cause: FailureCause,
    ) -> NextStep {
        event!(
            EventCode::ServerFailed,
            "request={} server={server} cause={cause} after_ms={}",
            admitted.caller_headers.id,
            admitted.arrived.elapsed().as_millis()
        );
        self.runs += 1;
        self.refusal = LocalReason::OutcomeUnknown.into();
        if may_run_again(admitted, self.runs) {
            NextStep::Retry
        } else {
            NextStep::End
        }
    }

    /// Result when no attempt succeeded: the last error response of a server, or
    /// the refusal.
    fn into_failure(self) -> Result<ForwardedResponse> {
        self.failure
            .map(ForwardedResponse::Whole)
            .ok_or(self.refusal)
    }
}

/// Returns whether the request is suspected of crashing servers.
///
/// # Errors
///
/// Fails when the request is quarantined and must not be sent.
pub(super) fn check_quarantine<D: WireFormat>(
    state: &TrafficState<D>,
    admitted: &AdmittedRequest,
) -> Result<SuspectStatus> {
    let suspect_status = state.suspects.status(&admitted.identity);
    if let SuspectStatus::Quarantined(_) = suspect_status {
        let fingerprint = admitted.identity.fingerprint();
        suspects::log_suspect_status(&admitted.caller_headers.id, &fingerprint, &suspect_status);
        return Err(LocalReason::CrashesServers.into());
    }
    if let PartStatus::Condemned(part) = state.parts.status(&admitted.prompt) {
        state.parts.log_refusal(&admitted.caller_headers.id, part);
        return Err(LocalReason::PartCrashesServers.into());
    }
    if let Some((part, remaining)) = state.parts.suspension(&admitted.prompt) {
        let id = &admitted.caller_headers.id;
        state.parts.log_suspension(id, part, remaining);
        return Err(LocalRefusal {
            reason: LocalReason::PartSuspended,
            recovery: Some(remaining),
        });
    }
    Ok(suspect_status)
}

/// Checks that not all serving servers are in regions that the request may not reach.
///
/// # Errors
///
/// Fails if the request may reach none of the serving servers.
pub(super) fn check_regions<D: WireFormat>(
    state: &TrafficState<D>,
    admitted: &AdmittedRequest,
) -> Result<()> {
    let servers = state.servers.borrow();
    if servers.serves_only_outside(&admitted.service, &admitted.regions) {
        return Err(LocalReason::NoServerInRegion.into());
    }
    Ok(())
}

/// Sends the request to servers until one responds or no further attempt is
/// allowed.
pub(super) async fn forward<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    admitted: &AdmittedRequest,
    charge: Option<Rc<RequestCharge>>,
) -> Result<ForwardedResponse> {
    let mut history = AttemptHistory {
        tried: Vec::new(),
        closed: 0,
        withdrawn: 0,
        runs: 0,
        refusal: LocalReason::NoServer.into(),
        failure: None,
    };
    state
        .retries
        .borrow_mut()
        .count_request(&admitted.service, state.now());
    while history.closed < CLOSED_SERVERS_LIMIT
        && history.tried.len() - history.closed < TRIED_SERVERS_LIMIT
    {
        let time_left = admitted.deadline.saturating_duration_since(Instant::now());
        if time_left < MIN_ATTEMPT_TIME {
            let sent = history.runs > 0;
            history.refusal = if sent {
                LocalReason::TimedOut.into()
            } else {
                LocalReason::ExpiredBeforeSend.into()
            };
            break;
        }
        match attempt(state, admitted, charge.as_ref(), &mut history).await {
            NextStep::Respond(response) => return Ok(*response),
            NextStep::TryElsewhere => {}
            NextStep::End => break,
            NextStep::Retry => {
                let instances = state.directory.borrow().possibly_live_count();
                let mut retries = state.retries.borrow_mut();
                if !retries.take_retry(&admitted.service, instances, state.now()) {
                    break;
                }
                state.metrics.count_retry();
            }
        }
    }
    history.into_failure()
}

/// Sends the request to a server that has not been tried yet.
async fn attempt<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    admitted: &AdmittedRequest,
    charge: Option<&Rc<RequestCharge>>,
    history: &mut AttemptHistory,
) -> NextStep {
    // Other instances may have reported crashes since the last attempt.
    let suspect_status = match check_quarantine(state, admitted) {
        Ok(suspect_status) => suspect_status,
        Err(refusal) => {
            history.note_refused(refusal);
            return NextStep::End;
        }
    };
    let (shared, own_tokens) = shared_parts(&admitted.caller_headers);
    let case = PlacementRequest {
        shared: &shared,
        own_tokens,
        now: state.now(),
        kind: stable_hash(&[admitted.route.name.as_bytes()]),
        output_tokens: admitted.caller_headers.output_tokens,
    };
    let chosen = match selection::choose_server(state, admitted, &history.tried, &case).await {
        Ok(chosen) => chosen,
        Err(none) => {
            if let NoServer::Limited(_) = none {
                let servers = state.servers.borrow();
                servers.log_held_back(&admitted.caller_headers.id, &admitted.service);
            }
            if none == NoServer::Missing && admitted.versions.is_strict() {
                let reason = LocalReason::StreamUnavailable;
                let resumes = admitted.caller_headers.resumes.as_deref();
                let id = &admitted.caller_headers.id;
                state.log_take_up_refusal(id, resumes, &admitted.service, reason);
            }
            if none == NoServer::MemoryFull {
                event!(
                    EventCode::EnginesFull,
                    "request={} service={} tokens={}",
                    admitted.caller_headers.id,
                    admitted.service,
                    case.memory_tokens()
                );
            }
            history.note_no_server(none, admitted);
            if history.tried.is_empty()
                && let Err(refusal) = check_regions(state, admitted)
            {
                history.refusal = refusal;
            }
            return NextStep::End;
        }
    };
    let name = chosen.server.entry.name.clone();
    history.tried.push(name.clone());
    let mut headers = admitted.headers.clone();
    let server_headers = ServerHeaders {
        server: &name,
        team: admitted.team.as_ref().map(|team| &team.name),
        time_left: admitted.deadline.saturating_duration_since(Instant::now()),
        urgency: chosen.urgency.unwrap_or_else(|| admitted.urgency()),
        resume_after: None,
    };
    state
        .wire_format
        .set_server_headers(&server_headers, &mut headers);
    let outgoing = OutgoingRequest {
        method: &admitted.method,
        target: admitted.identity.target(),
        headers: &headers,
        body: &admitted.identity.body,
        id: &admitted.caller_headers.id,
        deadline: admitted.deadline,
        abandon_if_silent: may_run_again(admitted, history.runs + 1),
        process_check: process_check(admitted),
    };
    let suspect = match &suspect_status {
        SuspectStatus::Clear => None,
        _ => Some(admitted.identity.fingerprint()),
    };
    if let Some(fingerprint) = &suspect
        && history.tried.len() == 1
    {
        suspects::log_suspect_status(&admitted.caller_headers.id, fingerprint, &suspect_status);
    }
    let in_flight = InFlightRequest::begin(&chosen, charge, &shared, state.now());
    event!(
        EventCode::RequestForwarded,
        "request={} server={name}",
        admitted.caller_headers.id
    );
    if let Some(last_event) = admitted.caller_headers.resume_after {
        counter!(STREAM_TAKE_UPS, "outcome" => "gone_on").increment(1);
        event!(
            EventCode::StreamTakenUp,
            "request={} resumes={} after={last_event} server={name} software={}",
            admitted.caller_headers.id,
            admitted.caller_headers.resumes.as_deref().unwrap_or("none"),
            chosen.server.entry.software
        );
    }
    let request = CrashCandidate::new(
        &admitted.caller_headers.id,
        &admitted.identity,
        suspect_status.rounds(),
        Rc::clone(&admitted.prompt),
    );
    let has_other = || {
        let instances = state.directory.borrow().possibly_live_count();
        let mut retries = state.retries.borrow_mut();
        retries.has_retry(&admitted.service, instances, state.now())
            && state.servers.borrow().has_other(
                &admitted.service,
                &history.tried,
                &admitted.versions,
                &admitted.regions,
            )
    };
    let sending = send::send(&state.wire_format, in_flight, &outgoing, has_other);
    let report = tokio::select! {
        report = sending => report,
        // The server may not have begun the response yet. It drops the request when
        // the connection closes.
        () = state.parts.until_condemned(&admitted.prompt) => {
            history.refusal = check_quarantine(state, admitted)
                .err()
                .unwrap_or(LocalReason::PartCrashesServers.into());
            return NextStep::End;
        }
    };
    if report.draining {
        state.note_draining(&chosen.server.entry.incarnation(), "answer");
    }
    if let Some(observation) = report.limit {
        state.note_limit(&chosen.server, observation);
    }
    if let Some(observation) = report.cold {
        state.note_cold_response(&chosen.server, observation);
    }
    let attempt = SentAttempt {
        request,
        is_verified: report.is_verified,
        prompt_watch: PromptWatch::new(
            Rc::clone(&state.parts),
            &admitted.caller_headers.id,
            Rc::clone(&admitted.prompt),
            Rc::clone(&chosen.server),
        ),
        server: chosen.server,
        crash_detector: Rc::clone(&state.crash_detector),
        suspects: Rc::clone(&state.suspects),
        suspect,
    };
    handle_outcome(admitted, charge, history, attempt, report.outcome).await
}

/// A request that was sent to a server, with the crash detector and the list of
/// suspects to notify of its outcome.
pub(super) struct SentAttempt {
    pub(super) server: Rc<ServerHandle>,
    pub(super) request: CrashCandidate,
    pub(super) prompt_watch: PromptWatch,
    /// Whether the process that responds is the one that wrote the server's entry.
    pub(super) is_verified: bool,
    pub(super) crash_detector: Rc<CrashDetector>,
    pub(super) suspects: Rc<SuspectTracker>,
    /// Fingerprint of the request if servers crashed while they ran it before.
    pub(super) suspect: Option<RequestFingerprint>,
}

impl SentAttempt {
    /// Records that the server sent a whole response.
    pub(super) fn note_responded(&self) {
        if let Some(fingerprint) = &self.suspect {
            self.suspects.note_response(&self.request.id, fingerprint);
        }
    }

    /// Handles an attempt without a usable response.
    fn fail(
        self,
        admitted: &AdmittedRequest,
        history: &mut AttemptHistory,
        cause: FailureCause,
    ) -> NextStep {
        let next = history.note_failed(admitted, &self.server.entry.name, cause);
        if !cause.may_be_crash() {
            return next;
        }
        let broken = BrokenRequest {
            prompt: self
                .prompt_watch
                .note_broken(self.request.head_at.is_some()),
            request: Some(self.request),
        };
        self.crash_detector.note_broken(&self.server, broken);
        // If this request crashes servers, the next one would crash too.
        if self.suspect.is_some() {
            return NextStep::End;
        }
        next
    }
}

/// Decides what to do after the outcome of an attempt.
async fn handle_outcome(
    admitted: &AdmittedRequest,
    charge: Option<&Rc<RequestCharge>>,
    history: &mut AttemptHistory,
    mut attempt: SentAttempt,
    outcome: SendOutcome,
) -> NextStep {
    let server = Rc::clone(&attempt.server);
    let name = &server.entry.name;
    match outcome {
        SendOutcome::Responded(response) if response_intake::is_stream(admitted, &response) => {
            let stream = response_intake::start_stream(admitted, *response, charge, attempt);
            let response = ForwardedResponse::Stream(Box::new(stream));
            NextStep::Respond(Box::new(response))
        }
        SendOutcome::Responded(response) => {
            match response_intake::receive_response(admitted, *response, &mut attempt).await {
                Ok(response) if response.status().is_server_error() => {
                    history.failure = Some(response);
                    history.note_failed(admitted, name, FailureCause::ServerError)
                }
                Ok(response) => NextStep::Respond(Box::new(ForwardedResponse::Whole(response))),
                Err(cause) => attempt.fail(admitted, history, cause),
            }
        }
        SendOutcome::NotSent(fault) => {
            event!(
                EventCode::ServerNotReached,
                "request={} server={name} cause={fault:?}",
                admitted.caller_headers.id
            );
            history.note_not_run(LocalReason::NoServer);
            if fault == ConnectFault::Closed {
                // A server known to be closed is tried only if no other is left,
                // so it does not count.
                history.closed += usize::from(!server.is_closed());
                let broken = BrokenRequest::default();
                attempt.crash_detector.note_broken(&server, broken);
            }
            NextStep::TryElsewhere
        }
        SendOutcome::OtherProcess => {
            event!(
                EventCode::ServerOtherProcess,
                "request={} server={name} started={} software={}",
                admitted.caller_headers.id,
                server.entry.started,
                server.entry.software
            );
            // Like a closed port, it cost one round trip. The entry of the new process
            // follows.
            history.closed += usize::from(!server.is_closed());
            server.note_closed();
            history.note_not_run(LocalReason::NoServer);
            NextStep::TryElsewhere
        }
        SendOutcome::NotRun(status) => {
            event!(
                EventCode::ServerRefused,
                "request={} server={name} status={status}",
                admitted.caller_headers.id
            );
            history.note_not_run(LocalReason::ServersFull);
            NextStep::Retry
        }
        SendOutcome::Withdrawn => {
            history.note_not_run(LocalReason::NoServer);
            if server.is_evacuated() {
                event!(
                    EventCode::RequestWithdrawn,
                    "request={} server={name} data_centre={}",
                    admitted.caller_headers.id,
                    server.entry.data_centre
                );
            }
            let limited = server.limit().borrow().limit_in_force(Instant::now());
            let limited = limited.is_some();
            if limited && history.withdrawn < WITHDRAWAL_LIMIT {
                history.withdrawn += 1;
                history.tried.retain(|tried| tried != name);
            }
            NextStep::TryElsewhere
        }
        SendOutcome::Unknown(cause) => attempt.fail(admitted, history, cause),
        SendOutcome::TimedOut => {
            history.refusal = LocalReason::TimedOut.into();
            NextStep::End
        }
    }
}

/// Whether it matters which process of a server responds. A stream must go on at the
/// version that began it, and the entry of a server does not prove which version its
/// process is of: a new process may respond before its entry was read.
fn process_check(admitted: &AdmittedRequest) -> ProcessCheck {
    if admitted.route.kind != RequestKind::ResumableStream {
        return ProcessCheck::None;
    }
    if admitted.versions.is_strict() {
        ProcessCheck::Required
    } else {
        ProcessCheck::Preferred
    }
}

/// Whether another server may run the request after `runs` servers may have
/// run it.
fn may_run_again(admitted: &AdmittedRequest, runs: u32) -> bool {
    admitted.route.kind.is_repeatable() && runs < admitted.route.attempts
}

/// Splits a prompt into the parts that other requests may share and the tokens
/// of its own part.
fn shared_parts(caller_headers: &CallerHeaders) -> (Vec<PartTokens>, u64) {
    let Some((own, shared)) = caller_headers.parts.split_last() else {
        return (Vec::new(), caller_headers.prompt_tokens);
    };
    let shared = shared.iter().map(|part| (part.id, part.tokens)).collect();
    (shared, own.tokens)
}

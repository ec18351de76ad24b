//! In-flight requests: their token charge, their connection to a backend server
//! and the progress of their response.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account::quota::QuotaReservation;
use hibiscus_request::fingerprint::RequestFingerprint;
use hibiscus_routing::permits::SendPermit;
use hibiscus_routing::placement::PartTokens;
use hibiscus_types::BudgetName;
use hibiscus_types::TokenCount;

use crate::budgets::BudgetHandle;
use crate::callers::CallerRequest;
use crate::callers::pause::ReadingPause;
use crate::connect::ServerConnection;
use crate::crash_detector::StreamCandidate;
use crate::model::RequestKind;
use crate::part_tracker::PromptWatch;
use crate::response_body::BodyFault;
use crate::servers::ServerHandle;
use crate::servers::choice::ChosenServer;
use crate::servers::cost::OutstandingRequest;
use crate::state::CountGuard;
use crate::stream_versions::StreamStart;
use crate::suspects::SuspectTracker;
use crate::tally::CloseReason;
use crate::traffic_metrics::RequestOutcome;
use crate::traffic_metrics::TrafficMetrics;

/// The token reservation of a request. It is settled when the last owner is
/// dropped: a request that a server may have run is charged its prompt and the output
/// tokens delivered until then; any other is charged nothing.
#[derive(Debug)]
pub struct RequestCharge {
    budgets: BudgetHandle,
    budget: BudgetName,
    hold: QuotaReservation,
    prompt: u64,
    /// Number of servers that may have run the request.
    runs: Cell<u32>,
    delivered: Cell<u64>,
}

impl RequestCharge {
    /// Creates the charge of a request whose prompt has `prompt` tokens and whose
    /// reservation is `hold`.
    pub fn new(
        budgets: BudgetHandle,
        budget: BudgetName,
        hold: QuotaReservation,
        prompt: u64,
    ) -> Self {
        Self {
            budgets,
            budget,
            hold,
            prompt,
            runs: Cell::new(0),
            delivered: Cell::new(0),
        }
    }

    /// Records that the request is sent to a server, which may run it.
    pub fn note_sent(&self) {
        self.runs.set(self.runs.get() + 1);
    }

    /// Records the proof that a server that the request was sent to did not run it.
    pub fn note_not_run(&self) {
        self.runs.set(self.runs.get() - 1);
    }

    /// Adds output tokens that were delivered to the caller.
    pub fn note_delivered(&self, tokens: u64) {
        self.delivered.set(self.delivered.get() + tokens);
    }
}

impl Drop for RequestCharge {
    fn drop(&mut self) {
        let charge = if self.runs.get() > 0 {
            self.prompt + self.delivered.get()
        } else {
            0
        };
        let charge = TokenCount::new(charge);
        self.budgets.settle(&self.budget, self.hold, charge);
    }
}

/// A request in flight at a server. Dropping it before the response is complete
/// closes the connection, which makes the server abort the request.
#[derive(Debug)]
pub struct InFlightRequest {
    server: Rc<ServerHandle>,
    connection: Option<ServerConnection>,
    /// Prompt tokens that the server has yet to read; `None` once the first output
    /// token has arrived.
    prefill_tokens: Option<u64>,
    /// Whether this is a trial request after a refusal by the server; `None` once
    /// the server has responded.
    is_trial: Option<bool>,
    /// Permit of the request if the server names a limit.
    permit: Option<SendPermit>,
    /// Token charge; `None` for a request that is not charged.
    charge: Option<Rc<RequestCharge>>,
    /// Whether the charge counts this server among those that may have run the request.
    is_charged: bool,
    /// Work of the request, whose times are learned from.
    work: OutstandingRequest,
}

impl InFlightRequest {
    /// Counts a request with the shared `parts` at the chosen server. It counts
    /// from before a connection is open until the returned value is dropped.
    pub fn begin(
        chosen: &ChosenServer,
        charge: Option<&Rc<RequestCharge>>,
        parts: &[PartTokens],
        now: Duration,
    ) -> Self {
        let is_trial = chosen.server.note_sent(parts, chosen.prefill_tokens, now);
        Self {
            server: Rc::clone(&chosen.server),
            connection: None,
            prefill_tokens: Some(chosen.prefill_tokens),
            is_trial: Some(is_trial),
            permit: chosen.permit,
            charge: charge.map(Rc::clone),
            is_charged: false,
            work: OutstandingRequest::begin(chosen),
        }
    }

    /// Sets the connection that the request is sent on now. From here on the server may run
    /// it; a connection that is opened or checked has not cost any tokens yet.
    pub fn use_connection(&mut self, connection: ServerConnection) -> &mut ServerConnection {
        self.work.note_sent();
        if let Some(charge) = &self.charge
            && !self.is_charged
        {
            charge.note_sent();
            self.is_charged = true;
        }
        self.connection.insert(connection)
    }

    /// Records the proof that the server did not run the request.
    pub fn note_not_run(&mut self) {
        if let Some(charge) = &self.charge
            && self.is_charged
        {
            charge.note_not_run();
            self.is_charged = false;
        }
    }

    /// The server that the request was sent to.
    pub fn server(&self) -> &Rc<ServerHandle> {
        &self.server
    }

    /// The connection that the request uses.
    pub fn connection(&mut self) -> Option<&mut ServerConnection> {
        self.connection.as_mut()
    }

    /// Whether the server still accepts the request.
    pub fn may_send(&self) -> bool {
        self.is_trial
            .is_some_and(|is_trial| self.server.still_accepts(is_trial, self.permit))
    }

    /// Records that the server accepted the request.
    pub fn note_accepted(&mut self) {
        if let Some(is_trial) = self.is_trial.take() {
            self.server.note_accepted(is_trial);
        }
    }

    /// Records that the server refused the request and wants no others for
    /// `pause`.
    pub fn note_refused(&mut self, pause: Option<Duration>) {
        self.is_trial = None;
        self.server.note_refused(pause);
    }

    /// Records that the first output token arrived, so the prompt has been read.
    pub fn note_prefill_done(&mut self) {
        if let Some(prefill_tokens) = self.prefill_tokens.take() {
            self.server.note_prefill_done(prefill_tokens);
        }
    }

    /// Records that `tokens` output tokens arrived.
    pub fn note_output(&mut self, tokens: u64) {
        self.work.note_output(tokens);
    }

    /// Records that the whole response arrived.
    pub fn note_complete(&mut self) {
        self.work.note_complete();
    }

    /// Keeps the connection for later requests. Called when the response is
    /// complete; the connection is kept once it is ready for the next request,
    /// so that nothing more can arrive for this one.
    pub fn keep_connection(&mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        let server = Rc::clone(&self.server);
        tokio::task::spawn_local(async move {
            let ready = connection.sender().ready();
            if let Ok(Ok(())) = tokio::time::timeout(REUSE_TIMEOUT, ready).await {
                server.park(connection);
            }
        });
    }
}

/// Timeout for a connection to become ready for the next request.
const REUSE_TIMEOUT: Duration = Duration::from_millis(500);

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.note_prefill_done();
        if let Some(is_trial) = self.is_trial {
            self.server.note_unanswered(is_trial);
        }
        self.server.note_ended();
    }
}

/// Counts a request as in progress until its response has been sent.
#[derive(Debug)]
pub struct RequestProgress {
    /// The count at the caller's connection.
    request: CallerRequest,
    /// The count at this instance.
    _count: CountGuard,
}

impl RequestProgress {
    /// Combines the counts at the connection and at this instance.
    pub fn new(request: CallerRequest, count: CountGuard) -> Self {
        Self {
            request,
            _count: count,
        }
    }

    /// Records that the request's body was read to its end.
    pub fn note_body_read(&self) {
        self.request.note_body_read();
    }

    /// Sets whose reading pauses while the caller does not read.
    pub(crate) fn set_pause(&self, pause: &Rc<ReadingPause>) {
        self.request.set_pause(pause);
    }

    /// Sets when the caller stops waiting for the response.
    pub fn set_deadline(&self, deadline: Instant) {
        self.request.set_deadline(deadline);
    }

    /// Why this instance closed the connection before the response was sent.
    /// `None` if the caller or the network closed it.
    pub fn close_reason(&self) -> Option<CloseReason> {
        self.request.close_reason()
    }
}

/// Tracks a streamed response while it is forwarded to the caller: updates the
/// metrics, the token charge and the state of the server.
#[derive(Debug)]
pub struct ResponseTracker {
    /// Request id, for the log.
    pub id: String,
    /// Kind of the request, for the metrics.
    pub kind: RequestKind,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the last event was forwarded.
    pub last_event: Option<Instant>,
    /// Metrics to update.
    pub metrics: Rc<TrafficMetrics>,
    /// The request in flight at the server.
    pub in_flight: InFlightRequest,
    /// Token charge; `None` for a request that is not charged.
    pub charge: Option<Rc<RequestCharge>>,
    /// Output tokens in one event.
    pub tokens_per_event: u64,
    /// Counts the request as in progress until its response has been sent.
    pub progress: RequestProgress,
    /// Pauses in the reading of the response.
    pub(crate) pause: Rc<ReadingPause>,
    /// Attributes a crash of the server to the request while it runs.
    pub crash_candidate: StreamCandidate,
    /// Attributes a crash of the server to the parts of the prompt.
    pub prompt_watch: PromptWatch,
    /// Notes the version that began the stream; `None` for a request that takes a stream
    /// up again.
    pub stream_start: Option<StreamStart>,
    /// Requests suspected of crashing servers.
    pub suspects: Rc<SuspectTracker>,
    /// Fingerprint of the request if it is suspected of crashing servers.
    pub suspect: Option<RequestFingerprint>,
}

impl ResponseTracker {
    /// Records that `events` complete events are being forwarded.
    pub fn record_events(&mut self, events: u64) {
        if events == 0 {
            return;
        }
        if let Some(start) = &mut self.stream_start {
            start.note_begun(&self.id, &self.in_flight.server().entry);
        }
        self.crash_candidate.note_event();
        self.prompt_watch.note_begun();
        let now = Instant::now();
        match self.last_event.replace(now) {
            None => self
                .metrics
                .record_first_event(self.kind, now - self.arrived),
            Some(before) => self.metrics.record_event_gap(now - before),
        }
        self.in_flight.note_output(events * self.tokens_per_event);
        self.in_flight.note_prefill_done();
        self.in_flight.server().note_received();
        if let Some(charge) = &self.charge {
            charge.note_delivered(events * self.tokens_per_event);
        }
    }

    fn record_outcome(&self, outcome: RequestOutcome) {
        self.metrics
            .record_request_end(Some(self.kind), outcome, self.arrived.elapsed());
    }

    /// Records that the caller closed the connection before the response was
    /// complete.
    pub fn record_caller_left(&mut self) {
        self.prompt_watch.note_ended();
        self.record_outcome(RequestOutcome::CallerLeft);
        if let Some(reason) = self.progress.close_reason() {
            event!(
                EventCode::RequestCut,
                "request={} reason={} answer=begun",
                self.id,
                reason.label()
            );
        }
        event!(
            EventCode::CallerLeft,
            "request={} server={} server_silent={} total_ms={}",
            self.id,
            self.in_flight.server().entry.name,
            self.in_flight.server().is_silent(),
            self.arrived.elapsed().as_millis()
        );
    }

    /// Records the end of the response, which is complete unless there is a
    /// fault.
    pub fn record_end(&mut self, fault: Option<BodyFault>) {
        self.pause.end();
        if fault.is_none() && !self.pause.was_paused() {
            self.in_flight.note_complete();
        }
        self.record_outcome(if fault.is_none() {
            RequestOutcome::Forwarded
        } else {
            RequestOutcome::Broken
        });
        let server = self.in_flight.server();
        match fault {
            None => {
                event!(
                    EventCode::RequestEnded,
                    "request={} server={} tokens={} total_ms={}",
                    self.id,
                    server.entry.name,
                    self.charge
                        .as_ref()
                        .map_or(0, |charge| charge.delivered.get()),
                    self.arrived.elapsed().as_millis()
                );
                server.note_healthy();
                if let Some(fingerprint) = &self.suspect {
                    self.suspects.note_response(&self.id, fingerprint);
                }
                self.prompt_watch.note_ended();
                if let Some(start) = &self.stream_start {
                    start.note_complete(&self.id);
                }
                self.in_flight.keep_connection();
            }
            Some(fault) => {
                // A server may cut off a response that is not read.
                let is_cut_off = fault == BodyFault::Broken && self.pause.was_paused();
                if is_cut_off {
                    server.note_inconclusive();
                } else if matches!(fault, BodyFault::Broken | BodyFault::EventTooLong) {
                    server.note_failed();
                }
                if fault == BodyFault::Broken {
                    let prompt = self.prompt_watch.note_broken(true);
                    self.crash_candidate.note_broken(server, prompt);
                }
                event!(
                    EventCode::AnswerBroken,
                    "request={} server={} cause={fault}",
                    self.id,
                    server.entry.name
                );
            }
        }
    }
}

impl Drop for ResponseTracker {
    fn drop(&mut self) {
        self.pause.end();
    }
}

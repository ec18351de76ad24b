//! A request on its way at one server, and what it costs.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account::quota::QuotaReservation;
use hibiscus_request::fingerprint::RequestFingerprint;
use hibiscus_routing::placement::PartTokens;
use hibiscus_types::BudgetName;
use hibiscus_types::TokenCount;

use crate::budgets::BudgetHandle;
use crate::callers::CallerRequest;
use crate::connect::ServerConnection;
use crate::crash_detector::StreamCandidate;
use crate::model::RequestKind;
use crate::response_body::BodyFault;
use crate::servers::ChosenServer;
use crate::servers::ServerHandle;
use crate::state::CountGuard;
use crate::suspects::SuspectTracker;
use crate::tally::CloseReason;
use crate::traffic_metrics::RequestOutcome;
use crate::traffic_metrics::TrafficMetrics;

/// A request's reservation. It is settled once, when the last owner is
/// dropped, by what was noted until then.
#[derive(Debug)]
pub struct RequestCharge {
    budgets: BudgetHandle,
    budget: BudgetName,
    hold: QuotaReservation,
    prompt: u64,
    sent: Cell<bool>,
    delivered: Cell<u64>,
}

impl RequestCharge {
    /// The charge of a request with `prompt` tokens that `hold` pays for.
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
            sent: Cell::new(false),
            delivered: Cell::new(0),
        }
    }

    /// The request went to a server, so its prompt is charged unless it is
    /// proved that no server ran it.
    pub fn note_sent(&self, sent: bool) {
        self.sent.set(sent);
    }

    /// Output tokens went to the caller.
    pub fn note_delivered(&self, tokens: u64) {
        self.delivered.set(self.delivered.get() + tokens);
    }
}

impl Drop for RequestCharge {
    fn drop(&mut self) {
        let charge = if self.sent.get() {
            self.prompt + self.delivered.get()
        } else {
            0
        };
        let charge = TokenCount::new(charge);
        self.budgets.settle(&self.budget, self.hold, charge);
    }
}

/// A request at a server. Dropping it before its answer was whole closes the
/// connection, which tells the server to stop.
#[derive(Debug)]
pub struct InFlightRequest {
    server: Rc<ServerHandle>,
    link: Option<ServerConnection>,
    prefill_tokens: Option<u64>,
    /// Whether it tries the server after a refusal, until the server's word.
    trial: Option<bool>,
}

impl InFlightRequest {
    /// Counts a request with the shared `parts` at the chosen server, from
    /// before there is a connection until the flight is dropped.
    pub fn begin(chosen: &ChosenServer, parts: &[PartTokens], now: Duration) -> Self {
        let trial = chosen.server.note_sent(parts, chosen.prefill_tokens, now);
        Self {
            server: Rc::clone(&chosen.server),
            link: None,
            prefill_tokens: Some(chosen.prefill_tokens),
            trial: Some(trial),
        }
    }

    /// Takes the connection that the request uses.
    pub fn use_link(&mut self, link: ServerConnection) -> &mut ServerConnection {
        self.link.insert(link)
    }

    /// The server.
    pub fn server(&self) -> &Rc<ServerHandle> {
        &self.server
    }

    /// The connection.
    pub fn link(&mut self) -> Option<&mut ServerConnection> {
        self.link.as_mut()
    }

    /// Whether the request may still be sent.
    pub fn may_leave(&self) -> bool {
        self.trial
            .is_some_and(|trial| self.server.still_accepts(trial))
    }

    /// The server took the request.
    pub fn note_accepted(&mut self) {
        if let Some(trial) = self.trial.take() {
            self.server.note_accepted(trial);
        }
    }

    /// The server refused the request, and wants none for `pause`.
    pub fn note_refused(&mut self, pause: Option<Duration>) {
        self.trial = None;
        self.server.note_refused(pause);
    }

    /// The first token came.
    pub fn note_prefill_done(&mut self) {
        if let Some(prefill_tokens) = self.prefill_tokens.take() {
            self.server.note_prefill_done(prefill_tokens);
        }
    }

    /// The answer is whole: keeps the connection, once it has shown that
    /// nothing follows the answer on it.
    pub fn keep_link(&mut self) {
        let Some(mut link) = self.link.take() else {
            return;
        };
        let server = Rc::clone(&self.server);
        tokio::task::spawn_local(async move {
            let ready = link.sender().ready();
            if let Ok(Ok(())) = tokio::time::timeout(LINK_REST, ready).await {
                server.park(link);
            }
        });
    }
}

/// Time for a connection to become ready for the next request.
const LINK_REST: Duration = Duration::from_millis(500);

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.note_prefill_done();
        if let Some(trial) = self.trial {
            self.server.note_unanswered(trial);
        }
        self.server.note_ended();
    }
}

/// Counts a request until its answer has passed.
#[derive(Debug)]
pub struct RequestProgress {
    /// At its connection.
    request: CallerRequest,
    /// At the instance.
    _count: CountGuard,
}

impl RequestProgress {
    /// Counts `request` of a connection, and one more at the instance.
    pub fn new(request: CallerRequest, count: CountGuard) -> Self {
        Self {
            request,
            _count: count,
        }
    }

    /// The request's body was read to its end.
    pub fn note_body_read(&self) {
        self.request.note_body_read();
    }

    /// Why this instance ended the connection before the answer had passed;
    /// `None` when the caller did, or the path to it.
    pub fn closing(&self) -> Option<CloseReason> {
        self.request.closing()
    }
}

/// Follows an answer that passes to a caller.
#[derive(Debug)]
pub struct ResponseTracker {
    /// The request's number, for the log.
    pub id: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// When it arrived.
    pub arrived: Instant,
    /// When its last event passed.
    pub heard: Option<Instant>,
    /// Where its times are counted.
    pub measures: Rc<TrafficMetrics>,
    /// Where it runs.
    pub flight: InFlightRequest,
    /// What it costs.
    pub charge: Option<Rc<RequestCharge>>,
    /// Output tokens in an event.
    pub tokens_per_event: u64,
    /// Counts the request until its answer has passed.
    pub progress: RequestProgress,
    /// The request, for as long as its server may end under it.
    pub exposure: StreamCandidate,
    /// Where to tell that it was answered.
    pub suspects: Rc<SuspectTracker>,
    /// The request, if servers ended under it before.
    pub suspect: Option<RequestFingerprint>,
}

impl ResponseTracker {
    /// `events` whole events passed.
    pub fn passed(&mut self, events: u64) {
        if events == 0 {
            return;
        }
        self.exposure.note_event();
        let now = Instant::now();
        match self.heard.replace(now) {
            None => self
                .measures
                .record_first_event(self.kind, now - self.arrived),
            Some(before) => self.measures.record_event_gap(now - before),
        }
        self.flight.note_prefill_done();
        self.flight.server().note_received();
        if let Some(charge) = &self.charge {
            charge.note_delivered(events * self.tokens_per_event);
        }
    }

    fn count_end(&self, outcome: RequestOutcome) {
        self.measures
            .record_request_end(Some(self.kind), outcome, self.arrived.elapsed());
    }

    /// The caller left before the answer was whole.
    pub fn left(&self) {
        self.count_end(RequestOutcome::Left);
        if let Some(reason) = self.progress.closing() {
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
            self.flight.server().entry.name,
            self.flight.server().is_silent(),
            self.arrived.elapsed().as_millis()
        );
    }

    /// The answer ended; it was whole unless there is a fault.
    pub fn ended(&mut self, fault: Option<BodyFault>) {
        self.count_end(if fault.is_none() {
            RequestOutcome::Passed
        } else {
            RequestOutcome::Broken
        });
        let server = self.flight.server();
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
                self.flight.keep_link();
            }
            Some(fault) => {
                if matches!(fault, BodyFault::Broken | BodyFault::Endless) {
                    server.note_failed();
                }
                if fault == BodyFault::Broken {
                    self.exposure.note_broken(server);
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

//! What the requests to a server are predicted to cost, and what they took.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_routing::admission::Outlook;
use hibiscus_routing::cost::memory::EngineMemory;
use hibiscus_routing::cost::memory::MemoryStanding;
use hibiscus_routing::cost::report::MeanLoad;
use hibiscus_routing::cost::server::ServerCost;
use hibiscus_routing::cost::service::CostRates;
use hibiscus_routing::cost::service::SentWork;
use hibiscus_routing::cost::service::ServiceCost;
use hibiscus_routing::placement::Placement;
use hibiscus_routing::placement::PlacementCandidate;
use hibiscus_routing::placement::PrefillTracker;
use hibiscus_types::ServiceName;
use metrics::gauge;
use metrics::histogram;

use crate::model::ServerLoadReport;
use crate::servers::ServerHandle;
use crate::servers::ServerPool;
use crate::servers::admission::AdmissionState;
use crate::servers::choice::ChosenServer;
use crate::servers::choice::PlacementView;

/// Metric name: seconds predicted from sending a request to its first event, or to the
/// whole response of a request without a prompt.
pub const PREDICTED_TIME: &str = "hibiscus_predicted_seconds";
/// Metric name: the seconds that passed, of the same requests.
pub const OBSERVED_TIME: &str = "hibiscus_observed_seconds";

/// Maximum number of services whose costs are remembered.
const SERVICE_LIMIT: usize = 64;
/// Multiple of the service's times above which a server is reported as slow, and below
/// which it is reported as usual again.
const SLOW_RANGE: (f64, f64) = (1.1, 1.25);

/// Learned costs of the services that have servers.
#[derive(Debug, Default)]
pub(super) struct ServiceCosts(HashMap<ServiceName, Rc<ServiceState>>);

/// What is learned of a service, and who was admitted to it.
#[derive(Debug, Default)]
pub(super) struct ServiceState {
    cost: RefCell<ServiceCost>,
    pub(super) admission: AdmissionState,
}

impl ServiceCosts {
    /// The costs of `service`. Those of services without servers are dropped when there
    /// are too many.
    pub(super) fn get(&mut self, service: &ServiceName) -> Rc<ServiceState> {
        if !self.0.contains_key(service) && self.0.len() >= SERVICE_LIMIT {
            self.0.retain(|_name, state| Rc::strong_count(state) > 1);
        }
        let state = self.0.entry(service.clone()).or_default();
        Rc::clone(state)
    }
}

/// Learned costs of a server and its service.
#[derive(Debug, Default)]
pub(super) struct CostState {
    server: RefCell<ServerCost>,
    pub(super) service: Rc<ServiceState>,
    /// Whether the server was last reported as slow.
    slow: Cell<bool>,
}

impl CostState {
    pub(super) fn new(service: Rc<ServiceState>) -> Self {
        Self {
            service,
            ..Self::default()
        }
    }

    /// Stores a load report of a server at which `own` requests of this instance are in
    /// progress.
    pub(super) fn note_report(&self, report: &ServerLoadReport, own: u32) {
        let now = Instant::now();
        if let Some(percent) = report.pace_percent {
            self.server.borrow_mut().note_pace(percent, now);
        }
        let load = report.running.saturating_add(report.waiting);
        let others = f64::from(load.saturating_sub(own));
        let waiting = f64::from(report.waiting);
        let mut service = self.service.cost.borrow_mut();
        service.note_report(others, waiting, now);
    }
}

impl ServerHandle {
    /// Learned rates of the server's service for the request of `view`.
    pub(super) fn rates(&self, view: &PlacementView<'_>) -> CostRates {
        self.cost
            .service
            .cost
            .borrow()
            .rates(view.request.kind, view.now)
    }

    /// Requests of all instances expected to be in progress, and to wait for a slot.
    pub(super) fn expected_load(&self, rates: &CostRates, view: &PlacementView<'_>) -> (f64, f64) {
        let load = self.load.borrow();
        let own = f64::from(load.own());
        let reported = MeanLoad {
            others: load.expected(view.now, view.others) - own,
            waiting: f64::from(self.waiting.get()),
        };
        let expected = rates.expected_load(reported, load.report_age(view.now));
        (own + expected.others, expected.waiting)
    }

    /// The server as a candidate for the request of `view`.
    pub(super) fn candidate<'a>(
        &'a self,
        prefill: &'a PrefillTracker,
        rates: &CostRates,
        view: &PlacementView<'_>,
    ) -> PlacementCandidate<'a> {
        let (expected, waiting) = self.expected_load(rates, view);
        let cost = self.cost.server.borrow();
        PlacementCandidate {
            name: self.entry.name.as_str(),
            prefill,
            // A server that is slow after its start gets work in proportion.
            slowdown: cost.slowdown(view.now) * self.cold_cost_factor(view.now),
            own: self.load.borrow().own(),
            own_work_ms: cost.own_work_ms(rates.confidence, view.now),
            expected,
            waiting,
            slots: self.entry.slots,
            remote: self.entry.data_centre != *view.data_centre,
            connected: self.has_open_link(),
            jitter: self.jitter,
        }
    }

    /// Whether the tokens of the request of `view` fit in the server's memory.
    pub(super) fn memory_standing(
        &self,
        rates: &CostRates,
        view: &PlacementView<'_>,
    ) -> MemoryStanding {
        let Some(limit) = view.memory_limit else {
            return MemoryStanding::Free;
        };
        let load = self.load.borrow();
        let (expected, _waiting) = self.expected_load(rates, view);
        let memory = EngineMemory {
            limit,
            own_tokens: self.cost.server.borrow().own_tokens(),
            others: expected - f64::from(load.own()),
            mean_tokens: rates.memory_tokens,
            report_age: load.report_age(view.now),
        };
        memory.standing(view.request.memory_tokens())
    }

    /// What is predicted for the request of `view` at the server that would begin its
    /// response first.
    pub(super) fn outlook(
        &self,
        placement: &Placement,
        rates: &CostRates,
        view: &PlacementView<'_>,
    ) -> Outlook {
        let (running, _waiting) = self.expected_load(rates, view);
        let slowdown = self.cost.server.borrow().slowdown(view.now);
        let output_ms = rates.output_ms(view.request.output_tokens, running, slowdown);
        Outlook {
            total_ms: placement.soonest_ms + output_ms,
            wait_ms: placement.soonest_wait_ms,
            // Without recent load reports the others' requests are a guess.
            observations: rates.mean_load.map_or(0.0, |_load| rates.observations),
        }
    }

    /// What is known of the request of `view` when it is placed at the server.
    pub(super) fn work(
        &self,
        placement: &Placement,
        rates: &CostRates,
        view: &PlacementView<'_>,
    ) -> SentWork {
        let (running, _waiting) = self.expected_load(rates, view);
        let has_place = running + 1.0 <= f64::from(self.entry.slots);
        let prefill = self.prefill.borrow();
        let has_prompt = view.request.has_prompt();
        let work_ms = if has_prompt {
            rates.prefill.at(placement.prefill_tokens)
        } else {
            rates.kind_ms
        };
        SentWork {
            kind: view.request.kind,
            prefill_tokens: has_prompt.then_some(placement.prefill_tokens),
            is_known: prefill.holds_all(view.request.shared, view.request.now),
            queued_tokens: prefill.pending_tokens() as f64,
            running,
            is_unqueued: has_place && self.waiting.get() == 0,
            pace: self.cost.server.borrow().pace(view.now),
            first_ms: placement.first_ms,
            work_ms,
            memory_tokens: view.request.memory_tokens(),
        }
    }

    /// Logs when the server becomes slower than the others of its service, or as fast as
    /// they are.
    fn log_speed(&self, now: Instant) {
        let ratio = self.cost.server.borrow().speed_ratio(now);
        let slow = &self.cost.slow;
        if !slow.get() && ratio > SLOW_RANGE.1 {
            slow.set(true);
            event!(
                EventCode::ServerSlow,
                "server={} times_ratio={ratio:.2}",
                self.entry.name
            );
        } else if slow.get() && ratio < SLOW_RANGE.0 {
            slow.set(false);
            event!(
                EventCode::ServerNotSlow,
                "server={} times_ratio={ratio:.2}",
                self.entry.name
            );
        }
    }
}

/// The work of a request at a server. It counts as outstanding until it is dropped.
#[derive(Debug)]
pub(crate) struct OutstandingRequest {
    server: Rc<ServerHandle>,
    work: SentWork,
    counted_at: Instant,
    sent_at: Instant,
    first_at: Option<Instant>,
    output_tokens: u64,
}

impl OutstandingRequest {
    /// Counts a request at the chosen server.
    pub(crate) fn begin(chosen: &ChosenServer) -> Self {
        let now = Instant::now();
        let cost = &chosen.server.cost;
        let work = chosen.work;
        cost.service.cost.borrow_mut().note_sent(&work, now);
        let mut server = cost.server.borrow_mut();
        server.note_sent(work.work_ms, work.memory_tokens, now);
        drop(server);
        Self {
            server: Rc::clone(&chosen.server),
            work,
            counted_at: now,
            sent_at: now,
            first_at: None,
            output_tokens: 0,
        }
    }

    /// Records that a connection is open and the request is sent now.
    pub(crate) fn note_sent(&mut self) {
        self.sent_at = Instant::now();
    }

    /// Records that `tokens` output tokens arrived.
    pub(crate) fn note_output(&mut self, tokens: u64) {
        if self.first_at.is_some() {
            self.output_tokens += tokens;
            return;
        }
        let now = Instant::now();
        self.first_at = Some(now);
        if self.work.prefill_tokens.is_some() {
            self.observe_first(now);
        }
    }

    /// Records that the whole response arrived.
    pub(crate) fn note_complete(&mut self) {
        let now = Instant::now();
        let cost = &self.server.cost;
        let occupied = milliseconds(now - self.sent_at);
        cost.service.cost.borrow_mut().observe_end(occupied, now);
        if let Some(first_at) = self.first_at {
            let elapsed = milliseconds(now - first_at);
            let slowdown = cost.server.borrow().slowdown(now);
            let tokens = self.output_tokens;
            let mut service = cost.service.cost.borrow_mut();
            service.observe_output(&self.work, tokens, elapsed, slowdown, now);
        }
        if self.work.prefill_tokens.is_none() {
            self.observe_first(now);
        }
    }

    fn observe_first(&self, now: Instant) {
        let elapsed = now - self.sent_at;
        let elapsed_ms = milliseconds(elapsed);
        let cost = &self.server.cost;
        let compared = {
            let mut service = cost.service.cost.borrow_mut();
            service.observe_first(&self.work, elapsed_ms, now)
        };
        cost.server
            .borrow_mut()
            .observe(elapsed_ms, compared, self.work.pace, now);
        self.server.log_speed(now);
        let kind = if self.work.prefill_tokens.is_some() {
            "prompt"
        } else {
            "whole"
        };
        histogram!(PREDICTED_TIME, "kind" => kind).record(self.work.first_ms / 1_000.0);
        histogram!(OBSERVED_TIME, "kind" => kind).record(elapsed);
    }
}

impl Drop for OutstandingRequest {
    fn drop(&mut self) {
        let mut server = self.server.cost.server.borrow_mut();
        let (work, tokens) = (self.work.work_ms, self.work.memory_tokens);
        server.note_ended(work, tokens, self.counted_at);
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

impl ServerPool {
    /// Publishes the learned times of the services and of the slowest server of each.
    pub fn show_costs(&self) {
        let now = Instant::now();
        for (service, state) in &self.costs.0 {
            let Some(servers) = self.by_service.get(service) else {
                continue;
            };
            state.admission.show_end(service, now);
            let rates = state.cost.borrow().rates(0, now);
            let ratios = servers
                .iter()
                .map(|server| server.cost.server.borrow().speed_ratio(now));
            let slowest = ratios.fold(0.0, f64::max);
            let gauges = [
                (
                    "hibiscus_learned_prefill_tokens_per_ms",
                    1.0 / rates.prefill.slope,
                ),
                ("hibiscus_learned_output_ms_per_token", rates.output.base),
                ("hibiscus_learned_request_ms", rates.mean_ms),
                ("hibiscus_learned_observations", rates.observations),
                ("hibiscus_slowest_server_ratio", slowest),
            ];
            for (name, value) in gauges {
                gauge!(name, "service" => service.to_string()).set(value);
            }
        }
    }
}

//! Counters, histograms and gauges of the request path.
//!
//! Metric handles are looked up once, so that recording needs no lookup by name.
//! All labels have few values: a kind of request, an outcome, a reason, a phase.

use std::time::Duration;

use metrics::Counter;
use metrics::Histogram;
use metrics::counter;
use metrics::gauge;
use metrics::histogram;

use crate::machine::MachineUse;
use crate::model::RequestKind;
use crate::response::LocalReason;

/// Metric name: seconds from the arrival of a request to the first event or byte
/// of its response.
pub const FIRST_EVENT: &str = "hibiscus_first_event_seconds";
/// Metric name: seconds between two events of a stream.
pub const EVENT_GAP: &str = "hibiscus_event_gap_seconds";
/// Metric name: seconds from the arrival of a request to the end of its response.
pub const REQUEST_TIME: &str = "hibiscus_request_seconds";
/// Metric name: requests by kind and outcome.
pub const REQUESTS: &str = "hibiscus_requests_total";
/// Metric name: local responses by reason.
pub const LOCAL_RESPONSES: &str = "hibiscus_own_answers_total";
/// Metric name: configuration versions that came into force, by source.
pub const CONFIG_VERSIONS: &str = "hibiscus_config_versions_total";
/// Metric name: retries, which are sends of a request after its first.
pub const RETRIES: &str = "hibiscus_retries_total";

/// Metric name: seconds by which the traffic thread's timer was late.
pub const TIMER_LATENESS: &str = "hibiscus_timer_lateness_seconds";

/// Histogram bucket bounds of [`FIRST_EVENT`] and [`REQUEST_TIME`], in seconds.
/// Latency objectives are 0.1 to 1.5 s, deadlines up to 15 s.
pub const TIME_BOUNDS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0];
/// Histogram bucket bounds of [`EVENT_GAP`], in seconds. The first users aim for
/// 47 ms and accept at most 250 ms.
pub const GAP_BOUNDS: [f64; 7] = [0.01, 0.025, 0.047, 0.1, 0.25, 0.5, 2.0];

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A server's response was forwarded completely.
    Forwarded,
    /// A server's response ended early.
    Broken,
    /// The caller closed the connection before the end of the response.
    CallerLeft,
    /// This instance created the response itself.
    LocalResponse,
}

impl RequestOutcome {
    /// All outcomes, in the order of their discriminants.
    const ALL: [Self; 4] = [
        Self::Forwarded,
        Self::Broken,
        Self::CallerLeft,
        Self::LocalResponse,
    ];

    /// Value of the `outcome` label.
    fn label(self) -> &'static str {
        match self {
            Self::Forwarded => "passed",
            Self::Broken => "broken",
            Self::CallerLeft => "caller_left",
            Self::LocalResponse => "own_answer",
        }
    }
}

/// Metric handles of one kind of request.
#[derive(Debug)]
struct KindMetrics {
    first_event: Histogram,
    total: Histogram,
    outcomes: [Counter; RequestOutcome::ALL.len()],
}

impl KindMetrics {
    fn new(kind: &'static str) -> Self {
        let outcome = |outcome: RequestOutcome| counter!(REQUESTS, "kind" => kind, "outcome" => outcome.label());
        Self {
            first_event: histogram!(FIRST_EVENT, "kind" => kind),
            total: histogram!(REQUEST_TIME, "kind" => kind),
            outcomes: RequestOutcome::ALL.map(outcome),
        }
    }
}

/// Metric handles of the request path.
#[derive(Debug)]
pub struct TrafficMetrics {
    kinds: [KindMetrics; 4],
    /// Requests that matched no route.
    unknown: KindMetrics,
    event_gap: Histogram,
    timer_lateness: Histogram,
    retries: Counter,
}

impl Default for TrafficMetrics {
    fn default() -> Self {
        Self {
            kinds: [
                KindMetrics::new("idempotent"),
                KindMetrics::new("once"),
                KindMetrics::new("stream"),
                KindMetrics::new("resumable_stream"),
            ],
            unknown: KindMetrics::new("unknown"),
            event_gap: histogram!(EVENT_GAP),
            timer_lateness: histogram!(TIMER_LATENESS),
            retries: counter!(RETRIES),
        }
    }
}

impl TrafficMetrics {
    /// Records the time from a request to the first event or byte of its response.
    pub fn record_first_event(&self, kind: RequestKind, after: Duration) {
        self.kind_metrics(Some(kind)).first_event.record(after);
    }

    /// Records the time between two events of a stream.
    pub fn record_event_gap(&self, after: Duration) {
        self.event_gap.record(after);
    }

    /// Records that the timer was late by `delay`.
    pub fn record_timer_delay(&self, delay: Duration) {
        self.timer_lateness.record(delay);
    }

    /// Records the outcome of a request and the time since its arrival. `kind` is
    /// `None` if no route matched.
    pub fn record_request_end(
        &self,
        kind: Option<RequestKind>,
        outcome: RequestOutcome,
        after: Duration,
    ) {
        let metrics = self.kind_metrics(kind);
        metrics.total.record(after);
        metrics.outcomes[outcome as usize].increment(1);
    }

    /// Counts a retry.
    pub fn count_retry(&self) {
        self.retries.increment(1);
    }

    /// Counts a local response.
    pub fn count_local_response(&self, reason: LocalReason) {
        counter!(LOCAL_RESPONSES, "reason" => reason.as_str()).increment(1);
    }

    fn kind_metrics(&self, kind: Option<RequestKind>) -> &KindMetrics {
        match kind {
            None => &self.unknown,
            Some(RequestKind::Idempotent) => &self.kinds[0],
            Some(RequestKind::Once) => &self.kinds[1],
            Some(RequestKind::Stream) => &self.kinds[2],
            Some(RequestKind::ResumableStream) => &self.kinds[3],
        }
    }
}

/// Values of the gauges at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficGauges {
    /// Requests in progress.
    pub in_progress: usize,
    /// Open connections of callers.
    pub connections: usize,
    /// Instances that respond, including this one.
    pub instances: u32,
    /// Version of the configuration in force, 0 before the first.
    pub config_version: u64,
    /// Time since the configuration came into force.
    pub config_age: Duration,
    /// Numbers of serving servers and of draining servers.
    pub servers: (usize, usize),
    /// Servers with requests in flight that are silent.
    pub silent_servers: usize,
    /// Retries that may be sent now, over all services.
    pub retries_left: f64,
    /// Tokens over all budgets: held here and not reserved, reserved by requests
    /// in progress, and spent since the start.
    pub tokens: (u64, u64, u64),
    /// Tokens that may still be granted, over all budgets.
    pub tokens_free: u64,
    /// Whether this instance is ready, so that its address is given to callers.
    pub ready: bool,
    /// Resource use of the process.
    pub used: MachineUse,
    /// Bytes of request bodies in memory.
    pub body_bytes: usize,
    /// Bytes of responses that are held since callers have not read them.
    pub unread_bytes: usize,
    /// Bytes that wait for callers that do not read.
    pub stalled_bytes: u64,
    /// Idle connections to servers.
    pub idle_links: usize,
    /// Accounts over all budgets and holders.
    pub accounts: usize,
    /// Records of the account stream that are not applied yet.
    pub account_lag: u64,
}

impl TrafficGauges {
    /// Sets the gauges to these values.
    pub fn publish(&self) {
        let (serving, draining) = self.servers;
        let (held, reserved, spent) = self.tokens;
        let gauges = [
            ("hibiscus_requests_in_progress", self.in_progress as f64),
            ("hibiscus_caller_connections", self.connections as f64),
            ("hibiscus_instances_answering", f64::from(self.instances)),
            ("hibiscus_config_version", self.config_version as f64),
            ("hibiscus_config_age_seconds", self.config_age.as_secs_f64()),
            ("hibiscus_retries_left", self.retries_left),
            ("hibiscus_tokens_held", held as f64),
            ("hibiscus_tokens_reserved", reserved as f64),
            ("hibiscus_tokens_spent", spent as f64),
            ("hibiscus_tokens_free", self.tokens_free as f64),
            ("hibiscus_ready", f64::from(u8::from(self.ready))),
            ("hibiscus_resident_bytes", self.used.resident_bytes as f64),
            (
                "hibiscus_processor_seconds",
                self.used.processor.as_secs_f64(),
            ),
            ("hibiscus_body_bytes", self.body_bytes as f64),
            ("hibiscus_unread_bytes", self.unread_bytes as f64),
            ("hibiscus_stalled_bytes", self.stalled_bytes as f64),
            ("hibiscus_server_connections_idle", self.idle_links as f64),
            ("hibiscus_accounts", self.accounts as f64),
            ("hibiscus_account_lag_records", self.account_lag as f64),
        ];
        for (name, value) in gauges {
            gauge!(name).set(value);
        }
        let servers = [
            ("serving", serving),
            ("leaving", draining),
            ("silent", self.silent_servers),
        ];
        for (state, count) in servers {
            gauge!("hibiscus_servers", "state" => state).set(count as f64);
        }
    }
}

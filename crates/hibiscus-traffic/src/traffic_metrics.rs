//! Counters and histograms of the request path.
//!
//! Handles are looked up once, so that an event costs no search by name. All
//! labels have few values: a kind of request, an outcome, a reason, a phase.

use std::time::Duration;

use metrics::Counter;
use metrics::Histogram;
use metrics::counter;
use metrics::gauge;
use metrics::histogram;

use crate::machine::MachineUse;
use crate::model::RequestKind;
use crate::response::LocalReason;

/// Seconds from a request's arrival to the first event or byte of its answer.
pub const FIRST_EVENT: &str = "hibiscus_first_event_seconds";
/// Seconds between two events of a stream.
pub const EVENT_GAP: &str = "hibiscus_event_gap_seconds";
/// Seconds from a request's arrival to the end of its answer.
pub const REQUEST_TIME: &str = "hibiscus_request_seconds";
/// Requests by kind and outcome.
pub const REQUESTS: &str = "hibiscus_requests_total";
/// Answers of this instance by reason.
pub const OWN_ANSWERS: &str = "hibiscus_own_answers_total";
/// Configuration versions that came into force, by source.
pub const CONFIG_VERSIONS: &str = "hibiscus_config_versions_total";
/// Sends beyond the first of a request.
pub const RETRIES: &str = "hibiscus_retries_total";

/// Seconds by which the traffic thread's timer was late.
pub const TIMER_LATENESS: &str = "hibiscus_timer_lateness_seconds";

/// Bounds of [`FIRST_EVENT`] and [`REQUEST_TIME`], in seconds: objectives are
/// 0.1 to 1.5 s, deadlines up to 15 s.
pub const TIME_BOUNDS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0];
/// Bounds of [`EVENT_GAP`], in seconds: 47 ms are the aim, 250 ms the limit of
/// the first users.
pub const GAP_BOUNDS: [f64; 7] = [0.01, 0.025, 0.047, 0.1, 0.25, 0.5, 2.0];

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A server's answer passed whole.
    Passed,
    /// A server's answer broke off.
    Broken,
    /// The caller left before the end.
    Left,
    /// This instance answered itself.
    Own,
}

impl RequestOutcome {
    /// All outcomes.
    const ALL: [Self; 4] = [Self::Passed, Self::Broken, Self::Left, Self::Own];

    /// The value of the label.
    fn word(self) -> &'static str {
        match self {
            Self::Passed => "passed",
            Self::Broken => "broken",
            Self::Left => "caller_left",
            Self::Own => "own_answer",
        }
    }
}

/// Handles of one kind of request.
#[derive(Debug)]
struct KindMetrics {
    first_event: Histogram,
    total: Histogram,
    outcomes: [Counter; RequestOutcome::ALL.len()],
}

impl KindMetrics {
    fn new(kind: &'static str) -> Self {
        let outcome = |outcome: RequestOutcome| counter!(REQUESTS, "kind" => kind, "outcome" => outcome.word());
        Self {
            first_event: histogram!(FIRST_EVENT, "kind" => kind),
            total: histogram!(REQUEST_TIME, "kind" => kind),
            outcomes: RequestOutcome::ALL.map(outcome),
        }
    }
}

/// Handles of the request path.
#[derive(Debug)]
pub struct TrafficMetrics {
    kinds: [KindMetrics; 4],
    unknown: KindMetrics,
    gap: Histogram,
    lateness: Histogram,
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
            gap: histogram!(EVENT_GAP),
            lateness: histogram!(TIMER_LATENESS),
            retries: counter!(RETRIES),
        }
    }
}

impl TrafficMetrics {
    /// The first event or byte of an answer came `after` its request.
    pub fn record_first_event(&self, kind: RequestKind, after: Duration) {
        self.of(Some(kind)).first_event.record(after);
    }

    /// An event came `after` the one before it.
    pub fn record_event_gap(&self, after: Duration) {
        self.gap.record(after);
    }

    /// The timer was late by `delay`.
    pub fn record_timer_delay(&self, delay: Duration) {
        self.lateness.record(delay);
    }

    /// A request ended `after` it arrived; its kind is not known when no route
    /// took it.
    pub fn record_request_end(
        &self,
        kind: Option<RequestKind>,
        outcome: RequestOutcome,
        after: Duration,
    ) {
        let measures = self.of(kind);
        measures.total.record(after);
        measures.outcomes[outcome as usize].increment(1);
    }

    /// A request is sent once more.
    pub fn count_retry(&self) {
        self.retries.increment(1);
    }

    /// This instance answered itself.
    pub fn count_local_response(&self, reason: LocalReason) {
        counter!(OWN_ANSWERS, "reason" => reason.word()).increment(1);
    }

    fn of(&self, kind: Option<RequestKind>) -> &KindMetrics {
        match kind {
            None => &self.unknown,
            Some(RequestKind::Idempotent) => &self.kinds[0],
            Some(RequestKind::Once) => &self.kinds[1],
            Some(RequestKind::Stream) => &self.kinds[2],
            Some(RequestKind::ResumableStream) => &self.kinds[3],
        }
    }
}

/// What is the case at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficGauges {
    /// Requests in progress.
    pub in_progress: usize,
    /// Callers' connections.
    pub connections: usize,
    /// Instances that answer, this one included.
    pub instances: u32,
    /// Version of the configuration in force, 0 before the first.
    pub config_version: u64,
    /// Time since it came into force.
    pub config_age: Duration,
    /// Servers that take requests, and servers that are leaving.
    pub servers: (usize, usize),
    /// Servers with work that have been silent.
    pub silent_servers: usize,
    /// Retries that may be sent now, over all services.
    pub retries_left: f64,
    /// Tokens over all budgets: held here and free to spend, reserved by
    /// requests in progress, spent since the start.
    pub tokens: (u64, u64, u64),
    /// Tokens that may still be granted, over all budgets.
    pub tokens_free: u64,
    /// Whether callers are told of this instance.
    pub ready: bool,
    /// What the process uses.
    pub used: MachineUse,
    /// Bytes of callers' bodies.
    pub body_bytes: usize,
    /// Idle connections to servers.
    pub idle_links: usize,
    /// Accounts over all budgets and holders.
    pub accounts: usize,
    /// Records of the account stream that are not folded yet.
    pub account_lag: u64,
}

impl TrafficGauges {
    /// Shows the levels on the metrics' address.
    pub fn publish(&self) {
        let (serving, leaving) = self.servers;
        let (held, reserved, spent) = self.tokens;
        let levels = [
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
            ("hibiscus_server_connections_idle", self.idle_links as f64),
            ("hibiscus_accounts", self.accounts as f64),
            ("hibiscus_account_lag_records", self.account_lag as f64),
        ];
        for (name, level) in levels {
            gauge!(name).set(level);
        }
        let servers = [
            ("serving", serving),
            ("leaving", leaving),
            ("silent", self.silent_servers),
        ];
        for (state, count) in servers {
            gauge!("hibiscus_servers", "state" => state).set(count as f64);
        }
    }
}

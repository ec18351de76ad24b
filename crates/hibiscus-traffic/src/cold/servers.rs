//! Servers that are cold: for some time after a start they accept few requests, or
//! are slow.
//!
//! A server with a limit while cold gets requests with permits of one instance only
//! ([`hibiscus_routing::cold::lending`]); a server without one gets less work. Which
//! servers are cold is known by their entries, by their responses and by other
//! instances ([`crate::cold::exchange`]).

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_routing::cold::ColdTracker;
use hibiscus_routing::permits::PermitStock;
use hibiscus_routing::request_limit::RequestRate;
use hibiscus_types::ServerName;
use hibiscus_types::ServiceName;
use metrics::counter;
use metrics::gauge;

use crate::model::ColdStart;
use crate::model::ServerEntry;
use crate::servers::ServerHandle;
use crate::servers::ServerPool;

/// Number of cold servers.
pub const COLD_SERVERS: &str = "hibiscus_cold_servers";
/// Counts requests sent to cold servers, by service.
pub const COLD_SERVER_REQUESTS: &str = "hibiscus_cold_server_requests_total";
/// Counts requests that a cold server without a permit suited best and that were sent
/// to another one, by service.
pub const COLD_DIVERSIONS: &str = "hibiscus_cold_diversions_total";

/// Factor on the cost of a request at a server that is slow while cold. Neither the
/// configuration nor the entry tells how slow it is.
const COLD_COST_FACTOR: f64 = 3.0;

/// What a response says about the cold time of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdObservation {
    /// How much longer the server is cold; `None` if the value is invalid.
    pub remaining: Option<Duration>,
    /// When the request was sent.
    pub sent_at: Instant,
}

/// The cold time of one server process, and this instance's permits for it.
#[derive(Debug, Default)]
pub struct ColdState {
    /// How long the process is cold.
    pub tracker: ColdTracker,
    /// This instance's permits while the process is cold.
    pub permits: PermitStock,
    /// How the servers of the service begin; `None` if they are never cold.
    start: Option<ColdStart>,
    /// Whether the log says that the process is cold.
    is_reported: bool,
    /// Requests sent since the last log of the levels.
    sent: u64,
}

impl ColdState {
    /// Whether the process is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.start.is_some() && self.tracker.is_cold(now)
    }

    /// Requests per second that the process accepts from all instances; `None` if it
    /// is not cold, or only slow.
    pub fn limit(&self, now: Instant) -> Option<RequestRate> {
        let limit = self.start?.limit?;
        self.tracker.is_cold(now).then_some(limit)
    }

    /// Records that the process was reached.
    fn note_reached(&mut self, now: Instant) {
        // The mark is cleared for other services too: a later configuration may make
        // their servers cold after a start.
        let duration = self.start.map_or(Duration::ZERO, |start| start.duration);
        self.tracker.note_reached(duration, now);
    }

    /// Factor on the cost of a request at the process.
    fn cost_factor(&self, now: Instant) -> f64 {
        let is_slow = self.is_cold(now) && self.limit(now).is_none();
        if is_slow { COLD_COST_FACTOR } else { 1.0 }
    }

    /// Counts a request that is being sent; returns whether the process is cold.
    pub fn note_sent(&mut self, now: Instant) -> bool {
        let is_cold = self.is_cold(now);
        self.sent += u64::from(is_cold);
        is_cold
    }
}

impl ServerHandle {
    /// Records that a connection to the server was opened.
    pub fn note_reached(&self) {
        self.limit().borrow_mut().cold.note_reached(Instant::now());
    }

    /// Factor on the cost of a request at the server, which is above 1 while the server
    /// is cold and has no limit.
    pub fn cold_cost_factor(&self, now: Instant) -> f64 {
        self.limit().borrow().cold.cost_factor(now)
    }

    /// Whether the server is cold and accepts requests with permits only.
    pub fn has_cold_limit(&self, now: Instant) -> bool {
        self.limit().borrow().cold.limit(now).is_some()
    }

    /// Counts a request that this server suited best while cold, and that is sent to
    /// another server.
    pub fn count_diversion(&self) {
        if self.has_cold_limit(Instant::now()) {
            let service = self.entry.service.to_string();
            counter!(COLD_DIVERSIONS, "service" => service).increment(1);
        }
    }
}

/// How the servers of each service begin.
#[derive(Debug, Default)]
pub struct ColdStarts {
    by_service: BTreeMap<ServiceName, ColdStart>,
}

impl ColdStarts {
    /// How the servers of `service` begin; `None` if they are never cold.
    pub fn of(&self, service: &ServiceName) -> Option<ColdStart> {
        self.by_service.get(service).copied()
    }

    /// Replaces all by those of a new configuration. Where that is invalid, the
    /// previous one remains.
    pub fn replace(&mut self, configured: &BTreeMap<ServiceName, ColdStart>) {
        let mut by_service = BTreeMap::new();
        for (service, start) in configured {
            let mut start = Some(*start);
            if start == Some(ColdStart::INVALID) {
                start = self.of(service);
                event!(
                    EventCode::ColdStartInvalid,
                    "service={service} cold_ms={}",
                    start.map_or(0, |start| start.duration.as_millis())
                );
            }
            if let Some(start) = start {
                by_service.insert(service.clone(), start);
            }
        }
        self.by_service = by_service;
    }
}

impl ServerPool {
    /// Applies how the servers of each service begin.
    pub fn set_cold_starts(&mut self, configured: &BTreeMap<ServiceName, ColdStart>) {
        self.cold_starts.replace(configured);
        for server in self.servers() {
            let start = self.cold_starts.of(&server.entry.service);
            server.limit().borrow_mut().cold.start = start;
        }
    }

    /// Requests per second that the server `name` of `service` accepts while cold, or
    /// the limit that it names if that is lower; `None` if it has no limit while cold.
    pub fn cold_rate(&self, name: &ServerName, service: &ServiceName) -> Option<f64> {
        let limit = self.cold_starts.of(service)?.limit?.per_second();
        let named = self.newest(name);
        let named = named.and_then(|server| server.limit().borrow().limit());
        Some(named.map_or(limit, |named| named.per_second().min(limit)))
    }

    /// Records the cold time in an entry that arrived at `now` and was applied; returns
    /// whether other instances need to know.
    pub fn note_cold_entry(&mut self, entry: &ServerEntry, now: Instant) -> bool {
        let start = self.cold_starts.of(&entry.service);
        let process = self.known_process(&entry.incarnation());
        let mut limit = process.limit.borrow_mut();
        let cold = &mut limit.cold;
        cold.start = start;
        if entry.cold_remaining == ServerEntry::COLD_TIME_INVALID {
            log_invalid(entry, "entry");
            return false;
        }
        let is_news = cold.tracker.note_entry(entry.cold_remaining, now);
        drop(limit);
        process.permits_changed.notify_waiters();
        is_news && start.is_some()
    }

    /// Publishes the cold servers, logs which have become cold or are no longer, and
    /// the requests sent to them since the last call.
    pub fn show_cold_servers(&self, now: Instant) {
        let mut count = 0;
        for server in self.servers() {
            let mut limit = server.limit().borrow_mut();
            let named = limit.limit();
            let cold = &mut limit.cold;
            let is_cold = cold.is_cold(now);
            let remaining = cold.tracker.remaining(now).unwrap_or_default();
            if is_cold && !cold.is_reported {
                event!(
                    EventCode::ServerCold,
                    "server={} started={} remaining_ms={} limit={}",
                    server.entry.name,
                    server.entry.started,
                    remaining.as_millis(),
                    rate_text(cold.limit(now))
                );
            }
            if cold.sent > 0 {
                event!(
                    EventCode::ColdLevels,
                    "server={} remaining_ms={} limit={} named_limit={} sent={}",
                    server.entry.name,
                    remaining.as_millis(),
                    rate_text(cold.limit(now)),
                    rate_text(named),
                    std::mem::take(&mut cold.sent)
                );
            }
            if !is_cold && cold.is_reported {
                event!(
                    EventCode::ServerWarm,
                    "server={} started={}",
                    server.entry.name,
                    server.entry.started
                );
            }
            cold.is_reported = is_cold;
            count += u32::from(is_cold);
        }
        gauge!(COLD_SERVERS).set(f64::from(count));
    }
}

/// Logs that `source` names an invalid cold time of the server of `entry`.
pub(crate) fn log_invalid(entry: &ServerEntry, source: &str) {
    event!(
        EventCode::ColdTimeInvalid,
        "server={} started={} source={source}",
        entry.name,
        entry.started
    );
}

fn rate_text(rate: Option<RequestRate>) -> String {
    rate.map_or_else(|| "none".to_owned(), |rate| rate.per_second().to_string())
}

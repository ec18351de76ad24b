//! Estimates the load of servers.
//!
//! A load report is old when it arrives. This process knows exactly which of its
//! own requests started and ended since the report was made, and assumes that
//! the other routers' requests changed in a similar way.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hibiscus_types::ServerName;
use hibiscus_types::ServiceName;

/// Age above which a report is not used.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(10);
/// Time for which the number of own requests in progress is remembered.
const HISTORY_SPAN: Duration = Duration::from_secs(5);
/// Weight of this process's change in load when it is extrapolated to the other
/// routers; below 1 because their requests differ by chance.
const EXTRAPOLATION_WEIGHT: f64 = 0.75;
/// Maximum number of other routers to extrapolate to: in a large fleet only some
/// use the same server at a time.
const OTHER_ROUTER_LIMIT: u32 = 8;
/// Weight of a new measurement in the average time per token.
const SPEED_WEIGHT: f64 = 0.1;

/// A server and its estimated load.
#[derive(Clone, Debug)]
pub struct ServerLoad {
    /// Name of the server.
    pub name: ServerName,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Address of the server's HTTP port.
    pub address: SocketAddr,
    /// Whether the server is draining.
    pub draining: bool,
    /// Requests in progress according to the last report.
    pub reported: u32,
    /// Requests of this process in progress at the server.
    pub own: u32,
    /// Requests of all routers expected to be in progress at the server.
    pub expected: f64,
    /// Seconds per token, 0 when unknown.
    pub token_seconds: f64,
    /// Probability that the server holds the request's prefix, from 0 to 1.
    pub cached: f64,
}

/// A load report and this process's requests in progress when it was made.
#[derive(Clone, Copy, Debug)]
struct RecordedReport {
    load: u32,
    made: Instant,
    own_at_report: u32,
}

/// Tracks the load of one server.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    own: u32,
    history: VecDeque<(Instant, u32)>,
    report: Option<RecordedReport>,
    token_seconds: f64,
}

impl LoadTracker {
    /// Counts a request sent at `now`.
    pub fn note_sent(&mut self, now: Instant) {
        self.set_own(self.own + 1, now);
    }

    /// Counts a request that ended at `now`.
    pub fn note_ended(&mut self, now: Instant) {
        self.set_own(self.own.saturating_sub(1), now);
    }

    /// Stores a report of `load` requests in progress, made at `made`. A report
    /// older than the stored one is ignored.
    pub fn note_report(&mut self, load: u32, made: Instant) {
        if self.report.is_some_and(|report| made < report.made) {
            return;
        }
        let own_at_report = self.own_at(made);
        self.report = Some(RecordedReport {
            load,
            made,
            own_at_report,
        });
    }

    /// Adds a measured time between two tokens to the average.
    pub fn note_speed(&mut self, token_seconds: f64) {
        if self.token_seconds <= 0.0 {
            self.token_seconds = token_seconds;
        } else {
            self.token_seconds += SPEED_WEIGHT * (token_seconds - self.token_seconds);
        }
    }

    /// Requests of this process in progress.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Requests in progress according to the last report.
    pub fn reported(&self) -> u32 {
        self.report.map_or(0, |report| report.load)
    }

    /// Average seconds per token, 0 when unknown.
    pub fn token_seconds(&self) -> f64 {
        self.token_seconds
    }

    /// Whether there is a report that is recent enough to use at `now`.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.report
            .is_some_and(|report| now.saturating_duration_since(report.made) <= REPORT_LIFETIME)
    }

    /// Age of the last report; `None` without one.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        let report = self.report?;
        Some(now.saturating_duration_since(report.made))
    }

    /// Requests expected to be in progress at `now`, from this process and
    /// `others` similar routers.
    pub fn expected(&self, now: Instant, others: u32) -> f64 {
        let own = f64::from(self.own);
        let others = f64::from(others.min(OTHER_ROUTER_LIMIT));
        let Some(report) = self.report.filter(|_report| self.is_fresh(now)) else {
            return own * (1.0 + others);
        };
        let own_at_report = f64::from(report.own_at_report);
        let others_at_report = (f64::from(report.load) - own_at_report).max(0.0);
        let others_since = (own - own_at_report) * others * EXTRAPOLATION_WEIGHT;
        own + (others_at_report + others_since).max(0.0)
    }

    fn set_own(&mut self, own: u32, now: Instant) {
        self.history.push_back((now, self.own));
        self.own = own;
        while let Some((until, _own)) = self.history.front() {
            if now.saturating_duration_since(*until) <= HISTORY_SPAN {
                break;
            }
            self.history.pop_front();
        }
    }

    /// Requests of this process in progress at `time`. Each entry of the history
    /// holds the number up to its time.
    fn own_at(&self, time: Instant) -> u32 {
        for (until, own) in &self.history {
            if time < *until {
                return *own;
            }
        }
        self.own
    }
}

//! Load of servers as one process estimates it.
//!
//! A report is old when it arrives. What this process sent and what ended
//! since the report was made is known exactly; what the other routers did
//! meanwhile is taken to be like it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hibiscus_types::ServerName;
use hibiscus_types::ServiceName;

/// Age from which on a report is not used.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(10);
/// Time for which the own requests in progress are remembered.
const HISTORY_SPAN: Duration = Duration::from_secs(5);
/// Share of the other routers' likeness that is believed, since their
/// requests differ by chance.
const LIKENESS: f64 = 0.75;
/// Other routers that are counted at most: of a large fleet, only some use
/// the same server at a time.
const OTHERS_LIMIT: u32 = 8;
/// Weight of a new measurement of a server's speed.
const SPEED_WEIGHT: f64 = 0.1;

/// One server and its estimated load.
#[derive(Clone, Debug)]
pub struct ServerLoad {
    /// Its name.
    pub name: ServerName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub draining: bool,
    /// Requests in progress by its last report.
    pub reported: u32,
    /// Requests that this process has in progress there.
    pub own: u32,
    /// Requests expected to be in progress, from all routers.
    pub expected: f64,
    /// Seconds that it takes for a token, 0 when unknown.
    pub token_seconds: f64,
    /// Belief that it holds the request's prefix, 0 to 1.
    pub cached: f64,
}

/// A report and what this process had in progress when it was made.
#[derive(Clone, Copy, Debug)]
struct TakenReport {
    load: u32,
    made: Instant,
    own_then: u32,
}

/// Follows the load of one server.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    own: u32,
    history: VecDeque<(Instant, u32)>,
    report: Option<TakenReport>,
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

    /// Takes a report of `load` requests in progress, made at `made`. One
    /// made before the last is ignored.
    pub fn note_report(&mut self, load: u32, made: Instant) {
        if self.report.is_some_and(|report| made < report.made) {
            return;
        }
        let own_then = self.own_at(made);
        self.report = Some(TakenReport {
            load,
            made,
            own_then,
        });
    }

    /// Takes a measured time between two tokens.
    pub fn note_speed(&mut self, token_seconds: f64) {
        if self.token_seconds <= 0.0 {
            self.token_seconds = token_seconds;
        } else {
            self.token_seconds += SPEED_WEIGHT * (token_seconds - self.token_seconds);
        }
    }

    /// Requests that this process has in progress.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Requests in progress by the last report.
    pub fn reported(&self) -> u32 {
        self.report.map_or(0, |report| report.load)
    }

    /// Seconds that the server takes for a token, 0 when unknown.
    pub fn token_seconds(&self) -> f64 {
        self.token_seconds
    }

    /// Whether there is a report that may be used at `now`.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.report
            .is_some_and(|report| now.saturating_duration_since(report.made) <= REPORT_LIFETIME)
    }

    /// Requests expected in progress at `now`, from this process and
    /// `others` like it.
    pub fn expected(&self, now: Instant, others: u32) -> f64 {
        let own = f64::from(self.own);
        let others = f64::from(others.min(OTHERS_LIMIT));
        let Some(report) = self.report.filter(|_report| self.is_fresh(now)) else {
            return own * (1.0 + others);
        };
        let own_then = f64::from(report.own_then);
        let theirs_then = (f64::from(report.load) - own_then).max(0.0);
        let theirs_since = (own - own_then) * others * LIKENESS;
        own + (theirs_then + theirs_since).max(0.0)
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

    /// Requests that this process had in progress at `time`. An entry of the
    /// history is the number up to its time.
    fn own_at(&self, time: Instant) -> u32 {
        for (until, own) in &self.history {
            if time < *until {
                return *own;
            }
        }
        self.own
    }
}

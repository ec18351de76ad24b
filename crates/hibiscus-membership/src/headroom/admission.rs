//! Decides which share of new requests an instance accepts while ready responses wait.
//!
//! Some callers keep to one instance whatever lists say, so an instance must be able to
//! bound its load alone. The share falls while ready responses wait and rises when they
//! do not, so it settles where link and processor are used up and responses are in time.
//! Nothing has to be known of the cost of a request or of a refusal.

use std::time::Duration;

/// Time that a ready response waits at which fewer requests are accepted. A response is
/// worth its whole price within 0.5 s in the strictest routes.
const HIGH_DELAY: Duration = Duration::from_millis(300);
/// Time that a ready response waits at which the share falls faster.
const SEVERE_DELAY: Duration = Duration::from_millis(700);
/// Time that a ready response waits below which more requests are accepted: above the
/// 0.09 s for which a quota of 0.12 core stops a process.
const LOW_DELAY: Duration = Duration::from_millis(200);
/// Updates in a row with a high delay before requests are refused. A single one may be a
/// moment's work, such as reading a configuration.
const HIGH_UPDATES: u32 = 2;
/// Factors by which the share falls with each update.
const FALL: f64 = 0.8;
const SEVERE_FALL: f64 = 0.6;
/// Factor by which the share rises with each update, and what is added: from the least
/// share to all in 10 s.
const RISE: (f64, f64) = (1.06, 0.005);
/// Factor by which the delay falls with an update if the share is low enough: what waits
/// needs some time to go, and a share that falls meanwhile leaves the instance idle.
const DRAINING: f64 = 0.9;
/// Least share that is accepted, so that the share can be found out again.
const LEAST_SHARE: f64 = 0.05;
/// Retry time when nearly all requests are accepted. It is divided by the share: each
/// refusal costs processor time, and at 0.3 of 190 requests a second those that return
/// early took two thirds of 0.12 core.
const USUAL_RETRY: Duration = Duration::from_millis(500);
/// Longest retry time: callers wait some 3 s for a response.
const RETRY_LIMIT: Duration = Duration::from_millis(3_000);

/// Share of new requests that an instance accepts.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    share: f64,
    high_updates: u32,
    /// Delay at the last update.
    delay: Duration,
    /// Requests that may be accepted, below 1 plus the share.
    credit: f64,
}

impl Default for AdmissionControl {
    fn default() -> Self {
        Self {
            share: 1.0,
            high_updates: 0,
            delay: Duration::ZERO,
            credit: 0.0,
        }
    }
}

impl AdmissionControl {
    /// Adjusts the share; `delay` is the time that a ready response waits now. To be
    /// called each 0.25 s.
    pub fn update(&mut self, delay: Duration) {
        let is_draining = delay < self.delay.mul_f64(DRAINING);
        self.delay = delay;
        if delay < HIGH_DELAY {
            self.high_updates = 0;
            if delay < LOW_DELAY {
                self.share = (self.share * RISE.0 + RISE.1).min(1.0);
            }
            return;
        }
        self.high_updates = self.high_updates.saturating_add(1);
        if self.high_updates >= HIGH_UPDATES && !is_draining {
            let factor = if delay >= SEVERE_DELAY {
                SEVERE_FALL
            } else {
                FALL
            };
            self.share = (self.share * factor).max(LEAST_SHARE);
        }
    }

    /// Share of new requests that are accepted.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Whether some requests are refused.
    pub fn is_refusing(&self) -> bool {
        self.share < 1.0
    }

    /// Whether a new request is accepted. Accepted ones are spread evenly among all.
    pub fn admits(&mut self) -> bool {
        self.credit += self.share;
        if self.credit < 1.0 {
            return false;
        }
        self.credit = (self.credit - 1.0).min(1.0);
        true
    }

    /// Time after which a refused caller may retry; callers are to be spread around it.
    pub fn retry(&self) -> Duration {
        USUAL_RETRY
            .div_f64(self.share.max(LEAST_SHARE))
            .min(RETRY_LIMIT)
    }
}

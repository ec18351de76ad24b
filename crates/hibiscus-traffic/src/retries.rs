//! Limits the retries that this instance may send.
//!
//! In each window the fleet may send a number of retries that is a share of its
//! requests plus a slack. An instance that reaches no other must stay within a
//! limit that is safe for all: the share of its own requests, plus the slack
//! divided by the number of instances that may run.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use hibiscus_types::ServiceName;

/// Share of the bound that is used, because arrivals are counted elsewhere and a
/// little later.
const USED_SHARE: f64 = 0.8;

/// Bound on the retries of the whole fleet.
#[derive(Clone, Copy, Debug)]
pub struct RetryBound {
    /// Retries per request.
    pub share: f64,
    /// Retries in addition to the share.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Times of the requests and retries of one service within the window.
#[derive(Clone, Debug, Default)]
struct ServiceCounts {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl ServiceCounts {
    fn remaining(&self, bound: RetryBound, instances: u32) -> f64 {
        let slack = bound.slack / f64::from(instances.max(1));
        let limit = (self.requests.len() as f64 * bound.share + slack) * USED_SHARE;
        limit - self.retries.len() as f64
    }
}

/// Counts requests and retries by service.
#[derive(Clone, Debug)]
pub struct RetryCounter {
    bound: RetryBound,
    services: HashMap<ServiceName, ServiceCounts>,
}

impl RetryCounter {
    /// A counter that enforces `bound`.
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            services: HashMap::new(),
        }
    }

    /// Counts a request for `service` at `now`.
    pub fn count_request(&mut self, service: &ServiceName, now: Duration) {
        let window = self.bound.window;
        let counts = self.services.entry(service.clone()).or_default();
        counts.requests.push_back(now);
        drop_old(&mut counts.requests, now, window);
    }

    /// Whether a retry may be sent when `instances` instances may send retries.
    pub fn has_retry(&mut self, service: &ServiceName, instances: u32, now: Duration) -> bool {
        let bound = self.bound;
        let Some(counts) = self.services.get_mut(service) else {
            return false;
        };
        drop_old(&mut counts.requests, now, bound.window);
        drop_old(&mut counts.retries, now, bound.window);
        counts.remaining(bound, instances) >= 1.0
    }

    /// Counts a retry when `instances` instances may send retries; returns false
    /// if none is allowed.
    pub fn take_retry(&mut self, service: &ServiceName, instances: u32, now: Duration) -> bool {
        self.services.entry(service.clone()).or_default();
        if !self.has_retry(service, instances, now) {
            return false;
        }
        if let Some(counts) = self.services.get_mut(service) {
            counts.retries.push_back(now);
        }
        true
    }

    /// Number of retries of all services that may be sent now when `instances`
    /// instances may send retries.
    pub fn remaining(&mut self, instances: u32, now: Duration) -> f64 {
        let bound = self.bound;
        let mut remaining = 0.0;
        for counts in self.services.values_mut() {
            drop_old(&mut counts.requests, now, bound.window);
            drop_old(&mut counts.retries, now, bound.window);
            remaining += counts.remaining(bound, instances).max(0.0);
        }
        remaining
    }
}

/// Removes times before the window.
fn drop_old(times: &mut VecDeque<Duration>, now: Duration, window: Duration) {
    while let Some(oldest) = times.front() {
        if now.saturating_sub(*oldest) <= window {
            break;
        }
        times.pop_front();
    }
}

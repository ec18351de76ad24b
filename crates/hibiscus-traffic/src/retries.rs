//! The share of the fleet's retries that this instance may send.
//!
//! The fleet may send a number of retries in each window, a share of its
//! requests plus a slack. An instance that sees nobody must stay within what
//! is safe for all: the share of its own requests, and the slack divided by
//! the instances that may run.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use hibiscus_types::ServiceName;

/// Part of the bound that is used, since arrivals are counted elsewhere and a
/// little later.
const USED_SHARE: f64 = 0.8;

/// The bound for the whole fleet.
#[derive(Clone, Copy, Debug)]
pub struct RetryBound {
    /// Retries for each request.
    pub share: f64,
    /// Retries beyond that.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// Requests and retries of one service within the window.
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

/// Counts requests and retries.
#[derive(Clone, Debug)]
pub struct RetryCounter {
    bound: RetryBound,
    services: HashMap<ServiceName, ServiceCounts>,
}

impl RetryCounter {
    /// A counter that keeps `bound`.
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

    /// Whether a retry is left, with `instances` that may send some.
    pub fn has_retry(&mut self, service: &ServiceName, instances: u32, now: Duration) -> bool {
        let bound = self.bound;
        let Some(counts) = self.services.get_mut(service) else {
            return false;
        };
        drop_old(&mut counts.requests, now, bound.window);
        drop_old(&mut counts.retries, now, bound.window);
        counts.remaining(bound, instances) >= 1.0
    }

    /// Takes one retry, with `instances` that may send some; false when none
    /// is left.
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

    /// Retries that may be sent now, over all services, with `instances` that
    /// may send some.
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

/// Removes times that left the window.
fn drop_old(times: &mut VecDeque<Duration>, now: Duration, window: Duration) {
    while let Some(oldest) = times.front() {
        if now.saturating_sub(*oldest) <= window {
            break;
        }
        times.pop_front();
    }
}

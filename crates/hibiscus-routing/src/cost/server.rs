//! How one server differs from the others of its service, and the work of this process
//! there.

use std::time::Duration;
use std::time::Instant;

use crate::cost::fit::DecayingMean;
use crate::cost::pace::Pace;
use crate::cost::service::Comparison;

/// Half-life of what is known of a server's speed. In a large fleet an instance gets a
/// response of a server every few seconds.
const SPEED_HALF_LIFE: Duration = Duration::from_secs(60);
/// Number of observations that the usual speed counts as.
const SPEED_PRIOR_WEIGHT: f64 = 4.0;
/// Limits of a single observed ratio, so that one delayed response has little effect.
const RATIO_RANGE: (f64, f64) = (0.25, 4.0);
/// Limits of the multiple that a server's times are expected to be.
const SLOWDOWN_RANGE: (f64, f64) = (0.25, 10.0);
/// Part of the predicted work that requests in progress have left at least: a request
/// that takes longer than predicted is not done yet.
const MIN_REMAINING: f64 = 0.25;

/// Learned speed of a server, and the work that this process has outstanding there.
#[derive(Clone, Copy, Debug)]
pub struct ServerCost {
    ratio: DecayingMean,
    pace: Pace,
    work: OutstandingWork,
    tokens: u64,
}

impl Default for ServerCost {
    fn default() -> Self {
        Self {
            ratio: DecayingMean::new(SPEED_HALF_LIFE),
            pace: Pace::default(),
            work: OutstandingWork::default(),
            tokens: 0,
        }
    }
}

impl ServerCost {
    /// Adds an observed time, with what a usual server would have taken. `pace` is the
    /// multiple that held meanwhile.
    pub fn observe(&mut self, observed_ms: f64, compared: Comparison, pace: f64, now: Instant) {
        let ratio = observed_ms / (compared.usual_ms * pace);
        if !ratio.is_finite() {
            return;
        }
        let ratio = ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1);
        self.ratio.add(ratio, compared.weight, now);
    }

    /// Stores the pace that a response reports, in percent.
    pub fn note_pace(&mut self, percent: u32, now: Instant) {
        self.pace.note_report(percent, now);
    }

    /// Multiple of the usual times that the server's reports state for `now`.
    pub fn pace(&self, now: Instant) -> f64 {
        self.pace.factor(now)
    }

    /// Learned multiple of the service's times, without the momentary pace.
    pub fn speed_ratio(&self, now: Instant) -> f64 {
        self.ratio.mean(1.0, SPEED_PRIOR_WEIGHT, now)
    }

    /// Multiple of the service's times that the server is expected to take now.
    pub fn slowdown(&self, now: Instant) -> f64 {
        let slowdown = self.speed_ratio(now) * self.pace(now);
        slowdown.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1)
    }

    /// Counts a request with `work_ms` of predicted work and `tokens` tokens.
    pub fn note_sent(&mut self, work_ms: f64, tokens: u64, now: Instant) {
        self.work.add(work_ms, now);
        self.tokens = self.tokens.saturating_add(tokens);
    }

    /// Removes a request that was counted at `sent`.
    pub fn note_ended(&mut self, work_ms: f64, tokens: u64, sent: Instant) {
        self.work.remove(work_ms, sent);
        self.tokens = self.tokens.saturating_sub(tokens);
    }

    /// Predicted work of this process's requests in progress, in milliseconds, of which
    /// `confidence` (0 to 1) of the time since they were sent is subtracted.
    pub fn own_work_ms(&self, confidence: f64, now: Instant) -> f64 {
        self.work.remaining_ms(confidence, now)
    }

    /// Tokens of this process's requests in progress: prompts and maximum outputs.
    pub fn own_tokens(&self) -> u64 {
        self.tokens
    }
}

/// Sums over requests in progress, from which their remaining work is estimated without
/// a list of them.
#[derive(Clone, Copy, Debug, Default)]
struct OutstandingWork {
    count: u32,
    work_ms: f64,
    /// Sum of the times at which the requests were sent, in milliseconds since `origin`.
    sent_ms: f64,
    origin: Option<Instant>,
}

impl OutstandingWork {
    fn add(&mut self, work_ms: f64, now: Instant) {
        let origin = *self.origin.get_or_insert(now);
        self.count += 1;
        self.work_ms += work_ms;
        self.sent_ms += milliseconds(now, origin);
    }

    fn remove(&mut self, work_ms: f64, sent: Instant) {
        let Some(origin) = self.origin else {
            return;
        };
        self.count = self.count.saturating_sub(1);
        if self.count == 0 {
            *self = Self::default();
            return;
        }
        self.work_ms = (self.work_ms - work_ms).max(0.0);
        self.sent_ms = (self.sent_ms - milliseconds(sent, origin)).max(0.0);
    }

    fn remaining_ms(&self, confidence: f64, now: Instant) -> f64 {
        let Some(origin) = self.origin else {
            return 0.0;
        };
        let elapsed = f64::from(self.count) * milliseconds(now, origin) - self.sent_ms;
        let done = (confidence * elapsed.max(0.0)).min(self.work_ms * (1.0 - MIN_REMAINING));
        self.work_ms - done
    }
}

/// Milliseconds from `earlier` to `later`.
fn milliseconds(later: Instant, earlier: Instant) -> f64 {
    later.saturating_duration_since(earlier).as_secs_f64() * 1_000.0
}

//! Demand of a holder's requests, in tokens per second.

use std::time::Duration;

use hibiscus_types::TokenCount;

/// Window of the long average, in seconds.
const LONG_WINDOW_SECONDS: u64 = 12;
/// Window of the short average, in seconds; it follows a rise sooner.
const SHORT_WINDOW_SECONDS: u64 = 4;
/// Shortest time that the long average of few requests divides by, in seconds,
/// so that the first requests are not overestimated.
const MIN_LONG_SECONDS: u64 = 8;
/// Part of the short average that is subtracted for its error: it swings with a
/// few large requests.
const SHORT_MARGIN: f64 = 0.4;

/// Counts reserved tokens and requests by second, and the fraction of them that is used.
#[derive(Clone, Debug, Default)]
pub struct DemandCounter {
    seconds: [u64; LONG_WINDOW_SECONDS as usize],
    requests: [u32; LONG_WINDOW_SECONDS as usize],
    newest: u64,
    first: Option<u64>,
    reserved: f64,
    charged: f64,
}

impl DemandCounter {
    /// Counts a reservation of `tokens` at `now`.
    pub fn reserve(&mut self, tokens: TokenCount, now: Duration) {
        self.advance(now);
        let second = now.as_secs();
        self.first.get_or_insert(second);
        self.seconds[slot(second)] += tokens.get();
        self.requests[slot(second)] += 1;
    }

    /// Counts that `charge` tokens of a reservation of `tokens` were used.
    pub fn settle(&mut self, tokens: TokenCount, charge: TokenCount) {
        self.reserved += tokens.get() as f64;
        self.charged += charge.get() as f64;
    }

    /// Subtracts `tokens` that were counted as used and were not.
    pub fn refund(&mut self, tokens: TokenCount) {
        self.charged = (self.charged - tokens.get() as f64).max(0.0);
    }

    /// Demand at `now` in tokens per second: the larger of the two averages.
    pub fn rate(&mut self, now: Duration) -> f64 {
        self.advance(now);
        let Some(first) = self.first else {
            return 0.0;
        };
        let age = (self.newest - first + 1).min(LONG_WINDOW_SECONDS);
        let (long, _error) = self.average(age, MIN_LONG_SECONDS);
        let age = age.min(SHORT_WINDOW_SECONDS);
        let (short, error) = self.average(age, SHORT_WINDOW_SECONDS);
        let short = short * (1.0 - SHORT_MARGIN * error);
        long.max(short) * self.used_ratio()
    }

    /// Fraction of used tokens to reserved tokens.
    fn used_ratio(&self) -> f64 {
        if self.reserved <= 0.0 {
            return 1.0;
        }
        self.charged / self.reserved
    }

    /// Average over the last `count` seconds and its relative error, which is 1
    /// for a single request. The average of a single request is over at least
    /// `least` seconds, that of many over `count`: an outage 6 s after the start
    /// found limits for three quarters of the demand.
    fn average(&self, count: u64, least: u64) -> (f64, f64) {
        let (mut tokens, mut requests) = (0, 0);
        for second in (0..count).filter_map(|back| self.newest.checked_sub(back)) {
            tokens += self.seconds[slot(second)];
            requests += self.requests[slot(second)];
        }
        let error = 1.0 / f64::from(requests.max(1)).sqrt();
        let missing = least.saturating_sub(count) as f64;
        (tokens as f64 / (count as f64 + missing * error), error)
    }

    fn advance(&mut self, now: Duration) {
        let second = now.as_secs();
        while self.newest < second {
            self.newest += 1;
            self.seconds[slot(self.newest)] = 0;
            self.requests[slot(self.newest)] = 0;
            if second - self.newest > LONG_WINDOW_SECONDS {
                self.newest = second - LONG_WINDOW_SECONDS;
            }
        }
    }
}

/// Index of a second in the ring buffer.
fn slot(second: u64) -> usize {
    usize::try_from(second % LONG_WINDOW_SECONDS).unwrap_or(0)
}

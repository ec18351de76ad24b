//! Tokens a second that a holder's requests ask for.

use std::time::Duration;

use hibiscus_types::TokenCount;

/// Seconds over which the demand is averaged.
const LONG_WINDOW_SECONDS: u64 = 12;
/// Seconds of the shorter average, which follows a rise sooner.
const SHORT_WINDOW_SECONDS: u64 = 4;
/// Least span of the longer average, so that the first requests do not count
/// for more than they are.
const MIN_LONG_SECONDS: u64 = 8;
/// Weight of the shorter average: a few large requests make it swing.
const SHORT_WEIGHT: f64 = 0.6;

/// Reservations by second, and how much of them is used.
#[derive(Clone, Debug, Default)]
pub struct DemandCounter {
    seconds: [u64; LONG_WINDOW_SECONDS as usize],
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
    }

    /// Counts the end of a reservation of `tokens` of which `charge` was used.
    pub fn settle(&mut self, tokens: TokenCount, charge: TokenCount) {
        self.reserved += tokens.get() as f64;
        self.charged += charge.get() as f64;
    }

    /// Counts that `tokens` which counted as used were not.
    pub fn refund(&mut self, tokens: TokenCount) {
        self.charged = (self.charged - tokens.get() as f64).max(0.0);
    }

    /// Tokens a second that requests use at `now`: the larger one of the two
    /// averages.
    pub fn rate(&mut self, now: Duration) -> f64 {
        self.advance(now);
        let Some(first) = self.first else {
            return 0.0;
        };
        let age = (self.newest - first + 1).min(LONG_WINDOW_SECONDS);
        let long = self.sum(age) as f64 / age.max(MIN_LONG_SECONDS) as f64;
        let short = self.sum(age.min(SHORT_WINDOW_SECONDS)) as f64 / SHORT_WINDOW_SECONDS as f64;
        long.max(short * SHORT_WEIGHT) * self.used_ratio()
    }

    /// Part of the reserved tokens that is used in the end.
    fn used_ratio(&self) -> f64 {
        if self.reserved <= 0.0 {
            return 1.0;
        }
        self.charged / self.reserved
    }

    /// Tokens of the last `count` seconds.
    fn sum(&self, count: u64) -> u64 {
        let seconds = (0..count).filter_map(|back| self.newest.checked_sub(back));
        seconds.map(|second| self.seconds[slot(second)]).sum()
    }

    fn advance(&mut self, now: Duration) {
        let second = now.as_secs();
        while self.newest < second {
            self.newest += 1;
            self.seconds[slot(self.newest)] = 0;
            if second - self.newest > LONG_WINDOW_SECONDS {
                self.newest = second - LONG_WINDOW_SECONDS;
            }
        }
    }
}

/// The place of a second in the ring.
fn slot(second: u64) -> usize {
    usize::try_from(second % LONG_WINDOW_SECONDS).unwrap_or(0)
}

//! Spreads the times at which refused callers return.

use std::time::Duration;
use std::time::Instant;

/// Shortest time after which a refused caller returns.
const MIN_RETRY: Duration = Duration::from_millis(100);
/// Longest time after which a refused caller returns: callers wait for 10 to 15 s
/// altogether.
const MAX_RETRY: Duration = Duration::from_secs(4);
/// Limits of the time between two returning callers.
const INTERVAL_RANGE: (f64, f64) = (0.001, 0.2);
/// Multiples of the golden ratio fall evenly into an interval.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// The times at which refused callers return, at the rate at which requests are served.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnSchedule {
    last: Option<Instant>,
    beyond: u32,
}

impl ReturnSchedule {
    /// Time after which the next refused caller should return. The queue is predicted to
    /// be short enough in `excess_ms`, and `served_per_second` requests are served.
    pub fn next(&mut self, excess_ms: f64, served_per_second: f64, now: Instant) -> Duration {
        let excess = Duration::from_secs_f64((excess_ms / 1_000.0).clamp(0.0, 3_600.0));
        let earliest = now + excess.clamp(MIN_RETRY, MAX_RETRY / 2);
        let interval = 1.0 / served_per_second.max(0.001);
        let interval = interval.clamp(INTERVAL_RANGE.0, INTERVAL_RANGE.1);
        let interval = Duration::from_secs_f64(interval);
        let next = self
            .last
            .map_or(earliest, |last| earliest.max(last + interval));
        if next <= now + MAX_RETRY {
            self.last = Some(next);
            return next - now;
        }
        // More were refused than can be served in that time: they return evenly in its
        // second half.
        self.beyond = self.beyond.wrapping_add(1);
        let position = (f64::from(self.beyond) * GOLDEN_RATIO).fract();
        MAX_RETRY / 2 + (MAX_RETRY / 2).mul_f64(position)
    }
}

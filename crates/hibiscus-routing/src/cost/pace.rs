//! The momentary speed that a server reports.

use std::time::Duration;
use std::time::Instant;

use crate::cost::fit::DecayingMean;

/// Time for which a reported pace holds unchanged. Servers were slowed for 600 ms at a
/// time, so a report is on average halfway through.
const HOLD: Duration = Duration::from_millis(150);
/// Age at which a reported pace has no weight any more.
const LIFETIME: Duration = Duration::from_millis(450);
/// Half-life of the mean pace.
const USUAL_HALF_LIFE: Duration = Duration::from_secs(20);
/// Number of reports that the usual pace counts as in the mean.
const USUAL_WEIGHT: f64 = 4.0;
/// Smallest and largest pace that is believed, in percent.
const PERCENT_RANGE: std::ops::RangeInclusive<u32> = 10..=10_000;

/// How long work takes on a server, as a multiple of the usual.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    reported: Option<(f64, Instant)>,
    mean: DecayingMean,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            reported: None,
            mean: DecayingMean::new(USUAL_HALF_LIFE),
        }
    }
}

impl Pace {
    /// Stores a report that work takes `percent` of its usual time. An implausible one
    /// is ignored.
    pub fn note_report(&mut self, percent: u32, now: Instant) {
        if !PERCENT_RANGE.contains(&percent) {
            return;
        }
        let factor = f64::from(percent) / 100.0;
        self.reported = Some((factor, now));
        self.mean.add(factor, 1.0, now);
    }

    /// The expected multiple at `now`: the last report while it is fresh, and then
    /// more and more the mean of the reports.
    pub fn factor(&self, now: Instant) -> f64 {
        let Some((reported, at)) = self.reported else {
            return 1.0;
        };
        let mean = self.mean.mean(1.0, USUAL_WEIGHT, now);
        let age = now.saturating_duration_since(at);
        let weight = if age <= HOLD {
            1.0
        } else {
            let left = LIFETIME.saturating_sub(age).as_secs_f64();
            left / (LIFETIME - HOLD).as_secs_f64()
        };
        mean + weight * (reported - mean)
    }
}

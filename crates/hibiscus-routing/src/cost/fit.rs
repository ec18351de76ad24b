//! Averages and straight lines whose observations lose weight with age.

use std::time::Duration;
use std::time::Instant;

/// Limit of a learned slope, as a multiple or fraction of its prior.
const SLOPE_RANGE: f64 = 8.0;

/// Part of a weight that is left after `age`.
fn remaining(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

/// Mean of observations whose weight halves in each half-life.
#[derive(Clone, Copy, Debug)]
pub struct DecayingMean {
    half_life: Duration,
    weight: f64,
    sum: f64,
    updated: Option<Instant>,
}

impl DecayingMean {
    /// A mean without observations.
    pub const fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            weight: 0.0,
            sum: 0.0,
            updated: None,
        }
    }

    /// Adds an observation. One that is negative or not a number is ignored.
    pub fn add(&mut self, value: f64, weight: f64, now: Instant) {
        if !value.is_finite() || value < 0.0 {
            return;
        }
        let kept = self.kept(now);
        self.weight = self.weight * kept + weight;
        self.sum = self.sum * kept + value * weight;
        self.updated = Some(now);
    }

    /// Number of observations that still count at `now`.
    pub fn weight(&self, now: Instant) -> f64 {
        self.weight * self.kept(now)
    }

    /// The mean with a prior that counts as `prior_weight` observations.
    pub fn mean(&self, prior: f64, prior_weight: f64, now: Instant) -> f64 {
        let kept = self.kept(now);
        (self.sum * kept + prior * prior_weight) / (self.weight * kept + prior_weight)
    }

    /// Time of the last observation.
    pub fn updated(&self) -> Option<Instant> {
        self.updated
    }

    fn kept(&self, now: Instant) -> f64 {
        self.updated.map_or(0.0, |updated| {
            remaining(now.saturating_duration_since(updated), self.half_life)
        })
    }
}

/// A straight line before anything is learned.
#[derive(Clone, Copy, Debug)]
pub struct LinePrior {
    /// Value at zero.
    pub base: f64,
    /// Increase per unit.
    pub slope: f64,
    /// A usual position; the prior counts as observations at zero and there.
    pub usual: f64,
    /// Number of observations that the prior counts as at each position.
    pub weight: f64,
}

/// A value at zero and an increase per unit, neither of them negative.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at zero.
    pub base: f64,
    /// Increase per unit.
    pub slope: f64,
}

impl Line {
    /// The value at `position`.
    pub fn at(&self, position: f64) -> f64 {
        self.base + self.slope * position
    }
}

/// Fits a straight line to observations whose weight halves in each half-life.
#[derive(Clone, Copy, Debug)]
pub struct LineFit {
    prior: LinePrior,
    half_life: Duration,
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    updated: Option<Instant>,
}

impl LineFit {
    /// A line without observations.
    pub const fn new(prior: LinePrior, half_life: Duration) -> Self {
        Self {
            prior,
            half_life,
            weight: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
            updated: None,
        }
    }

    /// Adds an observation. One that is negative or not a number is ignored.
    pub fn add(&mut self, x: f64, y: f64, weight: f64, now: Instant) {
        if !(x.is_finite() && y.is_finite()) || x < 0.0 || y < 0.0 {
            return;
        }
        let kept = self.kept(now);
        self.weight = self.weight * kept + weight;
        self.x = self.x * kept + weight * x;
        self.y = self.y * kept + weight * y;
        self.xx = self.xx * kept + weight * x * x;
        self.xy = self.xy * kept + weight * x * y;
        self.updated = Some(now);
    }

    /// Number of observations that still count at `now`.
    pub fn weight(&self, now: Instant) -> f64 {
        self.weight * self.kept(now)
    }

    /// The line at `now`.
    pub fn line(&self, now: Instant) -> Line {
        let kept = self.kept(now);
        let LinePrior {
            base,
            slope,
            usual,
            weight,
        } = self.prior;
        let at_usual = base + slope * usual;
        let count = self.weight * kept + 2.0 * weight;
        let x = self.x * kept + weight * usual;
        let y = self.y * kept + weight * (base + at_usual);
        let xx = self.xx * kept + weight * usual * usual;
        let xy = self.xy * kept + weight * usual * at_usual;
        let limits = (slope / SLOPE_RANGE, slope * SLOPE_RANGE);
        let fitted = (count * xy - x * y) / (count * xx - x * x);
        let fitted = fitted.clamp(limits.0, limits.1);
        let fitted_base = (y - fitted * x) / count;
        if fitted_base >= 0.0 {
            return Line {
                base: fitted_base,
                slope: fitted,
            };
        }
        Line {
            base: 0.0,
            slope: (xy / xx).clamp(limits.0, limits.1),
        }
    }

    fn kept(&self, now: Instant) -> f64 {
        self.updated.map_or(0.0, |updated| {
            remaining(now.saturating_duration_since(updated), self.half_life)
        })
    }
}

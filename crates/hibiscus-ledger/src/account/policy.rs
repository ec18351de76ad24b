//! How much a holder draws and keeps of one budget, and how fast it may
//! spend between two reports.
//!
//! Far from its limit a budget can lose what a crash takes along, so holders
//! draw for a long cut and their lines are wide. Near the limit it cannot:
//! holders draw what waits, and the lines close until each request is
//! reported before it is sent.

use std::time::Duration;

use hibiscus_types::TokenCount;

/// Time that a holder provides for at its present demand: instances are cut
/// off from the store for up to 10 s at a time, and demand nearly doubles
/// meanwhile. 12 s served worse, 24 s no better (docs/MEASUREMENTS.md).
const HORIZON: Duration = Duration::from_secs(18);
/// Time that a holder provides for once its planned stop has begun, or others
/// hold in its place.
const LEAVING_HORIZON: Duration = Duration::from_secs(2);
/// Typical requests that a holder keeps at least while a budget is ample.
const REQUESTS_KEPT: u64 = 1;
/// A holder without a known demand draws the total divided by this and by the
/// number of holders.
const FIRST_DIVISOR: u64 = 10;
/// Part of what is left of a budget that all holders together keep while it
/// is ample; the rest is there for swings of the demand and after a crash.
const HELD_PART: f64 = 0.5;
/// Part of a total below which less than [`HELD_PART`] of what is left is
/// kept: a power cut of all machines takes the holdings along, and then what
/// is left must last.
const LOW_PART: f64 = 0.4;
/// Part of its target below which a holder draws.
const REFILL_PART: f64 = 0.7;
/// Part of a total below which what is free counts as scarce.
const SCARCE_PART: f64 = 0.25;
/// Demand that a line allows, as a multiple of the present one.
const PACE_FACTOR: f64 = 2.0;
/// Part of a first draw that a line allows at once, so that a quiet team's
/// first requests pass while the store is away. A half served worse, since a
/// crash takes it along (docs/MEASUREMENTS.md).
const BURST_PART: f64 = 0.15;
/// Time within which a line lets a holder spend all that it drew first, while
/// no demand is known.
const FIRST_PACE: Duration = Duration::from_secs(10);

/// What the policy decides on.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrawView {
    /// Tokens a second that this holder spends.
    pub demand_per_second: f64,
    /// Largest reservation of late.
    pub typical: TokenCount,
    /// Tokens that waiting requests need.
    pub wanted: TokenCount,
    /// Tokens available to this holder.
    pub available: TokenCount,
    /// Tokens that the fold may still grant.
    pub free: TokenCount,
    /// The total.
    pub prepaid: TokenCount,
    /// Tokens that all holders have drawn and not reported as spent.
    pub held: TokenCount,
    /// Tokens a second that the other holders spend, by their reports.
    pub others_per_second: f64,
    /// Live instances.
    pub holders: u32,
    /// Whether this holder has begun a planned stop.
    pub stopping: bool,
    /// Whether others draw in its place: it draws only for requests that wait.
    pub relieved: bool,
}

/// What a holder should do now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrawDecision {
    /// Tokens to ask for; zero asks for nothing.
    pub draw: TokenCount,
    /// Tokens to give back.
    pub give_back: TokenCount,
    /// Tokens that the next line allows at once.
    pub burst: TokenCount,
    /// Tokens that the next line allows in each second.
    pub per_second: u64,
}

/// Decides for one budget.
pub fn decide(view: &DrawView) -> DrawDecision {
    let decision = decide_serving(view);
    if !view.stopping && !view.relieved {
        return decision;
    }
    // The store may be out of reach when a stop ends, and a relieved holder's
    // tokens are missing elsewhere: what the last requests will not need goes
    // back at once.
    let needed = view.demand_per_second * LEAVING_HORIZON.as_secs_f64();
    let kept = tokens(needed) + view.wanted;
    DrawDecision {
        draw: view.wanted.saturating_sub(view.available).min(view.free),
        give_back: view.available.saturating_sub(kept),
        ..decision
    }
}

/// Decides for a holder that serves on.
fn decide_serving(view: &DrawView) -> DrawDecision {
    let ample = ampleness(view);
    let holders = f64::from(view.holders.max(1));
    let first = view.prepaid.get() as f64 / FIRST_DIVISOR as f64 / holders;
    let typical = view.typical.get() as f64;
    let known = view.demand_per_second > 0.0;
    let demand = view.demand_per_second * HORIZON.as_secs_f64();
    let floor = (typical * REQUESTS_KEPT as f64).min(first);
    let target = if known { demand.max(floor) } else { first } * ample;
    let available = view.available.get() as f64;
    let target = target.min(fair_part(view, first));
    let missing = if available < target * REFILL_PART {
        target - available
    } else {
        0.0
    };
    let wanted = view.wanted.saturating_sub(view.available);
    let draw = tokens(missing).max(wanted).min(view.free);
    let idle = available - view.wanted.get() as f64 - target.max(typical * ample) * 1.5;
    let scarce = ample < 1.0 && wanted.is_zero();
    let give_back = if scarce {
        tokens(idle)
    } else {
        TokenCount::ZERO
    };
    let pace = if known {
        view.demand_per_second * PACE_FACTOR
    } else {
        first / FIRST_PACE.as_secs_f64()
    };
    DrawDecision {
        draw,
        give_back,
        burst: tokens(typical.max(first * BURST_PART) * ample),
        per_second: tokens(pace * ample).get(),
    }
}

/// The part of what is left that this holder may keep: its part of the
/// demand, of the part that may be out at once.
fn fair_part(view: &DrawView, first: f64) -> f64 {
    let left = (view.free + view.held).get() as f64;
    let low = view.prepaid.get() as f64 * LOW_PART;
    let lowness = if low > 0.0 {
        (left / low).min(1.0)
    } else {
        0.0
    };
    let kept = left * HELD_PART * lowness.powf(1.5);
    let demand = view.demand_per_second + view.others_per_second;
    if view.demand_per_second <= 0.0 {
        return first.min(kept / f64::from(view.holders.max(1)));
    }
    kept * view.demand_per_second / demand
}

/// 1 while a budget is far from its limit, down to 0 at it.
fn ampleness(view: &DrawView) -> f64 {
    let scarce = view.prepaid.get() as f64 * SCARCE_PART;
    if scarce <= 0.0 {
        return 0.0;
    }
    (view.free.get() as f64 / scarce).clamp(0.0, 1.0)
}

/// A number of tokens, at least none.
fn tokens(amount: f64) -> TokenCount {
    TokenCount::new(amount.max(0.0) as u64)
}

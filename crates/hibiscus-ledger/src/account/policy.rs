//! How much a holder draws and keeps of one budget.

use std::time::Duration;

use hibiscus_types::TokenCount;

/// Time that a holder provides for at its present demand: an instance is cut
/// off from the store for 10 s at a time, at up to twice the demand.
const HORIZON: Duration = Duration::from_secs(20);
/// Time that a holder keeps for when a budget is nearly drained.
const SHORT_HORIZON: Duration = Duration::from_secs(2);
/// Typical requests that a holder keeps at least.
const REQUESTS_KEPT: u64 = 4;
/// A holder without a known demand draws the total divided by this and by the
/// number of holders, so that an eighth of a budget is out before any request.
const FIRST_DIVISOR: u64 = 8;
/// A budget counts as nearly drained when what is free is below the total
/// divided by this.
const DRAINED_DIVISOR: u64 = 10;

/// What the policy decides on.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrawView {
    /// Tokens a second that this holder spends.
    pub demand_per_second: f64,
    /// Largest reservation of late.
    pub typical: TokenCount,
    /// Tokens that waiting requests need beyond what is available.
    pub wanted: TokenCount,
    /// Tokens available to this holder.
    pub available: TokenCount,
    /// Tokens that the fold may still grant.
    pub free: TokenCount,
    /// The total.
    pub prepaid: TokenCount,
    /// Live instances.
    pub holders: u32,
}

/// What a holder should do now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrawDecision {
    /// Tokens to ask for; zero asks for nothing.
    pub draw: TokenCount,
    /// Tokens to give back.
    pub give_back: TokenCount,
}

/// Draws for a horizon of demand while a budget is ample and for what waits
/// when it is nearly drained, and gives back what then lies idle.
pub fn decide(view: &DrawView) -> DrawDecision {
    let holders = u64::from(view.holders.max(1));
    let drained = view.free.get() < view.prepaid.get() / DRAINED_DIVISOR;
    let horizon = if drained { SHORT_HORIZON } else { HORIZON };
    let demand = (view.demand_per_second * horizon.as_secs_f64()).max(0.0) as u64;
    let floor = view.typical.get().saturating_mul(REQUESTS_KEPT);
    let first = view.prepaid.get() / FIRST_DIVISOR / holders;
    let target = if drained {
        demand.max(view.typical.get())
    } else {
        demand.max(floor).max(first)
    };
    let available = view.available.get();
    if drained && view.wanted.is_zero() && available > target.saturating_mul(2) {
        return DrawDecision {
            draw: TokenCount::ZERO,
            give_back: TokenCount::new(available - target),
        };
    }
    let missing = if available < target / 2 {
        target - available
    } else {
        0
    };
    // The others ask too: nobody takes more than half of an equal share
    // beyond what its waiting requests need.
    let share = view.free.get() / holders / 2;
    let draw = missing.min(share).max(view.wanted.get());
    DrawDecision {
        draw: TokenCount::new(draw.min(view.free.get())),
        give_back: TokenCount::ZERO,
    }
}

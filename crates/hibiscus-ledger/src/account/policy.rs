//! How many tokens of a budget a holder draws and keeps, and what its spending
//! limit allows between two reports.
//!
//! What the limit allows beyond the reported spending is lost when the process
//! crashes and the time of the crash is unknown. A holder that reaches the
//! store therefore gets a small limit: a request beyond it waits for one append
//! of a new limit that includes the request. Only a holder that has not reached
//! the store for a while may continue to spend, at the rate of its previous
//! demand. Near the end of a budget the limit shrinks to zero: only what
//! waiting requests need is drawn, and each request is reported before it is
//! sent.

use std::time::Duration;

use hibiscus_types::TokenCount;

/// Time for which a holder draws tokens ahead at its present demand. Instances
/// are cut off from the store for up to 10 s at a time, and demand nearly
/// doubles meanwhile. Held tokens beyond the spending limit are not lost in a
/// crash.
const DEMAND_HORIZON: Duration = Duration::from_secs(20);
/// Time for which a holder keeps tokens during a graceful shutdown, or after
/// other instances became the holders.
const RELEASE_HORIZON: Duration = Duration::from_secs(2);
/// Fraction of the free tokens that all holders of a budget together may spend
/// without a report, however low the demand is. This much may be lost in a
/// power cut of all machines, and this much is available to the first requests
/// of an idle team while the store is unreachable.
const BASELINE_RATIO: f64 = 0.006;
/// Tokens that a holder draws at low demand, as a multiple of its part of the
/// baseline. A large request needs all of them, and those beyond the spending
/// limit are not lost in a crash.
const BASELINE_HELD_FACTOR: f64 = 17.0;
/// Time in which the limit allows the baseline once more while no demand is
/// known.
const BASELINE_REFILL_TIME: Duration = Duration::from_secs(10);
/// Fraction of the remaining tokens of an ample budget that all holders
/// together keep. The rest is left for changes in demand and for use after a
/// crash.
const HELD_RATIO: f64 = 0.5;
/// Fraction of a budget's total below which the holders keep less than
/// [`HELD_RATIO`] of the remaining tokens: held tokens are unavailable to other
/// holders.
const LOW_BUDGET_RATIO: f64 = 0.4;
/// Fraction of its target below which a holder draws.
const REFILL_RATIO: f64 = 0.7;
/// Fraction of a budget's total below which unspent tokens are scarce.
const SCARCE_RATIO: f64 = 0.25;
/// Fractions of a budget's total: below the first, few unspent tokens remain;
/// above the second, plenty remain. A total is about 1.3 times what is used in
/// a day, so 0.45 remain after two thirds of it.
const PLENTY_RATIOS: [f64; 2] = [0.33, 0.45];
/// Time for which the limit allows the present demand at once, so that not
/// every request waits for an append: with few tokens left, and with plenty.
const BURST_TIMES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(700)];
/// Growth of the limit as a multiple of the present demand: with few tokens
/// left, and with plenty. What one holder lacks for a request, others transfer,
/// so the limits of all holders together need little more than the demand. A
/// kill of all instances after an outage of the store loses what the limits
/// allowed beyond it.
const RATE_FACTORS: [f64; 2] = [1.1, 1.4];
/// Time for which the limit allows the present demand in addition, as a
/// multiple of the store's delay, which delays each new limit.
const BURST_DELAY_FACTOR: f64 = 2.0;
/// Longest time for which the limit allows the present demand at once.
const BURST_TIME_LIMIT: Duration = Duration::from_secs(2);
/// Time from the creation of a limit until it grows: with few tokens left, and
/// with plenty. While the store is reachable, new limits replace it sooner.
/// Machines that lose power together are back about 2 s later, and what the
/// limits allow until then is lost. A holder that is cut off from the store
/// refuses requests until the limit grows.
const GROWTH_DELAYS: [Duration; 2] = [Duration::from_millis(2_000), Duration::from_millis(1_000)];
/// Time between two reports: with few tokens left, and with plenty. When a
/// holder crashes, its limit is as old as its last report.
const REPORT_INTERVALS: [Duration; 2] = [Duration::from_millis(350), Duration::from_millis(500)];

/// Inputs of the decision for one budget.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrawInputs {
    /// Demand of this holder, in tokens per second.
    pub demand_per_second: f64,
    /// Tokens that waiting requests need.
    pub wanted: TokenCount,
    /// Tokens available to this holder.
    pub available: TokenCount,
    /// Tokens that may still be granted.
    pub free: TokenCount,
    /// The budget's total.
    pub prepaid: TokenCount,
    /// Tokens that all holders have drawn and not reported as spent.
    pub unreported: TokenCount,
    /// Demand of the other holders by their reports, in tokens per second.
    pub others_per_second: f64,
    /// Number of instances that hold the budget.
    pub holders: u32,
    /// Time that the store takes for an append.
    pub store_delay: Duration,
    /// Whether this holder has begun a graceful shutdown.
    pub shutting_down: bool,
    /// When this instance draws tokens of the budget.
    pub mode: DrawMode,
}

/// When an instance draws tokens of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DrawMode {
    /// Draws ahead for the expected demand.
    #[default]
    Prefetch,
    /// Draws only for waiting requests and keeps the tokens that it has: the
    /// instance does not know the other instances, or cannot reach most of
    /// them.
    OnDemand,
    /// Draws only for waiting requests and returns the rest, because other
    /// instances hold the budget.
    Release,
}

/// What a holder does next for one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrawDecision {
    /// Tokens to draw; zero for no draw.
    pub draw: TokenCount,
    /// Tokens to return.
    pub tokens_to_return: TokenCount,
    /// Tokens that the next limit allows at once.
    pub burst: TokenCount,
    /// Growth of the next limit, in tokens per second.
    pub per_second: u64,
    /// Time until the next limit grows.
    pub grows_after: Duration,
    /// Time until the spending is reported again.
    pub report_interval: Duration,
}

/// Decides what a holder does next for one budget.
pub fn decide(inputs: &DrawInputs) -> DrawDecision {
    let decision = decide_serving(inputs);
    let waiting_draw = inputs
        .wanted
        .saturating_sub(inputs.available)
        .min(inputs.free);
    match inputs.mode {
        DrawMode::Prefetch if !inputs.shutting_down => return decision,
        DrawMode::OnDemand if !inputs.shutting_down => {
            return DrawDecision {
                draw: waiting_draw,
                tokens_to_return: TokenCount::ZERO,
                ..decision
            };
        }
        _leaving => {}
    }
    // The store may be unreachable at the end of a shutdown, and tokens of a
    // former holder are missing elsewhere. Tokens that the last requests do not
    // need are therefore returned at once.
    let needed = inputs.demand_per_second * RELEASE_HORIZON.as_secs_f64();
    let kept = tokens(needed) + inputs.wanted;
    DrawDecision {
        draw: waiting_draw,
        tokens_to_return: inputs.available.saturating_sub(kept),
        ..decision
    }
}

/// Decides for a holder that continues to serve.
fn decide_serving(inputs: &DrawInputs) -> DrawDecision {
    let availability = availability_factor(inputs);
    let holders = f64::from(inputs.holders.max(1));
    let baseline = inputs.free.get() as f64 * BASELINE_RATIO / holders * availability;
    let demand = inputs.demand_per_second * DEMAND_HORIZON.as_secs_f64() * availability;
    let available = inputs.available.get() as f64;
    let target = demand
        .max(baseline * BASELINE_HELD_FACTOR)
        .min(fair_share(inputs, baseline));
    let missing = if available < target * REFILL_RATIO {
        target - available
    } else {
        0.0
    };
    let wanted = inputs.wanted.saturating_sub(inputs.available);
    let draw = tokens(missing).max(wanted).min(inputs.free);
    let surplus = available - inputs.wanted.get() as f64 - target / REFILL_RATIO;
    let scarce = availability < 1.0 && wanted.is_zero();
    let tokens_to_return = if scarce {
        tokens(surplus)
    } else {
        TokenCount::ZERO
    };
    let delays = inputs.store_delay.as_secs_f64() * BURST_DELAY_FACTOR;
    let plenty = plenty(inputs);
    let burst_time = interpolate(BURST_TIMES, plenty).as_secs_f64() + delays;
    let burst_time = burst_time.min(BURST_TIME_LIMIT.as_secs_f64());
    let burst = inputs.demand_per_second * burst_time * availability;
    let [least, most] = RATE_FACTORS;
    let rate = inputs.demand_per_second * (least + (most - least) * plenty) * availability;
    DrawDecision {
        draw,
        tokens_to_return,
        burst: tokens(burst.max(baseline)),
        per_second: tokens(rate.max(baseline / BASELINE_REFILL_TIME.as_secs_f64())).get(),
        grows_after: interpolate(GROWTH_DELAYS, plenty),
        report_interval: interpolate(REPORT_INTERVALS, plenty),
    }
}

/// 0 if few tokens of the budget remain, rising to 1 if plenty remain.
fn plenty(inputs: &DrawInputs) -> f64 {
    if inputs.prepaid.is_zero() {
        return 0.0;
    }
    let remaining = inputs.free + inputs.unreported;
    let ratio = remaining.get() as f64 / inputs.prepaid.get() as f64;
    let [little, plenty] = PLENTY_RATIOS;
    ((ratio - little) / (plenty - little)).clamp(0.0, 1.0)
}

/// Interpolates linearly between two durations.
fn interpolate([from, to]: [Duration; 2], ratio: f64) -> Duration {
    from.mul_f64(1.0 - ratio) + to.mul_f64(ratio)
}

/// Share of the remaining tokens that this holder may keep: its part of the
/// total demand, applied to the tokens that all holders together may keep.
/// Without demand, its part of the baseline.
fn fair_share(inputs: &DrawInputs, baseline: f64) -> f64 {
    let remaining = (inputs.free + inputs.unreported).get() as f64;
    let low = inputs.prepaid.get() as f64 * LOW_BUDGET_RATIO;
    let scale = if low > 0.0 {
        (remaining / low).min(1.0)
    } else {
        0.0
    };
    let kept = remaining * HELD_RATIO * scale.powf(1.5);
    let demand = inputs.demand_per_second + inputs.others_per_second;
    if inputs.demand_per_second <= 0.0 {
        return (baseline * BASELINE_HELD_FACTOR).min(kept / f64::from(inputs.holders.max(1)));
    }
    kept * inputs.demand_per_second / demand
}

/// 1 if enough of the budget is unspent, falling to 0 when none is. Tokens that
/// holders have drawn count too: they transfer them to each other.
fn availability_factor(inputs: &DrawInputs) -> f64 {
    let scarce = inputs.prepaid.get() as f64 * SCARCE_RATIO;
    if scarce <= 0.0 {
        return 0.0;
    }
    let remaining = inputs.free + inputs.unreported;
    (remaining.get() as f64 / scarce).clamp(0.0, 1.0)
}

/// Rounds down to whole tokens; a negative amount becomes zero.
fn tokens(amount: f64) -> TokenCount {
    TokenCount::new(amount.max(0.0) as u64)
}

//! How much a holder draws and keeps of one budget, and what its line allows
//! between two reports.
//!
//! What a line allows beyond what was reported is lost when the process ends
//! and the time of its end is not known. So a holder that reaches the store
//! has little in hand: a request beyond it waits for one append, in which a new
//! line provides for it. Only a holder that has not reached the store for a
//! while may spend on, as fast as its requests came before. Near the limit of
//! a budget all of this shrinks to nothing: what waits is drawn, and each
//! request is reported before it is sent.

use std::time::Duration;

use hibiscus_types::TokenCount;

/// Time that a holder provides for at its present demand: instances are cut
/// off from the store for up to 10 s at a time, and demand nearly doubles
/// meanwhile. What a line does not allow is not lost with the holder.
const HORIZON: Duration = Duration::from_secs(20);
/// Time that a holder provides for once its planned stop has begun, or others
/// hold in its place.
const LEAVING_HORIZON: Duration = Duration::from_secs(2);
/// Part of what is free that all holders of a budget may spend without a word
/// to the store, however little is asked for: what a power cut of all machines
/// may take along, and what a quiet team's first requests have when the store
/// is away.
const READY_PART: f64 = 0.006;
/// What is in hand then, as a multiple: a large request needs all of it, and
/// what a line does not allow is not lost.
const READY_HELD: f64 = 17.0;
/// Time in which a line without a known demand allows that part once more.
const READY_PACE: Duration = Duration::from_secs(10);
/// Part of what is left of a budget that all holders together keep while it
/// is ample; the rest is there for swings of the demand and after a crash.
const HELD_PART: f64 = 0.5;
/// Part of a total below which less than [`HELD_PART`] of what is left is
/// kept: what is held is not there for the others.
const LOW_PART: f64 = 0.4;
/// Part of its target below which a holder draws.
const REFILL_PART: f64 = 0.7;
/// Part of a total below which what is free counts as scarce.
const SCARCE_PART: f64 = 0.25;
/// Parts of a total below which what is not spent is little, and above which it
/// is plenty.
const PLENTY_PARTS: [f64; 2] = [0.35, 0.7];
/// Time of the present demand that a line allows at once, so that not each
/// request waits for an append: with little left, and with plenty.
const BURST_TIMES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(1_000)];
/// Demand that a line allows once it grows, as a multiple of the present one, in
/// the same order: demand rises meanwhile, and is measured late.
const PACE_FACTORS: [f64; 2] = [1.1, 2.0];
/// The same for each delay of the store, which a new line takes.
const BURST_DELAYS: f64 = 2.0;
/// Longest time of the demand that a line allows at once.
const BURST_LIMIT: Duration = Duration::from_secs(2);
/// Time from a line's making until it grows, in the same order. New lines come
/// more often while the store answers. Machines that lost their power together
/// are back some 2 s later, and what lines allow until then is lost; a holder
/// that is cut off refuses its requests until then.
const GROWTH_DELAYS: [Duration; 2] = [Duration::from_millis(3_000), Duration::from_millis(300)];
/// Time between two reports of what was spent, in the same order: a line is as
/// old as the last one when its holder ends.
const REPORT_INTERVALS: [Duration; 2] = [Duration::from_millis(350), Duration::from_millis(700)];

/// What the policy decides on.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrawInputs {
    /// Tokens a second that this holder spends.
    pub demand_per_second: f64,
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
    /// Instances that hold the budget.
    pub holders: u32,
    /// Time that the store takes for an append.
    pub store_delay: Duration,
    /// Whether this holder has begun a planned stop.
    pub stopping: bool,
    /// What it does for the budget.
    pub mode: DrawMode,
}

/// What an instance does for a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DrawMode {
    /// It draws for the demand to come.
    #[default]
    Prefetch,
    /// It draws for requests that wait and keeps what it has: it does not know
    /// the other instances, or does not reach most of them.
    OnDemand,
    /// Others hold in its place: it draws for requests that wait, and gives the
    /// rest back.
    Release,
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
    /// Tokens that the next line allows in each second, once it grows.
    pub per_second: u64,
    /// Time until it does.
    pub grows_after: Duration,
    /// Time after which what was spent is reported again.
    pub report_interval: Duration,
}

/// Decides for one budget.
pub fn decide(view: &DrawInputs) -> DrawDecision {
    let decision = decide_serving(view);
    let waiting = view.wanted.saturating_sub(view.available).min(view.free);
    match view.mode {
        DrawMode::Prefetch if !view.stopping => return decision,
        DrawMode::OnDemand if !view.stopping => {
            return DrawDecision {
                draw: waiting,
                give_back: TokenCount::ZERO,
                ..decision
            };
        }
        _leaving => {}
    }
    // The store may be out of reach when a stop ends, and a relieved holder's
    // tokens are missing elsewhere: what the last requests will not need goes
    // back at once.
    let needed = view.demand_per_second * LEAVING_HORIZON.as_secs_f64();
    let kept = tokens(needed) + view.wanted;
    DrawDecision {
        draw: waiting,
        give_back: view.available.saturating_sub(kept),
        ..decision
    }
}

/// Decides for a holder that serves on.
fn decide_serving(view: &DrawInputs) -> DrawDecision {
    let ample = ampleness(view);
    let holders = f64::from(view.holders.max(1));
    let ready = view.free.get() as f64 * READY_PART / holders * ample;
    let demand = view.demand_per_second * HORIZON.as_secs_f64() * ample;
    let available = view.available.get() as f64;
    let target = demand.max(ready * READY_HELD).min(fair_part(view, ready));
    let missing = if available < target * REFILL_PART {
        target - available
    } else {
        0.0
    };
    let wanted = view.wanted.saturating_sub(view.available);
    let draw = tokens(missing).max(wanted).min(view.free);
    let surplus = available - view.wanted.get() as f64 - target / REFILL_PART;
    let scarce = ample < 1.0 && wanted.is_zero();
    let give_back = if scarce {
        tokens(surplus)
    } else {
        TokenCount::ZERO
    };
    let delays = view.store_delay.as_secs_f64() * BURST_DELAYS;
    let plenty = plenty(view);
    let burst_time = between(BURST_TIMES, plenty).as_secs_f64() + delays;
    let burst_time = burst_time.min(BURST_LIMIT.as_secs_f64());
    let burst = view.demand_per_second * burst_time * ample;
    let [least, most] = PACE_FACTORS;
    let limit = view.demand_per_second * (least + (most - least) * plenty) * ample;
    DrawDecision {
        draw,
        give_back,
        burst: tokens(burst.max(ready)),
        per_second: tokens(limit.max(ready / READY_PACE.as_secs_f64())).get(),
        grows_after: between(GROWTH_DELAYS, plenty),
        report_interval: between(REPORT_INTERVALS, plenty),
    }
}

/// 0 while little of a budget is left, up to 1 with plenty.
fn plenty(view: &DrawInputs) -> f64 {
    if view.prepaid.is_zero() {
        return 0.0;
    }
    let left = view.free + view.held;
    let part = left.get() as f64 / view.prepaid.get() as f64;
    let [little, plenty] = PLENTY_PARTS;
    ((part - little) / (plenty - little)).clamp(0.0, 1.0)
}

/// The time that lies at `part` of the way between two.
fn between([from, to]: [Duration; 2], part: f64) -> Duration {
    from.mul_f64(1.0 - part) + to.mul_f64(part)
}

/// The part of what is left that this holder may keep: its part of the
/// demand, of the part that may be out at once. Without a demand it is what
/// is kept ready.
fn fair_part(view: &DrawInputs, ready: f64) -> f64 {
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
        return (ready * READY_HELD).min(kept / f64::from(view.holders.max(1)));
    }
    kept * view.demand_per_second / demand
}

/// 1 while a budget is far from its limit, down to 0 at it.
fn ampleness(view: &DrawInputs) -> f64 {
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

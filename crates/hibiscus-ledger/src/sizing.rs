//! How much allowance a holder asks for, keeps, and gathers from its peers.

use std::time::Duration;

use hibiscus_types::TokenCount;
use serde::Deserialize;
use serde::Serialize;

/// Time over which the demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(30);
/// Time that a demand-proportional holder provides for.
const SHORT_HORIZON: Duration = Duration::from_secs(60);
/// Time that a holder provides for while the log answers.
const LOG_HORIZON: Duration = Duration::from_secs(900);
/// Time that a holder provides for while the log is slow or failing.
const OUTAGE_HORIZON: Duration = Duration::from_secs(1_800);
/// Silence of the log after which it counts as failing.
const SLOW_LOG: Duration = Duration::from_millis(700);
/// Typical requests that a holder keeps at least.
const REQUESTS_KEPT: u64 = 4;
/// Typical requests a holder below which a budget counts as nearly drained.
const LAST_REQUESTS: u64 = 8;

/// What a policy decides on.
#[derive(Clone, Debug, Default)]
pub struct SizingView {
    /// Tokens a second that this holder spends of the budget.
    pub demand_per_second: f64,
    /// Largest reservation of late.
    pub typical: TokenCount,
    /// Tokens that the waiting requests need now.
    pub wanted: TokenCount,
    /// Tokens that this holder has and has not reserved.
    pub held: TokenCount,
    /// Sum of the grants that this holder obtained so far.
    pub obtained: TokenCount,
    /// What the ledger last said; `None` before it first answered.
    pub ledger: Option<LedgerHeadroom>,
    /// Live instances that may hold a part.
    pub holders: u32,
    /// Time since the log last answered a question that is still open.
    pub log_silence: Duration,
}

/// A budget as the ledger last described it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerHeadroom {
    /// Sum of the credits.
    pub credited: TokenCount,
    /// Credits minus charges.
    pub remaining: TokenCount,
    /// Credits minus charges and open grants.
    pub free: TokenCount,
}

/// What a holder should do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SizingDecision {
    /// Tokens to ask the ledger for; zero asks for nothing.
    pub ask: TokenCount,
    /// Unreserved tokens to keep; what is beyond goes back to the ledger.
    pub keep: TokenCount,
    /// Whether to ask the peers for what they can spare.
    pub gather: bool,
}

impl SizingDecision {
    /// Changes nothing.
    pub const NOTHING: Self = Self {
        ask: TokenCount::ZERO,
        keep: TokenCount::new(u64::MAX),
        gather: false,
    };
}

/// Decides how much a holder asks for and keeps.
pub trait SizingPolicy {
    /// What to do now.
    fn decide(&self, view: &SizingView) -> SizingDecision;
}

/// Gives each holder a fixed equal share of the credits.
#[derive(Clone, Copy, Debug, Default)]
pub struct EqualShares;

impl SizingPolicy for EqualShares {
    fn decide(&self, view: &SizingView) -> SizingDecision {
        let Some(ledger) = view.ledger else {
            return SizingDecision {
                ask: view.wanted,
                ..SizingDecision::NOTHING
            };
        };
        let share = ledger.credited.get() / u64::from(view.holders.max(1));
        let share = TokenCount::new(share).saturating_sub(view.obtained);
        let ask = if view.held < view.wanted {
            share.min(ledger.free)
        } else {
            TokenCount::ZERO
        };
        SizingDecision {
            ask,
            ..SizingDecision::NOTHING
        }
    }
}

/// Holds a minute of the demand and gives the rest back.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandShares;

impl SizingPolicy for DemandShares {
    fn decide(&self, view: &SizingView) -> SizingDecision {
        let target = demand_over(view, SHORT_HORIZON) + view.typical;
        let ask = missing(view, target);
        let free = view.ledger.map_or(ask, |ledger| ledger.free);
        SizingDecision {
            ask: ask.min(free),
            keep: (target + target).max(view.wanted),
            gather: false,
        }
    }
}

/// Holds enough to outlast an outage while the budget is ample, less as it
/// drains, and leaves the last tokens in the ledger, where every holder can
/// reach them; what the ledger cannot give is gathered from the peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct HorizonShares;

impl SizingPolicy for HorizonShares {
    fn decide(&self, view: &SizingView) -> SizingDecision {
        let failing = view.log_silence >= SLOW_LOG;
        let Some(ledger) = view.ledger else {
            return SizingDecision {
                ask: view.wanted,
                gather: failing && view.held < view.wanted,
                ..SizingDecision::NOTHING
            };
        };
        // What is known of the ledger may be old: a request that waits is
        // always asked for, and the verdict tells the news.
        let needed = view.wanted.saturating_sub(view.held);
        let gather = !needed.is_zero() && (failing || ledger.free < needed);
        if is_nearly_drained(view, &ledger) {
            return SizingDecision {
                ask: needed,
                keep: if failing {
                    SizingDecision::NOTHING.keep
                } else {
                    view.wanted
                },
                gather,
            };
        }
        let horizon = if failing { OUTAGE_HORIZON } else { LOG_HORIZON };
        let floor = TokenCount::new(view.typical.get().saturating_mul(REQUESTS_KEPT));
        let target = (demand_over(view, horizon) + floor).min(ledger.remaining);
        // The half leaves something for the holders that ask next.
        let half = TokenCount::new(ledger.free.get() / 2);
        let ask = missing(view, target).min(half.max(view.wanted));
        SizingDecision {
            ask: ask.min(ledger.free).max(needed),
            keep: if failing {
                SizingDecision::NOTHING.keep
            } else {
                (target + floor).max(view.wanted)
            },
            gather,
        }
    }
}

/// Whether what remains covers only a few requests a holder.
fn is_nearly_drained(view: &SizingView, ledger: &LedgerHeadroom) -> bool {
    let requests = LAST_REQUESTS.saturating_mul(u64::from(view.holders.max(1)));
    let last = view.typical.get().saturating_mul(requests);
    ledger.remaining.get() < last
}

/// Tokens that the demand uses within `horizon`.
fn demand_over(view: &SizingView, horizon: Duration) -> TokenCount {
    let tokens = view.demand_per_second * horizon.as_secs_f64();
    TokenCount::new(tokens.max(0.0) as u64)
}

/// What is missing to `target`, once half of it is used or a request waits.
fn missing(view: &SizingView, target: TokenCount) -> TokenCount {
    let target = target.max(view.wanted);
    let half = TokenCount::new(target.get() / 2);
    if view.held >= view.wanted && view.held >= half {
        return TokenCount::ZERO;
    }
    target.saturating_sub(view.held)
}

/// Exponentially weighted demand of one budget at one holder.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    rate: f64,
    typical: f64,
    updated: Duration,
}

impl DemandMeter {
    /// Counts a reservation of `reserved` at the time `now`.
    pub fn reserve(&mut self, reserved: TokenCount, now: Duration) {
        self.decay(now);
        self.typical = self.typical.max(reserved.get() as f64);
    }

    /// Counts `charge` tokens spent at the time `now`.
    pub fn spend(&mut self, charge: TokenCount, now: Duration) {
        self.decay(now);
        self.rate += charge.get() as f64 / DEMAND_WINDOW.as_secs_f64();
    }

    /// Tokens a second at the time `now`.
    pub fn rate(&mut self, now: Duration) -> f64 {
        self.decay(now);
        self.rate
    }

    /// Largest reservation of late.
    pub fn typical(&self) -> TokenCount {
        TokenCount::new(self.typical as u64)
    }

    fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let factor = (-passed / DEMAND_WINDOW.as_secs_f64()).exp();
        self.rate *= factor;
        // Sizes change more slowly than rates.
        self.typical *= factor.powf(0.1);
    }
}

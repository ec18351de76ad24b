//! How much allowance a holder asks for.

use std::time::Duration;

use hibiscus_types::TokenCount;

/// What a policy decides on.
#[derive(Clone, Debug)]
pub struct SizingView {
    /// Tokens a second that this holder spends of the budget.
    pub demand_per_second: f64,
    /// Tokens that the waiting requests need now.
    pub wanted: TokenCount,
    /// Tokens that this holder has and has not reserved.
    pub held: TokenCount,
    /// Tokens that the ledger could grant, as last heard.
    pub free: TokenCount,
    /// Live instances that may hold a part.
    pub holders: u32,
    /// Time since the log last answered.
    pub log_silence: Duration,
}

/// Decides the size of the next grant.
pub trait SizingPolicy {
    /// Tokens to ask for now; zero asks for nothing.
    fn next_grant(&self, view: &SizingView) -> TokenCount;
}

/// Asks for an equal share of what is free.
#[derive(Clone, Copy, Debug, Default)]
pub struct EqualShares;

impl SizingPolicy for EqualShares {
    fn next_grant(&self, view: &SizingView) -> TokenCount {
        if view.held >= view.wanted {
            return TokenCount::ZERO;
        }
        let share = view.free.get() / u64::from(view.holders.max(1));
        TokenCount::new(share.max(view.wanted.get()).min(view.free.get()))
    }
}

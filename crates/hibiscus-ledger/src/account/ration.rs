//! Spreads the last tokens of a budget over time.
//!
//! A budget whose last tokens go to whoever asks first is empty some seconds
//! later, and then serves nobody: after a power cut that took the holdings
//! along, a team would have no answer at all. Below a small part of the total,
//! what is left is given out at a rate that it bears for a while.

use std::time::Duration;

use hibiscus_types::TokenCount;

/// Part of a total below which it is rationed.
const RATIONED_PART: f64 = 0.03;
/// Time over which what is left would be given out at the present rate; the
/// rate falls with it, so it lasts longer. Machines that come back must serve
/// 12 s later.
const SPREAD: Duration = Duration::from_secs(15);
/// Time for which an unused rate adds up.
const SAVED: Duration = Duration::from_secs(4);

/// What is known of a budget.
#[derive(Clone, Copy, Debug, Default)]
pub struct RationView {
    /// Tokens that are free or held by any holder.
    pub left: TokenCount,
    /// The total.
    pub prepaid: TokenCount,
    /// This holder's part of the demand, 0 to 1.
    pub part: f64,
}

/// One holder's ration of one budget.
#[derive(Clone, Copy, Debug, Default)]
pub struct BudgetRation {
    credit: f64,
    seen: Duration,
}

impl BudgetRation {
    /// Whether a request of `tokens` may be served at `now`. A request larger
    /// than what was saved is served once anything was, and the next ones wait
    /// for it, so that large requests have their turn.
    pub fn admit(&mut self, tokens: TokenCount, view: &RationView, now: Duration) -> bool {
        let passed = now.saturating_sub(self.seen);
        self.seen = now;
        let bound = view.prepaid.get() as f64 * RATIONED_PART;
        let left = view.left.get() as f64;
        if left >= bound {
            self.credit = 0.0;
            return true;
        }
        let rate = left * view.part.clamp(0.0, 1.0) / SPREAD.as_secs_f64();
        let most = rate * SAVED.as_secs_f64();
        self.credit = (self.credit + rate * passed.as_secs_f64()).min(most);
        if self.credit <= 0.0 {
            return false;
        }
        self.credit -= tokens.get() as f64;
        true
    }
}

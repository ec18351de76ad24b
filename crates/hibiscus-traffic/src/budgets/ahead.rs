//! Tokens that an instance requests from a holder beyond those of one request.
//!
//! All requests of a team may reach one instance that does not hold the budget. It then
//! requests tokens for several requests at once, so that not each of them costs a
//! message and waits for a response. Holders count these tokens as spent until they
//! come back, so only a short time of demand is requested ahead.

use std::time::Duration;

use hibiscus_types::BudgetName;
use hibiscus_types::TokenCount;

use crate::budgets::BudgetManager;

/// Time for which tokens are requested ahead at the present demand. Received tokens go
/// back after 0.4 s without use.
const AHEAD_TIME: Duration = Duration::from_millis(300);
/// Shortest time between two requests for tokens ahead: requests that arrive before the
/// response request only what they need.
const AHEAD_INTERVAL: Duration = Duration::from_millis(150);
/// Time without requests ahead after a holder had only a part of the tokens, or none.
const AHEAD_PAUSE: Duration = Duration::from_millis(200);

impl BudgetManager {
    /// The tokens to request from a holder at `now` for a request that lacks `missing`.
    pub fn tokens_to_request(
        &mut self,
        budget: &BudgetName,
        missing: TokenCount,
        now: Duration,
    ) -> TokenCount {
        let Some(held) = self.held.get_mut(budget) else {
            return missing;
        };
        let ahead = held.demand.rate(now) * AHEAD_TIME.as_secs_f64();
        let ahead = TokenCount::new(ahead as u64);
        // Fewer tokens than a request needs would go back unused.
        if ahead < missing || now < held.ahead_at {
            return missing;
        }
        held.ahead_at = now + AHEAD_INTERVAL;
        missing + ahead
    }

    /// Records that a holder had too few tokens of `budget` at `now`.
    pub fn pause_ahead(&mut self, budget: &BudgetName, now: Duration) {
        let held = self.held.entry(budget.clone()).or_default();
        held.ahead_at = now + AHEAD_PAUSE;
    }
}

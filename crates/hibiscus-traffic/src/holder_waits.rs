//! Holders that an instance does not ask again before they can have tokens.
//!
//! While the store is unreachable, a holder that has too few tokens for a request has no
//! more a moment later. Without a wait, each request of a caller sends a message to each
//! holder: 11,081 refused requests for tokens in a data centre in a minute.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hibiscus_types::BudgetName;
use hibiscus_types::TokenCount;

/// Longest time for which a holder is not asked again. A spending limit allows a quarter
/// of a second of the demand more by then, and the store may be back.
const WAIT_LIMIT: Duration = Duration::from_millis(250);
/// Largest number of remembered waits.
const WAITS_LIMIT: usize = 1_024;

/// A holder that had too few tokens.
#[derive(Clone, Copy, Debug)]
struct HolderWait {
    /// The fewest tokens that the holder did not have.
    tokens: TokenCount,
    /// Until when the holder is not asked again.
    until: Duration,
    /// When the holder expects to have the tokens, if it knows.
    expected: Option<Duration>,
}

/// Waits of one instance, by budget and holder.
#[derive(Clone, Debug, Default)]
pub struct HolderWaits {
    waits: BTreeMap<(BudgetName, SocketAddr), HolderWait>,
}

/// The fewest tokens that a holder surely lacks after it passed on `passed` of
/// `missing` tokens. Requests for much fewer may still succeed: its limit grows.
pub fn lacked_tokens(missing: TokenCount, passed: TokenCount) -> TokenCount {
    let lacked = missing.saturating_sub(passed).get() / 4;
    TokenCount::new(lacked.max(1))
}

impl HolderWaits {
    /// Records that `holder` did not have `tokens` of `budget` at `now`, and when it
    /// expects to have them.
    pub fn note(
        &mut self,
        budget: &BudgetName,
        holder: SocketAddr,
        tokens: TokenCount,
        retry_after: Option<Duration>,
        now: Duration,
    ) {
        if self.waits.len() >= WAITS_LIMIT {
            self.waits.retain(|_holder, wait| now < wait.until);
        }
        if self.waits.len() >= WAITS_LIMIT {
            return;
        }
        let until = now + retry_after.map_or(WAIT_LIMIT, |after| after.min(WAIT_LIMIT));
        let wait = HolderWait {
            tokens,
            until,
            expected: retry_after.map(|after| now + after),
        };
        self.waits.insert((budget.clone(), holder), wait);
    }

    /// Removes the holders that cannot have `tokens` of `budget` at `now`. Returns the
    /// shortest time until one of them expects to have them.
    pub fn filter(
        &self,
        budget: &BudgetName,
        holders: &mut Vec<SocketAddr>,
        tokens: TokenCount,
        now: Duration,
    ) -> Option<Duration> {
        let mut shortest: Option<Duration> = None;
        holders.retain(|holder| {
            let wait = self.waits.get(&(budget.clone(), *holder));
            let Some(wait) = wait.filter(|wait| now < wait.until && tokens >= wait.tokens) else {
                return true;
            };
            let expected = wait.expected.map(|at| at.saturating_sub(now));
            shortest = shortest.into_iter().chain(expected).min();
            false
        });
        shortest
    }
}

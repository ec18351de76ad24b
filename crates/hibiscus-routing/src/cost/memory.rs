//! Whether the tokens of a request fit in an engine's memory.
//!
//! An engine crashes if the prompts and maximum outputs of the requests that it holds
//! exceed its memory. An instance knows the tokens of its own requests; those of other
//! instances are estimated from their number and the mean.

use std::time::Duration;

/// Age up to which a load report says what an engine holds now.
const FRESH_REPORT: Duration = Duration::from_millis(150);
/// Part of the memory above which an engine with an estimated load is used only if
/// there is no other.
const USED_SHARE: f64 = 0.9;

/// Whether an engine has room for a request, in the order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryStanding {
    /// The request fits.
    Free,
    /// By an old estimate the request does not fit.
    Uncertain,
    /// The request does not fit.
    Full,
}

/// What an engine holds as far as known.
#[derive(Clone, Copy, Debug)]
pub struct EngineMemory {
    /// Tokens that fit in the engine's memory.
    pub limit: u64,
    /// Tokens of this process's requests in progress.
    pub own_tokens: u64,
    /// Requests of other instances expected to be in progress.
    pub others: f64,
    /// Mean tokens of a request.
    pub mean_tokens: f64,
    /// Age of the load report that `others` rests on.
    pub report_age: Option<Duration>,
}

impl EngineMemory {
    /// Whether a request of `tokens` tokens fits.
    pub fn standing(&self, tokens: u64) -> MemoryStanding {
        if self.own_tokens.saturating_add(tokens) > self.limit {
            return MemoryStanding::Full;
        }
        let others = self.others.max(0.0) * self.mean_tokens;
        let held = self.own_tokens as f64 + tokens as f64 + others;
        let limit = self.limit as f64;
        let is_fresh = self.report_age.is_some_and(|age| age <= FRESH_REPORT);
        if is_fresh && held > limit {
            MemoryStanding::Full
        } else if held > limit * USED_SHARE {
            MemoryStanding::Uncertain
        } else {
            MemoryStanding::Free
        }
    }
}

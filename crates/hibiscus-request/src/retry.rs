//! Budget of retries, so that failing servers do not multiply the load.

/// What each request adds, in thousandths of a retry.
const DEPOSIT: u64 = 100;
/// What a retry takes, in thousandths.
const RETRY: u64 = 1_000;
/// The most that is kept, in thousandths: bounds a burst of retries.
const CAPACITY: u64 = 10_000;
/// What a new budget holds, in thousandths.
const INITIAL: u64 = 3_000;

/// Allows about one retry for every ten requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    held: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { held: INITIAL }
    }
}

impl RetryBudget {
    /// Counts a request.
    pub fn count_request(&mut self) {
        self.held = (self.held + DEPOSIT).min(CAPACITY);
    }

    /// Takes one retry; false when the budget is used up.
    pub fn take_retry(&mut self) -> bool {
        if self.held < RETRY {
            return false;
        }
        self.held -= RETRY;
        true
    }
}

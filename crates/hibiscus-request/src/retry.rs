//! Budget of retries, so that failing servers do not multiply the load.

/// What each request adds, in thousandths of a retry.
const REQUEST_DEPOSIT_MILLI: u64 = 100;
/// What a retry takes, in thousandths.
const RETRY_COST_MILLI: u64 = 1_000;
/// The most that is kept, in thousandths: bounds a burst of retries.
const CAPACITY_MILLI: u64 = 10_000;
/// What a new budget holds, in thousandths.
const INITIAL_BALANCE_MILLI: u64 = 3_000;

/// Allows about one retry for every ten requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: INITIAL_BALANCE_MILLI,
        }
    }
}

impl RetryBudget {
    /// Counts a request.
    pub fn count_request(&mut self) {
        self.balance = (self.balance + REQUEST_DEPOSIT_MILLI).min(CAPACITY_MILLI);
    }

    /// Takes one retry; false when the budget is used up.
    pub fn take_retry(&mut self) -> bool {
        if self.balance < RETRY_COST_MILLI {
            return false;
        }
        self.balance -= RETRY_COST_MILLI;
        true
    }
}

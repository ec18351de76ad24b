//! Limits retries, so that failing servers do not multiply the load.

/// Balance added by each request, in thousandths of a retry.
const REQUEST_DEPOSIT_MILLI: u64 = 100;
/// Balance spent by a retry, in thousandths.
const RETRY_COST_MILLI: u64 = 1_000;
/// Maximum balance, in thousandths; limits a burst of retries.
const CAPACITY_MILLI: u64 = 10_000;
/// Balance of a new budget, in thousandths.
const INITIAL_BALANCE_MILLI: u64 = 3_000;

/// Token bucket that allows about one retry for every ten requests.
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
    /// Adds the balance that a request earns.
    pub fn count_request(&mut self) {
        self.balance = (self.balance + REQUEST_DEPOSIT_MILLI).min(CAPACITY_MILLI);
    }

    /// Spends the cost of one retry; returns false if the balance is too low.
    pub fn take_retry(&mut self) -> bool {
        if self.balance < RETRY_COST_MILLI {
            return false;
        }
        self.balance -= RETRY_COST_MILLI;
        true
    }
}

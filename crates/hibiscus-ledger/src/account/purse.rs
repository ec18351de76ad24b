//! What one holder may still spend of one budget.

use hibiscus_types::TokenCount;

/// Tokens set aside for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenHold {
    /// The most that the request may cost.
    pub tokens: TokenCount,
}

/// One holder's side of its account. All sums but `reserved` only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetPurse {
    drawn: TokenCount,
    returned: TokenCount,
    spent: TokenCount,
    reserved: TokenCount,
}

impl BudgetPurse {
    /// Adds tokens that the fold granted.
    pub fn add(&mut self, granted: TokenCount) {
        self.drawn = self.drawn + granted;
    }

    /// Tokens that a request may reserve.
    pub fn available(&self) -> TokenCount {
        self.drawn
            .saturating_sub(self.returned)
            .saturating_sub(self.spent)
            .saturating_sub(self.reserved)
    }

    /// Tokens that requests in progress have set aside.
    pub fn reserved(&self) -> TokenCount {
        self.reserved
    }

    /// Sum of the tokens spent.
    pub fn spent(&self) -> TokenCount {
        self.spent
    }

    /// Sum of the tokens given back.
    pub fn returned(&self) -> TokenCount {
        self.returned
    }

    /// Sets `tokens` aside; `None` when they are not available.
    pub fn reserve(&mut self, tokens: TokenCount) -> Option<TokenHold> {
        if tokens > self.available() {
            return None;
        }
        self.reserved = self.reserved + tokens;
        Some(TokenHold { tokens })
    }

    /// Ends a reservation of which `charge` was used; more than was reserved
    /// is never charged.
    pub fn settle(&mut self, hold: TokenHold, charge: TokenCount) {
        self.reserved = self.reserved.saturating_sub(hold.tokens);
        self.spent = self.spent + charge.min(hold.tokens);
    }

    /// Takes up to `tokens` out, to be reported as given back.
    pub fn give_back(&mut self, tokens: TokenCount) {
        self.returned = self.returned + tokens.min(self.available());
    }
}

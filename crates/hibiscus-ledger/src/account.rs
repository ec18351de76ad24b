//! Prepaid totals drawn by instances that keep nothing.
//!
//! Each incarnation has one account a budget: what it drew, what it gave back
//! and what it reported as spent, all as sums that only grow, so copies and
//! late appends of a record change nothing. The rule of conservation is that
//! over all accounts of a budget, drawn minus given back never exceeds what
//! is prepaid. An incarnation that ends without giving back keeps its rest
//! counted as spent: nobody else can know how much of it was.
//!
//! [`AccountFold`] is the state that all readers of the stream share,
//! [`purse::BudgetPurse`] what one holder may still spend.

pub mod policy;
pub mod purse;

use std::collections::BTreeMap;

use hibiscus_types::BudgetName;
use hibiscus_types::IncarnationId;
use hibiscus_types::TokenCount;
use serde::Deserialize;
use serde::Serialize;

/// The stream of account records.
pub const STREAM: &str = "accounts";

/// One proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AccountRecord {
    /// A configuration set the total of a budget.
    Prepaid {
        /// The budget.
        budget: BudgetName,
        /// Version of the configuration; an older one changes nothing.
        version: u64,
        /// The total, spent tokens included.
        tokens: TokenCount,
    },
    /// A holder asks for tokens.
    Draw {
        /// The budget.
        budget: BudgetName,
        /// The incarnation that asks.
        holder: IncarnationId,
        /// Grows by one a draw of this holder and budget.
        serial: u64,
        /// Tokens asked for; the fold grants what is free of them.
        tokens: TokenCount,
    },
    /// A holder says what it spent and gives back.
    Report {
        /// The budget.
        budget: BudgetName,
        /// The incarnation that reports.
        holder: IncarnationId,
        /// Sum of all tokens spent so far.
        spent: TokenCount,
        /// Sum of all tokens given back so far.
        returned: TokenCount,
    },
}

/// A draw that the fold decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrawVerdict {
    /// The budget.
    pub budget: BudgetName,
    /// The incarnation that asked.
    pub holder: IncarnationId,
    /// Number of the draw.
    pub serial: u64,
    /// Tokens granted, possibly none.
    pub granted: TokenCount,
}

/// One incarnation's account of one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderAccount {
    /// Number of the last draw.
    pub serial: u64,
    /// Sum of the tokens granted.
    pub drawn: TokenCount,
    /// Sum of the tokens reported as spent.
    pub spent: TokenCount,
    /// Sum of the tokens given back.
    pub returned: TokenCount,
}

impl HolderAccount {
    /// Tokens that count against the budget for this holder.
    pub fn counted(&self) -> TokenCount {
        self.drawn.saturating_sub(self.returned)
    }

    /// Tokens that the holder has not reported as spent.
    pub fn unreported(&self) -> TokenCount {
        self.counted().saturating_sub(self.spent)
    }
}

/// One budget as all readers see it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetAccount {
    /// Version of the configuration that set the total.
    pub version: u64,
    /// The total.
    pub prepaid: TokenCount,
    /// Drawn minus given back, over all holders.
    pub counted: TokenCount,
    /// The holders.
    pub holders: BTreeMap<IncarnationId, HolderAccount>,
}

impl BudgetAccount {
    /// Tokens that may still be granted.
    pub fn free(&self) -> TokenCount {
        self.prepaid.saturating_sub(self.counted)
    }
}

/// All budgets at one offset of the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountFold {
    next: u64,
    budgets: BTreeMap<BudgetName, BudgetAccount>,
}

impl AccountFold {
    /// The offset of the next record to apply.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// The account of `budget`.
    pub fn budget(&self, budget: &BudgetName) -> Option<&BudgetAccount> {
        self.budgets.get(budget)
    }

    /// All budgets by name.
    pub fn budgets(&self) -> &BTreeMap<BudgetName, BudgetAccount> {
        &self.budgets
    }

    /// Counts a record that cannot be decoded, so that offsets stay aligned.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset.saturating_add(1));
    }

    /// Applies the records at `offset` and returns the draws that it decided.
    /// A lower offset than [`Self::next_offset`] changes nothing.
    pub fn apply(&mut self, offset: u64, records: &[AccountRecord]) -> Vec<DrawVerdict> {
        if offset < self.next {
            return Vec::new();
        }
        self.skip(offset);
        let mut verdicts = Vec::new();
        for record in records {
            match record {
                AccountRecord::Prepaid {
                    budget,
                    version,
                    tokens,
                } => self.set_prepaid(budget, *version, *tokens),
                AccountRecord::Draw {
                    budget,
                    holder,
                    serial,
                    tokens,
                } => verdicts.extend(self.draw(budget, *holder, *serial, *tokens)),
                AccountRecord::Report {
                    budget,
                    holder,
                    spent,
                    returned,
                } => self.report(budget, *holder, *spent, *returned),
            }
        }
        verdicts
    }

    fn set_prepaid(&mut self, budget: &BudgetName, version: u64, tokens: TokenCount) {
        let account = self.budgets.entry(budget.clone()).or_default();
        if version < account.version {
            return;
        }
        account.version = version;
        account.prepaid = tokens;
    }

    /// Grants what is free of `tokens`. A serial that was seen has its
    /// verdict already.
    fn draw(
        &mut self,
        budget: &BudgetName,
        holder: IncarnationId,
        serial: u64,
        tokens: TokenCount,
    ) -> Option<DrawVerdict> {
        let account = self.budgets.entry(budget.clone()).or_default();
        let free = account.free();
        let held = account.holders.entry(holder).or_default();
        if serial <= held.serial {
            return None;
        }
        let granted = tokens.min(free);
        held.serial = serial;
        held.drawn = held.drawn + granted;
        account.counted = account.counted + granted;
        Some(DrawVerdict {
            budget: budget.clone(),
            holder,
            serial,
            granted,
        })
    }

    /// Takes sums over; none of them shrinks, and none exceeds what was drawn.
    fn report(
        &mut self,
        budget: &BudgetName,
        holder: IncarnationId,
        spent: TokenCount,
        returned: TokenCount,
    ) {
        let Some(account) = self.budgets.get_mut(budget) else {
            return;
        };
        let Some(held) = account.holders.get_mut(&holder) else {
            return;
        };
        let spent = held.spent.max(spent);
        let returned = held.returned.max(returned);
        if spent + returned > held.drawn {
            return;
        }
        let freed = returned.saturating_sub(held.returned);
        held.spent = spent;
        held.returned = returned;
        account.counted = account.counted.saturating_sub(freed);
    }
}

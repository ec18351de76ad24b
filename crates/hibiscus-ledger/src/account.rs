//! Prepaid totals drawn by instances that keep nothing.
//!
//! Each incarnation has one account a budget: what it drew, what it gave back
//! and what it reported as spent, each report with a number that grows, so
//! copies and late appends of a record change nothing. The rule of conservation is that
//! over all accounts of a budget, what counts for them never exceeds what is
//! prepaid.
//!
//! An incarnation that ends without giving back cannot say what it spent
//! last. Its reports therefore carry a [`limit::SpendingLimit`]: a line over the
//! machine's steady clock that its spending stays below. The next process on
//! the same machine reads that clock, and closes the account with what was
//! spent at the most ([`AccountRecord::Close`]); the rest is free again. A
//! machine that was booted anew has lost that clock; then a time that several
//! machines agree on takes its place ([`agreement`]). A machine that never
//! comes back proves nothing, and all that it had drawn stays counted as
//! spent.
//!
//! [`AccountFold`] is the state that all readers of the stream share,
//! [`quota::LocalQuota`] what one holder may still spend.

pub mod agreement;
pub mod batch;
pub mod demand;
pub mod limit;
pub mod policy;
pub mod quota;
pub mod snapshot;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hibiscus_types::BudgetName;
use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use hibiscus_types::TokenCount;
use serde::Deserialize;
use serde::Serialize;

use crate::account::agreement::MAX_CLOCK_SKEW_MS;
use crate::account::agreement::RecentReadings;
use crate::account::limit::MachineTime;
use crate::account::limit::SpendingLimit;

/// The stream of account records. Its name tells the format of the records: a
/// release that changes the format takes another name.
pub const STREAM: &str = "accounts-2";
/// Closed holders that are remembered: a late append comes within seconds,
/// and incarnations are ordered by time, so the oldest are forgotten first
/// within a budget.
const ENDED_KEPT: usize = 100_000;

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
        /// Its machine.
        machine: InstanceName,
        /// Grows by one a draw of this holder and budget.
        serial: u64,
        /// Tokens asked for; the fold grants what is free of them.
        tokens: TokenCount,
    },
    /// A holder says what it spent, gives back, and may spend until it
    /// reports again.
    Report(HolderReport),
    /// The next process on a holder's machine says what the ended holder
    /// spent at the most.
    Close {
        /// The budget.
        budget: BudgetName,
        /// The incarnation that ended.
        holder: IncarnationId,
        /// The most that it spent.
        spent: TokenCount,
    },
}

impl AccountRecord {
    /// The budget that it is about.
    pub fn budget(&self) -> &BudgetName {
        match self {
            Self::Prepaid { budget, .. }
            | Self::Draw { budget, .. }
            | Self::Report(HolderReport { budget, .. })
            | Self::Close { budget, .. } => budget,
        }
    }
}

/// What one holder reports of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderReport {
    /// The budget.
    pub budget: BudgetName,
    /// The incarnation that reports.
    pub holder: IncarnationId,
    /// Grows by one a report; an older one changes nothing.
    pub serial: u64,
    /// Tokens spent so far, without those that were passed on and came back.
    pub spent: TokenCount,
    /// Sum of all tokens given back so far.
    pub returned: TokenCount,
    /// The line that its spending stays below.
    pub limit: SpendingLimit,
    /// Time of day that had passed when the line was made, as far as the
    /// holder can prove it; in milliseconds since the Unix epoch.
    pub created_after: Option<u64>,
    /// Tokens a second that its requests ask for.
    pub demand: u64,
    /// Tokens that it counts as spent and lately passed on to instances that
    /// hold none: what their requests leave comes back.
    pub transferred: TokenCount,
}

/// A draw that the fold decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrawResult {
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
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderAccount {
    /// The machine that it runs on.
    pub machine: InstanceName,
    /// Number of the last draw.
    pub serial: u64,
    /// Sum of the tokens granted.
    pub drawn: TokenCount,
    /// Sum of the tokens reported as spent.
    pub spent: TokenCount,
    /// Sum of the tokens given back.
    pub returned: TokenCount,
    /// Its last report, once it made one.
    pub report: Option<HolderReport>,
}

impl HolderAccount {
    /// Tokens that count against the budget for this holder.
    pub fn counted(&self) -> TokenCount {
        self.drawn.saturating_sub(self.returned)
    }

    /// The most that the holder spent, by the clock of its machine at `now`;
    /// `None` when that clock proves nothing. A holder without a report has
    /// spent nothing: it must have one in the store before its first request.
    pub fn spent_by_clock(&self, now: MachineTime) -> Option<TokenCount> {
        let Some(report) = &self.report else {
            return Some(TokenCount::ZERO);
        };
        let limit = report.limit.proved_at(now)?;
        Some(limit.min(self.counted()))
    }

    /// The most that the holder spent, if it had ended before the time of day
    /// `ended` that several machines agree on, in milliseconds since the Unix
    /// epoch. Without such a time all that counts.
    pub fn spent_by_agreement(&self, ended: Option<u64>) -> TokenCount {
        let counted = self.counted();
        let Some(report) = &self.report else {
            return TokenCount::ZERO;
        };
        let (Some(ended), Some(created_at)) = (ended, report.created_after) else {
            return counted;
        };
        let Some(spent_for) = (ended + MAX_CLOCK_SKEW_MS).checked_sub(created_at) else {
            return counted;
        };
        report.limit.limit_after(spent_for).min(counted)
    }

    /// Tokens that the holder has not reported as spent.
    pub fn unreported(&self) -> TokenCount {
        self.counted().saturating_sub(self.spent)
    }

    /// Tokens that may still be free again: what the holder has not reported
    /// as spent, and what it passed on.
    pub fn unsettled(&self) -> TokenCount {
        let report = self.report.as_ref();
        let transferred = report.map_or(TokenCount::ZERO, |report| report.transferred);
        self.unreported() + transferred
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
    /// The holders that may still spend.
    pub holders: BTreeMap<IncarnationId, HolderAccount>,
    /// Sum of what closed holders spent.
    pub closed: TokenCount,
    /// Offset of the first record that is not contained in a snapshot that
    /// this account began with.
    from: u64,
}

impl BudgetAccount {
    /// Tokens that may still be granted.
    pub fn free(&self) -> TokenCount {
        self.prepaid.saturating_sub(self.counted)
    }

    /// Tokens that the holders have not reported as spent.
    pub fn held(&self) -> TokenCount {
        self.holders.values().map(HolderAccount::unreported).sum()
    }

    /// Tokens a second that the requests of all holders but `holder` ask for.
    pub fn demand_of_others(&self, holder: IncarnationId) -> u64 {
        let others = self.holders.iter().filter(|(id, _held)| **id != holder);
        let reports = others.filter_map(|(_id, held)| held.report.as_ref());
        reports.map(|report| report.demand).sum()
    }
}

/// All budgets at one offset of the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountFold {
    next: u64,
    budgets: BTreeMap<BudgetName, BudgetAccount>,
    /// Times of day that the last reports showed.
    readings: RecentReadings,
    /// Holders that were closed; late records of theirs change nothing.
    ended: BTreeSet<(BudgetName, IncarnationId)>,
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

    /// A time of day that has passed by the records of several machines, in
    /// milliseconds since the Unix epoch.
    pub fn passed(&self) -> Option<u64> {
        self.readings.passed()
    }

    /// Counts a record that cannot be decoded, so that offsets stay aligned.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset.saturating_add(1));
    }

    /// Applies the records at `offset` and returns the draws that it decided.
    /// A lower offset than [`Self::next_offset`] changes nothing.
    pub fn apply(&mut self, offset: u64, records: &[AccountRecord]) -> Vec<DrawResult> {
        if offset < self.next {
            return Vec::new();
        }
        self.skip(offset);
        let mut verdicts = Vec::new();
        for record in records {
            let account = self.budgets.get(record.budget());
            if account.is_some_and(|account| offset < account.from) {
                continue;
            }
            match record {
                AccountRecord::Prepaid {
                    budget,
                    version,
                    tokens,
                } => self.set_prepaid(budget, *version, *tokens),
                AccountRecord::Draw {
                    budget,
                    holder,
                    machine,
                    serial,
                    tokens,
                } => {
                    let draw = (*serial, *tokens);
                    verdicts.extend(self.draw(budget, *holder, machine, draw));
                }
                AccountRecord::Report(report) => self.report(report),
                AccountRecord::Close {
                    budget,
                    holder,
                    spent,
                } => self.close(budget, *holder, *spent),
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
        machine: &InstanceName,
        (serial, tokens): (u64, TokenCount),
    ) -> Option<DrawResult> {
        if self.ended.contains(&(budget.clone(), holder)) {
            return None;
        }
        let account = self.budgets.entry(budget.clone()).or_default();
        let free = account.free();
        let held = account.holders.entry(holder).or_default();
        if serial <= held.serial {
            return None;
        }
        let granted = tokens.min(free);
        held.machine = machine.clone();
        held.serial = serial;
        held.drawn = held.drawn + granted;
        account.counted = account.counted + granted;
        Some(DrawResult {
            budget: budget.clone(),
            holder,
            serial,
            granted,
        })
    }

    /// Takes a report over unless a newer one was, or its sums exceed what
    /// was drawn.
    fn report(&mut self, report: &HolderReport) {
        let Some(account) = self.budgets.get_mut(&report.budget) else {
            return;
        };
        let Some(held) = account.holders.get_mut(&report.holder) else {
            return;
        };
        let known = held.report.as_ref().map_or(0, |known| known.serial);
        if report.serial <= known || report.spent + report.returned > held.drawn {
            return;
        }
        let freed = report.returned.saturating_sub(held.returned);
        held.spent = report.spent;
        held.returned = held.returned.max(report.returned);
        held.report = Some(report.clone());
        self.readings
            .push(&held.machine, report.limit.created_at.unix_millis);
        account.counted = account.counted.saturating_sub(freed);
    }

    /// Ends a holder's account; what it spent at the most stays counted.
    fn close(&mut self, budget: &BudgetName, holder: IncarnationId, spent: TokenCount) {
        let Some(account) = self.budgets.get_mut(budget) else {
            return;
        };
        let Some(held) = account.holders.remove(&holder) else {
            return;
        };
        let counted = held.counted();
        let spent = spent.max(held.spent).min(counted);
        account.closed = account.closed + spent;
        account.counted = account.counted.saturating_sub(counted) + spent;
        self.ended.insert((budget.clone(), holder));
        while self.ended.len() > ENDED_KEPT {
            self.ended.pop_first();
        }
    }
}

//! Accounts of prepaid token budgets, kept as a stream of records.
//!
//! Each incarnation of an instance has one account for each budget: the tokens
//! that it drew, returned and reported as spent. Each report carries a serial
//! number, so copies and late appends of a record change nothing. Draws may be applied in
//! any order: the stream can lose draws and get them again behind later ones. The invariant
//! is that the tokens counted over all accounts of a budget never exceed its
//! prepaid total.
//!
//! An incarnation that crashes cannot report what it spent last. Its reports
//! therefore carry a [`limit::SpendingLimit`], an upper bound on its spending
//! that grows with the machine's monotonic clock. The next process on the same
//! machine reads that clock and closes the account with the most that can have
//! been spent ([`AccountRecord::Close`]); the rest becomes free again. A reboot
//! resets the monotonic clock; the account is then closed by a time that
//! several machines agree on ([`agreement`]). If the machine never comes back,
//! nothing is proven and all tokens that it had drawn stay counted as spent.
//!
//! [`AccountFold`] is the state that every reader of the stream computes.
//! [`quota::LocalQuota`] is what one holder may still spend.

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

/// Name of the stream of account records. It includes the version of the record
/// format: a release that changes the format uses another name.
pub const STREAM: &str = "accounts-2";
/// Closed holders that are remembered. Late appends arrive within seconds, and
/// incarnations are ordered by time, so the oldest ones of a budget are dropped
/// first.
const CLOSED_HOLDERS_LIMIT: usize = 100_000;
/// Missing draws of one holder that are remembered, the newest ones. The draws that a copy
/// of the store lacks are those of some seconds.
const MISSING_DRAWS_LIMIT: u64 = 1_000;

/// A record of the account stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AccountRecord {
    /// Sets the total of a budget, as a configuration states it.
    Prepaid {
        /// The budget.
        budget: BudgetName,
        /// Version of the configuration; an older one changes nothing.
        version: u64,
        /// The total, including tokens already spent.
        tokens: TokenCount,
    },
    /// Requests tokens for a holder.
    Draw {
        /// The budget.
        budget: BudgetName,
        /// The incarnation that draws.
        holder: IncarnationId,
        /// Machine of the incarnation.
        machine: InstanceName,
        /// Increases by one with each draw of this holder and budget.
        serial: u64,
        /// Requested tokens; as many of them are granted as are free.
        tokens: TokenCount,
    },
    /// Reports what a holder spent and returned, and limits what it may spend
    /// until its next report.
    Report(HolderReport),
    /// Closes the account of a holder that ended; the next process on its
    /// machine writes it.
    Close {
        /// The budget.
        budget: BudgetName,
        /// The incarnation that ended.
        holder: IncarnationId,
        /// The most that the holder can have spent.
        spent: TokenCount,
    },
}

impl AccountRecord {
    /// The budget of this record.
    pub fn budget(&self) -> &BudgetName {
        match self {
            Self::Prepaid { budget, .. }
            | Self::Draw { budget, .. }
            | Self::Report(HolderReport { budget, .. })
            | Self::Close { budget, .. } => budget,
        }
    }
}

/// A holder's report on one budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderReport {
    /// The budget.
    pub budget: BudgetName,
    /// The incarnation that reports.
    pub holder: IncarnationId,
    /// Increases by one with each report; an older report changes nothing.
    pub serial: u64,
    /// Tokens spent so far, excluding those that were transferred and came
    /// back.
    pub spent: TokenCount,
    /// Sum of all tokens returned so far.
    pub returned: TokenCount,
    /// Upper bound on the holder's spending until its next report.
    pub limit: SpendingLimit,
    /// A time of day that had provably passed when the limit was created, in
    /// milliseconds since the Unix epoch.
    pub created_after: Option<u64>,
    /// Demand of the holder's requests, in tokens per second.
    pub demand: u64,
    /// Tokens counted as spent that were recently transferred to instances that
    /// do not hold the budget; what their requests leave unused comes back.
    pub transferred: TokenCount,
}

/// Result of a draw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrawResult {
    /// The budget.
    pub budget: BudgetName,
    /// The incarnation that drew.
    pub holder: IncarnationId,
    /// Serial number of the draw.
    pub serial: u64,
    /// Granted tokens, possibly none.
    pub granted: TokenCount,
}

/// Account of one incarnation for one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderAccount {
    /// Machine of the incarnation.
    pub machine: InstanceName,
    /// Highest serial number of a draw.
    pub serial: u64,
    /// Sum of the granted tokens.
    pub drawn: TokenCount,
    /// Sum of the tokens reported as spent.
    pub spent: TokenCount,
    /// Sum of the returned tokens.
    pub returned: TokenCount,
    /// The last report, if there was one.
    pub report: Option<HolderReport>,
    /// Serial numbers below [`Self::serial`] whose draws were not applied. Kept beside the
    /// account in snapshots, whose format is that of earlier releases.
    #[serde(skip)]
    missing_draws: BTreeSet<u64>,
}

impl HolderAccount {
    /// Whether the draw `serial` is to be applied, which is noted.
    fn take_serial(&mut self, serial: u64) -> bool {
        if serial <= self.serial {
            return self.missing_draws.remove(&serial);
        }
        let first = serial.saturating_sub(MISSING_DRAWS_LIMIT);
        self.missing_draws
            .extend(first.max(self.serial + 1)..serial);
        while self.missing_draws.len() as u64 > MISSING_DRAWS_LIMIT {
            self.missing_draws.pop_first();
        }
        self.serial = serial;
        true
    }

    /// Tokens of this holder that count against the budget.
    pub fn counted(&self) -> TokenCount {
        self.drawn.saturating_sub(self.returned)
    }

    /// The most that the holder can have spent according to its machine's clock
    /// at `now`; `None` if that clock proves nothing. A holder without a report
    /// has spent nothing, because its first report is stored before its first
    /// request.
    pub fn spent_by_clock(&self, now: MachineTime) -> Option<TokenCount> {
        let Some(report) = &self.report else {
            return Some(TokenCount::ZERO);
        };
        let limit = report.limit.max_spent_at(now)?;
        Some(limit.min(self.counted()))
    }

    /// The most that the holder can have spent if it ended before the time of
    /// day `ended_before`, in milliseconds since the Unix epoch, on which
    /// several machines agree. Without such a time, all counted tokens.
    pub fn spent_by_agreement(&self, ended_before: Option<u64>) -> TokenCount {
        let counted = self.counted();
        let Some(report) = &self.report else {
            return TokenCount::ZERO;
        };
        let (Some(ended_before), Some(created_after)) = (ended_before, report.created_after) else {
            return counted;
        };
        let Some(spent_for) = (ended_before + MAX_CLOCK_SKEW_MS).checked_sub(created_after) else {
            return counted;
        };
        report.limit.allowed_after(spent_for).min(counted)
    }

    /// Tokens that the holder has not reported as spent.
    pub fn unreported(&self) -> TokenCount {
        self.counted().saturating_sub(self.spent)
    }

    /// Tokens that may become free again: those not reported as spent and those
    /// that the holder transferred.
    pub fn unsettled(&self) -> TokenCount {
        let report = self.report.as_ref();
        let transferred = report.map_or(TokenCount::ZERO, |report| report.transferred);
        self.unreported() + transferred
    }
}

/// State of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetAccount {
    /// Version of the configuration that set the total.
    pub version: u64,
    /// The prepaid total.
    pub prepaid: TokenCount,
    /// Tokens drawn minus tokens returned, over all holders.
    pub counted: TokenCount,
    /// Accounts of the holders that may still spend.
    pub holders: BTreeMap<IncarnationId, HolderAccount>,
    /// Sum of the tokens spent by closed holders.
    pub closed: TokenCount,
    /// Offset of the first record that applies. Earlier records are contained
    /// in the snapshot from which this account was restored.
    first_offset: u64,
}

impl BudgetAccount {
    /// Tokens that may still be granted.
    pub fn free(&self) -> TokenCount {
        self.prepaid.saturating_sub(self.counted)
    }

    /// Tokens that the holders have not reported as spent.
    pub fn unreported(&self) -> TokenCount {
        self.holders.values().map(HolderAccount::unreported).sum()
    }

    /// Demand of all holders except `holder`, in tokens per second.
    pub fn demand_of_others(&self, holder: IncarnationId) -> u64 {
        let others = self.holders.iter().filter(|(id, _account)| **id != holder);
        let reports = others.filter_map(|(_id, holder_account)| holder_account.report.as_ref());
        reports.map(|report| report.demand).sum()
    }
}

/// State of all budgets at one offset of the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountFold {
    next: u64,
    budgets: BTreeMap<BudgetName, BudgetAccount>,
    /// Times of day of the last reports.
    readings: RecentReadings,
    /// Closed holders, whose late records change nothing.
    closed_holders: BTreeSet<(BudgetName, IncarnationId)>,
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

    /// A time of day that has passed according to the records of several
    /// machines, in milliseconds since the Unix epoch.
    pub fn time_lower_bound(&self) -> Option<u64> {
        self.readings.agreed_lower_bound()
    }

    /// Skips a record that cannot be decoded, so that offsets stay aligned.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset.saturating_add(1));
    }

    /// Applies the records at `offset` and returns the results of its draws. An
    /// offset below [`Self::next_offset`] changes nothing.
    pub fn apply(&mut self, offset: u64, records: &[AccountRecord]) -> Vec<DrawResult> {
        if offset < self.next {
            return Vec::new();
        }
        self.skip(offset);
        let mut results = Vec::new();
        for record in records {
            let account = self.budgets.get(record.budget());
            if account.is_some_and(|account| offset < account.first_offset) {
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
                    results.extend(self.draw(budget, *holder, machine, draw));
                }
                AccountRecord::Report(report) => self.report(report),
                AccountRecord::Close {
                    budget,
                    holder,
                    spent,
                } => self.close(budget, *holder, *spent),
            }
        }
        results
    }

    fn set_prepaid(&mut self, budget: &BudgetName, version: u64, tokens: TokenCount) {
        let account = self.budgets.entry(budget.clone()).or_default();
        if version < account.version {
            return;
        }
        account.version = version;
        account.prepaid = tokens;
    }

    /// Grants as many of `tokens` as are free. A serial number that was already
    /// applied is ignored; a lower one that was not is applied.
    fn draw(
        &mut self,
        budget: &BudgetName,
        holder: IncarnationId,
        machine: &InstanceName,
        (serial, tokens): (u64, TokenCount),
    ) -> Option<DrawResult> {
        if self.closed_holders.contains(&(budget.clone(), holder)) {
            return None;
        }
        let account = self.budgets.entry(budget.clone()).or_default();
        let free = account.free();
        let holder_account = account.holders.entry(holder).or_default();
        if !holder_account.take_serial(serial) {
            return None;
        }
        let granted = tokens.min(free);
        holder_account.machine = machine.clone();
        holder_account.drawn = holder_account.drawn + granted;
        account.counted = account.counted + granted;
        Some(DrawResult {
            budget: budget.clone(),
            holder,
            serial,
            granted,
        })
    }

    /// Applies a report, unless a newer one was applied or its sums exceed the
    /// drawn tokens.
    fn report(&mut self, report: &HolderReport) {
        let Some(account) = self.budgets.get_mut(&report.budget) else {
            return;
        };
        let Some(holder_account) = account.holders.get_mut(&report.holder) else {
            return;
        };
        let last_serial = holder_account.report.as_ref().map_or(0, |last| last.serial);
        if report.serial <= last_serial || report.spent + report.returned > holder_account.drawn {
            return;
        }
        let freed = report.returned.saturating_sub(holder_account.returned);
        holder_account.spent = report.spent;
        holder_account.returned = holder_account.returned.max(report.returned);
        holder_account.report = Some(report.clone());
        self.readings
            .push(&holder_account.machine, report.limit.created_at.unix_millis);
        account.counted = account.counted.saturating_sub(freed);
    }

    /// Closes a holder's account; the most that it can have spent stays
    /// counted.
    fn close(&mut self, budget: &BudgetName, holder: IncarnationId, spent: TokenCount) {
        let Some(account) = self.budgets.get_mut(budget) else {
            return;
        };
        let Some(holder_account) = account.holders.remove(&holder) else {
            return;
        };
        let counted = holder_account.counted();
        let spent = spent.max(holder_account.spent).min(counted);
        account.closed = account.closed + spent;
        account.counted = account.counted.saturating_sub(counted) + spent;
        self.closed_holders.insert((budget.clone(), holder));
        while self.closed_holders.len() > CLOSED_HOLDERS_LIMIT {
            self.closed_holders.pop_first();
        }
    }
}

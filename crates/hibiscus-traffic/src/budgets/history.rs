//! Budgets of which a part of the history is not known.
//!
//! The store removes old records of the account stream: after some time, or at any moment
//! when it forgets its history. A process that reads the stream then continues from the
//! snapshots. If a budget's snapshot is missing or older than the oldest record, draws may
//! be lost between the two. Such a budget is unproven: this process draws nothing from it,
//! closes none of its accounts and writes no snapshot of it, and requests that need tokens
//! are refused for now.
//!
//! An instance that has read the lost records knows the budget. This process asks the
//! holders to write a snapshot, and the reader starts again when there is one. If none
//! comes, all instances that knew the budget have ended, or can't write. Then the whole
//! total counts as spent until it is raised or such a snapshot appears after all.

use std::collections::BTreeSet;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account::AccountFold;
use hibiscus_ledger::account::snapshot::AccountSnapshot;
use hibiscus_types::BudgetName;
use hibiscus_types::TokenCount;

use crate::budgets::BudgetManager;
use crate::budgets::RecoveryPhase;

/// Time within which an instance that knows a budget writes its snapshot: it is asked each
/// second, and the store may be slow or turn one of the two away for a moment.
const PROOF_TIME: Duration = Duration::from_secs(10);
/// Further time after which instances other than the first holder count a budget as spent.
const TAKEOVER_DELAY: Duration = Duration::from_secs(5);
/// Time between two requests for snapshots.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);
/// The same when all budgets without a snapshot count as spent.
const LATE_REQUEST_INTERVAL: Duration = Duration::from_secs(10);

/// A history of which the first records are gone.
#[derive(Debug)]
struct TruncatedHistory {
    /// When this process first read that they are gone.
    since: Duration,
    /// Budgets of which all is known.
    proven: BTreeSet<BudgetName>,
}

/// What this process knows of the history of the budgets.
#[derive(Debug, Default)]
pub(super) struct HistoryState {
    truncated: Option<TruncatedHistory>,
    /// Budgets that count as spent because their history is lost.
    assumed: BTreeSet<BudgetName>,
    /// When snapshots were last requested.
    requested_at: Option<Duration>,
}

impl HistoryState {
    /// Whether a part of the history of `budget` may be unknown.
    pub(super) fn is_unproven(&self, budget: &BudgetName) -> bool {
        let truncated = self.truncated.as_ref();
        truncated.is_some_and(|truncated| !truncated.proven.contains(budget))
    }

    /// Whether there may be budgets whose history is not known.
    fn is_lacking(&self) -> bool {
        self.truncated.is_some() || !self.assumed.is_empty()
    }

    /// Whether `budget` counts as spent because its history is lost.
    pub(super) fn is_assumed(&self, budget: &BudgetName) -> bool {
        self.assumed.contains(budget)
    }

    /// Records that the stream is read again from its start.
    pub(super) fn forget(&mut self) {
        *self = Self::default();
    }
}

impl BudgetManager {
    /// Continues at `now` from `snapshots`, because the records before `first` are gone.
    pub fn resume(&mut self, first: u64, snapshots: Vec<AccountSnapshot>, now: Duration) {
        let mut proven = BTreeSet::new();
        let mut assumed = BTreeSet::new();
        for snapshot in &snapshots {
            if snapshot.next >= first {
                proven.insert(snapshot.budget.clone());
            }
            if snapshot.is_assumed {
                assumed.insert(snapshot.budget.clone());
            }
        }
        let (fold, stale) = AccountFold::resume(first, snapshots);
        self.fold = fold;
        for budget in stale {
            event!(EventCode::SnapshotStale, "budget={budget} first={first}");
        }
        let before = self.history.truncated.take();
        let since = before.map_or(now, |before| before.since);
        self.history.assumed = assumed;
        if first > 0 {
            self.history.truncated = Some(TruncatedHistory { since, proven });
        }
        self.count_unproven();
        self.decide_own_draws();
        // The accounts of earlier processes may be known only now.
        self.recovery = RecoveryPhase::Reading;
    }

    /// Applies the results of this instance's draws that the snapshots contain.
    fn decide_own_draws(&mut self) {
        for (budget, held) in &mut self.held {
            let account = self.fold.budget(budget);
            let own = account.and_then(|account| account.holders.get(&self.holder));
            let Some((serial, drawn)) = own.map(|own| (own.serial, own.drawn)) else {
                continue;
            };
            let added = held.quota.raise_drawn(drawn);
            if serial <= held.void_serial {
                held.quota.return_tokens(added);
            }
            held.decided_serial = held.decided_serial.max(serial);
            held.pending &= serial < held.draw_serial;
            held.changed.notify_waiters();
        }
    }

    /// Counts the totals of unproven budgets as spent in the fold of this process.
    pub(super) fn count_unproven(&mut self) {
        for (budget, total) in &self.totals {
            if self.history.is_unproven(budget) {
                self.fold.count_all(budget, total.tokens);
            }
        }
    }

    /// Whether the reader must look for snapshots that others write.
    pub fn lacks_history(&self) -> bool {
        let mut budgets = self.totals.keys();
        let is_lacking =
            |budget| self.history.is_unproven(budget) || self.history.is_assumed(budget);
        self.history.is_lacking() && budgets.any(is_lacking)
    }

    /// Budgets whose snapshots are to be requested from other instances at `now`.
    pub fn snapshots_to_request(&mut self, now: Duration) -> Vec<BudgetName> {
        if !self.history.is_lacking() {
            return Vec::new();
        }
        let mut lacking: Vec<_> = self.totals.keys().cloned().collect();
        let mut interval = LATE_REQUEST_INTERVAL;
        lacking.retain(|budget| {
            if self.history.is_unproven(budget) {
                interval = REQUEST_INTERVAL;
                return true;
            }
            self.history.is_assumed(budget)
        });
        let requested = self.history.requested_at;
        if lacking.is_empty() || requested.is_some_and(|at| now < at + interval) {
            return Vec::new();
        }
        self.history.requested_at = Some(now);
        lacking
    }

    /// Writes snapshots of those of `budgets` of which this process knows the whole
    /// history, at `now`. Returns whether it knows all.
    pub fn write_requested_snapshots(&mut self, budgets: &[BudgetName], now: Duration) -> bool {
        if self.recovery == RecoveryPhase::Reading || !self.has_all_draws() {
            return false;
        }
        let mut knows_all = true;
        for budget in budgets {
            let is_lacking = self.history.is_unproven(budget) || self.history.is_assumed(budget);
            let is_known = self.totals.contains_key(budget) && !is_lacking;
            knows_all &= is_known;
            if is_known {
                self.write_snapshot(budget, now);
            }
        }
        self.send(now);
        knows_all
    }

    /// Counts `budget` as spent if nobody has proved otherwise by `now`. Returns whether the
    /// budget is still unproven.
    pub(super) fn review_history(
        &mut self,
        budget: &BudgetName,
        is_first_holder: bool,
        now: Duration,
    ) -> bool {
        let Some(truncated) = self.history.truncated.as_mut() else {
            return false;
        };
        if truncated.proven.contains(budget) {
            return false;
        }
        let delay = if is_first_holder {
            PROOF_TIME
        } else {
            PROOF_TIME + TAKEOVER_DELAY
        };
        if now < truncated.since + delay {
            return true;
        }
        truncated.proven.insert(budget.clone());
        self.history.assumed.insert(budget.clone());
        let total = self.totals.get(budget).map(|total| total.tokens);
        let total = total.unwrap_or(TokenCount::ZERO);
        self.fold.count_all(budget, total);
        event!(
            EventCode::HistoryLost,
            "budget={budget} total={total} after_ms={}",
            now.saturating_sub(truncated.since).as_millis()
        );
        self.write_snapshot(budget, now);
        false
    }

    /// Ends the state of a truncated history when all budgets of the configuration are
    /// proven and instances with a later one have been heard, at `now`. The records of
    /// budgets that are added afterwards are all in the stream.
    pub(super) fn end_history_review(&mut self, now: Duration) {
        let truncated = self.history.truncated.as_ref();
        let is_over = truncated.is_some_and(|truncated| now >= truncated.since + PROOF_TIME);
        let mut budgets = self.totals.keys();
        let is_unproven = budgets.any(|budget| self.history.is_unproven(budget));
        if is_over && !self.totals.is_empty() && !is_unproven {
            self.history.truncated = None;
        }
    }
}

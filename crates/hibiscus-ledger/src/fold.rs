//! The fold that gives every record its verdict.
//!
//! Every record is idempotent by itself (a credit by its id, a grant by its
//! number, an open and a settlement by their key, a return by its serial), so
//! the batch sequences save work and the fold may forget the oldest of them.

mod grants;
mod requests;
mod state;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use hibiscus_types::BudgetName;
use hibiscus_types::GrantId;
use hibiscus_types::IncarnationId;
use hibiscus_types::RequestKey;
use hibiscus_types::TokenCount;
use serde::Deserialize;
use serde::Serialize;

pub use crate::fold::state::BudgetState;
pub use crate::fold::state::FoldLimits;
pub use crate::fold::state::GrantState;
pub use crate::fold::state::OpenState;
pub use crate::fold::state::RecordVerdict;
use crate::record::BudgetCredit;
use crate::record::LedgerRecord;
use crate::record::RecordBatch;
use crate::record::RequestSettlement;
use crate::record::TopUpId;

/// Runs of a charged key that are counted.
pub const RERUNS_COUNTED: usize = 16;

/// The ledger of one shard at one offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerFold {
    limits: FoldLimits,
    next: u64,
    sequences: BTreeMap<IncarnationId, SequenceState>,
    budgets: BTreeMap<BudgetName, BudgetState>,
    credits: BTreeSet<TopUpId>,
    grants: BTreeMap<GrantId, GrantState>,
    refused: BTreeSet<GrantId>,
    opens: BTreeMap<RequestKey, Vec<OpenState>>,
    settled: BTreeMap<RequestKey, RequestSettlement>,
    settled_order: VecDeque<(u64, RequestKey)>,
    reruns: BTreeMap<RequestKey, BTreeSet<(GrantId, u32)>>,
    since_forgetting: usize,
    frozen: Option<u64>,
    not_run: BTreeSet<(RequestKey, GrantId, u32)>,
    not_run_order: VecDeque<(u64, RequestKey, GrantId, u32)>,
    orphans: VecDeque<(u64, LedgerRecord)>,
    late: VecDeque<RequestSettlement>,
}

/// The last batch of one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SequenceState {
    last: u64,
    offset: u64,
}

impl LedgerFold {
    /// An empty ledger with `limits`, which must be the same at all readers.
    pub fn with_limits(limits: FoldLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// The offset of the next record to apply.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// The budgets by name.
    pub fn budgets(&self) -> &BTreeMap<BudgetName, BudgetState> {
        &self.budgets
    }

    /// The grants by number.
    pub fn grants(&self) -> &BTreeMap<GrantId, GrantState> {
        &self.grants
    }

    /// Whether the verdict of the grant `id` is known.
    pub fn has_decided(&self, id: &GrantId) -> bool {
        self.grants.contains_key(id) || self.refused.contains(id)
    }

    /// Whether the top-up `id` was credited.
    pub fn has_credit(&self, id: &TopUpId) -> bool {
        self.credits.contains(id)
    }

    /// The opens of `key` that are not settled, oldest first.
    pub fn open_requests(&self, key: &RequestKey) -> &[OpenState] {
        self.opens.get(key).map_or(&[], Vec::as_slice)
    }

    /// All opens that are not settled.
    pub fn all_open(&self) -> impl Iterator<Item = &OpenState> {
        self.opens.values().flatten()
    }

    /// The settlement that charged `key`.
    pub fn settlement(&self, key: &RequestKey) -> Option<&RequestSettlement> {
        self.settled.get(key)
    }

    /// Runs of `key` that ended after the one that charged it, counted up to
    /// [`RERUNS_COUNTED`].
    pub fn reruns(&self, key: &RequestKey) -> usize {
        self.reruns.get(key).map_or(0, BTreeSet::len)
    }

    /// Settlements that could not be charged, for operators.
    pub fn late(&self) -> impl Iterator<Item = &RequestSettlement> {
        self.late.iter()
    }

    /// Records whose grant is not known yet, for operators.
    pub fn waiting(&self) -> impl Iterator<Item = &LedgerRecord> {
        self.orphans.iter().map(|(_offset, record)| record)
    }

    /// Number of keys that were charged and are remembered.
    pub fn settled_count(&self) -> usize {
        self.settled.len()
    }

    /// Budgets whose charges and open grants exceed their credits.
    pub fn overspent(&self) -> Vec<&BudgetName> {
        let mut overspent = Vec::new();
        for (name, budget) in &self.budgets {
            let used = budget.charged.checked_add(budget.outstanding);
            if used.is_none_or(|used| used > budget.credited) {
                overspent.push(name);
            }
        }
        overspent
    }

    /// Applies the batch at `offset`. A batch below [`Self::next_offset`] or
    /// one whose sequence was applied before changes nothing.
    pub fn apply(&mut self, offset: u64, batch: &RecordBatch) -> Vec<RecordVerdict> {
        if offset < self.next {
            return vec![RecordVerdict::Repeated; batch.records.len()];
        }
        self.next = offset.saturating_add(1);
        let last = self.sequences.get(&batch.incarnation);
        if last.is_some_and(|held| batch.sequence <= held.last) {
            return vec![RecordVerdict::Repeated; batch.records.len()];
        }
        self.remember_sequence(offset, batch);
        let mut verdicts = Vec::with_capacity(batch.records.len());
        for record in &batch.records {
            verdicts.push(self.apply_record(offset, record));
        }
        self.since_forgetting += batch.records.len();
        if self.since_forgetting >= self.limits.forget_every {
            self.since_forgetting = 0;
            self.forget_keys();
            self.forget_grants();
        }
        verdicts
    }

    /// Counts an undecodable record, so that offsets stay aligned.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset.saturating_add(1));
    }

    fn apply_record(&mut self, offset: u64, record: &LedgerRecord) -> RecordVerdict {
        match record {
            LedgerRecord::Credit(credit) => self.credit(credit),
            LedgerRecord::Grant(grant) => self.grant(offset, grant),
            LedgerRecord::Open(open) => self.open(offset, open),
            LedgerRecord::Settle(settlement) => self.settle(offset, settlement),
            LedgerRecord::Return(back) => self.give_back(back),
            LedgerRecord::Seal(seal) => self.seal(seal),
            LedgerRecord::Sealed(seal) => self.promise(seal),
            LedgerRecord::Split(split) => self.split(offset, split),
            LedgerRecord::Release(release) => self.release(release),
            LedgerRecord::Snapshot(_) => RecordVerdict::Accepted,
        }
    }

    /// Adds a top-up. One that would overflow the sum is refused whole.
    fn credit(&mut self, credit: &BudgetCredit) -> RecordVerdict {
        if self.credits.contains(&credit.id) {
            return RecordVerdict::Repeated;
        }
        let budget = self.budgets.entry(credit.budget.clone()).or_default();
        let Some(credited) = budget.credited.checked_add(credit.tokens) else {
            return RecordVerdict::Void;
        };
        budget.team = credit.team.clone();
        budget.credited = credited;
        self.credits.insert(credit.id.clone());
        RecordVerdict::Accepted
    }

    fn remember_sequence(&mut self, offset: u64, batch: &RecordBatch) {
        let state = SequenceState {
            last: batch.sequence,
            offset,
        };
        self.sequences.insert(batch.incarnation, state);
        if self.sequences.len() <= self.limits.incarnations {
            return;
        }
        let oldest = self
            .sequences
            .iter()
            .min_by_key(|(_incarnation, held)| held.offset)
            .map(|(incarnation, _held)| *incarnation);
        if let Some(oldest) = oldest {
            self.sequences.remove(&oldest);
        }
    }

    /// The lowest offset of a grant under which a copy may still arrive.
    fn oldest_open_grant(&self) -> u64 {
        let open = self.grants.values().filter(|grant| !grant.is_closed());
        open.map(|grant| grant.offset).min().unwrap_or(self.next)
    }

    /// Forgets the oldest charged keys past the limit: first those that no
    /// open grant can bring a copy of, and past the bound the others too,
    /// which freezes the grants that are as old.
    fn forget_keys(&mut self) {
        if self.settled.len() + self.not_run.len() <= self.limits.keys {
            return;
        }
        let oldest = self.oldest_open_grant();
        while let Some((offset, key)) = self.settled_order.front() {
            let full = self.settled.len() > self.limits.keys_bound;
            if *offset >= oldest && !full {
                break;
            }
            if *offset >= oldest {
                self.frozen = Some(*offset);
            }
            self.settled.remove(key);
            self.reruns.remove(key);
            self.settled_order.pop_front();
        }
        while let Some((offset, key, grant, attempt)) = self.not_run_order.front() {
            let full = self.not_run.len() > self.limits.keys_bound;
            if *offset >= oldest && !full {
                break;
            }
            if *offset >= oldest {
                self.frozen = self.frozen.max(Some(*offset));
            }
            self.not_run.remove(&(key.clone(), *grant, *attempt));
            self.not_run_order.pop_front();
        }
    }

    /// Forgets the oldest closed grants and refused grants past the limit.
    fn forget_grants(&mut self) {
        while self.refused.len() > self.limits.grants {
            self.refused.pop_first();
        }
        if self.grants.len() <= self.limits.grants {
            return;
        }
        let mut excess = self.grants.len() - self.limits.grants / 2;
        self.grants.retain(|_id, grant| {
            let forgotten = excess > 0 && grant.is_closed();
            excess -= usize::from(forgotten);
            !forgotten
        });
    }

    /// Puts a settlement on the operators' list.
    fn list_late(&mut self, settlement: &RequestSettlement) {
        if self.late.contains(settlement) {
            return;
        }
        self.late.push_back(settlement.clone());
        if self.late.len() > self.limits.late {
            self.late.pop_front();
        }
    }

    /// Tokens that opens of `grant` may still need.
    fn open_tokens(&self, grant: GrantId) -> TokenCount {
        let opens = self.opens.values().flatten();
        let under = opens.filter(|state| state.open.grant == grant);
        under.map(|state| state.open.reserved).sum()
    }
}

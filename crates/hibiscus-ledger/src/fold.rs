//! The fold that gives every record its verdict.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hibiscus_types::BudgetName;
use hibiscus_types::GrantId;
use hibiscus_types::IncarnationId;
use hibiscus_types::RequestKey;
use hibiscus_types::TeamName;
use hibiscus_types::TokenCount;
use serde::Deserialize;
use serde::Serialize;

use crate::record::AllowanceGrant;
use crate::record::AllowanceReturn;
use crate::record::BudgetCredit;
use crate::record::GrantSeal;
use crate::record::LedgerRecord;
use crate::record::RecordBatch;
use crate::record::RequestOpen;
use crate::record::RequestSettlement;
use crate::record::SettledEnd;
use crate::record::TopUpId;
use crate::record::WitnessSeal;

/// Whether a record took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordVerdict {
    /// The record took effect.
    Accepted,
    /// The record repeats one that took effect.
    Repeated,
    /// The budget does not cover the record.
    Uncovered,
    /// Another open came first for the key.
    Preceded,
    /// The record names something that does not exist or has ended.
    Void,
}

/// State of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetState {
    /// The team that it belongs to.
    pub team: TeamName,
    /// Sum of the credits.
    pub credited: TokenCount,
    /// Sum of the charges.
    pub charged: TokenCount,
    /// Sum over the open grants of what may still be charged.
    pub outstanding: TokenCount,
}

impl BudgetState {
    /// Tokens that a new grant may take.
    pub fn free(&self) -> TokenCount {
        self.credited
            .saturating_sub(self.charged)
            .saturating_sub(self.outstanding)
    }
}

/// State of one grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantState {
    /// The grant as accepted.
    pub grant: AllowanceGrant,
    /// What may still be charged under it.
    pub outstanding: TokenCount,
    /// Sum of the charges.
    pub charged: TokenCount,
    /// Whether a reclaim was proposed.
    pub sealing: bool,
    /// Witnesses that promised.
    pub sealed: BTreeSet<IncarnationId>,
    /// Whether all witnesses promised and the rest was freed.
    pub reclaimed: bool,
}

/// An open without its settlement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenState {
    /// The open as accepted.
    pub open: RequestOpen,
    /// Its position in the stream.
    pub offset: u64,
}

/// The ledger of one shard at one offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerFold {
    next: u64,
    sequences: BTreeMap<IncarnationId, u64>,
    budgets: BTreeMap<BudgetName, BudgetState>,
    credits: BTreeSet<TopUpId>,
    grants: BTreeMap<GrantId, GrantState>,
    opens: BTreeMap<RequestKey, Vec<OpenState>>,
    settled: BTreeMap<RequestKey, RequestSettlement>,
    not_run: BTreeSet<(RequestKey, GrantId, u32)>,
    late: Vec<RequestSettlement>,
}

impl LedgerFold {
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

    /// Whether the top-up `id` was credited.
    pub fn has_credit(&self, id: &TopUpId) -> bool {
        self.credits.contains(id)
    }

    /// The opens of `key` that are not settled, oldest first.
    pub fn open_requests(&self, key: &RequestKey) -> &[OpenState] {
        self.opens.get(key).map_or(&[], Vec::as_slice)
    }

    /// The settlement that charged `key`.
    pub fn settlement(&self, key: &RequestKey) -> Option<&RequestSettlement> {
        self.settled.get(key)
    }

    /// Settlements that came too late to be charged.
    pub fn late(&self) -> &[RequestSettlement] {
        &self.late
    }

    /// Number of keys that were charged.
    pub fn settled_count(&self) -> usize {
        self.settled.len()
    }

    /// Budgets whose charges and open grants exceed their credits.
    pub fn overspent(&self) -> Vec<&BudgetName> {
        let mut overspent = Vec::new();
        for (name, budget) in &self.budgets {
            if budget.charged + budget.outstanding > budget.credited {
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
        self.next = offset + 1;
        let last = self.sequences.get(&batch.incarnation).copied();
        if last.is_some_and(|last| batch.sequence <= last) {
            return vec![RecordVerdict::Repeated; batch.records.len()];
        }
        self.sequences.insert(batch.incarnation, batch.sequence);
        let mut verdicts = Vec::with_capacity(batch.records.len());
        for record in &batch.records {
            verdicts.push(self.apply_record(offset, record));
        }
        verdicts
    }

    /// Counts an undecodable record, so that offsets stay aligned.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset + 1);
    }

    fn apply_record(&mut self, offset: u64, record: &LedgerRecord) -> RecordVerdict {
        match record {
            LedgerRecord::Credit(credit) => self.credit(credit),
            LedgerRecord::Grant(grant) => self.grant(grant),
            LedgerRecord::Open(open) => self.open(offset, open),
            LedgerRecord::Settle(settlement) => self.settle(settlement),
            LedgerRecord::Return(back) => self.give_back(back),
            LedgerRecord::Seal(seal) => self.seal(seal),
            LedgerRecord::Sealed(seal) => self.promise(seal),
        }
    }

    fn credit(&mut self, credit: &BudgetCredit) -> RecordVerdict {
        if !self.credits.insert(credit.id.clone()) {
            return RecordVerdict::Repeated;
        }
        let budget = self.budgets.entry(credit.budget.clone()).or_default();
        budget.team = credit.team.clone();
        budget.credited = budget.credited + credit.tokens;
        RecordVerdict::Accepted
    }

    fn grant(&mut self, grant: &AllowanceGrant) -> RecordVerdict {
        if self.grants.contains_key(&grant.id) {
            return RecordVerdict::Repeated;
        }
        let Some(budget) = self.budgets.get_mut(&grant.budget) else {
            return RecordVerdict::Void;
        };
        if grant.tokens > budget.free() {
            return RecordVerdict::Uncovered;
        }
        budget.outstanding = budget.outstanding + grant.tokens;
        let state = GrantState {
            grant: grant.clone(),
            outstanding: grant.tokens,
            charged: TokenCount::ZERO,
            sealing: false,
            sealed: BTreeSet::new(),
            reclaimed: false,
        };
        self.grants.insert(grant.id, state);
        RecordVerdict::Accepted
    }

    fn open(&mut self, offset: u64, open: &RequestOpen) -> RecordVerdict {
        let Some(grant) = self.grants.get(&open.grant) else {
            return RecordVerdict::Void;
        };
        if self.settled.contains_key(&open.key) {
            return RecordVerdict::Preceded;
        }
        let ended = (open.key.clone(), open.grant, open.attempt);
        if self.not_run.contains(&ended) {
            return RecordVerdict::Repeated;
        }
        let known = self.opens.get(&open.key).map_or(&[][..], Vec::as_slice);
        for state in known {
            if state.open.grant == open.grant && state.open.attempt == open.attempt {
                return RecordVerdict::Repeated;
            }
        }
        if open.exclusive && !known.is_empty() {
            return RecordVerdict::Preceded;
        }
        if grant.reclaimed {
            return RecordVerdict::Void;
        }
        let state = OpenState {
            open: open.clone(),
            offset,
        };
        self.opens.entry(open.key.clone()).or_default().push(state);
        RecordVerdict::Accepted
    }

    fn settle(&mut self, settlement: &RequestSettlement) -> RecordVerdict {
        let was_open = self.close_open(settlement);
        if settlement.end == SettledEnd::NotRun {
            let ended = (settlement.key.clone(), settlement.grant, settlement.attempt);
            self.not_run.insert(ended);
            self.drop_reservation(settlement, was_open, TokenCount::ZERO);
            return RecordVerdict::Accepted;
        }
        if self.settled.contains_key(&settlement.key) {
            self.drop_reservation(settlement, was_open, TokenCount::ZERO);
            return RecordVerdict::Repeated;
        }
        let reclaimed = self
            .grants
            .get(&settlement.grant)
            .is_none_or(|grant| grant.reclaimed);
        if reclaimed && !was_open {
            self.late.push(settlement.clone());
            return RecordVerdict::Void;
        }
        let charge = settlement.charge.min(settlement.reserved);
        self.drop_reservation(settlement, was_open, charge);
        self.settled
            .insert(settlement.key.clone(), settlement.clone());
        RecordVerdict::Accepted
    }

    /// Removes the open that `settlement` ends; false when it is not known.
    fn close_open(&mut self, settlement: &RequestSettlement) -> bool {
        let Some(opens) = self.opens.get_mut(&settlement.key) else {
            return false;
        };
        let before = opens.len();
        opens.retain(|state| {
            state.open.grant != settlement.grant || state.open.attempt != settlement.attempt
        });
        let closed = opens.len() < before;
        if opens.is_empty() {
            self.opens.remove(&settlement.key);
        }
        closed
    }

    /// Moves `charge` from outstanding to charged. Under a reclaimed grant
    /// the rest of the reservation is freed too, since nobody else may use it.
    fn drop_reservation(
        &mut self,
        settlement: &RequestSettlement,
        was_open: bool,
        charge: TokenCount,
    ) {
        let Some(grant) = self.grants.get_mut(&settlement.grant) else {
            return;
        };
        let Some(budget) = self.budgets.get_mut(&grant.grant.budget) else {
            return;
        };
        let charge = charge.min(grant.outstanding);
        let freed = if grant.reclaimed && was_open {
            settlement.reserved.min(grant.outstanding)
        } else {
            charge
        };
        grant.outstanding = grant.outstanding.saturating_sub(freed);
        budget.outstanding = budget.outstanding.saturating_sub(freed);
        grant.charged = grant.charged + charge;
        budget.charged = budget.charged + charge;
    }

    fn give_back(&mut self, back: &AllowanceReturn) -> RecordVerdict {
        let Some(grant) = self.grants.get_mut(&back.grant) else {
            return RecordVerdict::Void;
        };
        if grant.reclaimed || back.tokens > grant.outstanding {
            return RecordVerdict::Void;
        }
        let Some(budget) = self.budgets.get_mut(&grant.grant.budget) else {
            return RecordVerdict::Void;
        };
        grant.outstanding = grant.outstanding.saturating_sub(back.tokens);
        budget.outstanding = budget.outstanding.saturating_sub(back.tokens);
        RecordVerdict::Accepted
    }

    fn seal(&mut self, seal: &GrantSeal) -> RecordVerdict {
        let Some(grant) = self.grants.get_mut(&seal.grant) else {
            return RecordVerdict::Void;
        };
        if grant.sealing {
            return RecordVerdict::Repeated;
        }
        grant.sealing = true;
        RecordVerdict::Accepted
    }

    fn promise(&mut self, seal: &WitnessSeal) -> RecordVerdict {
        let Some(grant) = self.grants.get_mut(&seal.grant) else {
            return RecordVerdict::Void;
        };
        if !grant.sealing || !grant.grant.witnesses.contains(&seal.witness) {
            return RecordVerdict::Void;
        }
        if !grant.sealed.insert(seal.witness) {
            return RecordVerdict::Repeated;
        }
        let all = grant.grant.witnesses.len();
        if grant.sealed.len() == all {
            self.reclaim(seal.grant);
        }
        RecordVerdict::Accepted
    }

    /// Frees what no open of the grant may still need.
    fn reclaim(&mut self, id: GrantId) {
        let mut kept = TokenCount::ZERO;
        for state in self.opens.values().flatten() {
            if state.open.grant == id {
                kept = kept + state.open.reserved;
            }
        }
        let Some(grant) = self.grants.get_mut(&id) else {
            return;
        };
        let Some(budget) = self.budgets.get_mut(&grant.grant.budget) else {
            return;
        };
        let kept = kept.min(grant.outstanding);
        let freed = grant.outstanding.saturating_sub(kept);
        grant.outstanding = kept;
        grant.reclaimed = true;
        budget.outstanding = budget.outstanding.saturating_sub(freed);
    }
}

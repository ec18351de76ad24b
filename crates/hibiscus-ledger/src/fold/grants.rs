//! Grants, returns, splits and reclaim.

use hibiscus_types::GrantId;
use hibiscus_types::TokenCount;

use crate::fold::GrantState;
use crate::fold::LedgerFold;
use crate::fold::RecordVerdict;
use crate::record::AllowanceGrant;
use crate::record::AllowanceReturn;
use crate::record::AllowanceSplit;
use crate::record::GrantRelease;
use crate::record::GrantSeal;
use crate::record::LedgerRecord;
use crate::record::WitnessSeal;

impl LedgerFold {
    /// Accepts a grant that the budget covers. The first verdict of a number
    /// is final: a copy of a refused grant must not take effect later, when
    /// its holder has given the number up.
    pub(super) fn grant(&mut self, offset: u64, grant: &AllowanceGrant) -> RecordVerdict {
        if self.has_decided(&grant.id) {
            return RecordVerdict::Repeated;
        }
        let budget = self.budgets.get_mut(&grant.budget);
        let free = budget.as_ref().map(|budget| budget.free());
        let Some(budget) = budget.filter(|budget| grant.tokens <= budget.free()) else {
            self.refused.insert(grant.id);
            self.adopt_orphans(grant.id);
            return match free {
                Some(_) => RecordVerdict::Uncovered,
                None => RecordVerdict::Void,
            };
        };
        budget.outstanding = budget.outstanding + grant.tokens;
        self.grants.insert(grant.id, GrantState::new(offset, grant));
        self.adopt_orphans(grant.id);
        RecordVerdict::Accepted
    }

    pub(super) fn give_back(&mut self, back: &AllowanceReturn) -> RecordVerdict {
        let Some(grant) = self.grants.get_mut(&back.grant) else {
            return RecordVerdict::Void;
        };
        let tokens = back.total.saturating_sub(grant.returned);
        if tokens.is_zero() {
            return RecordVerdict::Repeated;
        }
        if grant.reclaimed || tokens > grant.outstanding {
            return RecordVerdict::Void;
        }
        let Some(budget) = self.budgets.get_mut(&grant.grant.budget) else {
            return RecordVerdict::Void;
        };
        grant.returned = back.total;
        grant.outstanding = grant.outstanding.saturating_sub(tokens);
        budget.outstanding = budget.outstanding.saturating_sub(tokens);
        RecordVerdict::Accepted
    }

    /// Moves a part of the parent to the child; the budget's sum stays.
    pub(super) fn split(&mut self, offset: u64, split: &AllowanceSplit) -> RecordVerdict {
        let child = &split.child;
        if self.has_decided(&child.id) {
            return RecordVerdict::Repeated;
        }
        let Some(parent) = self.grants.get_mut(&split.parent) else {
            return RecordVerdict::Void;
        };
        let covered = child.tokens <= parent.outstanding && child.budget == parent.grant.budget;
        if parent.reclaimed || !covered {
            self.refused.insert(child.id);
            self.adopt_orphans(child.id);
            return RecordVerdict::Void;
        }
        parent.outstanding = parent.outstanding.saturating_sub(child.tokens);
        self.grants.insert(child.id, GrantState::new(offset, child));
        self.adopt_orphans(child.id);
        RecordVerdict::Accepted
    }

    /// Keeps a record whose grant may still be made by a split.
    pub(super) fn keep_orphan(&mut self, offset: u64, record: LedgerRecord) -> RecordVerdict {
        if self.orphans.iter().any(|(_offset, held)| *held == record) {
            return RecordVerdict::Repeated;
        }
        self.orphans.push_back((offset, record));
        if self.orphans.len() > self.limits.orphans {
            let oldest = self.orphans.pop_front();
            if let Some((_offset, LedgerRecord::Settle(settlement))) = oldest {
                self.list_late(&settlement);
            }
        }
        RecordVerdict::Waiting
    }

    /// Applies the records that waited for the grant `id`.
    fn adopt_orphans(&mut self, id: GrantId) {
        let held = std::mem::take(&mut self.orphans);
        let mut adopted = Vec::new();
        for (offset, record) in held {
            let named = match &record {
                LedgerRecord::Open(open) => open.grant == id,
                LedgerRecord::Settle(settlement) => settlement.grant == id,
                _ => false,
            };
            if named {
                adopted.push((offset, record));
                continue;
            }
            self.orphans.push_back((offset, record));
        }
        for (offset, record) in adopted {
            self.apply_record(offset, &record);
        }
    }

    pub(super) fn seal(&mut self, seal: &GrantSeal) -> RecordVerdict {
        let Some(grant) = self.grants.get_mut(&seal.grant) else {
            return RecordVerdict::Void;
        };
        if grant.sealing {
            return RecordVerdict::Repeated;
        }
        grant.sealing = true;
        RecordVerdict::Accepted
    }

    /// Takes a witness's promise. It may precede the proposal in the stream;
    /// it binds the witness all the same.
    pub(super) fn promise(&mut self, seal: &WitnessSeal) -> RecordVerdict {
        let Some(grant) = self.grants.get_mut(&seal.grant) else {
            return RecordVerdict::Void;
        };
        if !grant.grant.witnesses.contains(&seal.witness) {
            return RecordVerdict::Void;
        }
        if !grant.sealed.insert(seal.witness) {
            return RecordVerdict::Repeated;
        }
        grant.sealing = true;
        if grant.unsealed().next().is_none() {
            self.reclaim(seal.grant);
        }
        RecordVerdict::Accepted
    }

    /// Frees a grant whose reclaim was proposed: without its witnesses, and
    /// without the ends of its open requests.
    pub(super) fn release(&mut self, release: &GrantRelease) -> RecordVerdict {
        let Some(grant) = self.grants.get(&release.grant) else {
            return RecordVerdict::Void;
        };
        if grant.is_closed() {
            return RecordVerdict::Repeated;
        }
        if !grant.sealing {
            return RecordVerdict::Void;
        }
        self.reclaim(release.grant);
        self.abandon(release.grant);
        RecordVerdict::Accepted
    }

    /// Frees what opens without an end keep. A settlement that still comes
    /// goes to the operators' list.
    fn abandon(&mut self, id: GrantId) {
        self.opens.retain(|_key, states| {
            states.retain(|state| state.open.grant != id);
            !states.is_empty()
        });
        let Some(grant) = self.grants.get_mut(&id) else {
            return;
        };
        let Some(budget) = self.budgets.get_mut(&grant.grant.budget) else {
            return;
        };
        budget.outstanding = budget.outstanding.saturating_sub(grant.outstanding);
        grant.outstanding = TokenCount::ZERO;
    }

    /// Frees what no open of the grant may still need.
    fn reclaim(&mut self, id: GrantId) {
        self.drop_charged_opens(id);
        let open = self.open_tokens(id);
        let Some(grant) = self.grants.get_mut(&id) else {
            return;
        };
        if grant.reclaimed {
            return;
        }
        let Some(budget) = self.budgets.get_mut(&grant.grant.budget) else {
            return;
        };
        let kept = open.min(grant.outstanding);
        let freed = grant.outstanding.saturating_sub(kept);
        grant.outstanding = kept;
        grant.reclaimed = true;
        budget.outstanding = budget.outstanding.saturating_sub(freed);
    }

    /// Removes the opens of `id` whose key was charged under another grant.
    fn drop_charged_opens(&mut self, id: GrantId) {
        let settled = &self.settled;
        self.opens.retain(|key, states| {
            if settled.contains_key(key) {
                states.retain(|state| state.open.grant != id);
            }
            !states.is_empty()
        });
    }
}

//! Opens and settlements.

use hibiscus_types::RequestKey;
use hibiscus_types::TokenCount;

use crate::fold::LedgerFold;
use crate::fold::OpenState;
use crate::fold::RERUNS_COUNTED;
use crate::fold::RecordVerdict;
use crate::record::LedgerRecord;
use crate::record::RequestOpen;
use crate::record::RequestSettlement;
use crate::record::SettledEnd;

impl LedgerFold {
    pub(super) fn open(&mut self, offset: u64, open: &RequestOpen) -> RecordVerdict {
        let Some(grant) = self.grants.get(&open.grant) else {
            if self.refused.contains(&open.grant) {
                return RecordVerdict::Void;
            }
            return self.keep_orphan(offset, LedgerRecord::Open(open.clone()));
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
        let alone = open.exclusive || known.iter().any(|state| state.open.exclusive);
        if alone && !known.is_empty() {
            return RecordVerdict::Preceded;
        }
        if grant.reclaimed {
            return RecordVerdict::Void;
        }
        if known.is_empty() && self.frozen.is_some_and(|frozen| grant.offset <= frozen) {
            return RecordVerdict::Frozen;
        }
        let state = OpenState {
            open: open.clone(),
            offset,
        };
        self.opens.entry(open.key.clone()).or_default().push(state);
        RecordVerdict::Accepted
    }

    pub(super) fn settle(&mut self, offset: u64, settlement: &RequestSettlement) -> RecordVerdict {
        let grant = self.grants.get(&settlement.grant);
        if grant.is_none() && !self.refused.contains(&settlement.grant) {
            return self.keep_orphan(offset, LedgerRecord::Settle(settlement.clone()));
        }
        let reclaimed = grant.is_none_or(|grant| grant.reclaimed);
        let frozen = self.frozen;
        let frozen = grant.is_some_and(|grant| frozen.is_some_and(|frozen| grant.offset <= frozen));
        let was_open = self.close_open(settlement);
        if settlement.end == SettledEnd::NotRun {
            return self.settle_not_run(offset, settlement, was_open);
        }
        if let Some(first) = self.settled.get(&settlement.key) {
            let run = (settlement.grant, settlement.attempt);
            if run != (first.grant, first.attempt) {
                let reruns = self.reruns.entry(settlement.key.clone()).or_default();
                if reruns.len() < RERUNS_COUNTED {
                    reruns.insert(run);
                }
            }
            // A run that got further than the one charged raises the charge:
            // the key still costs once, what its largest run used.
            let more = settlement.charge.min(settlement.reserved);
            let mut more = more.saturating_sub(first.charge);
            if reclaimed && !was_open {
                if !more.is_zero() {
                    self.list_late(settlement);
                }
                more = TokenCount::ZERO;
            }
            let paid = self.drop_reservation(settlement, was_open, more);
            if let Some(first) = self.settled.get_mut(&settlement.key) {
                first.charge = first.charge + paid;
            }
            return RecordVerdict::Repeated;
        }
        if !was_open && (reclaimed || frozen) {
            self.list_late(settlement);
            return if reclaimed {
                RecordVerdict::Void
            } else {
                RecordVerdict::Frozen
            };
        }
        let charge = settlement.charge.min(settlement.reserved);
        let charged = self.drop_reservation(settlement, was_open, charge);
        if charged < charge {
            // No correct holder settles more than it was granted: operators
            // see what the grant could not pay for.
            self.list_late(settlement);
        }
        let kept = RequestSettlement {
            charge: charged,
            ..settlement.clone()
        };
        self.settled.insert(settlement.key.clone(), kept);
        self.settled_order
            .push_back((offset, settlement.key.clone()));
        self.free_copies(&settlement.key);
        RecordVerdict::Accepted
    }

    fn settle_not_run(
        &mut self,
        offset: u64,
        settlement: &RequestSettlement,
        was_open: bool,
    ) -> RecordVerdict {
        let key = settlement.key.clone();
        let ended = (key.clone(), settlement.grant, settlement.attempt);
        if !self.not_run.insert(ended) {
            return RecordVerdict::Repeated;
        }
        let order = (offset, key, settlement.grant, settlement.attempt);
        self.not_run_order.push_back(order);
        self.drop_reservation(settlement, was_open, TokenCount::ZERO);
        RecordVerdict::Accepted
    }

    /// Frees what other opens of the charged `key` hold under reclaimed
    /// grants: nobody is left to settle them.
    fn free_copies(&mut self, key: &RequestKey) {
        let Some(opens) = self.opens.remove(key) else {
            return;
        };
        let mut kept = Vec::new();
        for state in opens {
            let Some(grant) = self.grants.get_mut(&state.open.grant) else {
                continue;
            };
            if !grant.reclaimed {
                kept.push(state);
                continue;
            }
            let Some(budget) = self.budgets.get_mut(&grant.grant.budget) else {
                continue;
            };
            let freed = state.open.reserved.min(grant.outstanding);
            grant.outstanding = grant.outstanding.saturating_sub(freed);
            budget.outstanding = budget.outstanding.saturating_sub(freed);
        }
        if !kept.is_empty() {
            self.opens.insert(key.clone(), kept);
        }
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

    /// Moves `charge` from outstanding to charged and says how much of it the
    /// grant could pay. Under a reclaimed grant the rest of the reservation is
    /// freed too, since nobody else may use it.
    fn drop_reservation(
        &mut self,
        settlement: &RequestSettlement,
        was_open: bool,
        charge: TokenCount,
    ) -> TokenCount {
        let Some(grant) = self.grants.get_mut(&settlement.grant) else {
            return TokenCount::ZERO;
        };
        let Some(budget) = self.budgets.get_mut(&grant.grant.budget) else {
            return TokenCount::ZERO;
        };
        let charge = charge.min(grant.outstanding);
        let freed = if grant.reclaimed && was_open {
            settlement.reserved.max(charge).min(grant.outstanding)
        } else {
            charge
        };
        grant.outstanding = grant.outstanding.saturating_sub(freed);
        budget.outstanding = budget.outstanding.saturating_sub(freed);
        grant.charged = grant.charged + charge;
        budget.charged = budget.charged + charge;
        charge
    }
}

//! Allowance held by one process, and the reservations made from it.

use std::collections::BTreeMap;

use hibiscus_types::BudgetName;
use hibiscus_types::GrantId;
use hibiscus_types::IncarnationId;
use hibiscus_types::TokenCount;

use crate::record::AllowanceGrant;
use crate::record::AllowanceReturn;
use crate::record::AllowanceSplit;

/// Tokens set aside for one request under one grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenReservation {
    /// The grant that pays.
    pub grant: GrantId,
    /// Tokens set aside.
    pub tokens: TokenCount,
    /// Witnesses of the grant.
    pub witnesses: Vec<IncarnationId>,
}

/// One grant as its holder sees it.
#[derive(Clone, Debug)]
struct HeldGrant {
    grant: AllowanceGrant,
    unreserved: TokenCount,
    reserved: TokenCount,
    returned: TokenCount,
    sealed: bool,
}

impl HeldGrant {
    /// Tokens that a request may reserve.
    fn usable(&self) -> TokenCount {
        if self.sealed {
            return TokenCount::ZERO;
        }
        self.unreserved
    }

    /// Takes `tokens` out, to be given back to the ledger.
    fn give_back(&mut self, tokens: TokenCount) -> AllowanceReturn {
        self.unreserved = self.unreserved.saturating_sub(tokens);
        self.returned = self.returned + tokens;
        AllowanceReturn {
            grant: self.grant.id,
            total: self.returned,
        }
    }
}

/// All grants of one process.
#[derive(Clone, Debug, Default)]
pub struct HeldAllowance {
    grants: BTreeMap<GrantId, HeldGrant>,
}

impl HeldAllowance {
    /// Adds a grant that the ledger accepted. A repeat changes nothing.
    pub fn add(&mut self, grant: AllowanceGrant) {
        self.grants.entry(grant.id).or_insert_with(|| HeldGrant {
            unreserved: grant.tokens,
            reserved: TokenCount::ZERO,
            returned: TokenCount::ZERO,
            sealed: false,
            grant,
        });
    }

    /// Whether anything of `grant` is held or reserved.
    pub fn holds(&self, grant: GrantId) -> bool {
        self.grants.contains_key(&grant)
    }

    /// Tokens of `budget` that are not reserved.
    pub fn unreserved(&self, budget: &BudgetName) -> TokenCount {
        let held = self.grants.values();
        let named = held.filter(|held| held.grant.budget == *budget);
        named.map(HeldGrant::usable).sum()
    }

    /// Whether one grant covers `tokens` of `budget`.
    pub fn fits(&self, budget: &BudgetName, tokens: TokenCount) -> bool {
        let mut held = self.grants.values();
        held.any(|held| held.grant.budget == *budget && held.usable() >= tokens)
    }

    /// Tokens of `budget` that requests in progress have set aside.
    pub fn reserved(&self, budget: &BudgetName) -> TokenCount {
        let held = self.grants.values();
        let named = held.filter(|held| held.grant.budget == *budget);
        named.map(|held| held.reserved).sum()
    }

    /// Sets `tokens` of `budget` aside, from the grant that they fit best, so
    /// that large grants stay whole for large requests.
    pub fn reserve(&mut self, budget: &BudgetName, tokens: TokenCount) -> Option<TokenReservation> {
        let fitting = self
            .grants
            .values_mut()
            .filter(|held| held.grant.budget == *budget && !held.sealed)
            .filter(|held| held.unreserved >= tokens);
        let held = fitting.min_by_key(|held| held.unreserved)?;
        held.unreserved = held.unreserved.saturating_sub(tokens);
        held.reserved = held.reserved + tokens;
        Some(TokenReservation {
            grant: held.grant.id,
            tokens,
            witnesses: held.grant.witnesses.clone(),
        })
    }

    /// Ends a reservation of which `charge` was used.
    pub fn settle(&mut self, reservation: &TokenReservation, charge: TokenCount) {
        let Some(held) = self.grants.get_mut(&reservation.grant) else {
            return;
        };
        let unused = reservation.tokens.saturating_sub(charge);
        held.reserved = held.reserved.saturating_sub(reservation.tokens);
        held.unreserved = held.unreserved + unused;
        if held.reserved.is_zero() && (held.sealed || held.unreserved.is_zero()) {
            self.grants.remove(&reservation.grant);
        }
    }

    /// A witness refused because `grant` is sealed: nothing more is reserved
    /// from it, and what is left belongs to the reclaim.
    pub fn seal(&mut self, grant: GrantId) {
        let Some(held) = self.grants.get_mut(&grant) else {
            return;
        };
        held.sealed = true;
        if held.reserved.is_zero() {
            self.grants.remove(&grant);
        }
    }

    /// Takes the unreserved tokens of `budget` beyond `kept` out, smallest
    /// grants first, to be given back to the ledger.
    pub fn take_beyond(&mut self, budget: &BudgetName, kept: TokenCount) -> Vec<AllowanceReturn> {
        let mut excess = self.unreserved(budget).saturating_sub(kept);
        let held = self.grants.values_mut();
        let mut named: Vec<_> = held
            .filter(|held| held.grant.budget == *budget && !held.usable().is_zero())
            .collect();
        named.sort_by_key(|held| held.unreserved);
        let mut returns = Vec::new();
        for held in named {
            let tokens = excess.min(held.unreserved);
            if tokens.is_zero() {
                break;
            }
            excess = excess.saturating_sub(tokens);
            returns.push(held.give_back(tokens));
        }
        self.drop_empty();
        returns
    }

    /// Takes all unreserved tokens out, to be given back to the ledger.
    pub fn take_unreserved(&mut self) -> Vec<(BudgetName, AllowanceReturn)> {
        let mut taken = Vec::new();
        for held in self.grants.values_mut() {
            if held.usable().is_zero() {
                continue;
            }
            let budget = held.grant.budget.clone();
            let tokens = held.unreserved;
            taken.push((budget, held.give_back(tokens)));
        }
        self.drop_empty();
        taken
    }

    /// Takes up to `tokens` out of one grant for a peer, whose grant is made
    /// by `child` from the parent and the tokens. The parent's witnesses must
    /// acknowledge the split before the peer is told.
    pub fn split<F>(
        &mut self,
        budget: &BudgetName,
        tokens: TokenCount,
        child: F,
    ) -> Option<(AllowanceSplit, Vec<IncarnationId>)>
    where
        F: FnOnce(&AllowanceGrant, TokenCount) -> AllowanceGrant,
    {
        let held = self.grants.values_mut();
        let named = held.filter(|held| held.grant.budget == *budget && !held.usable().is_zero());
        let held = named.max_by_key(|held| held.unreserved)?;
        let tokens = tokens.min(held.unreserved);
        held.unreserved = held.unreserved.saturating_sub(tokens);
        let split = AllowanceSplit {
            parent: held.grant.id,
            child: child(&held.grant, tokens),
        };
        let witnesses = held.grant.witnesses.clone();
        self.drop_empty();
        Some((split, witnesses))
    }

    /// Removes grants of which nothing is left.
    fn drop_empty(&mut self) {
        self.grants
            .retain(|_id, held| !(held.unreserved.is_zero() && held.reserved.is_zero()));
    }
}

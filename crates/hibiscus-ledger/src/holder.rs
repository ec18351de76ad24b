//! Allowance held by one process, and the reservations made from it.

use std::collections::BTreeMap;

use hibiscus_types::BudgetName;
use hibiscus_types::GrantId;
use hibiscus_types::IncarnationId;
use hibiscus_types::TokenCount;

use crate::record::AllowanceGrant;

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
            grant,
        });
    }

    /// Tokens of `budget` that are not reserved.
    pub fn unreserved(&self, budget: &BudgetName) -> TokenCount {
        let mut sum = TokenCount::ZERO;
        for held in self.grants.values() {
            if held.grant.budget == *budget {
                sum = sum + held.unreserved;
            }
        }
        sum
    }

    /// Sets `tokens` of `budget` aside, from the oldest grant that has them.
    pub fn reserve(&mut self, budget: &BudgetName, tokens: TokenCount) -> Option<TokenReservation> {
        for held in self.grants.values_mut() {
            if held.grant.budget != *budget || held.unreserved < tokens {
                continue;
            }
            held.unreserved = held.unreserved.saturating_sub(tokens);
            held.reserved = held.reserved + tokens;
            return Some(TokenReservation {
                grant: held.grant.id,
                tokens,
                witnesses: held.grant.witnesses.clone(),
            });
        }
        None
    }

    /// Ends a reservation of which `charge` was used.
    pub fn settle(&mut self, reservation: &TokenReservation, charge: TokenCount) {
        let Some(held) = self.grants.get_mut(&reservation.grant) else {
            return;
        };
        let unused = reservation.tokens.saturating_sub(charge);
        held.reserved = held.reserved.saturating_sub(reservation.tokens);
        held.unreserved = held.unreserved + unused;
    }

    /// Removes a grant, for one that was sealed.
    pub fn remove(&mut self, grant: GrantId) {
        self.grants.remove(&grant);
    }

    /// Takes all unreserved tokens out, to be returned to the ledger.
    pub fn take_unreserved(&mut self) -> Vec<(BudgetName, GrantId, TokenCount)> {
        let mut taken = Vec::new();
        for held in self.grants.values_mut() {
            if held.unreserved.is_zero() {
                continue;
            }
            let budget = held.grant.budget.clone();
            taken.push((budget, held.grant.id, held.unreserved));
            held.unreserved = TokenCount::ZERO;
        }
        taken
    }
}

//! Parts of the fold's state.

use std::collections::BTreeSet;

use hibiscus_types::IncarnationId;
use hibiscus_types::TeamName;
use hibiscus_types::TokenCount;
use serde::Deserialize;
use serde::Serialize;

use crate::record::AllowanceGrant;
use crate::record::RequestOpen;

/// Whether a record took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordVerdict {
    /// The record took effect.
    Accepted,
    /// The record repeats one that took effect.
    Repeated,
    /// The budget does not cover the record.
    Uncovered,
    /// Another open or settlement came first for the key.
    Preceded,
    /// The record names something that does not exist or has ended.
    Void,
    /// The record waits for the split that makes its grant.
    Waiting,
    /// The key is too old to tell a copy; operators see it.
    Frozen,
}

/// Bounds on the fold's memory. Verdicts depend on them, so all readers of a
/// deployment use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoldLimits {
    /// Ended keys kept before the oldest are forgotten where that is safe.
    pub keys: usize,
    /// Ended keys kept at most; past it the oldest grants are frozen.
    pub keys_bound: usize,
    /// Closed and refused grants kept.
    pub grants: usize,
    /// Incarnations whose last sequence is kept.
    pub incarnations: usize,
    /// Records kept for grants that are not known yet.
    pub orphans: usize,
    /// Settlements on the operators' list.
    pub late: usize,
    /// Records applied between two looks for what can be forgotten.
    pub forget_every: usize,
}

impl Default for FoldLimits {
    fn default() -> Self {
        Self {
            keys: 50_000,
            keys_bound: 100_000,
            grants: 20_000,
            incarnations: 10_000,
            orphans: 10_000,
            late: 10_000,
            forget_every: 4_096,
        }
    }
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
    /// Its position in the stream.
    pub offset: u64,
    /// What may still be charged under it.
    pub outstanding: TokenCount,
    /// Sum of the charges.
    pub charged: TokenCount,
    /// Sum of the returns.
    pub returned: TokenCount,
    /// Whether a reclaim was proposed.
    pub sealing: bool,
    /// Witnesses that promised.
    pub sealed: BTreeSet<IncarnationId>,
    /// Whether the rest was freed: all witnesses promised, or an operator
    /// released it.
    pub reclaimed: bool,
}

impl GrantState {
    /// The grant accepted at `offset`.
    pub fn new(offset: u64, grant: &AllowanceGrant) -> Self {
        Self {
            grant: grant.clone(),
            offset,
            outstanding: grant.tokens,
            charged: TokenCount::ZERO,
            returned: TokenCount::ZERO,
            sealing: false,
            sealed: BTreeSet::new(),
            reclaimed: false,
        }
    }

    /// Whether nothing more can be charged under the grant.
    pub fn is_closed(&self) -> bool {
        self.outstanding.is_zero()
    }

    /// Witnesses that have not promised yet.
    pub fn unsealed(&self) -> impl Iterator<Item = IncarnationId> {
        let witnesses = self.grant.witnesses.iter().copied();
        witnesses.filter(|witness| !self.sealed.contains(witness))
    }
}

/// An open without its settlement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenState {
    /// The open as accepted.
    pub open: RequestOpen,
    /// Its position in the stream.
    pub offset: u64,
}

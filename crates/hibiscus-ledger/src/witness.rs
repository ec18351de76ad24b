//! Hand-over buffer of a witness.
//!
//! A witness acknowledges an open or a settlement once it has put the entry
//! into its buffer, and the buffer's entries leave once the log holds them.
//! A sealed grant gets no further acknowledgement of opens.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use hibiscus_types::GrantId;
use hibiscus_types::IncarnationId;
use serde::Deserialize;
use serde::Serialize;

use crate::record::AllowanceSplit;
use crate::record::LedgerRecord;
use crate::record::RequestOpen;
use crate::record::RequestSettlement;
use crate::record::WitnessSeal;

/// Entries that a buffer holds at most.
pub const BUFFER_LIMIT: usize = 100_000;

/// What a witness answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WitnessAnswer {
    /// The entry is on its way to the log.
    Acknowledged,
    /// The grant is sealed: the request must not start.
    Sealed,
    /// The buffer is full or the process is stopping.
    Refused,
    /// The message was meant for an earlier incarnation.
    WrongIncarnation,
}

/// State of one witness.
#[derive(Clone, Debug)]
pub struct WitnessBuffer {
    incarnation: IncarnationId,
    sealed: BTreeSet<GrantId>,
    pending: VecDeque<LedgerRecord>,
}

impl WitnessBuffer {
    /// An empty buffer of `incarnation`.
    pub fn new(incarnation: IncarnationId) -> Self {
        Self {
            incarnation,
            sealed: BTreeSet::new(),
            pending: VecDeque::new(),
        }
    }

    /// Takes an open, unless its grant is sealed.
    pub fn open(&mut self, addressed: IncarnationId, open: &RequestOpen) -> WitnessAnswer {
        if addressed != self.incarnation {
            return WitnessAnswer::WrongIncarnation;
        }
        if self.sealed.contains(&open.grant) {
            return WitnessAnswer::Sealed;
        }
        self.push(LedgerRecord::Open(open.clone()))
    }

    /// Takes a settlement. One under a sealed grant is taken too: its open
    /// was acknowledged before the seal.
    pub fn settle(
        &mut self,
        addressed: IncarnationId,
        settlement: &RequestSettlement,
    ) -> WitnessAnswer {
        if addressed != self.incarnation {
            return WitnessAnswer::WrongIncarnation;
        }
        self.push(LedgerRecord::Settle(settlement.clone()))
    }

    /// Takes a split of a grant, unless the parent is sealed: like an open it
    /// must precede the promise of this witness.
    pub fn split(&mut self, addressed: IncarnationId, split: &AllowanceSplit) -> WitnessAnswer {
        if addressed != self.incarnation {
            return WitnessAnswer::WrongIncarnation;
        }
        if self.sealed.contains(&split.parent) {
            return WitnessAnswer::Sealed;
        }
        self.push(LedgerRecord::Split(split.clone()))
    }

    /// Promises to acknowledge no more opens under `grant`.
    pub fn seal(&mut self, addressed: IncarnationId, grant: GrantId) -> WitnessAnswer {
        if addressed != self.incarnation {
            return WitnessAnswer::WrongIncarnation;
        }
        if !self.sealed.insert(grant) {
            return WitnessAnswer::Acknowledged;
        }
        self.pending.push_back(LedgerRecord::Sealed(WitnessSeal {
            grant,
            witness: self.incarnation,
        }));
        WitnessAnswer::Acknowledged
    }

    /// Entries that the log does not hold yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Takes up to `limit` entries out, to be appended in this order.
    pub fn take(&mut self, limit: usize) -> Vec<LedgerRecord> {
        let count = limit.min(self.pending.len());
        self.pending.drain(..count).collect()
    }

    fn push(&mut self, record: LedgerRecord) -> WitnessAnswer {
        if self.pending.len() >= BUFFER_LIMIT {
            return WitnessAnswer::Refused;
        }
        self.pending.push_back(record);
        WitnessAnswer::Acknowledged
    }
}

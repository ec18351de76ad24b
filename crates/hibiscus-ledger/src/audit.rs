//! Checks a ledger stream from its records alone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use hibiscus_types::BudgetName;
use hibiscus_types::RequestKey;

use crate::fold::LedgerFold;
use crate::fold::RecordVerdict;
use crate::record::LedgerRecord;
use crate::record::SettledEnd;
use crate::recovery;
use crate::recovery::AppliedBatch;
use crate::recovery::LedgerReplay;

/// A budget's promise that the ledger breaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuditFault {
    /// Charged and outstanding tokens exceed the credits.
    Overspent {
        /// The budget.
        budget: BudgetName,
        /// The offset of the first record after which they do.
        offset: u64,
    },
    /// A request was charged a second time.
    ChargedTwice {
        /// The request.
        key: RequestKey,
        /// The offset of the second charge.
        offset: u64,
    },
}

impl fmt::Display for AuditFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Overspent { budget, offset } => {
                write!(f, "budget `{budget}` is overspent at offset {offset}")
            }
            Self::ChargedTwice { key, offset } => {
                write!(f, "request `{key}` is charged twice at offset {offset}")
            }
        }
    }
}

/// Folds a stream and collects what is wrong with it.
#[derive(Debug, Default)]
pub struct LedgerAudit {
    replay: LedgerReplay,
    charged: BTreeSet<RequestKey>,
    overspent: BTreeMap<BudgetName, u64>,
    faults: Vec<AuditFault>,
}

impl LedgerAudit {
    /// The offset to read from.
    pub fn expected(&self) -> u64 {
        self.replay.expected()
    }

    /// Records before `first` have expired: a snapshot must stand for them.
    pub fn skip_to(&mut self, first: u64) {
        self.replay.skip_to(first);
    }

    /// The ledger; `None` when no snapshot stands for the expired records.
    pub fn fold(&self) -> Option<&LedgerFold> {
        self.replay.fold()
    }

    /// What is wrong, in order of offset.
    pub fn faults(&self) -> &[AuditFault] {
        &self.faults
    }

    /// Number of requests charged since the oldest record read.
    pub fn charged_count(&self) -> usize {
        self.charged.len()
    }

    /// Takes the record at `offset`.
    ///
    /// # Errors
    ///
    /// Fails when a newer release wrote the record.
    pub fn take(&mut self, offset: u64, data: &[u8]) -> recovery::Result<()> {
        if let Some(applied) = self.replay.take(offset, data)? {
            self.check_charges(offset, &applied);
        }
        self.check_budgets(offset);
        Ok(())
    }

    fn check_charges(&mut self, offset: u64, applied: &AppliedBatch) {
        for (record, verdict) in applied.batch.records.iter().zip(&applied.verdicts) {
            let LedgerRecord::Settle(settlement) = record else {
                continue;
            };
            if *verdict != RecordVerdict::Accepted || settlement.end == SettledEnd::NotRun {
                continue;
            }
            if !self.charged.insert(settlement.key.clone()) {
                let key = settlement.key.clone();
                self.faults.push(AuditFault::ChargedTwice { key, offset });
            }
        }
    }

    /// Lists each overspent budget once, at its first offset.
    fn check_budgets(&mut self, offset: u64) {
        let Some(fold) = self.replay.fold() else {
            return;
        };
        let overspent: Vec<BudgetName> = fold.overspent().into_iter().cloned().collect();
        for budget in overspent {
            if self.overspent.insert(budget.clone(), offset).is_none() {
                self.faults.push(AuditFault::Overspent { budget, offset });
            }
        }
    }
}

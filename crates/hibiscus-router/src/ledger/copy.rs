//! Copies accepted configuration into the ledger, and the fold into snapshots.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use hibiscus_ledger::fold::LedgerFold;
use hibiscus_ledger::record::BudgetCredit;
use hibiscus_ledger::record::GrantRelease;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::record::RecordBatch;
use hibiscus_ledger::record::TopUpId;
use hibiscus_ledger::recovery;
use hibiscus_ledger::shard_of;
use hibiscus_types::GrantId;

use crate::context::SharedContext;
use crate::ledger::append::AppendRings;

/// Time between snapshots.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(600);
/// Records after which a snapshot is taken sooner.
const SNAPSHOT_RECORDS: usize = 20_000;

/// Copies top-ups and releases, each once from here; the fold ignores the
/// copies of other brokers.
#[derive(Debug, Default)]
pub struct ConfigCopier {
    credits: BTreeSet<TopUpId>,
    releases: BTreeSet<GrantId>,
}

impl ConfigCopier {
    /// Copies what the ledger of `shard` lacks.
    pub fn copy(
        &mut self,
        context: &SharedContext,
        appends: &AppendRings,
        shard: u32,
        fold: &LedgerFold,
    ) {
        let config = context.config.get();
        for top_up in config.top_ups.values() {
            let Some(budget) = config.budgets.get(&top_up.budget) else {
                continue;
            };
            if shard_of(&budget.team, context.settings.budgets.shards) != shard {
                continue;
            }
            let id = TopUpId(top_up.id.clone());
            if fold.has_credit(&id) || !self.credits.insert(id.clone()) {
                continue;
            }
            let credit = BudgetCredit {
                id,
                team: budget.team.clone(),
                budget: budget.name.clone(),
                tokens: top_up.tokens,
            };
            appends.push(shard, LedgerRecord::Credit(credit));
        }
        for release in config.releases.values() {
            let grant = release.grant;
            let held = fold.grants().get(&grant);
            let frees = held.is_some_and(|state| state.sealing && !state.is_closed());
            if frees && self.releases.insert(grant) {
                appends.push(shard, LedgerRecord::Release(GrantRelease { grant }));
            }
        }
    }
}

/// Says when the next snapshot of a shard is due.
#[derive(Debug)]
pub struct SnapshotClock {
    last: Instant,
    records: usize,
}

impl Default for SnapshotClock {
    fn default() -> Self {
        Self {
            last: Instant::now(),
            records: 0,
        }
    }
}

impl SnapshotClock {
    /// Counts the records of a batch; a snapshot among them starts afresh.
    pub fn count(&mut self, batch: &RecordBatch) {
        self.records += batch.records.len();
        let is_snapshot = |record| matches!(record, &LedgerRecord::Snapshot(_));
        if batch.records.iter().any(is_snapshot) {
            *self = Self::default();
        }
    }

    /// Appends a snapshot when one is due.
    pub fn step(&mut self, appends: &AppendRings, shard: u32, fold: &LedgerFold) {
        let old = self.last.elapsed() >= SNAPSHOT_INTERVAL && self.records > 0;
        if !old && self.records < SNAPSHOT_RECORDS {
            return;
        }
        *self = Self::default();
        if let Ok(snapshot) = recovery::snapshot(fold) {
            appends.push(shard, LedgerRecord::Snapshot(snapshot));
        }
    }
}

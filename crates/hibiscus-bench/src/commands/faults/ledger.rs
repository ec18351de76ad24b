//! The ledger as the log alone tells it.

use std::time::Duration;

use hibiscus_clients::log::HttpLog;
use hibiscus_clients::log::LogError;
use hibiscus_clients::log::LogService;
use hibiscus_ledger::fold::LedgerFold;
use hibiscus_ledger::fold::RecordVerdict;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::record::RecordBatch;
use hibiscus_ledger::record::SettledEnd;
use hibiscus_ledger::stream_of;
use hibiscus_types::UnixMillis;
use hibiscus_types::codec;
use hibiscus_types::codec::CodecError;

use crate::commands::faults::records::BudgetTotals;
use crate::commands::faults::records::ChargeRecord;
use crate::commands::faults::records::CreditRecord;
use crate::commands::faults::records::LedgerFacts;

/// Why the ledger cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    /// The log failed.
    #[error(transparent)]
    Log(#[from] LogError),
    /// A record cannot be read.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// Result of reading the ledger.
pub type Result<T> = std::result::Result<T, LedgerError>;

/// Folds the stream of the only shard from its first record.
pub fn read(log: &HttpLog) -> Result<LedgerFacts> {
    let stream = stream_of(0);
    let mut fold = LedgerFold::default();
    let mut facts = LedgerFacts::default();
    let mut next = 0;
    loop {
        let page = log.read(&stream, next, Duration::ZERO)?;
        let Some(last) = page.records.last() else {
            break;
        };
        next = last.offset + 1;
        for record in &page.records {
            let batch: RecordBatch = codec::decode(&record.data)?;
            let verdicts = fold.apply(record.offset, &batch);
            for (entry, verdict) in batch.records.iter().zip(verdicts) {
                if verdict == RecordVerdict::Accepted {
                    take(&mut facts, &fold, entry, record.appended);
                }
            }
        }
    }
    for (name, budget) in fold.budgets() {
        facts.budgets.push(BudgetTotals {
            budget: name.to_string(),
            credited: budget.credited.get(),
            charged: budget.charged.get(),
            outstanding: budget.outstanding.get(),
        });
    }
    Ok(facts)
}

/// Takes an accepted record over.
fn take(facts: &mut LedgerFacts, fold: &LedgerFold, entry: &LedgerRecord, appended: UnixMillis) {
    match entry {
        LedgerRecord::Credit(credit) => facts.credits.push(CreditRecord {
            budget: credit.budget.to_string(),
            tokens: credit.tokens.get(),
            appended,
        }),
        LedgerRecord::Settle(settlement) if settlement.end == SettledEnd::Ran => {
            let grant = fold.grants().get(&settlement.grant);
            facts.charges.push(ChargeRecord {
                key: settlement.key.key.clone(),
                budget: grant.map_or_else(String::new, |state| state.grant.budget.to_string()),
                tokens: settlement.charge.min(settlement.reserved).get(),
                appended,
            });
        }
        _ => {}
    }
}

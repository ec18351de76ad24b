//! The in-memory log: one fold, and what was appended to it.

use hibiscus_ledger::fold::LedgerFold;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::record::RecordBatch;
use hibiscus_types::IncarnationId;
use hibiscus_types::codec;

/// The log and its only reader.
#[derive(Default)]
pub struct MemoryLog {
    /// The ledger.
    pub fold: LedgerFold,
    /// Appends so far.
    pub appends: u64,
    /// Bytes appended so far.
    pub bytes: u64,
}

/// A process's records on their way to the log.
pub struct RecordQueue {
    incarnation: IncarnationId,
    sequence: u64,
    records: Vec<LedgerRecord>,
}

impl RecordQueue {
    /// An empty queue of a new incarnation.
    pub fn new(number: u128) -> Self {
        Self {
            incarnation: IncarnationId::from_u128(number),
            sequence: 0,
            records: Vec::new(),
        }
    }

    /// Adds a record.
    pub fn push(&mut self, record: LedgerRecord) {
        self.records.push(record);
    }

    /// Appends all records as one batch.
    pub fn flush(&mut self, log: &mut MemoryLog) {
        if self.records.is_empty() {
            return;
        }
        self.sequence += 1;
        let batch = RecordBatch {
            incarnation: self.incarnation,
            sequence: self.sequence,
            records: std::mem::take(&mut self.records),
        };
        let bytes = codec::encode(&batch).expect("a batch encodes");
        log.appends += 1;
        log.bytes += bytes.len() as u64;
        log.fold.apply(log.fold.next_offset(), &batch);
    }
}

//! Snapshots of the fold, and the start of a reader after older records have
//! expired.

use hibiscus_types::codec;
use hibiscus_types::codec::CodecError;
use hibiscus_types::hash::stable_hash;

use crate::fold::LedgerFold;
use crate::fold::RecordVerdict;
use crate::record::LedgerRecord;
use crate::record::LedgerSnapshot;
use crate::record::RecordBatch;

/// Why a stream cannot be folded on.
#[derive(Debug, thiserror::Error)]
pub enum RecoveryError {
    /// A newer release wrote to the stream: deciding without its records
    /// would give other verdicts than its own.
    #[error("failed to fold the ledger at offset {offset}")]
    NewerFormat {
        /// The offset of the record.
        offset: u64,
        /// The cause.
        source: CodecError,
    },
}

/// Result of folding.
pub type Result<T> = std::result::Result<T, RecoveryError>;

/// The fold's state as a record.
///
/// # Errors
///
/// Fails when the state cannot be encoded.
pub fn snapshot(fold: &LedgerFold) -> codec::Result<LedgerSnapshot> {
    let state = codec::encode(fold)?;
    Ok(LedgerSnapshot {
        next: fold.next_offset(),
        digest: stable_hash(&[&state]),
        state,
    })
}

/// The fold that a snapshot holds; `None` when its bytes are damaged.
pub fn restore(snapshot: &LedgerSnapshot) -> Option<LedgerFold> {
    if stable_hash(&[&snapshot.state]) != snapshot.digest {
        return None;
    }
    let fold: LedgerFold = codec::decode(&snapshot.state).ok()?;
    (fold.next_offset() == snapshot.next).then_some(fold)
}

/// What a record of the stream did.
#[derive(Debug)]
pub struct AppliedBatch {
    /// The batch.
    pub batch: RecordBatch,
    /// A verdict for each of its records.
    pub verdicts: Vec<RecordVerdict>,
}

/// A reader's way from the oldest retained record to the newest state. It
/// holds the records back until a snapshot stands for those that expired.
#[derive(Debug, Default)]
pub struct LedgerReplay {
    fold: LedgerFold,
    expected: u64,
    held: Vec<(u64, RecordBatch)>,
    stopped: bool,
}

impl LedgerReplay {
    /// The ledger so far; `None` while no snapshot stands for the expired
    /// records, or after a newer format was met.
    pub fn fold(&self) -> Option<&LedgerFold> {
        (self.is_whole() && !self.stopped).then_some(&self.fold)
    }

    /// The offset to read from.
    pub fn expected(&self) -> u64 {
        self.expected
    }

    /// Records before `first` have expired unread: reading goes on there.
    pub fn skip_to(&mut self, first: u64) {
        if first > self.expected {
            self.expected = first;
            self.held.clear();
        }
    }

    /// Whether every record below the next offset was folded.
    fn is_whole(&self) -> bool {
        self.fold.next_offset() >= self.expected
    }

    /// Takes the record at `offset`; `None` when its verdicts are not known.
    ///
    /// # Errors
    ///
    /// Fails for good when a newer release wrote the record.
    pub fn take(&mut self, offset: u64, data: &[u8]) -> Result<Option<AppliedBatch>> {
        if self.stopped || offset < self.expected {
            return Ok(None);
        }
        let whole = self.is_whole() && offset == self.expected;
        let batch = match codec::decode::<RecordBatch>(data) {
            Ok(batch) => Some(batch),
            Err(source @ CodecError::NewerFormat { .. }) => {
                self.stopped = true;
                return Err(RecoveryError::NewerFormat { offset, source });
            }
            Err(_) => None,
        };
        self.expected = offset.saturating_add(1);
        if whole {
            let Some(batch) = batch else {
                self.fold.skip(offset);
                return Ok(None);
            };
            let verdicts = self.fold.apply(offset, &batch);
            return Ok(Some(AppliedBatch { batch, verdicts }));
        }
        if let Some(batch) = batch {
            self.rebase(&batch);
            self.held.push((offset, batch));
            self.catch_up();
        }
        Ok(None)
    }

    /// Takes the newest snapshot of `batch` over. A reader never goes back.
    fn rebase(&mut self, batch: &RecordBatch) {
        for record in &batch.records {
            let LedgerRecord::Snapshot(snapshot) = record else {
                continue;
            };
            if snapshot.next <= self.fold.next_offset() {
                continue;
            }
            if let Some(fold) = restore(snapshot) {
                self.fold = fold;
            }
        }
    }

    /// Applies the held records once a snapshot reaches the first of them.
    fn catch_up(&mut self) {
        let first = self.held.first().map_or(self.expected, |held| held.0);
        if self.fold.next_offset() < first {
            return;
        }
        for (offset, batch) in std::mem::take(&mut self.held) {
            self.fold.apply(offset, &batch);
        }
        self.fold.skip(self.expected.saturating_sub(1));
    }
}

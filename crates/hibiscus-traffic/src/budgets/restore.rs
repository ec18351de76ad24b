//! Restores the accounts after the store came back from a copy.
//!
//! The copy lacks the newest records of the account stream. Every reader keeps the
//! records of the last seconds ([`RecentRecords`]), reads the stream again from the
//! start and appends those that it lacks, in their order ([`AccountRestore`]). Since all
//! readers had read parts of the same stream, the fold then grants the draws as before;
//! repeated records change nothing. The first holder appends at once, the others append
//! what is still missing a moment later. Records that close accounts follow when all have
//! had time to do so: an instance that began with a snapshot knows closes without the draws
//! before them, and a draw behind the close of its account counts nothing.
//!
//! Until the instances have had time to do so, the fold may show tokens as free that are
//! drawn. Draws wait meanwhile, and tokens of a draw that was under way are not used. An
//! instance whose account has fewer drawn tokens than it was granted draws the rest first.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::collections::hash_map::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account::AccountFold;
use hibiscus_ledger::account::AccountRecord;
use hibiscus_types::StoreEra;
use hibiscus_types::TokenCount;
use hibiscus_types::codec;

use crate::budgets::BudgetManager;
use crate::budgets::HeldBudget;

/// Age up to which records are kept: copies are some seconds old.
const RECORD_MEMORY: Duration = Duration::from_secs(30);
/// Largest sum of the sizes of the kept records.
const RECORD_MEMORY_BYTES: usize = 1024 * 1024;
/// Time after which holders other than the first append what is still missing.
const TAKEOVER_DELAY: Duration = Duration::from_millis(400);
/// Time without new draws: a read that waits learns of the change after 1.5 s, and
/// missing records are appended 0.4 s later.
const DRAW_PAUSE: Duration = Duration::from_millis(2_500);

/// An offset of the account stream in an era of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamPosition {
    /// Era of the store.
    pub era: StoreEra,
    /// The offset.
    pub offset: u64,
}

/// Encoded records of the account stream that were read a short time ago.
#[derive(Debug, Default)]
pub(super) struct RecentRecords {
    records: VecDeque<(Duration, Vec<u8>)>,
    bytes: usize,
}

impl RecentRecords {
    /// Adds a record that was read at `now`.
    pub(super) fn push(&mut self, record: &[u8], now: Duration) {
        self.bytes += record.len();
        self.records.push_back((now, record.to_vec()));
        while let Some((read_at, oldest)) = self.records.front() {
            let is_old = now.saturating_sub(*read_at) > RECORD_MEMORY;
            if !is_old && self.bytes <= RECORD_MEMORY_BYTES {
                break;
            }
            self.bytes -= oldest.len();
            self.records.pop_front();
        }
    }

    /// Removes and returns all records, oldest first.
    fn take(&mut self) -> Vec<Vec<u8>> {
        self.bytes = 0;
        self.records.drain(..).map(|(_at, record)| record).collect()
    }
}

/// Progress of a restore.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RestorePhase {
    /// The stream is read from the start.
    Reading,
    /// The stream was read to its end at this time.
    Read(Duration),
    /// Missing records were sent in the batch with this number.
    Sent(u64),
}

/// A restore of the accounts.
#[derive(Debug)]
pub(super) struct AccountRestore {
    began: Duration,
    phase: RestorePhase,
    /// Records that were read before, oldest first.
    known: Vec<Vec<u8>>,
    /// Hashes of the records that were read since.
    found: HashSet<u64>,
}

impl AccountRestore {
    /// Records that the stream has `record`.
    pub(super) fn note_found(&mut self, record: &[u8]) {
        self.found.insert(hash(record));
    }

    /// Removes and returns the known records that the stream lacks: those that close
    /// accounts, and all others.
    fn take_missing(&mut self) -> (Vec<Vec<u8>>, Vec<Vec<u8>>) {
        let mut missing = std::mem::take(&mut self.known);
        missing.retain(|record| !self.found.contains(&hash(record)));
        missing.into_iter().partition(|record| is_close(record))
    }
}

/// Whether `record` closes accounts. Such records are appended apart from others.
fn is_close(record: &[u8]) -> bool {
    let records = codec::decode::<Vec<AccountRecord>>(record).unwrap_or_default();
    let mut records = records.iter();
    records.any(|record| matches!(record, AccountRecord::Close { .. }))
}

fn hash(record: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    record.hash(&mut hasher);
    hasher.finish()
}

impl HeldBudget {
    /// Marks a draw that is under way as one that may be lost and whose tokens must not be
    /// used, and the last report as one that may be lost.
    fn discard_unread(&mut self) {
        self.void_serial = self.draw_serial;
        self.pending = false;
        self.reported_at = Duration::ZERO;
        let never = TokenCount::new(u64::MAX);
        self.reported_sums = (never, never);
    }
}

impl BudgetManager {
    /// Begins a restore, because the store came back from a copy. The stream is read
    /// from its start afterwards.
    pub fn begin_restore(&mut self, era: StoreEra, now: Duration) {
        let mut known = match self.restore.take() {
            Some(unfinished) => unfinished.known,
            None => Vec::new(),
        };
        known.append(&mut self.late_closes);
        known.extend(self.recent.take());
        self.restore = Some(AccountRestore {
            began: now,
            phase: RestorePhase::Reading,
            known,
            found: HashSet::new(),
        });
        self.era = era;
        self.fold = AccountFold::default();
        self.history.forget();
        self.stream_end = 0;
        self.stream_first = 0;
        self.snapshots.clear();
        self.draws_resume_at = now + DRAW_PAUSE;
        self.is_draw_pause = true;
        self.completeness.note_era_changed();
        self.unsent
            .retain(|record| !matches!(record, AccountRecord::Close { .. }));
        self.unsent_snapshots.clear();
        self.note_closes_dropped();
        for held in self.held.values_mut() {
            held.discard_unread();
        }
    }

    /// Records that the stream was read to its end at `now`.
    pub fn note_caught_up(&mut self, now: Duration) {
        self.note_stream_read(now);
        if let Some(restore) = &mut self.restore
            && restore.phase == RestorePhase::Reading
        {
            restore.phase = RestorePhase::Read(now);
        }
    }

    /// Returns tokens that the stream now grants to this instance and did not before: with
    /// other records between them, draws may be granted differently.
    fn return_excess(&mut self) {
        for (budget, held) in &mut self.held {
            let account = self.fold.budget(budget);
            let own = account.and_then(|account| account.holders.get(&self.holder));
            let drawn = own.map_or(TokenCount::ZERO, |own| own.drawn);
            let excess = held.quota.raise_drawn(drawn);
            held.quota.return_tokens(excess);
        }
    }

    /// Whether a restore has not appended and read back the missing records. `is_first`
    /// is whether this instance is the first holder of a budget.
    pub(super) fn advance_restore(&mut self, is_first: bool, now: Duration) -> bool {
        let Some(mut restore) = self.restore.take() else {
            return false;
        };
        match restore.phase {
            RestorePhase::Reading => {}
            RestorePhase::Read(at) => {
                if is_first || now.saturating_sub(at) >= TAKEOVER_DELAY {
                    let (closes, missing) = restore.take_missing();
                    self.late_closes = closes;
                    event!(
                        EventCode::AccountsRestored,
                        "era={} appended={} read={} end={} ms={}",
                        self.era,
                        missing.len(),
                        restore.found.len(),
                        self.fold.next_offset(),
                        now.saturating_sub(restore.began).as_millis()
                    );
                    restore.phase = RestorePhase::Sent(self.batch);
                    restore.known.clone_from(&missing);
                    self.unsent_encoded = missing;
                    self.send(now);
                }
            }
            RestorePhase::Sent(batch) => {
                if self.acknowledged >= batch.min(self.batch - 1) && self.has_read_own_records() {
                    self.return_excess();
                    return false;
                }
            }
        }
        self.restore = Some(restore);
        true
    }
}

//! The configuration in force and the records that led to it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use hibiscus_config::fold::ConfigFold;
use hibiscus_config::fold::Result;
use hibiscus_config::record::ConfigRecord;
use hibiscus_config::snapshot::ConfigSnapshot;
use hibiscus_config::state;
use hibiscus_config::state::StateHeader;
use hibiscus_config::state::StatePart;
use hibiscus_types::codec;

/// Records kept for peers.
const RECENT_RECORDS: usize = 1_024;
/// Bytes of records kept for peers.
const RECENT_BYTES: usize = 1024 * 1024;
/// Time that a state is kept for a peer that reads it part by part.
const PIN_TIME: Duration = Duration::from_secs(30);

/// The configuration of one process.
#[derive(Default)]
pub struct ConfigCell {
    snapshot: RwLock<Arc<ConfigSnapshot>>,
    held: Mutex<HeldConfig>,
    changed: Condvar,
    outdated: AtomicBool,
}

/// The fold and what peers may ask for.
#[derive(Default)]
struct HeldConfig {
    fold: ConfigFold,
    recent: VecDeque<(u64, Vec<u8>)>,
    recent_bytes: usize,
    pinned: Option<PinnedState>,
}

/// A state that a peer reads part by part.
struct PinnedState {
    fold: ConfigFold,
    header: StateHeader,
    until: Instant,
}

/// One accepted publication, for the time line.
#[derive(Clone, Debug)]
pub struct AcceptedRecord {
    /// The version that it brought.
    pub version: u64,
    /// The publication.
    pub record: ConfigRecord,
}

/// Records for a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TailPage {
    /// All records from the offset asked for.
    Records(Vec<(u64, Vec<u8>)>),
    /// The records are no longer held; the peer needs the whole state.
    Dropped,
}

impl ConfigCell {
    /// The version in force.
    pub fn get(&self) -> Arc<ConfigSnapshot> {
        let held = self.snapshot.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&held)
    }

    /// The offset of the next record needed.
    pub fn next_offset(&self) -> u64 {
        self.lock().fold.next_offset()
    }

    /// Takes records in order of offset; those taken before change nothing.
    /// Answers the publications accepted now.
    ///
    /// # Errors
    ///
    /// Fails when records are missing or a newer release wrote one; what came
    /// before is in force.
    pub fn take(&self, records: &[(u64, Vec<u8>)]) -> Result<Vec<AcceptedRecord>> {
        let mut held = self.lock();
        let mut accepted = Vec::new();
        let mut outcome = Ok(());
        for (offset, data) in records {
            let version = held.fold.version();
            let before = held.fold.next_offset();
            outcome = held.fold.apply_encoded(*offset, data);
            if outcome.is_err() {
                break;
            }
            if held.fold.next_offset() > before {
                held.keep(*offset, data);
            }
            if held.fold.version() == version {
                continue;
            }
            if let Ok(record) = codec::decode(data) {
                let version = held.fold.version();
                accepted.push(AcceptedRecord { version, record });
            }
        }
        if !accepted.is_empty() {
            let mut snapshot = ConfigSnapshot::clone(&self.get());
            for publication in &accepted {
                snapshot.apply(publication.version, &publication.record.changes);
            }
            self.put_in_force(snapshot);
        }
        outcome.map(|()| accepted)
    }

    /// Replaces the fold by a later one; false when it is not later.
    pub fn replace(&self, fold: ConfigFold) -> bool {
        let mut held = self.lock();
        if fold.next_offset() <= held.fold.next_offset() {
            return false;
        }
        held.recent.clear();
        held.recent_bytes = 0;
        held.fold = fold;
        self.put_in_force(ConfigSnapshot::from_fold(&held.fold));
        true
    }

    /// Puts `snapshot` in force unless a later version is.
    fn put_in_force(&self, snapshot: ConfigSnapshot) {
        let mut held = self
            .snapshot
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if snapshot.version > held.version {
            *held = Arc::new(snapshot);
        }
        drop(held);
        self.changed.notify_all();
    }

    /// Waits up to `limit` until `version` is in force; whether it is.
    pub fn wait_for(&self, version: u64, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        let mut held = self.lock();
        while held.fold.version() < version {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let (woken, _timeout) = self
                .changed
                .wait_timeout(held, left)
                .unwrap_or_else(PoisonError::into_inner);
            held = woken;
        }
        true
    }

    /// The records from offset `from`, for a peer.
    pub fn tail(&self, from: u64) -> TailPage {
        let held = self.lock();
        if from >= held.fold.next_offset() {
            return TailPage::Records(Vec::new());
        }
        let first = held.recent.front().map(|(offset, _data)| *offset);
        if first.is_none_or(|first| first > from) {
            return TailPage::Dropped;
        }
        let wanted = held.recent.iter().filter(|(offset, _data)| *offset >= from);
        TailPage::Records(wanted.cloned().collect())
    }

    /// A part of the whole state. The state is that of `next` while it is
    /// kept, otherwise the present one from its first part.
    pub fn part(&self, next: Option<u64>, index: u32) -> Option<StatePart> {
        let mut held = self.lock();
        let now = Instant::now();
        held.pinned = held.pinned.take().filter(|pinned| pinned.until > now);
        if held.fold.version() == 0 {
            return None;
        }
        if held.pinned.is_none() {
            let fold = held.fold.clone();
            let header = state::header(&fold).ok()?;
            held.pinned = Some(PinnedState {
                fold,
                header,
                until: now + PIN_TIME,
            });
        }
        let pinned = held.pinned.as_ref()?;
        let same = next.is_none_or(|next| next == pinned.header.next);
        let index = if same { index } else { 0 };
        Some(state::part(&pinned.fold, &pinned.header, index))
    }

    /// A copy of the fold.
    pub fn fold(&self) -> ConfigFold {
        self.lock().fold.clone()
    }

    /// Whether a newer release wrote a record, so that this one cannot tell
    /// what is in force.
    pub fn is_outdated(&self) -> bool {
        self.outdated.load(Ordering::Relaxed)
    }

    /// Notes that a newer release wrote a record; true the first time.
    pub fn note_outdated(&self) -> bool {
        !self.outdated.swap(true, Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, HeldConfig> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HeldConfig {
    /// Keeps a record for peers, and drops the oldest ones.
    fn keep(&mut self, offset: u64, data: &[u8]) {
        self.recent.push_back((offset, data.to_vec()));
        self.recent_bytes += data.len();
        while self.recent.len() > RECENT_RECORDS || self.recent_bytes > RECENT_BYTES {
            let Some((_offset, dropped)) = self.recent.pop_front() else {
                return;
            };
            self.recent_bytes -= dropped.len();
        }
    }
}

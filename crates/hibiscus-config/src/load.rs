//! Loads the configuration from the log: the newest complete snapshot, then
//! the records after it. The functions read through a [`PageSource`] and do no
//! I/O themselves.

use hibiscus_types::codec;
use hibiscus_types::page::PageSource;

use crate::CONFIG_STREAM;
use crate::SNAPSHOT_STREAM;
use crate::fold::ConfigFold;
use crate::fold::FoldError;
use crate::state::StateAssembly;
use crate::state::StatePart;

/// Offset beyond the end of any stream; a read from it returns only the bounds
/// of the stream.
const BEYOND_END: u64 = u64::MAX / 2;

/// An error of loading the configuration.
#[derive(Debug, thiserror::Error)]
pub enum LoadError<E: std::error::Error + 'static> {
    /// The log could not be read.
    #[error("failed to read the configuration from the log")]
    Source(#[source] E),
    /// A record could not be applied.
    #[error(transparent)]
    Fold(#[from] FoldError),
    /// Records expired, and no snapshot includes them.
    #[error("failed to find a snapshot: records up to {first} have expired")]
    Expired {
        /// Offset of the oldest retained record.
        first: u64,
    },
}

/// Result of loading the configuration.
pub type Result<T, E> = std::result::Result<T, LoadError<E>>;

/// Returns the newest complete snapshot in the log, if there is one.
///
/// # Errors
///
/// Fails if the log cannot be read.
pub fn newest_snapshot<S: PageSource>(source: &S) -> Result<Option<ConfigFold>, S::Error> {
    let read = |from| {
        source
            .page(SNAPSHOT_STREAM, from)
            .map_err(LoadError::Source)
    };
    let bounds = read(BEYOND_END)?;
    let mut assembly = StateAssembly::default();
    let mut at = bounds.end;
    // The parts of one snapshot are consecutive, unless two writers append at
    // the same time and interleave their parts. The loop therefore reads the
    // records one by one, newest first.
    while at > bounds.first {
        at -= 1;
        let page = read(at)?;
        // A page may start with a record before `at`, delivered again.
        let found = page.records.iter().find(|(offset, _data)| *offset == at);
        let Some((_offset, data)) = found else {
            continue;
        };
        let Ok(part) = codec::decode::<StatePart>(data) else {
            continue;
        };
        if let Ok(Some(fold)) = assembly.add_part(part) {
            return Ok(Some(fold));
        }
    }
    Ok(None)
}

/// Applies all later records of the log to `fold`. If the next records of
/// `fold` have expired, the newest snapshot replaces it first.
///
/// # Errors
///
/// Fails if the log cannot be read, a newer release wrote a record, or
/// no snapshot includes the expired records.
pub fn catch_up<S: PageSource>(source: &S, fold: &mut ConfigFold) -> Result<(), S::Error> {
    loop {
        let page = source
            .page(CONFIG_STREAM, fold.next_offset())
            .map_err(LoadError::Source)?;
        if page.first > fold.next_offset() {
            let first = page.first;
            let found = newest_snapshot(source)?;
            let found = found.filter(|found| found.next_offset() >= first);
            *fold = found.ok_or(LoadError::Expired { first })?;
            continue;
        }
        for (offset, data) in &page.records {
            fold.apply_encoded(*offset, data)?;
        }
        if fold.next_offset() >= page.end {
            return Ok(());
        }
    }
}

/// Loads the configuration from the newest snapshot and all later records.
///
/// # Errors
///
/// Fails in the same cases as [`catch_up`].
pub fn load<S: PageSource>(source: &S) -> Result<ConfigFold, S::Error> {
    let mut fold = newest_snapshot(source)?.unwrap_or_default();
    catch_up(source, &mut fold)?;
    Ok(fold)
}

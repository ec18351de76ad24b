//! Loads the configuration from the log: the newest whole snapshot, then the
//! records after it. The caller brings the reads, so nothing here does I/O.

use hibiscus_types::codec;
use hibiscus_types::page::PageSource;

use crate::CONFIG_STREAM;
use crate::SNAPSHOT_STREAM;
use crate::fold::ConfigFold;
use crate::fold::FoldError;
use crate::state::StateAssembly;
use crate::state::StatePart;

/// A read beyond the end of a stream, which answers only its bounds.
const BEYOND_END: u64 = u64::MAX / 2;

/// Why the configuration cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError<E: std::error::Error + 'static> {
    /// The log cannot be read.
    #[error("failed to read the configuration from the log")]
    Source(#[source] E),
    /// A record cannot be taken.
    #[error(transparent)]
    Fold(#[from] FoldError),
    /// Records expired and no snapshot holds them.
    #[error("failed to find a snapshot: records up to {first} have expired")]
    Expired {
        /// The oldest retained record.
        first: u64,
    },
}

/// Result of loading.
pub type Result<T, E> = std::result::Result<T, LoadError<E>>;

/// The newest whole snapshot in the log, if there is one.
///
/// # Errors
///
/// Fails when the log cannot be read.
pub fn newest_snapshot<S: PageSource>(source: &S) -> Result<Option<ConfigFold>, S::Error> {
    let read = |from| {
        source
            .page(SNAPSHOT_STREAM, from)
            .map_err(LoadError::Source)
    };
    let bounds = read(BEYOND_END)?;
    let mut assembly = StateAssembly::default();
    let mut at = bounds.end;
    // Parts of one snapshot stand together, but those of two writers may
    // mix: each step back takes one more record, newest first.
    while at > bounds.first {
        at -= 1;
        let page = read(at)?;
        // A page may start with a record that was delivered before.
        let found = page.records.iter().find(|(offset, _data)| *offset == at);
        let Some((_offset, data)) = found else {
            continue;
        };
        let Ok(part) = codec::decode::<StatePart>(data) else {
            continue;
        };
        if let Ok(Some(fold)) = assembly.take(part) {
            return Ok(Some(fold));
        }
    }
    Ok(None)
}

/// Takes all records after `fold` that the log holds. A fold that the log no
/// longer reaches is replaced by the newest snapshot.
///
/// # Errors
///
/// Fails when the log cannot be read, a newer release wrote a record, or
/// expired records are in no snapshot.
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
            fold.take(*offset, data)?;
        }
        if fold.next_offset() >= page.end {
            return Ok(());
        }
    }
}

/// The configuration that the log holds now.
///
/// # Errors
///
/// Fails as [`catch_up`] does.
pub fn load<S: PageSource>(source: &S) -> Result<ConfigFold, S::Error> {
    let mut fold = newest_snapshot(source)?.unwrap_or_default();
    catch_up(source, &mut fold)?;
    Ok(fold)
}

//! The publications that the log still holds, and their verdicts.

use std::time::Duration;

use hibiscus_clients::log::LogError;
use hibiscus_clients::log::LogRecord;
use hibiscus_clients::log::LogService;
use hibiscus_config::CONFIG_STREAM;
use hibiscus_config::fold::ConfigFold;
use hibiscus_config::fold::PublicationVerdict;
use hibiscus_config::load;
use hibiscus_config::load::LoadError;
use hibiscus_config::record::ConfigRecord;
use hibiscus_types::UnixMillis;
use hibiscus_types::codec;
use hibiscus_types::page::PageSource;

/// Result of reading the history.
pub type Result<T> = std::result::Result<T, LoadError<LogError>>;

/// One publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistoryEntry {
    /// Its offset.
    pub offset: u64,
    /// Time at which the log accepted it.
    pub appended: UnixMillis,
    /// The publication, `None` when this release cannot read it.
    pub record: Option<ConfigRecord>,
    /// Its verdict, `None` when it is no longer remembered.
    pub verdict: Option<PublicationVerdict>,
}

/// All publications that the log holds, oldest first.
///
/// # Errors
///
/// Fails when the log cannot be read.
pub fn read<L>(log: &L) -> Result<Vec<HistoryEntry>>
where
    L: LogService + PageSource<Error = LogError>,
{
    let fold = load::load(log)?;
    let mut history = Vec::new();
    let mut next = log.page(CONFIG_STREAM, 0).map_err(LoadError::Source)?.first;
    loop {
        let page = log
            .read(CONFIG_STREAM, next, Duration::ZERO)
            .map_err(LoadError::Source)?;
        for record in &page.records {
            if record.offset < next {
                continue;
            }
            next = record.offset + 1;
            history.push(entry_of(&fold, record));
        }
        if page.records.is_empty() || next >= page.end {
            return Ok(history);
        }
    }
}

/// The publication in `record`, with the verdict that `fold` remembers.
fn entry_of(fold: &ConfigFold, record: &LogRecord) -> HistoryEntry {
    let publication: Option<ConfigRecord> = codec::decode(&record.data).ok();
    let verdict = publication
        .as_ref()
        .and_then(|publication| fold.verdict(publication.publication));
    HistoryEntry {
        offset: record.offset,
        appended: record.appended,
        verdict: verdict.cloned(),
        record: publication,
    }
}

//! Reads the ledger from the log alone.

use std::time::Duration;

use hibiscus_clients::log::LogError;
use hibiscus_clients::log::LogService;
use hibiscus_ledger::audit::LedgerAudit;
use hibiscus_ledger::recovery::RecoveryError;
use hibiscus_ledger::stream_of;

/// Why the ledger cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    /// The log cannot be read.
    #[error("failed to read ledger stream `{stream}`")]
    Log {
        /// The stream.
        stream: String,
        /// The cause.
        source: LogError,
    },
    /// A newer release wrote to the stream.
    #[error("failed to read ledger stream `{stream}`: a newer release wrote it")]
    Newer {
        /// The stream.
        stream: String,
        /// The cause.
        source: RecoveryError,
    },
    /// Records expired and no snapshot stands for them.
    #[error("failed to read ledger stream `{stream}`: no snapshot stands for its expired records")]
    Expired {
        /// The stream.
        stream: String,
    },
}

/// Result of reading the ledger.
pub type Result<T> = std::result::Result<T, LedgerError>;

/// Folds the stream of `shard` up to its end.
pub fn read<L: LogService>(log: &L, shard: u32) -> Result<LedgerAudit> {
    let stream = stream_of(shard);
    let mut audit = LedgerAudit::default();
    loop {
        let page = match log.read(&stream, audit.expected(), Duration::ZERO) {
            Ok(page) => page,
            Err(LogError::Expired { first, .. }) => {
                audit.skip_to(first);
                continue;
            }
            Err(source) => return Err(LedgerError::Log { stream, source }),
        };
        for record in &page.records {
            let taken = audit.take(record.offset, &record.data);
            taken.map_err(|source| LedgerError::Newer {
                stream: stream.clone(),
                source,
            })?;
        }
        if page.records.is_empty() || audit.expected() >= page.end {
            break;
        }
    }
    if audit.fold().is_none() {
        return Err(LedgerError::Expired { stream });
    }
    Ok(audit)
}

//! Where a process writes its log.

use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;

/// Result of starting the log.
pub type Result<T> = std::result::Result<T, FlexiLoggerError>;

/// Writes events of at least `level` to standard error. The environment
/// variable `RUST_LOG` overrides the level.
pub fn start(level: &str) -> Result<()> {
    let handle = Logger::try_with_env_or_str(level)?
        .log_to_stderr()
        .start()?;
    // The logger must outlive the process's threads.
    std::mem::forget(handle);
    Ok(())
}

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

/// Writes lines of at least `level` to standard output.
///
/// # Errors
///
/// Fails when `level` names no level or a logger was started before.
pub fn start_stdout(level: &str) -> Result<()> {
    let handle = Logger::try_with_str(level)?
        .log_to_stdout()
        .format(plain_line)
        .start()?;
    // The logger must outlive the process's threads.
    std::mem::forget(handle);
    Ok(())
}

/// One line: level and text; the platform adds the time and the process.
fn plain_line(
    out: &mut dyn std::io::Write,
    _now: &mut flexi_logger::DeferredNow,
    record: &log::Record<'_>,
) -> std::io::Result<()> {
    write!(out, "{} {}", record.level(), record.args())
}

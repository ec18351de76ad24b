//! Log output of a process, with a limit on the number of lines per second.

use std::fmt;
use std::fmt::Arguments;
use std::io;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::Level;

use crate::catalogue::EventCode;
use crate::output::OutputRing;

/// Number of log lines per second from which on routine events are dropped. An
/// instance usually serves 20 requests per second, and a line costs about
/// 20 us.
const ROUTINE_LINES: u32 = 150;
/// Number of log lines per second from which on all events are dropped.
const ALL_LINES: u32 = 400;
/// Metric that counts dropped log lines.
pub const DROPPED_METRIC: &str = "hibiscus_log_lines_dropped_total";
/// Length of the window in which lines are counted.
const LINE_WINDOW: Duration = Duration::from_secs(1);

/// Limits the number of log lines per window.
#[derive(Debug)]
struct LineLimiter {
    window_start: Option<Instant>,
    written: u32,
    dropped: u64,
}

/// The limiter of this process.
static LINES: Mutex<LineLimiter> = Mutex::new(LineLimiter {
    window_start: None,
    written: 0,
    dropped: 0,
});

impl LineLimiter {
    /// Returns whether a line of `code` may be written, and counts it.
    ///
    /// Failures have a higher limit than routine events. So do gauges and the
    /// events of recovery after a start: they are few, and are most useful
    /// when there is much to write.
    fn admit(&mut self, code: EventCode) -> bool {
        let is_few = matches!(
            code,
            EventCode::LevelsShown
                | EventCode::BudgetLevels
                | EventCode::AccountClosed
                | EventCode::TimeAgreed
        );
        let limit = if code.level() <= Level::Warn || is_few {
            ALL_LINES
        } else {
            ROUTINE_LINES
        };
        if self.written >= limit {
            self.dropped += 1;
            metrics::counter!(DROPPED_METRIC, "cause" => "volume").increment(1);
            return false;
        }
        self.written += 1;
        true
    }

    /// Starts a new window when the current one is over. Returns the number
    /// of lines that were dropped in the old window.
    fn advance_window(&mut self, now: Instant) -> u64 {
        let window_start = *self.window_start.get_or_insert(now);
        if now.saturating_duration_since(window_start) < LINE_WINDOW {
            return 0;
        }
        self.window_start = Some(now);
        self.written = 0;
        std::mem::take(&mut self.dropped)
    }
}

/// Writes one log line, unless the limit of the current second is reached. Use
/// the macro [`crate::event!`] to call it.
pub fn write(code: EventCode, fields: Arguments<'_>) {
    let level = code.level();
    if level > log::max_level() {
        return;
    }
    let now = Instant::now();
    let (dropped, admitted) = {
        let mut lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
        (lines.advance_window(now), lines.admit(code))
    };
    if dropped > 0 {
        let code = EventCode::LinesDropped;
        log::log!(
            code.level(),
            "{} {} lines={dropped}",
            code.number(),
            code.text()
        );
    }
    if admitted {
        log::log!(level, "{} {} {fields}", code.number(), code.text());
    }
}

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

/// Writes events of at least `level` to standard output without blocking the
/// threads that log them. Dropping the returned guard writes the last lines.
///
/// # Errors
///
/// Fails when `level` is not a valid level, a logger is already installed or
/// the writer thread cannot be created.
pub fn start_stdout(level: &str) -> Result<LogGuard> {
    let ring = OutputRing::start(io::stdout())?;
    let handle = Logger::try_with_str(level)?
        .log_to_writer(Box::new(ring))
        .start()?;
    Ok(LogGuard { handle })
}

/// Writes the remaining log lines when it is dropped.
pub struct LogGuard {
    handle: LoggerHandle,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.handle.flush();
    }
}

impl fmt::Debug for LogGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogGuard").finish_non_exhaustive()
    }
}

//! Resource limits of the process and its resource usage.

use std::fs;
use std::time::Duration;

/// File with the memory usage of this process.
const STATUS_PATH: &str = "/proc/self/status";
/// Field of the resident memory in [`STATUS_PATH`], in KiB.
const RESIDENT_FIELD: &str = "VmRSS:";
/// File with the processor time of this process.
const STAT_PATH: &str = "/proc/self/stat";
/// Index of the user time among the fields after the program's name in
/// [`STAT_PATH`]. The system time follows it.
const USER_TIME_INDEX: usize = 11;
/// Milliseconds in a clock tick of [`STAT_PATH`], the same on all Linux systems.
const CLOCK_TICK_MS: u64 = 10;

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineLimits {
    /// Memory beyond which the process is killed, in bytes.
    pub memory_bytes: usize,
    /// Most open file descriptors.
    pub descriptors: usize,
    /// Processor cores that the process may use.
    pub cores: f64,
    /// Bandwidth of the link in bytes per second, if it is known.
    pub link_bytes_per_second: Option<f64>,
}

/// Resource usage of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MachineUse {
    /// Resident memory in bytes; 0 if the system doesn't report it.
    pub resident_bytes: usize,
    /// Processor time of all threads since the start, with a resolution of
    /// 10 ms.
    pub processor: Duration,
}

impl MachineUse {
    /// Reads the current usage from the system.
    pub fn read() -> Self {
        let status = fs::read_to_string(STATUS_PATH).unwrap_or_default();
        let stat = fs::read_to_string(STAT_PATH).unwrap_or_default();
        Self {
            resident_bytes: resident_bytes(&status),
            processor: processor_time(&stat),
        }
    }
}

/// Returns the resident memory of the process in bytes, or `None` if the system
/// doesn't report it.
pub fn resident() -> Option<usize> {
    let status = fs::read_to_string(STATUS_PATH).ok()?;
    Some(resident_bytes(&status)).filter(|bytes| *bytes > 0)
}

/// Parses the resident memory in bytes from the text of a status file.
fn resident_bytes(status: &str) -> usize {
    let field = status
        .lines()
        .find_map(|line| line.strip_prefix(RESIDENT_FIELD));
    let number = field.and_then(|field| field.split_whitespace().next());
    let kibibytes: usize = number.and_then(|text| text.parse().ok()).unwrap_or(0);
    kibibytes * 1024
}

/// Parses the processor time from the text of a stat file. The program's name,
/// in parentheses, may contain any character.
fn processor_time(stat: &str) -> Duration {
    let fields = stat.rsplit_once(')').map_or("", |(_name, fields)| fields);
    let spent = fields.split_whitespace().skip(USER_TIME_INDEX).take(2);
    let ticks: u64 = spent.filter_map(|field| field.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * CLOCK_TICK_MS)
}

/// Fires once when a level reaches the high threshold, and again only after the
/// level was below the low threshold. A level that stays near the high threshold
/// therefore fires only once.
#[derive(Clone, Copy, Debug)]
pub struct ThresholdTrigger {
    high: f64,
    low: f64,
    active: bool,
}

impl ThresholdTrigger {
    /// Creates a trigger with the thresholds `high` and `low`.
    pub const fn new(high: f64, low: f64) -> Self {
        Self {
            high,
            low,
            active: false,
        }
    }

    /// Whether `level` reaches the high threshold for the first time since it
    /// was below the low one.
    pub fn fires(&mut self, level: f64) -> bool {
        if level < self.low {
            self.active = false;
        }
        let fires = !self.active && level >= self.high;
        self.active |= fires;
        fires
    }
}

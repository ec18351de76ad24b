//! What the machine gives the process, and how much of it is used.

use std::fs;
use std::time::Duration;

/// File that tells the memory of this process.
const STATUS_PATH: &str = "/proc/self/status";
/// Field of the resident memory there, in KiB.
const RESIDENT_FIELD: &str = "VmRSS:";
/// File that tells the processor time of this process.
const TIMES_PATH: &str = "/proc/self/stat";
/// Position of the time in the program there, counted after the program's
/// name; that in the system follows.
const PROGRAM_TIME: usize = 11;
/// Milliseconds of one unit there, the same on all Linux systems.
const TIME_UNIT_MS: u64 = 10;

/// What the machine gives the process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineLimits {
    /// Memory beyond which the process is killed, in bytes.
    pub memory_bytes: usize,
    /// Open descriptors.
    pub descriptors: usize,
    /// Cores that the process gets.
    pub cores: f64,
}

/// What the process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MachineUse {
    /// Resident memory in bytes; 0 when the system does not tell it.
    pub resident_bytes: usize,
    /// Processor time of all threads since the start, to 10 ms.
    pub processor: Duration,
}

impl MachineUse {
    /// The present use.
    pub fn read() -> Self {
        let status = fs::read_to_string(STATUS_PATH).unwrap_or_default();
        let times = fs::read_to_string(TIMES_PATH).unwrap_or_default();
        Self {
            resident_bytes: resident_bytes(&status),
            processor: processor_time(&times),
        }
    }
}

/// Resident memory of the process in bytes; `None` when the system does not
/// tell it.
pub fn resident() -> Option<usize> {
    let status = fs::read_to_string(STATUS_PATH).ok()?;
    Some(resident_bytes(&status)).filter(|bytes| *bytes > 0)
}

/// The resident memory that the text of a status file tells.
fn resident_bytes(status: &str) -> usize {
    let field = status
        .lines()
        .find_map(|line| line.strip_prefix(RESIDENT_FIELD));
    let number = field.and_then(|field| field.split_whitespace().next());
    let kibibytes: usize = number.and_then(|text| text.parse().ok()).unwrap_or(0);
    kibibytes * 1024
}

/// The processor time that the text of a times file tells. The program's name,
/// in parentheses, may hold any character.
fn processor_time(times: &str) -> Duration {
    let fields = times.rsplit_once(')').map_or("", |(_name, fields)| fields);
    let spent = fields.split_whitespace().skip(PROGRAM_TIME).take(2);
    let units: u64 = spent.filter_map(|field| field.parse::<u64>().ok()).sum();
    Duration::from_millis(units * TIME_UNIT_MS)
}

/// Tells once when a level reaches a mark, and again only after it has been
/// below a lower one, so that a level at the mark is told no more often.
#[derive(Clone, Copy, Debug)]
pub struct ThresholdTrigger {
    high: f64,
    low: f64,
    raised: bool,
}

impl ThresholdTrigger {
    /// Watches for `high`, and for `low` after it.
    pub const fn new(high: f64, low: f64) -> Self {
        Self {
            high,
            low,
            raised: false,
        }
    }

    /// Whether `level` has reached the mark since it was low.
    pub fn fires(&mut self, level: f64) -> bool {
        if level < self.low {
            self.raised = false;
        }
        let fires = !self.raised && level >= self.high;
        self.raised |= fires;
        fires
    }
}

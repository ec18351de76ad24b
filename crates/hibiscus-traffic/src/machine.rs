//! What the machine gives the process, and how much of it is used.

use std::fs;
use std::time::Duration;

use nix::time::ClockId;

/// File that tells the memory of this process.
const STATUS_PATH: &str = "/proc/self/status";
/// Field of the resident memory there, in KiB.
const RESIDENT_FIELD: &str = "VmRSS:";

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
    /// Processor time since the start.
    pub processor: Duration,
}

impl MachineUse {
    /// The present use.
    pub fn read() -> Self {
        let status = fs::read_to_string(STATUS_PATH).unwrap_or_default();
        let processor = ClockId::CLOCK_PROCESS_CPUTIME_ID.now().map(Duration::from);
        Self {
            resident_bytes: resident_bytes(&status),
            processor: processor.unwrap_or_default(),
        }
    }
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

/// Tells once when a level reaches a mark, and again only after it has been
/// below a lower one, so that a level at the mark is told no more often.
#[derive(Clone, Copy, Debug)]
pub struct LevelWatch {
    high: f64,
    low: f64,
    raised: bool,
}

impl LevelWatch {
    /// Watches for `high`, and for `low` after it.
    pub const fn new(high: f64, low: f64) -> Self {
        Self {
            high,
            low,
            raised: false,
        }
    }

    /// Whether `level` has reached the mark since it was low.
    pub fn rises(&mut self, level: f64) -> bool {
        if level < self.low {
            self.raised = false;
        }
        let rises = !self.raised && level >= self.high;
        self.raised |= rises;
        rises
    }
}

//! Reaction of a process to memory pressure.
//!
//! The system kills a process that exceeds its memory, and all its requests are
//! lost. Before that, the process first drops what it can recreate, and then
//! refuses new requests while those in progress finish.

/// Fraction of the memory at which kept connections are dropped.
const TIGHT_RATIO: f64 = 0.80;
/// Fraction of the memory at which callers are refused. The rest is for memory
/// that requests in progress take before the next check, and for bytes that the
/// system counts but that the process has not read yet.
const FULL_RATIO: f64 = 0.88;
/// Fraction of the memory by which use must fall below a level's threshold to
/// leave the level, so that the level does not flap.
const HYSTERESIS_RATIO: f64 = 0.04;
/// Largest number of requests in progress at which a process with full memory
/// still accepts another one. Freed memory stays with the process, so its
/// memory may look full forever.
pub const FULL_REQUEST_LIMIT: usize = 4;

/// How much of its memory a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryPressure {
    /// There is room.
    #[default]
    Calm,
    /// The process drops what it can recreate.
    Tight,
    /// The process refuses new requests.
    Full,
}

impl MemoryPressure {
    /// Whether another request may begin while `in_progress` requests are
    /// running.
    pub fn admits(self, in_progress: usize) -> bool {
        self < Self::Full || in_progress <= FULL_REQUEST_LIMIT
    }
}

/// Determines the memory pressure from the memory in use.
#[derive(Clone, Copy, Debug)]
pub struct PressureGauge {
    memory: usize,
    level: MemoryPressure,
}

impl PressureGauge {
    /// Creates a gauge for a process that is killed beyond `memory` bytes.
    pub fn new(memory: usize) -> Self {
        Self {
            memory,
            level: MemoryPressure::Calm,
        }
    }

    /// The level at the last observation.
    pub fn level(&self) -> MemoryPressure {
        self.level
    }

    /// Records that `used` bytes are in use. Returns whether the level changed.
    pub fn observe(&mut self, used: usize) -> bool {
        let used = used as f64 / self.memory.max(1) as f64;
        let reached = |ratio: f64, level: MemoryPressure| {
            let hysteresis = if self.level >= level {
                HYSTERESIS_RATIO
            } else {
                0.0
            };
            used >= ratio - hysteresis
        };
        let level = if reached(FULL_RATIO, MemoryPressure::Full) {
            MemoryPressure::Full
        } else if reached(TIGHT_RATIO, MemoryPressure::Tight) {
            MemoryPressure::Tight
        } else {
            MemoryPressure::Calm
        };
        let changed = level != self.level;
        self.level = level;
        changed
    }
}

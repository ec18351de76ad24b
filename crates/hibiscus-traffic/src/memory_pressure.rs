//! What a process does as its memory runs out.
//!
//! The system kills a process that exceeds its memory, and every request on it
//! is lost. Before that, what can be had again is dropped, then callers are
//! told to go elsewhere while the requests in progress end.

/// Part of the memory from which on kept connections are dropped.
const TIGHT_PART: f64 = 0.80;
/// Part of the memory from which on callers are refused. The rest is for what
/// the requests in progress may still take until the next look, and for bytes
/// that the system counts and the process has not read.
const FULL_PART: f64 = 0.88;
/// Part of the memory that use must fall by before a level is left, so that it
/// is not entered and left by turns.
const RELIEF_PART: f64 = 0.04;
/// Requests in progress up to which a process whose memory is full takes one
/// more: freed memory stays with the process, so it may look full for ever.
pub const FULL_REQUESTS: usize = 4;

/// How much of its memory a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryPressure {
    /// There is room.
    #[default]
    Calm,
    /// What can be had again is to be dropped.
    Tight,
    /// New requests are to be refused.
    Full,
}

impl MemoryPressure {
    /// Whether one more request may begin while `in_progress` have not ended.
    pub fn admits(self, in_progress: usize) -> bool {
        self < Self::Full || in_progress <= FULL_REQUESTS
    }
}

/// Tells the level from what the process uses.
#[derive(Clone, Copy, Debug)]
pub struct PressureGauge {
    memory: usize,
    level: MemoryPressure,
}

impl PressureGauge {
    /// A gauge of a process that is killed beyond `memory` bytes.
    pub fn new(memory: usize) -> Self {
        Self {
            memory,
            level: MemoryPressure::Calm,
        }
    }

    /// The level at the last look.
    pub fn level(&self) -> MemoryPressure {
        self.level
    }

    /// Takes over that `used` bytes are in use; true when the level changed.
    pub fn observe(&mut self, used: usize) -> bool {
        let used = used as f64 / self.memory.max(1) as f64;
        let reached = |part: f64, level: MemoryPressure| {
            let relief = if self.level >= level {
                RELIEF_PART
            } else {
                0.0
            };
            used >= part - relief
        };
        let level = if reached(FULL_PART, MemoryPressure::Full) {
            MemoryPressure::Full
        } else if reached(TIGHT_PART, MemoryPressure::Tight) {
            MemoryPressure::Tight
        } else {
            MemoryPressure::Calm
        };
        let changed = level != self.level;
        self.level = level;
        changed
    }
}

//! What each duty may take of the machine's memory and descriptors.
//!
//! One budget for all: the shares together stay below what the machine gives a
//! process, since beyond it the system kills the process.

use crate::callers::CallerBounds;

/// Memory of the program with its libraries and tables, in bytes: 13 to 15 MB
/// of idle instances of a fleet of 62.
const PROGRAM_BYTES: usize = 16_000_000;
/// Largest part of the memory that is set aside for the program, so that a
/// machine of less memory still serves.
const PROGRAM_RATIO: f64 = 0.5;
/// Memory of a caller's connection with a request, in bytes: two buffers of
/// 8 KiB, its tasks and the kernel's part of what is unread; 16 KiB were
/// measured for an open stream.
const CALLER_CONNECTION_BYTES: usize = 24 * 1024;
/// Memory of a connection to a server, in bytes: two buffers of 8 KiB and its
/// task.
const SERVER_CONNECTION_BYTES: usize = 20 * 1024;
/// Part that callers' connections with requests take, the connections to their
/// servers included.
const CALLERS_RATIO: f64 = 0.40;
/// Part that callers' bodies take.
const BODIES_RATIO: f64 = 0.15;
/// Part that idle connections to servers take.
const IDLE_RATIO: f64 = 0.15;
/// Part for pages of the store, the link to the other instances, and memory
/// that was freed and is not used again at once.
const RESERVE_RATIO: f64 = 0.30;
/// Part of the descriptors that callers' connections take.
const CALLER_DESCRIPTOR_RATIO: f64 = 0.6;
/// Part of the descriptors that idle connections to servers take; the rest is
/// for servers in use, instances, the store and files.
const IDLE_DESCRIPTOR_RATIO: f64 = 0.2;

/// The bounds of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShares {
    /// What callers may take.
    pub callers: CallerBounds,
    /// Idle connections to all servers.
    pub idle_links: usize,
    /// Memory beyond which the process is killed, in bytes.
    pub memory: usize,
    /// Part of it that no bound gives out, in bytes.
    pub reserve: usize,
}

impl MemoryShares {
    /// The bounds of a machine that gives a process `memory` bytes and
    /// `descriptors`.
    pub fn of_machine(memory: usize, descriptors: usize) -> Self {
        let left = memory - program_bytes(memory);
        let bounded = |part: f64, each: usize, descriptors_part: f64| {
            let by_memory = left as f64 * part / each as f64;
            let by_descriptors = descriptors as f64 * descriptors_part;
            (by_memory.min(by_descriptors) as usize).max(1)
        };
        Self {
            callers: CallerBounds {
                connections: bounded(
                    CALLERS_RATIO,
                    CALLER_CONNECTION_BYTES + SERVER_CONNECTION_BYTES,
                    CALLER_DESCRIPTOR_RATIO,
                ),
                body_bytes: (left as f64 * BODIES_RATIO) as usize,
            },
            idle_links: bounded(IDLE_RATIO, SERVER_CONNECTION_BYTES, IDLE_DESCRIPTOR_RATIO),
            memory,
            reserve: (left as f64 * RESERVE_RATIO) as usize,
        }
    }

    /// Memory that the process takes when all bounds are reached, in bytes.
    pub fn max_memory(&self) -> usize {
        let callers =
            self.callers.connections * (CALLER_CONNECTION_BYTES + SERVER_CONNECTION_BYTES);
        let idle = self.idle_links * SERVER_CONNECTION_BYTES;
        program_bytes(self.memory) + callers + self.callers.body_bytes + idle + self.reserve
    }
}

/// Memory that is set aside for the program, in bytes.
fn program_bytes(memory: usize) -> usize {
    PROGRAM_BYTES.min((memory as f64 * PROGRAM_RATIO) as usize)
}

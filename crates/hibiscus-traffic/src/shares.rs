//! Limits on the memory and file descriptors that parts of a process may use.
//!
//! All limits together stay below what the machine gives the process, because
//! the system kills a process that uses more.

use crate::callers::CallerBounds;

/// Memory of the program with its libraries and tables, in bytes. Idle
/// instances of a fleet of 62 use 13 to 15 MB.
const PROGRAM_BYTES: usize = 16_000_000;
/// Largest fraction of the memory that is set aside for the program, so that a
/// machine with less memory still serves.
const PROGRAM_RATIO: f64 = 0.5;
/// Memory of a caller's connection with a request, in bytes. It covers two
/// buffers of 8 KiB, its tasks and the kernel's buffer of unread bytes; an open
/// stream uses 16 KiB.
const CALLER_CONNECTION_BYTES: usize = 24 * 1024;
/// Memory of a connection to a server, in bytes: two buffers of 8 KiB and its
/// task.
const SERVER_CONNECTION_BYTES: usize = 20 * 1024;
/// Fraction of the memory for callers' connections with requests, including the
/// connections to their servers.
const CALLERS_RATIO: f64 = 0.40;
/// Fraction of the memory for request bodies.
const BODIES_RATIO: f64 = 0.15;
/// Fraction of the memory for responses that callers have not read.
const RESPONSES_RATIO: f64 = 0.05;
/// Fraction of the memory for idle connections to servers.
const IDLE_RATIO: f64 = 0.15;
/// Fraction of the memory for pages read from the store, the link to the other
/// instances, and freed memory that is not reused at once.
const RESERVE_RATIO: f64 = 0.25;
/// Fraction of the descriptors for callers' connections.
const CALLER_DESCRIPTOR_RATIO: f64 = 0.6;
/// Fraction of the descriptors for idle connections to servers. The rest is for
/// servers in use, instances, the store and files.
const IDLE_DESCRIPTOR_RATIO: f64 = 0.2;

/// Resource limits of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShares {
    /// Limits for callers.
    pub callers: CallerBounds,
    /// Largest number of idle connections to all servers.
    pub idle_links: usize,
    /// Memory beyond which the process is killed, in bytes.
    pub memory: usize,
    /// Memory that no limit assigns, in bytes.
    pub reserve: usize,
}

impl MemoryShares {
    /// Computes the limits on a machine that gives a process `memory` bytes and
    /// `descriptors` file descriptors.
    pub fn of_machine(memory: usize, descriptors: usize) -> Self {
        let available = memory - program_bytes(memory);
        let bounded = |ratio: f64, each: usize, descriptor_ratio: f64| {
            let by_memory = available as f64 * ratio / each as f64;
            let by_descriptors = descriptors as f64 * descriptor_ratio;
            (by_memory.min(by_descriptors) as usize).max(1)
        };
        Self {
            callers: CallerBounds {
                connections: bounded(
                    CALLERS_RATIO,
                    CALLER_CONNECTION_BYTES + SERVER_CONNECTION_BYTES,
                    CALLER_DESCRIPTOR_RATIO,
                ),
                body_bytes: (available as f64 * BODIES_RATIO) as usize,
                response_bytes: (available as f64 * RESPONSES_RATIO) as usize,
            },
            idle_links: bounded(IDLE_RATIO, SERVER_CONNECTION_BYTES, IDLE_DESCRIPTOR_RATIO),
            memory,
            reserve: (available as f64 * RESERVE_RATIO) as usize,
        }
    }

    /// Memory of the process when all limits are reached, in bytes.
    pub fn max_memory(&self) -> usize {
        let callers =
            self.callers.connections * (CALLER_CONNECTION_BYTES + SERVER_CONNECTION_BYTES);
        let idle = self.idle_links * SERVER_CONNECTION_BYTES;
        let held = self.callers.body_bytes + self.callers.response_bytes;
        program_bytes(self.memory) + callers + held + idle + self.reserve
    }
}

/// Memory set aside for the program, in bytes.
fn program_bytes(memory: usize) -> usize {
    PROGRAM_BYTES.min((memory as f64 * PROGRAM_RATIO) as usize)
}

//! Availability and request limits of backend servers, by process.
//!
//! A server's entry may be rewritten, or expire and return, during the life of
//! its process. The availability and limit of the process remain the same. It is also
//! recorded for processes whose entry has not arrived yet.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

use hibiscus_routing::availability::ServerAvailability;
use tokio::sync::Notify;

use crate::model::ServerIncarnation;
use crate::server_limits::SharedLimit;

/// Maximum number of processes without an entry that are remembered: more than
/// drain within the time for which one of them may still respond.
const ABSENT_PROCESS_LIMIT: usize = 16_384;

/// Availability of one process, shared by the tasks that use it.
pub type SharedAvailability = Rc<RefCell<ServerAvailability>>;

/// What is known of one server process.
#[derive(Clone, Debug, Default)]
pub struct KnownProcess {
    /// Whether the process accepts new requests.
    pub availability: SharedAvailability,
    /// The request limit that the process names, and the permits under it.
    pub limit: SharedLimit,
    /// Notifies requests that wait for permits.
    pub permits_changed: Rc<Notify>,
}

/// Availability and limits of server processes.
#[derive(Debug, Default)]
pub struct AvailabilityTable {
    known: HashMap<ServerIncarnation, KnownProcess>,
    /// Processes without an entry, oldest first.
    absent: VecDeque<ServerIncarnation>,
}

impl AvailabilityTable {
    /// What is known of the process `start`, which is inserted if missing.
    pub fn get_or_insert(&mut self, start: &ServerIncarnation) -> KnownProcess {
        self.known.entry(start.clone()).or_default().clone()
    }

    /// Marks `start` as draining; returns whether that is new.
    pub fn note_draining(&mut self, start: &ServerIncarnation) -> bool {
        let process = self.get_without_entry(start);
        let mut availability = process.availability.borrow_mut();
        availability.note_draining()
    }

    /// What is known of the process `start`, which may have no entry.
    pub fn get_without_entry(&mut self, start: &ServerIncarnation) -> KnownProcess {
        let is_known = self.known.contains_key(start);
        let process = self.get_or_insert(start);
        if !is_known {
            self.remember_absent(start);
        }
        process
    }

    /// The limits of all processes.
    pub fn limits(&self) -> impl Iterator<Item = (&ServerIncarnation, &SharedLimit)> {
        let known = self.known.iter();
        known.map(|(start, process)| (start, &process.limit))
    }

    /// Records that the entry of `start` was removed. What is known of the process
    /// is kept for a while if it is draining, paused, limited or cold.
    pub fn note_entry_removed(&mut self, start: &ServerIncarnation) {
        let Some(known) = self.known.get(start) else {
            return;
        };
        let last = *known.availability.borrow();
        let limit = known.limit.borrow();
        let limited = limit.limit().is_some() || limit.cold.is_cold(Instant::now());
        drop(limit);
        if !last.is_draining() && !last.is_paused() && !limited {
            self.known.remove(start);
            return;
        }
        self.remember_absent(start);
    }

    /// Remembers a process without an entry, and forgets the oldest beyond the
    /// limit.
    fn remember_absent(&mut self, start: &ServerIncarnation) {
        self.absent.push_back(start.clone());
        while self.absent.len() > ABSENT_PROCESS_LIMIT {
            let Some(oldest) = self.absent.pop_front() else {
                break;
            };
            // A server handle shares the availability if the entry has returned.
            let held = self.known.get(&oldest);
            let held = held.map_or(0, |known| Rc::strong_count(&known.availability));
            if held <= 1 {
                self.known.remove(&oldest);
            }
        }
    }
}

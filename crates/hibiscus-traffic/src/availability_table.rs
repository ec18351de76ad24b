//! What the servers' processes have said of new requests, by process.
//!
//! An entry may be written anew, or lapse and come back, while its process
//! lives: what that process said holds on. News of a process whose entry has
//! not come yet wait for it here.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;

use hibiscus_routing::availability::ServerAvailability;

use crate::model::ServerIncarnation;

/// Processes without an entry that are remembered: more than leave within the
/// time for which one of them may still answer.
const ABSENT_KEPT: usize = 16_384;

/// The availability of one process, as its tasks share it.
pub type SharedAvailability = Rc<RefCell<ServerAvailability>>;

/// What processes have said of new requests.
#[derive(Debug, Default)]
pub struct AvailabilityTable {
    known: HashMap<ServerIncarnation, SharedAvailability>,
    /// Those without an entry, the oldest first.
    absent: VecDeque<ServerIncarnation>,
}

impl AvailabilityTable {
    /// What the process `start` has said.
    pub fn of(&mut self, start: &ServerIncarnation) -> SharedAvailability {
        let known = self.known.entry(start.clone()).or_default();
        Rc::clone(known)
    }

    /// Notes that `start` leaves; whether that is new.
    pub fn note_draining(&mut self, start: &ServerIncarnation) -> bool {
        let is_known = self.known.contains_key(start);
        let new = self.of(start).borrow_mut().note_draining();
        if !is_known {
            self.note_absent(start);
        }
        new
    }

    /// The entry of `start` is gone. What it said last is kept for a while if
    /// it wants no requests.
    pub fn note_absent(&mut self, start: &ServerIncarnation) {
        let Some(known) = self.known.get(start) else {
            return;
        };
        let said = *known.borrow();
        if !said.is_draining() && !said.is_paused() {
            self.known.remove(start);
            return;
        }
        self.absent.push_back(start.clone());
        while self.absent.len() > ABSENT_KEPT {
            let Some(oldest) = self.absent.pop_front() else {
                break;
            };
            // A process whose entry came back is shared with its handle.
            let held = self.known.get(&oldest).map_or(0, Rc::strong_count);
            if held <= 1 {
                self.known.remove(&oldest);
            }
        }
    }
}

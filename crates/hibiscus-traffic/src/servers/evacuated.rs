//! The evacuated data centres, as the choice of a server sees them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Instant;

use hibiscus_types::DataCentre;

use crate::evacuations::EvacuationInForce;

/// An evacuation at this instance.
#[derive(Clone, Copy, Debug)]
pub struct ActiveEvacuation {
    /// Its origin.
    pub evacuation: EvacuationInForce,
    /// When it came into force here.
    pub since: Instant,
    /// Whether a server or an instance is known to be in the data centre; `None` until
    /// that was checked.
    pub is_known: Option<bool>,
}

/// Data centres whose servers get no requests. Servers share it, so that it also holds for
/// a request to a server whose entry has just been removed or replaced.
#[derive(Debug, Default)]
pub struct EvacuatedCentres {
    active: RefCell<BTreeMap<DataCentre, ActiveEvacuation>>,
}

/// A change of the evacuated data centres.
#[derive(Clone, Debug)]
pub enum EvacuatedChange {
    /// The servers of the data centre get no more requests.
    Begun(DataCentre, EvacuationInForce),
    /// The store came back from a copy and lacks the record, or has it again.
    Changed(DataCentre, EvacuationInForce),
    /// The servers of the data centre may get requests.
    Ended(DataCentre, ActiveEvacuation),
}

impl EvacuatedCentres {
    /// Whether `centre` is evacuated.
    pub fn contains(&self, centre: &DataCentre) -> bool {
        let active = self.active.borrow();
        !active.is_empty() && active.contains_key(centre)
    }

    /// Replaces the evacuations by `in_force`; returns what has changed.
    pub fn replace(
        &self,
        in_force: &BTreeMap<DataCentre, EvacuationInForce>,
    ) -> Vec<EvacuatedChange> {
        let mut active = self.active.borrow_mut();
        let mut changes = Vec::new();
        active.retain(|centre, ended| {
            let is_active = in_force.contains_key(centre);
            if !is_active {
                changes.push(EvacuatedChange::Ended(centre.clone(), *ended));
            }
            is_active
        });
        for (centre, evacuation) in in_force {
            if let Some(held) = active.get_mut(centre) {
                if held.evacuation.is_retained != evacuation.is_retained {
                    changes.push(EvacuatedChange::Changed(centre.clone(), *evacuation));
                }
                held.evacuation = *evacuation;
                continue;
            }
            let begun = ActiveEvacuation {
                evacuation: *evacuation,
                since: Instant::now(),
                is_known: None,
            };
            active.insert(centre.clone(), begun);
            changes.push(EvacuatedChange::Begun(centre.clone(), *evacuation));
        }
        changes
    }

    /// Checks which data centres are known by `is_known`; returns those that turned out to be
    /// unknown, and the number of the others.
    pub fn review(&self, is_known: impl Fn(&DataCentre) -> bool) -> (Vec<DataCentre>, usize) {
        let mut unknown = Vec::new();
        let mut known_count = 0;
        for (centre, active) in self.active.borrow_mut().iter_mut() {
            let known = is_known(centre);
            known_count += usize::from(known);
            if active.is_known.replace(known).is_none() && !known {
                unknown.push(centre.clone());
            }
        }
        (unknown, known_count)
    }
}

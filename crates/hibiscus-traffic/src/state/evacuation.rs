//! Evacuations of data centres: what is in force, and its events and metrics.

use std::collections::BTreeMap;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_types::DataCentre;
use metrics::gauge;

use crate::evacuations::EvacuationInForce;
use crate::servers::evacuated::EvacuatedChange;
use crate::state::TrafficState;
use crate::wire_format::WireFormat;

/// Gauge of the known data centres that are evacuated.
const EVACUATED_METRIC: &str = "hibiscus_data_centres_evacuated";

impl<D: WireFormat> TrafficState<D> {
    /// Replaces the evacuations by `in_force`, which were queued at `queued_at`.
    pub(super) fn apply_evacuations(
        &self,
        in_force: &BTreeMap<DataCentre, EvacuationInForce>,
        queued_at: Instant,
    ) {
        let changes = self.servers.borrow().evacuated.replace(in_force);
        for change in changes {
            match change {
                EvacuatedChange::Begun(centre, evacuation) => event!(
                    EventCode::EvacuationBegun,
                    "data_centre={} position={} age_ms={}",
                    centre.as_str().escape_debug(),
                    evacuation.position,
                    queued_at.elapsed().as_millis()
                ),
                EvacuatedChange::Changed(centre, evacuation) => event!(
                    EventCode::EvacuationRetained,
                    "data_centre={} position={} retained={}",
                    centre.as_str().escape_debug(),
                    evacuation.position,
                    evacuation.is_retained
                ),
                EvacuatedChange::Ended(centre, ended) => event!(
                    EventCode::EvacuationEnded,
                    "data_centre={} position={} age_ms={} retained={}",
                    centre.as_str().escape_debug(),
                    ended.evacuation.position,
                    ended.since.elapsed().as_millis(),
                    ended.evacuation.is_retained
                ),
            }
        }
    }

    /// Logs evacuations of data centres in which no server and no instance is known, and
    /// publishes the number of the others.
    pub(super) fn review_evacuations(&self) {
        if !self.startup.has_servers() {
            return;
        }
        let servers = self.servers.borrow();
        let directory = self.directory.borrow();
        let (unknown, known_count) = servers.evacuated.review(|centre| {
            let mut instances = directory.responding();
            *centre == self.data_centre
                || instances.any(|instance| instance.data_centre == *centre)
                || servers
                    .servers()
                    .any(|server| server.entry.data_centre == *centre)
        });
        for centre in unknown {
            let centre = centre.as_str().escape_debug();
            event!(EventCode::EvacuationUnknown, "data_centre={centre}");
        }
        gauge!(EVACUATED_METRIC).set(known_count as f64);
    }
}

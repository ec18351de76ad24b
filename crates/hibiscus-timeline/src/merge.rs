//! Order of events over all processes.

use hibiscus_events::EventRecord;

/// Orders `events` by time, then by instance and number.
pub fn order(events: &mut [EventRecord]) {
    events.sort_by(|left, right| {
        let left = (left.time_ns, &left.instance, left.sequence);
        let right = (right.time_ns, &right.instance, right.sequence);
        left.cmp(&right)
    });
}

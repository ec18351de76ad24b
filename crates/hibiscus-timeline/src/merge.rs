//! Order of events over all processes.

use hibiscus_events::EventRecord;

use crate::source::SourcePage;

/// What is missing from a time line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimelineGap {
    /// The process.
    pub source: String,
    /// What is missing, as a sentence.
    pub text: String,
}

/// Events of all processes in order, and what is missing.
#[derive(Clone, Debug, Default)]
pub struct MergedTimeline {
    /// Events by hybrid logical time.
    pub events: Vec<EventRecord>,
    /// What is missing.
    pub gaps: Vec<TimelineGap>,
}

/// Joins `pages`. An event that several pages hold stands once.
pub fn merge(pages: Vec<SourcePage>) -> MergedTimeline {
    let mut timeline = MergedTimeline::default();
    for page in pages {
        let mut gap = |text: String| {
            timeline.gaps.push(TimelineGap {
                source: page.source.clone(),
                text,
            });
        };
        if !page.failure.is_empty() {
            gap(page.failure.clone());
        }
        if page.page.dropped > 0 {
            gap(format!(
                "{} older events were dropped from the ring",
                page.page.dropped
            ));
        }
        timeline.events.extend(page.page.events);
    }
    order(&mut timeline.events);
    timeline.events.dedup();
    timeline
}

/// Orders `events` by time, then by instance and number.
pub fn order(events: &mut [EventRecord]) {
    events.sort_by(|left, right| {
        let left = (left.stamp, &left.instance, left.sequence);
        let right = (right.stamp, &right.instance, right.sequence);
        left.cmp(&right)
    });
}

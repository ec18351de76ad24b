//! The time line as text, one event a line.

use std::fmt::Write as _;

use hibiscus_events::EventRecord;
use hibiscus_types::UnixMillis;

use crate::merge::MergedTimeline;

/// Nanoseconds of a millisecond.
const MILLI_NANOS: u64 = 1_000_000;

/// Renders gaps, then events with their time after the first in milliseconds.
pub fn render(timeline: &MergedTimeline) -> String {
    let mut text = String::new();
    for gap in &timeline.gaps {
        let _infallible = writeln!(text, "# {}: {}", gap.source, gap.text);
    }
    let first = timeline.events.first().map_or(0, |event| event.time_ns);
    if let Some(event) = timeline.events.first() {
        let start = UnixMillis::new(event.time_ns / MILLI_NANOS);
        let _infallible = writeln!(text, "# starts at {} ms after the epoch", start.get());
    }
    for event in &timeline.events {
        let _infallible = writeln!(
            text,
            "{:>12} {:<12} {} {}{}",
            elapsed(first, event),
            event.instance,
            event.code,
            event.text,
            fields(event)
        );
    }
    text
}

/// Milliseconds since `first`, with microseconds.
pub(crate) fn elapsed(first: u64, event: &EventRecord) -> String {
    let nanos = event.time_ns.saturating_sub(first);
    format!("{}.{:03}", nanos / MILLI_NANOS, nanos % MILLI_NANOS / 1_000)
}

/// The fields that apply, as ` name=value`.
pub(crate) fn fields(event: &EventRecord) -> String {
    let fields = &event.fields;
    let named = [
        ("request", &fields.request),
        ("team", &fields.team),
        ("budget", &fields.budget),
        ("server", &fields.server),
        ("detail", &fields.detail),
    ];
    let mut text = String::new();
    for (name, value) in named {
        if !value.is_empty() {
            let _infallible = write!(text, " {name}={value}");
        }
    }
    text
}

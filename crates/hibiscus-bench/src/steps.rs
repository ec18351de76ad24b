//! Where the time of requests went, read from the events of their instances.

use std::collections::HashMap;

use hibiscus_events::EventCode;
use hibiscus_events::EventRecord;

/// Steps of a request, from one event to the next.
const STEPS: [(&str, EventCode, EventCode); 4] = [
    (
        "allowance and open",
        EventCode::RequestAdmitted,
        EventCode::RequestOpened,
    ),
    (
        "dispatch",
        EventCode::RequestOpened,
        EventCode::RequestDispatched,
    ),
    (
        "first token",
        EventCode::RequestDispatched,
        EventCode::AnswerBegun,
    ),
    (
        "rest of the answer and settlement",
        EventCode::AnswerBegun,
        EventCode::RequestSettled,
    ),
];
/// Nanoseconds in a millisecond.
const NANOS_PER_MILLI: f64 = 1e6;

/// Time of one step over all requests.
#[derive(Clone, Debug, PartialEq)]
pub struct StepTime {
    /// The step.
    pub name: &'static str,
    /// Requests that took it.
    pub requests: usize,
    /// Median, in milliseconds.
    pub median_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
}

/// The steps of all requests whose events are among `events`.
pub fn step_times(events: &[EventRecord]) -> Vec<StepTime> {
    let mut times: HashMap<(&str, &str), u64> = HashMap::new();
    for event in events {
        let key = (event.fields.request.as_str(), event.code.as_str());
        times.entry(key).or_insert(event.time_ns);
    }
    let mut steps = Vec::with_capacity(STEPS.len());
    for (name, from, to) in STEPS {
        let mut spans = Vec::new();
        for ((request, code), began) in &times {
            if *code != from.number() {
                continue;
            }
            let Some(ended) = times.get(&(*request, to.number())) else {
                continue;
            };
            spans.push(ended.saturating_sub(*began));
        }
        spans.sort_unstable();
        steps.push(StepTime {
            name,
            requests: spans.len(),
            median_ms: percentile_ms(&spans, 50),
            p99_ms: percentile_ms(&spans, 99),
        });
    }
    steps
}

/// A percentile of sorted `spans`, zero when there are none.
fn percentile_ms(spans: &[u64], percent: usize) -> f64 {
    let index = (spans.len() * percent / 100).min(spans.len().saturating_sub(1));
    let span = spans.get(index).copied().unwrap_or(0);
    span as f64 / NANOS_PER_MILLI
}

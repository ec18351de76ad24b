//! What a time line is asked about.

use hibiscus_events::EventRecord;

/// Start of the numbers of the events about instances.
const INSTANCE_EVENTS: &str = "HS1";

/// Keeps the events that match every part; an empty filter keeps all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventFilter {
    /// The request's key, with or without its team.
    pub request: Option<String>,
    /// The team.
    pub team: Option<String>,
    /// The budget.
    pub budget: Option<String>,
    /// The backend server.
    pub server: Option<String>,
    /// The instance that recorded the event.
    pub instance: Option<String>,
}

impl EventFilter {
    /// Keeps the matching events of the ordered `events`. When a request is
    /// asked for, events about instances between its first and its last event
    /// stay too: a router's death explains what happened to the request.
    pub fn keep(&self, events: Vec<EventRecord>) -> Vec<EventRecord> {
        let mut first = u64::MAX;
        let mut last = 0;
        for event in &events {
            if self.matches(event) {
                first = first.min(event.stamp);
                last = last.max(event.stamp);
            }
        }
        let mut kept = Vec::new();
        for event in events {
            let context = self.request.is_some()
                && event.code.starts_with(INSTANCE_EVENTS)
                && (first..=last).contains(&event.stamp);
            if context || self.matches(&event) {
                kept.push(event);
            }
        }
        kept
    }

    /// Whether the event matches every part.
    fn matches(&self, event: &EventRecord) -> bool {
        let fields = &event.fields;
        matches_request(self.request.as_deref(), &fields.request)
            && is_or_any(self.team.as_deref(), &fields.team)
            && is_or_any(self.budget.as_deref(), &fields.budget)
            && is_or_any(self.server.as_deref(), &fields.server)
            && is_or_any(self.instance.as_deref(), &event.instance)
    }
}

/// Whether `value` is the one wanted, or any is.
fn is_or_any(wanted: Option<&str>, value: &str) -> bool {
    wanted.is_none_or(|wanted| wanted == value)
}

/// Whether the request is the one wanted, named with or without its team.
fn matches_request(wanted: Option<&str>, request: &str) -> bool {
    let key = request.split_once('/').map_or(request, |(_team, key)| key);
    wanted.is_none_or(|wanted| wanted == request || wanted == key)
}

//! Recorder of the events of one process, which keeps them in a bounded ring.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;
use uhlc::HLC;
use uhlc::Timestamp;

use crate::catalogue::EventCode;

/// Largest number of events that a process keeps.
pub const RING_CAPACITY: usize = 20_000;

/// Metric that counts events by their number.
pub const EVENTS_METRIC: &str = "hibiscus_events_total";

/// The subjects of an event. A field that does not apply is empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EventFields {
    /// The key or ID of the request.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub request: String,
    /// The name of the team.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub team: String,
    /// The name of the budget.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub budget: String,
    /// The name of the server.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub server: String,
    /// Further details as text.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

/// One event as it is served and saved.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// Hybrid logical time, which orders events: the time of an effect is
    /// later than that of its cause. The upper 32 bits hold the seconds since
    /// the Unix epoch, the lower 32 bits the fraction of a second.
    pub stamp: u64,
    /// The same time in nanoseconds since the Unix epoch, for display.
    pub time_ns: u64,
    /// Sequence number of the event in its process, from 0.
    pub sequence: u64,
    /// The instance that recorded it.
    pub instance: String,
    /// The event number, such as `HS1001`.
    pub code: String,
    /// The event text.
    pub text: String,
    /// The subjects of the event.
    #[serde(flatten)]
    pub fields: EventFields,
}

/// The events of a ring from a given sequence number on.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EventPage {
    /// Number of requested events that the ring has already dropped.
    pub dropped: u64,
    /// The events in the order of their sequence numbers.
    pub events: Vec<EventRecord>,
}

/// The newest events and the sequence number of the next one.
#[derive(Default)]
struct EventRing {
    next: u64,
    events: VecDeque<EventRecord>,
}

/// Records the events of one process.
pub struct EventRecorder {
    instance: String,
    clock: HLC,
    ring: Mutex<EventRing>,
}

impl EventRecorder {
    /// Creates a recorder for `instance` without events.
    pub fn new(instance: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            clock: HLC::default(),
            ring: Mutex::new(EventRing::default()),
        }
    }

    /// Returns the current hybrid logical time, to be sent with a message.
    pub fn stamp(&self) -> u64 {
        self.clock.new_timestamp().get_time().as_u64()
    }

    /// Advances the clock past `stamp`, a time received with a message.
    pub fn observe(&self, stamp: u64) {
        let time = uhlc::NTP64(stamp);
        let timestamp = Timestamp::new(time, *self.clock.get_id());
        // The clock rejects a time too far ahead: the sender's clock is wrong.
        let _rejected = self.clock.update_with_timestamp(&timestamp);
    }

    /// Records an event and writes it to the log.
    pub fn record(&self, code: EventCode, fields: EventFields) {
        log::log!(
            code.level(),
            "{} {} {}",
            code.number(),
            code.text(),
            describe(&fields)
        );
        let instance = self.instance.clone();
        metrics::counter!(EVENTS_METRIC, "instance" => instance, "code" => code.number())
            .increment(1);
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is taken under the lock, so that sequence numbers and times
        // have the same order.
        let time = self.clock.new_timestamp();
        let elapsed = time.get_time().to_duration();
        let record = EventRecord {
            stamp: time.get_time().as_u64(),
            time_ns: u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX),
            sequence: ring.next,
            instance: self.instance.clone(),
            code: code.number().to_owned(),
            text: code.text().to_owned(),
            fields,
        };
        ring.next += 1;
        if ring.events.len() >= RING_CAPACITY {
            ring.events.pop_front();
        }
        ring.events.push_back(record);
    }

    /// Returns the events from sequence number `from` on.
    pub fn page(&self, from: u64) -> EventPage {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        let first = ring.next - ring.events.len() as u64;
        let skip = usize::try_from(from.saturating_sub(first)).unwrap_or(usize::MAX);
        EventPage {
            dropped: first.saturating_sub(from),
            events: ring.events.iter().skip(skip).cloned().collect(),
        }
    }
}

/// Formats the fields that are not empty as `name=value`.
fn describe(fields: &EventFields) -> String {
    let mut text = String::new();
    let named = [
        ("request", &fields.request),
        ("team", &fields.team),
        ("budget", &fields.budget),
        ("server", &fields.server),
        ("detail", &fields.detail),
    ];
    for (name, value) in named {
        if value.is_empty() {
            continue;
        }
        text.push_str(name);
        text.push('=');
        text.push_str(value);
        text.push(' ');
    }
    text
}

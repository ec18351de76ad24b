//! The bounded ring of one process.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;
use uhlc::HLC;
use uhlc::Timestamp;

use crate::catalogue::EventCode;

/// Events that a process keeps.
pub const RING_CAPACITY: usize = 20_000;

/// Metric that counts events by their number.
pub const EVENTS_METRIC: &str = "hibiscus_events_total";

/// What an event is about. Empty fields do not apply.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EventFields {
    /// The request.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub request: String,
    /// The team.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub team: String,
    /// The budget.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub budget: String,
    /// The server.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub server: String,
    /// Anything else, as text.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

/// One event as it is served and saved.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// Hybrid logical time, which orders events: an effect's is above its
    /// cause's. Seconds since the Unix epoch in the upper 32 bits, their
    /// fraction in the lower.
    pub stamp: u64,
    /// The same time in nanoseconds since the Unix epoch, for display.
    pub time_ns: u64,
    /// Number of the event in its process, from 0.
    pub sequence: u64,
    /// The instance that recorded it.
    pub instance: String,
    /// The number of its kind.
    pub code: String,
    /// The text of its kind.
    pub text: String,
    /// What it is about.
    #[serde(flatten)]
    pub fields: EventFields,
}

/// Events of a ring from one position on.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EventPage {
    /// Events that the ring dropped before the first of this page.
    pub dropped: u64,
    /// The events in order.
    pub events: Vec<EventRecord>,
}

/// State of the ring.
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
    /// An empty ring of `instance`.
    pub fn new(instance: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            clock: HLC::default(),
            ring: Mutex::new(EventRing::default()),
        }
    }

    /// The present time, to be sent along with a message.
    pub fn stamp(&self) -> u64 {
        self.clock.new_timestamp().get_time().as_u64()
    }

    /// Moves the clock past a time received with a message.
    pub fn observe(&self, stamp: u64) {
        let time = uhlc::NTP64(stamp);
        let timestamp = Timestamp::new(time, *self.clock.get_id());
        // A time too far ahead is not taken over: the sender's clock is wrong.
        let _refused = self.clock.update_with_timestamp(&timestamp);
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
        // Under the lock, so that numbers and times have the same order.
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

    /// The events from number `from` on.
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

/// The fields that apply, as `name=value`.
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

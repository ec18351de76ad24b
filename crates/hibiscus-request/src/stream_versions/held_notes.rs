//! Notes that this instance holds for the instances that carry the streams.
//!
//! While a service has one version, the notes of its streams are in no topic. An instance
//! that carries streams sends their notes to a few others, which hold them
//! ([`HeldNotes`]) and publish them when the service becomes mixed: the instance that
//! carries the streams may not run at that moment.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use hibiscus_types::ServiceName;
use hibiscus_types::SoftwareVersion;

use crate::stream_versions::StreamBatch;
use crate::stream_versions::StreamKey;

/// Time for which a note is held: callers take a stream up within their deadline.
pub const HOLD_TIME: Duration = Duration::from_secs(30);
/// Maximum number of held notes.
const HELD_LIMIT: usize = 16_384;

/// Note of a stream that another instance carries.
#[derive(Clone, Debug)]
struct HeldNote {
    service: ServiceName,
    software: Option<SoftwareVersion>,
    held_at: Duration,
    /// Whether the topic of the notes has it, or was sent it.
    is_published: bool,
}

/// Notes of streams that other instances carry.
#[derive(Clone, Debug, Default)]
pub struct HeldNotes {
    notes: HashMap<StreamKey, HeldNote>,
    /// Held streams, oldest first.
    order: VecDeque<(StreamKey, Duration)>,
}

impl HeldNotes {
    /// Number of held notes.
    pub fn len(&self) -> usize {
        self.notes.len()
    }

    /// Whether no note is held.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty()
    }

    /// Holds the notes of `batch`, which arrived at `now`.
    pub fn insert(&mut self, batch: &StreamBatch, now: Duration) {
        for stream in &batch.streams {
            let note = HeldNote {
                service: batch.service.clone(),
                software: batch.software.clone(),
                held_at: now,
                is_published: false,
            };
            if self.notes.insert(*stream, note).is_none() {
                self.order.push_back((*stream, now));
            }
        }
        self.expire(now);
    }

    /// Drops notes that are older than [`HOLD_TIME`] at `now`, or beyond the limit.
    fn expire(&mut self, now: Duration) {
        while let Some((stream, held_at)) = self.order.front().copied() {
            if now <= held_at + HOLD_TIME && self.order.len() <= HELD_LIMIT {
                break;
            }
            self.order.pop_front();
            self.notes.remove(&stream);
        }
    }

    /// Records that the topic of the notes has those of `batch`.
    pub fn note_published(&mut self, batch: &StreamBatch) {
        for stream in &batch.streams {
            if let Some(note) = self.notes.get_mut(stream) {
                note.is_published = true;
            }
        }
    }

    /// Records that the topic of the notes may have lost some.
    pub fn forget_published(&mut self) {
        for note in self.notes.values_mut() {
            note.is_published = false;
        }
    }

    /// Takes the notes of `service` to publish at `now`: those that the topic lacks and
    /// that arrived at least `delay` before.
    pub fn take_due(
        &mut self,
        service: &ServiceName,
        delay: Duration,
        now: Duration,
    ) -> Vec<(StreamKey, Option<SoftwareVersion>)> {
        self.expire(now);
        let mut due = Vec::new();
        for (stream, note) in &mut self.notes {
            if note.is_published || note.service != *service || now < note.held_at + delay {
                continue;
            }
            note.is_published = true;
            due.push((*stream, note.software.clone()));
        }
        due
    }
}

//! How long a server is cold.
//!
//! A server tells in its entry and in headers of its responses how much longer it
//! stays cold. The age of an entry is unknown when it is read, so a server counts as
//! cold until the arrival of the entry plus the time that it names, which is never
//! too early. A server that was found closed may have been restarted and may not
//! have written an entry since, so it counts as cold from the first time that it is
//! reached again.

pub mod lending;

use std::time::Duration;
use std::time::Instant;

/// Least change of the end of a cold time that other instances are told of. A smaller
/// one comes from the time that messages take, and would be passed on without end.
const MATERIAL_CHANGE: Duration = Duration::from_millis(250);

/// Least growth for which the time of another instance is taken over. Each message may
/// take up to half a second, and a time that grew with each one would never end.
const MERGE_THRESHOLD: Duration = Duration::from_secs(1);

/// The cold time of one server process, as known to this instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdTracker {
    /// End by the newest entry.
    entry_end: Option<Instant>,
    /// End by responses, by other instances, or by a supposed restart.
    observed_end: Option<Instant>,
    /// When a response last told of it.
    observed_at: Option<Instant>,
    /// Whether the server was found closed and has not been reached since.
    was_closed: bool,
}

impl ColdTracker {
    /// Whether the server is cold at `now`, or is supposed to be when it is reached.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.was_closed || self.remaining(now).is_some()
    }

    /// How much longer the server is known to be cold; `None` if it is not.
    pub fn remaining(&self, now: Instant) -> Option<Duration> {
        let end = self.entry_end.max(self.observed_end)?;
        let remaining = end.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Records an entry that arrived at `now` and names `remaining`, which is zero if
    /// it does not say that the server is cold; returns whether others need to know.
    ///
    /// The entry replaces what earlier entries said. It may be older than what a
    /// response or another instance told, so it does not end that.
    pub fn note_entry(&mut self, remaining: Duration, now: Instant) -> bool {
        let before = self.end(now);
        self.entry_end = end_after(remaining, now);
        self.has_grown(before, now)
    }

    /// Records the time in a response that arrived at `now` to a request that was sent
    /// at `sent_at`; returns whether others need to know.
    ///
    /// A response to a request that was sent before the last response may be older
    /// than that one, so it can only prolong the time.
    pub fn note_response(&mut self, remaining: Duration, sent_at: Instant, now: Instant) -> bool {
        let before = self.end(now);
        let is_later = self.observed_at.is_none_or(|observed| sent_at >= observed);
        let end = end_after(remaining, now);
        if is_later {
            self.observed_at = Some(now);
            self.observed_end = end;
            if remaining.is_zero() {
                self.entry_end = None;
            }
        } else {
            self.observed_end = self.observed_end.max(end);
        }
        self.has_grown(before, now)
    }

    /// Merges what another instance knows, received at `now`; returns whether others
    /// need to know. A time that ends little later than known is ignored: it may have
    /// grown only by the time that messages took.
    pub fn merge(&mut self, remaining: Duration, now: Instant) -> bool {
        let before = self.end(now);
        if end_after(remaining, now).is_none_or(|end| end < before + MERGE_THRESHOLD) {
            return false;
        }
        self.observed_end = self.observed_end.max(end_after(remaining, now));
        self.has_grown(before, now)
    }

    /// Records that the server was found closed, crashed or replaced by a process
    /// whose entry is not known.
    pub fn note_closed(&mut self) {
        self.was_closed = true;
    }

    /// Records that the server was reached at `now`. If it was closed before, it
    /// counts as cold for `duration` from then on; returns whether that is so.
    pub fn note_reached(&mut self, duration: Duration, now: Instant) -> bool {
        if !std::mem::take(&mut self.was_closed) {
            return false;
        }
        self.observed_end = self.observed_end.max(end_after(duration, now));
        true
    }

    fn end(&self, now: Instant) -> Instant {
        let end = self.entry_end.max(self.observed_end);
        end.map_or(now, |end| end.max(now))
    }

    /// Whether the cold time ends so much later than `before` that others need to
    /// know.
    fn has_grown(&self, before: Instant, now: Instant) -> bool {
        self.end(now) >= before + MATERIAL_CHANGE
    }
}

/// End of the time `remaining` from `now` on; `None` if it is zero or no time that the
/// clock can count.
fn end_after(remaining: Duration, now: Instant) -> Option<Instant> {
    let end = now.checked_add(remaining)?;
    (!remaining.is_zero()).then_some(end)
}

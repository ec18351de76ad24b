//! Detects that the network path of a connection is cut.
//!
//! A path is cut if bytes that were sent are not acknowledged. A peer that does not read
//! is another matter: it acknowledges what it got, keeps its window closed, and answers
//! every probe of the window. How long a window is closed therefore says nothing of the
//! path.

use std::time::Duration;
use std::time::Instant;

/// Time without an acknowledgement after which a path is cut.
pub const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What the system knows of the bytes that a connection sends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PathSample {
    /// Segments that were sent and not acknowledged.
    pub in_flight: u32,
    /// Bytes that the peer has acknowledged since the connection was opened.
    pub acknowledged: u64,
    /// Bytes that wait in the system and have not been sent.
    pub unsent: u32,
    /// Time since the last transmission, of which a repeated one is one too. Zero if the
    /// system does not tell.
    pub since_sent: Duration,
    /// Time since the last acknowledgement, of no new bytes too.
    pub since_acknowledged: Duration,
}

impl PathSample {
    /// Whether the peer acknowledged something since the last transmission. A peer whose
    /// buffer is full does so without taking the bytes.
    fn is_answered(&self) -> bool {
        !self.since_sent.is_zero() && self.since_acknowledged <= self.since_sent
    }
}

/// State of a path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PathState {
    /// All bytes were acknowledged.
    #[default]
    Clear,
    /// Bytes are in flight.
    InFlight,
    /// The peer has acknowledged what was sent, and takes no more for now.
    WindowClosed,
    /// Bytes in flight were not acknowledged in time.
    Cut,
}

/// Determines the state of a path from samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct PathMonitor {
    acknowledged: u64,
    /// Since when an acknowledgement is due.
    due_since: Option<Instant>,
    /// When the peer last acknowledged bytes that it had not before, or when bytes were
    /// written after all had been acknowledged.
    progressed_at: Option<Instant>,
    /// Whether the peer had closed its window at the last sample.
    is_closed: bool,
    /// Whether the peer took bytes after it had closed its window.
    has_read_on: bool,
}

impl PathMonitor {
    /// Records that bytes are written while all others have been acknowledged.
    pub fn note_written(&mut self, now: Instant) {
        self.due_since = Some(now);
        self.progressed_at = Some(now);
        self.is_closed = false;
        self.has_read_on = false;
    }

    /// Whether the peer took bytes after it had closed its window.
    pub fn has_read_on(&self) -> bool {
        self.has_read_on
    }

    /// Time since the peer took bytes, while it has some to take.
    pub fn stalled_time(&self, now: Instant) -> Duration {
        self.progressed_at.map_or(Duration::ZERO, |progressed_at| {
            now.saturating_duration_since(progressed_at)
        })
    }

    /// Records a sample and returns the state of the path.
    pub fn observe(&mut self, sample: &PathSample, now: Instant) -> PathState {
        let has_progress = sample.acknowledged > self.acknowledged;
        self.acknowledged = sample.acknowledged;
        if has_progress {
            self.progressed_at = Some(now);
            self.has_read_on |= self.is_closed;
        }
        self.is_closed = sample.in_flight == 0 && sample.unsent > 0;
        if sample.in_flight == 0 {
            self.due_since = None;
            return if self.is_closed {
                PathState::WindowClosed
            } else {
                PathState::Clear
            };
        }
        if has_progress || sample.is_answered() {
            self.due_since = None;
        }
        let due_since = *self.due_since.get_or_insert(now);
        if now.saturating_duration_since(due_since) >= ACKNOWLEDGE_TIMEOUT {
            return PathState::Cut;
        }
        PathState::InFlight
    }
}

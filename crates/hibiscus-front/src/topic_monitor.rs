//! Whether a topic of the metadata store can be read.

use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use platform::store::StoreError;

/// Time for which a read waits for a record. A connection that fell silent
/// shows after it, and a change must be known within 2 s of being made.
pub(crate) const READ_WAIT: Duration = Duration::from_millis(1_500);
/// Time for which a read waits while the store is away: its return is seen by
/// the next call, not by one that waits on a connection of before.
const UNREACHABLE_READ_WAIT: Duration = Duration::from_millis(100);
/// Pause after a failed call.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Logs the loss and the return of a topic.
#[derive(Default)]
pub(crate) struct TopicMonitor {
    /// When the first of the present failures was.
    lost: Option<Instant>,
    /// Failures since then.
    failures: u32,
    /// Bytes of replies that were cut since then.
    cut_bytes: usize,
}

impl TopicMonitor {
    /// Time for which the next read waits.
    pub(crate) fn wait(&self) -> Duration {
        self.wait_or(READ_WAIT)
    }

    /// As [`Self::wait`], with `wait` while the topic can be read.
    pub(crate) fn wait_or(&self, wait: Duration) -> Duration {
        if self.lost.is_some() {
            UNREACHABLE_READ_WAIT
        } else {
            wait
        }
    }

    pub(crate) fn failed(&mut self, topic: &str, error: &StoreError) {
        if let StoreError::Truncated { transfer, .. } = error {
            self.cut_bytes += transfer.bytes;
            event!(EventCode::ReplyCut, "topic={topic} cause={error}");
        }
        if self.lost.is_none() {
            event!(EventCode::TopicLost, "topic={topic} cause={error}");
        }
        self.lost.get_or_insert_with(Instant::now);
        self.failures += 1;
    }

    pub(crate) fn succeeded(&mut self, topic: &str) {
        if let Some(since) = self.lost {
            event!(
                EventCode::TopicRegained,
                "topic={topic} lost_ms={} failures={} cut_bytes={}",
                since.elapsed().as_millis(),
                self.failures,
                self.cut_bytes
            );
        }
        *self = Self::default();
    }
}

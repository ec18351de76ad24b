//! Tracks whether a topic of the metadata store can be read.

use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use platform::store::StoreError;

/// Time for which a read waits for a record. A dead connection is detected only
/// after it, and a change must be received within 2 s.
pub(crate) const READ_WAIT: Duration = Duration::from_millis(1_500);
/// Time for which a read waits while the store is unreachable: its recovery is
/// noticed by a new call, not by one that waits on an old connection.
const UNREACHABLE_READ_WAIT: Duration = Duration::from_millis(100);
/// Delay before the retry of a failed call.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Delay before the retry of a call that the store refused for its rate, in milliseconds: it is
/// up, and more calls would make it refuse more. At least four tries within the 2 s in which a
/// change must be received; random, since the store counts calls in intervals of its own.
const RATE_RETRY_DELAY_MS: Range<u64> = 200..500;

/// Logs when a topic becomes unreadable and readable again.
#[derive(Default)]
pub(crate) struct TopicMonitor {
    /// Time of the first failure since the last success.
    lost: Option<Instant>,
    /// Number of failures since the last success.
    failures: u32,
    /// Bytes received in truncated replies since the last success.
    cut_bytes: usize,
}

impl TopicMonitor {
    /// Returns the time for which the next read waits for a record.
    pub(crate) fn wait(&self) -> Duration {
        self.wait_or(READ_WAIT)
    }

    /// As [`Self::wait`], but returns `wait` while the topic can be read.
    pub(crate) fn wait_or(&self, wait: Duration) -> Duration {
        if self.lost.is_some() {
            UNREACHABLE_READ_WAIT
        } else {
            wait
        }
    }

    /// Records a failed call; returns the time to wait before the next one.
    pub(crate) fn failed(&mut self, topic: &str, error: &StoreError) -> Duration {
        if let StoreError::Truncated { transfer, .. } = error {
            self.cut_bytes += transfer.bytes;
            event!(EventCode::ReplyCut, "topic={topic} cause={error}");
        }
        if self.lost.is_none() {
            event!(EventCode::TopicLost, "topic={topic} cause={error}");
        }
        self.lost.get_or_insert_with(Instant::now);
        self.failures += 1;
        if error.is_over_rate() {
            Duration::from_millis(fastrand::u64(RATE_RETRY_DELAY_MS))
        } else {
            RETRY_DELAY
        }
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

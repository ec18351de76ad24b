//! What an instance reads of the store before it can serve.
//!
//! Callers come from the moment on that the port is open, a moment before
//! configuration and servers are known. Their requests wait for these shortly.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

use crate::state::TrafficState;

/// Age of the process up to which requests wait.
const START_TIME: Duration = Duration::from_secs(3);
/// Longest that a request waits.
const WAIT_LIMIT: Duration = Duration::from_millis(400);

/// What has been read so far.
#[derive(Debug, Default)]
pub(super) struct StartWatch {
    servers: Cell<bool>,
    news: Notify,
}

impl StartWatch {
    /// The configuration was read.
    pub(super) fn note_config(&self) {
        self.news.notify_waiters();
    }

    /// The servers were read.
    pub(super) fn note_servers(&self) {
        if !self.servers.replace(true) {
            self.news.notify_waiters();
        }
    }
}

/// When a request gives up waiting that arrived at `arrived` with `deadline`,
/// at an instance of `age`; `None` when it does not wait.
pub fn startup_wait_end(
    arrived: Instant,
    deadline: Option<Duration>,
    age: Duration,
) -> Option<Instant> {
    let wait = deadline.map_or(WAIT_LIMIT, |deadline| deadline.min(WAIT_LIMIT));
    (age < START_TIME).then(|| arrived + wait)
}

impl<D> TrafficState<D> {
    /// Waits until configuration and servers are known, at most until `end`.
    pub async fn wait_until_configured(&self, end: Instant) {
        loop {
            let news = self.start.news.notified();
            if self.start.servers.get() && self.table.borrow().is_some() {
                return;
            }
            if tokio::time::timeout_at(end.into(), news).await.is_err() {
                return;
            }
        }
    }
}

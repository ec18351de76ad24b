//! Waiting of requests while an instance starts.
//!
//! The callers' port opens a moment before the configuration, the servers, their
//! software versions and the suspects are read from the store. Requests that arrive in
//! between wait briefly for those that decide on them.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

use crate::state::TrafficState;

/// Age of the process up to which requests wait for what is read from the store.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);
/// Longest wait of a request.
const STARTUP_WAIT_LIMIT: Duration = Duration::from_millis(400);

/// What the instance has read from the store so far.
#[derive(Debug, Default)]
pub(crate) struct StartupProgress {
    servers_read: Cell<bool>,
    suspects_read: Cell<bool>,
    versions_read: Cell<bool>,
    changed: Notify,
}

impl StartupProgress {
    /// Records that the configuration was read.
    pub(super) fn note_config(&self) {
        self.changed.notify_waiters();
    }

    /// Records that the topic of suspects was read.
    pub(crate) fn note_suspects(&self) {
        if !self.suspects_read.replace(true) {
            self.changed.notify_waiters();
        }
    }

    /// Records that the software versions were read.
    pub(super) fn note_versions(&self) {
        if !self.versions_read.replace(true) {
            self.changed.notify_waiters();
        }
    }

    /// Whether the servers were read.
    pub(super) fn has_servers(&self) -> bool {
        self.servers_read.get()
    }

    /// Records that the servers were read.
    pub(super) fn note_servers(&self) {
        if !self.servers_read.replace(true) {
            self.changed.notify_waiters();
        }
    }
}

/// Topics that decide on a request, besides configuration and servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartupNeeds {
    /// The suspects: its prompt has parts that other requests share.
    pub suspects: bool,
    /// The software versions: it takes a stream up again.
    pub versions: bool,
}

/// Returns when the wait of a request ends that arrived at `arrived` with the
/// timeout `deadline`, if the instance is of `age`; `None` if it doesn't wait.
pub fn startup_wait_end(
    arrived: Instant,
    deadline: Option<Duration>,
    age: Duration,
) -> Option<Instant> {
    let wait = deadline.map_or(STARTUP_WAIT_LIMIT, |deadline| {
        deadline.min(STARTUP_WAIT_LIMIT)
    });
    (age < STARTUP_PERIOD).then(|| arrived + wait)
}

impl<D> TrafficState<D> {
    /// Waits until configuration, servers and what else the request `needs` are known,
    /// but not beyond `end`.
    pub async fn wait_until_configured(&self, needs: StartupNeeds, end: Instant) {
        loop {
            let changed = self.startup.changed.notified();
            let is_read = self.startup.servers_read.get()
                && (!needs.suspects || self.startup.suspects_read.get())
                && (!needs.versions || self.startup.versions_read.get());
            if is_read && self.table.borrow().is_some() {
                return;
            }
            if tokio::time::timeout_at(end.into(), changed).await.is_err() {
                return;
            }
        }
    }
}

//! Steps of a graceful shutdown, as the tasks of the traffic thread see them.

use std::time::Instant;

use crate::state::TrafficState;

impl<D> TrafficState<D> {
    /// When the graceful shutdown began, if it has.
    pub fn shutdown_start(&self) -> Option<Instant> {
        self.shutdown_start.get()
    }

    /// Refuses requests from now on that may last beyond `end`, when a graceful shutdown ends
    /// the requests in progress.
    pub fn refuse_beyond(&self, end: Instant) {
        self.shutdown_end.set(Some(end));
    }

    /// Whether a request with this deadline may be ended by a graceful shutdown.
    pub fn may_be_cut(&self, deadline: Instant) -> bool {
        self.shutdown_end.get().is_some_and(|end| deadline > end)
    }

    /// Closes callers' connections as soon as they are idle.
    pub fn close_idle(&self) {
        self.closing.set(true);
        self.close.notify_waiters();
    }

    /// Waits for [`Self::close_idle`].
    pub async fn closing(&self) {
        if !self.closing.get() {
            self.close.notified().await;
        }
    }

    /// Closes the callers' port once the waiting connections are accepted.
    pub fn close_port(&self) {
        self.port_closed.set(true);
        self.port_close.notify_waiters();
    }

    /// Waits for [`Self::close_port`].
    pub async fn port_closing(&self) {
        if !self.port_closed.get() {
            self.port_close.notified().await;
        }
    }

    /// Whether new requests are refused because of a graceful shutdown.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }
}

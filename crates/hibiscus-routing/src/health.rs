//! Ejects servers that fail and probes each again with a single request.

use std::time::Duration;
use std::time::Instant;

/// Time for which a server is ejected after its first failure.
const FIRST_EJECTION: Duration = Duration::from_secs(2);
/// Maximum time for which a server is ejected.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Doublings after which the ejection time grows no more.
const MAX_DOUBLINGS: u32 = 4;

/// Health of one server by the outcome of recent requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerHealth {
    failures: u32,
    avoided_until: Option<Instant>,
    probe_in_progress: bool,
}

impl ServerHealth {
    /// Whether a request may be sent to the server. After an ejection, only one
    /// request at a time probes it.
    pub fn is_usable(&self, now: Instant) -> bool {
        match self.avoided_until {
            None => true,
            Some(until) => now >= until && !self.probe_in_progress,
        }
    }

    /// Counts a request sent to the server.
    pub fn note_sent(&mut self) {
        if self.avoided_until.is_some() {
            self.probe_in_progress = true;
        }
    }

    /// Counts a request that the server failed.
    pub fn note_failed(&mut self, now: Instant) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let ejection = (FIRST_EJECTION * 2_u32.pow(doublings)).min(MAX_EJECTION);
        self.avoided_until = Some(now + ejection);
        self.probe_in_progress = false;
    }

    /// Counts a request that the server completed.
    pub fn note_success(&mut self) {
        *self = Self::default();
    }

    /// Counts a request that proves nothing about the server, such as one whose
    /// caller disconnected.
    pub fn note_inconclusive(&mut self) {
        self.probe_in_progress = false;
    }
}

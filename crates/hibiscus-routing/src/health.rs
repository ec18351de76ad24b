//! Avoids servers that fail, and tries each again with a single request.

use std::time::Duration;
use std::time::Instant;

/// Time for which a server is avoided after its first failure.
const FIRST_EJECTION: Duration = Duration::from_secs(2);
/// Longest time for which a server is avoided.
const LAST_EJECTION: Duration = Duration::from_secs(30);
/// Doublings after which the time grows no more.
const DOUBLINGS: u32 = 4;

/// What the last requests showed of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerHealth {
    failures: u32,
    avoided_until: Option<Instant>,
    probed: bool,
}

impl ServerHealth {
    /// Whether a request may go to the server. Once the time of avoidance has
    /// passed, one request probes it.
    pub fn is_usable(&self, now: Instant) -> bool {
        match self.avoided_until {
            None => true,
            Some(until) => now >= until && !self.probed,
        }
    }

    /// Counts a request that is sent.
    pub fn note_sent(&mut self) {
        if self.avoided_until.is_some() {
            self.probed = true;
        }
    }

    /// Counts a request that the server failed.
    pub fn note_failed(&mut self, now: Instant) {
        let doublings = self.failures.min(DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let ejection = (FIRST_EJECTION * 2_u32.pow(doublings)).min(LAST_EJECTION);
        self.avoided_until = Some(now + ejection);
        self.probed = false;
    }

    /// Counts a request that the server answered.
    pub fn note_success(&mut self) {
        *self = Self::default();
    }

    /// Counts a request that showed nothing, such as one whose caller left.
    pub fn note_inconclusive(&mut self) {
        self.probed = false;
    }
}

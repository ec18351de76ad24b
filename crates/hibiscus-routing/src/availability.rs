//! Whether one process of a server accepts new requests.
//!
//! A draining server accepts no more requests. A server that refuses a request
//! may name a pause, and nothing is sent to it until the pause ends. A server
//! that refuses without a pause is avoided while other servers are available,
//! for a time that grows with each refusal. After a pause or an avoidance a few
//! trial requests are sent to the server, and more as it accepts them, so that
//! not all waiting requests arrive at once.
//!
//! The time is an argument. A clock that was frozen or runs late only changes
//! when the next request is sent.

use std::time::Duration;
use std::time::Instant;

/// Time for which a server is avoided after its first refusal. A full server
/// has less work than that queued.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(100);
/// Maximum time for which a server that refuses without a pause is avoided.
const MAX_AVOIDANCE: Duration = Duration::from_secs(2);
/// Doublings after which the avoidance time grows no more.
const MAX_DOUBLINGS: u32 = 5;
/// Trial requests allowed at the same time before the server accepted one.
const FIRST_TRIAL_LIMIT: u32 = 1;
/// Largest limit on trial requests; above it the server is used normally.
const MAX_TRIAL_LIMIT: u32 = 8;
/// Time after which a caller may retry when all trial requests are in progress.
const TRIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Whether a new request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerEligibility {
    /// The request may be sent.
    Open,
    /// The server refused recently: use it only if no other server is usable.
    LastResort,
    /// Nothing may be sent before the given time; `None` while the process lives.
    Paused(Option<Instant>),
    /// The server is draining and never gets another request.
    Draining,
}

/// Pause or avoidance that follows a refusal.
#[derive(Clone, Copy, Debug)]
struct RequestPause {
    /// End of the pause; `None` if it never ends.
    until: Option<Instant>,
    /// Whether the server requested the pause, rather than refused without one.
    requested: bool,
    /// Trial requests allowed at the same time after the pause.
    trial_limit: u32,
    /// Trial requests in progress.
    trials_in_progress: u32,
}

/// What is known of one server process's acceptance of new requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerAvailability {
    draining: bool,
    pause: Option<RequestPause>,
    /// Consecutive refusals.
    refusals: u32,
}

impl ServerAvailability {
    /// Whether a new request may be sent at `now`.
    pub fn eligibility(&self, now: Instant) -> ServerEligibility {
        if self.draining {
            return ServerEligibility::Draining;
        }
        let Some(pause) = self.pause else {
            return ServerEligibility::Open;
        };
        let Some(until) = pause.until else {
            return ServerEligibility::Paused(None);
        };
        let ended = now >= until;
        if ended && pause.trials_in_progress < pause.trial_limit {
            return ServerEligibility::Open;
        }
        if !pause.requested {
            return ServerEligibility::LastResort;
        }
        ServerEligibility::Paused(Some(if ended {
            now + TRIAL_RETRY_DELAY
        } else {
            until
        }))
    }

    /// Whether the server is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether the server requested a pause and has not yet accepted enough
    /// trial requests after it.
    pub fn is_paused(&self) -> bool {
        self.pause.is_some_and(|pause| pause.requested)
    }

    /// Marks the server as draining; returns whether that is new.
    pub fn note_draining(&mut self) -> bool {
        !std::mem::replace(&mut self.draining, true)
    }

    /// Counts a request sent at `now`; returns whether it is a trial request
    /// after a refusal.
    pub fn note_sent(&mut self, now: Instant) -> bool {
        let Some(pause) = &mut self.pause else {
            return false;
        };
        if pause.until.is_none_or(|until| now < until) {
            return false;
        }
        pause.trials_in_progress += 1;
        true
    }

    /// Whether a request that was counted but not yet sent may still be sent at
    /// `now`; `trial` is what [`Self::note_sent`] returned for it.
    pub fn still_accepts(&self, trial: bool, now: Instant) -> bool {
        if self.draining {
            return false;
        }
        let Some(pause) = self.pause.filter(|pause| pause.requested) else {
            return true;
        };
        trial && pause.until.is_some_and(|until| now >= until)
    }

    /// Records that the server accepted a request; `trial` is what
    /// [`Self::note_sent`] returned. A request sent before a refusal proves nothing,
    /// and neither does a trial request after an earlier one.
    pub fn note_accepted(&mut self, trial: bool) {
        let Some(pause) = &mut self.pause else {
            self.refusals = 0;
            return;
        };
        if !trial || pause.trials_in_progress == 0 {
            return;
        }
        pause.trials_in_progress -= 1;
        pause.trial_limit *= 2;
        if pause.trial_limit > MAX_TRIAL_LIMIT {
            self.pause = None;
            self.refusals = 0;
        }
    }

    /// Records that a request ended without a response from the server.
    pub fn note_unanswered(&mut self, trial: bool) {
        if let Some(pause) = &mut self.pause
            && trial
        {
            pause.trials_in_progress = pause.trials_in_progress.saturating_sub(1);
        }
    }

    /// Records that the server refused a request at `now` and requested a pause,
    /// if any.
    pub fn note_refused(&mut self, requested: Option<Duration>, now: Instant) {
        let known = self.pause;
        let running = known.is_some_and(|pause| pause.until.is_none_or(|until| now < until));
        // Refusals of requests that were in progress together count as one.
        if !running {
            self.refusals = self.refusals.saturating_add(1);
        }
        let doublings = self.refusals.saturating_sub(1).min(MAX_DOUBLINGS);
        let avoidance = (FIRST_AVOIDANCE * 2_u32.pow(doublings)).min(MAX_AVOIDANCE);
        let until = now.checked_add(requested.unwrap_or(avoidance));
        let next = RequestPause {
            until,
            requested: requested.is_some(),
            trial_limit: FIRST_TRIAL_LIMIT,
            trials_in_progress: 0,
        };
        self.pause = Some(match known {
            Some(known) if running && known.outlasts(&next) => known,
            _ => next,
        });
    }
}

impl RequestPause {
    /// Whether this pause takes precedence over `other`: the server requested
    /// only this one, or this one ends later.
    fn outlasts(&self, other: &Self) -> bool {
        if self.requested != other.requested {
            return self.requested;
        }
        match (self.until, other.until) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(own), Some(other)) => own >= other,
        }
    }
}

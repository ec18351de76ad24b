//! What one process of a server has said of new requests.
//!
//! A server that leaves takes none any more. One that refuses a request may
//! name a time for which it wants none: until then nothing is sent. One that
//! refuses without a time is avoided while others are there, for a time that
//! grows with each refusal. After either time a few requests try the server,
//! and more with each that it takes, so that not all who waited come at once.
//!
//! Time is an argument, so a clock that was frozen or runs late changes
//! nothing but when the next request is sent.

use std::time::Duration;
use std::time::Instant;

/// Time for which a server is avoided after its first refusal: what waits at
/// a full one is less work than that.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(100);
/// Longest time for which a server that refuses without a time is avoided.
const LAST_AVOIDANCE: Duration = Duration::from_secs(2);
/// Doublings after which that time grows no more.
const DOUBLINGS: u32 = 5;
/// Requests that may try a server at the same time before one was taken.
const FIRST_TRIALS: u32 = 1;
/// Trials at the same time from which on the server is used as before.
const LAST_TRIALS: u32 = 8;
/// Time after which a caller may ask again when all trials are under way.
const TRIAL_TIME: Duration = Duration::from_millis(100);

/// Whether a new request may go to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerEligibility {
    /// It may.
    Open,
    /// It refused lately: only when no other server can be used.
    LastResort,
    /// Not before the time; without one, as long as this process lives.
    Paused(Option<Instant>),
    /// It leaves: never.
    Draining,
}

/// What a refusal keeps away from a server.
#[derive(Clone, Copy, Debug)]
struct RequestPause {
    /// `None` when it has no end.
    until: Option<Instant>,
    /// Whether the server named the time.
    wanted: bool,
    /// Requests that may try the server at the same time afterwards.
    trials: u32,
    /// Those that do.
    trying: u32,
}

/// What one process of a server has said of new requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerAvailability {
    draining: bool,
    pause: Option<RequestPause>,
    /// Refusals in a row.
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
        if ended && pause.trying < pause.trials {
            return ServerEligibility::Open;
        }
        if !pause.wanted {
            return ServerEligibility::LastResort;
        }
        ServerEligibility::Paused(Some(if ended { now + TRIAL_TIME } else { until }))
    }

    /// Whether the server leaves.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether the server named a time for which it wants nothing, and none of
    /// the requests after it was taken yet.
    pub fn is_paused(&self) -> bool {
        self.pause.is_some_and(|pause| pause.wanted)
    }

    /// Notes that the server leaves; whether that is new.
    pub fn note_draining(&mut self) -> bool {
        !std::mem::replace(&mut self.draining, true)
    }

    /// Counts a request that is sent at `now`; whether it tries a server that
    /// refused before.
    pub fn note_sent(&mut self, now: Instant) -> bool {
        let Some(pause) = &mut self.pause else {
            return false;
        };
        if pause.until.is_none_or(|until| now < until) {
            return false;
        }
        pause.trying += 1;
        true
    }

    /// Whether a request that was counted, but has not left yet, may still be
    /// sent at `now`; `trial` is what [`Self::note_sent`] said of it.
    pub fn still_accepts(&self, trial: bool, now: Instant) -> bool {
        if self.draining {
            return false;
        }
        let Some(pause) = self.pause.filter(|pause| pause.wanted) else {
            return true;
        };
        trial && pause.until.is_some_and(|until| now >= until)
    }

    /// The server took a request; `trial` is what [`Self::note_sent`] said of
    /// it. One that was sent before a refusal shows nothing.
    pub fn note_accepted(&mut self, trial: bool) {
        let Some(pause) = &mut self.pause else {
            self.refusals = 0;
            return;
        };
        if !trial {
            return;
        }
        pause.trying = pause.trying.saturating_sub(1);
        pause.trials *= 2;
        if pause.trials > LAST_TRIALS {
            self.pause = None;
            self.refusals = 0;
        }
    }

    /// A request ended without the server's word.
    pub fn note_unanswered(&mut self, trial: bool) {
        if let Some(pause) = &mut self.pause
            && trial
        {
            pause.trying = pause.trying.saturating_sub(1);
        }
    }

    /// The server refused a request at `now`, and wants none for `wanted`.
    pub fn note_refused(&mut self, wanted: Option<Duration>, now: Instant) {
        let known = self.pause;
        let running = known.is_some_and(|pause| pause.until.is_none_or(|until| now < until));
        // Several requests that were on their way count as one refusal.
        if !running {
            self.refusals = self.refusals.saturating_add(1);
        }
        let doublings = self.refusals.saturating_sub(1).min(DOUBLINGS);
        let avoidance = (FIRST_AVOIDANCE * 2_u32.pow(doublings)).min(LAST_AVOIDANCE);
        let until = now.checked_add(wanted.unwrap_or(avoidance));
        let next = RequestPause {
            until,
            wanted: wanted.is_some(),
            trials: FIRST_TRIALS,
            trying: 0,
        };
        self.pause = Some(match known {
            Some(known) if running && known.outlasts(&next) => known,
            _ => next,
        });
    }
}

impl RequestPause {
    /// Whether it holds for longer than `other`, or the server wanted it and
    /// not the other.
    fn outlasts(&self, other: &Self) -> bool {
        if self.wanted != other.wanted {
            return self.wanted;
        }
        match (self.until, other.until) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(own), Some(other)) => own >= other,
        }
    }
}

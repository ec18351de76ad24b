//! Suspends parts of prompts while too few answers come to condemn them.
//!
//! A verdict needs many answers without the part, which do not come while there are few
//! requests. So after several crashes one after the other, with no answer to a request
//! with the part in between, such requests are refused for a time, and then tried again.
//! Each further crash lengthens the time; an answer ends it and removes the crashes. A
//! sound part is thus refused for seconds only if the crashes were due to something else.
//!
//! Servers that crash for another reason at a random moment rarely hit the moment at which
//! a response begins, and never several times in a row. Servers that crash on everything
//! hit any part: so there must have been an answer to a request without the part, a
//! contrast. Instances tell each other of parts with a contrast, since each sees only some
//! of the answers. A part that all requests have has none.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::prompt_parts::PartEvidence;
use crate::prompt_parts::PartId;
use crate::prompt_parts::TeamTag;
use crate::prompt_parts::table::PartTable;

/// Rounds of crashes after which a part is suspended, beyond those in which servers crashed
/// without it meanwhile and shortly before.
const SUSPENSION_ROUNDS: usize = 5;
/// The same if no response had begun in them: requests may wait for long.
const WAITING_ROUNDS: usize = 8;
/// Time of the first suspension, from the last crash.
const SUSPENSION_TIME: Duration = Duration::from_secs(15);
/// Factor by which each further suspension is longer than the one before.
const SUSPENSION_FACTOR: u32 = 4;
/// Longest suspension.
const MAX_SUSPENSION: Duration = Duration::from_secs(3_600);
/// Time for which an answer is a contrast to the parts that its request did not have.
const CONTRAST_TIME: Duration = Duration::from_secs(120);
/// Maximum number of answers that are remembered as a contrast.
const CONTRAST_LIMIT: usize = 64;

/// What instances keep of a part besides its crashes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartStanding {
    /// Number of times that servers crashed one after the other.
    pub rounds: u32,
    /// Whether requests without the part were answered.
    pub has_contrast: bool,
    /// Number of suspensions.
    pub suspensions: u32,
}

/// The suspensions of a part.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SuspensionState {
    /// Time of the steady clock until which requests with the part are refused.
    until: Duration,
    /// Number of suspensions so far.
    count: u32,
    /// Rounds of crashes at the last one.
    rounds: usize,
}

/// A part in the topic of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPart {
    /// The crashes. They come first, as earlier releases read nothing else.
    pub evidence: PartEvidence,
    /// What is known besides.
    pub standing: PartStanding,
}

/// The parts of requests that were answered a short time ago.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentAnswers {
    answers: VecDeque<(Duration, Vec<PartId>)>,
}

impl RecentAnswers {
    fn insert(&mut self, parts: &[PartId], now: Duration) {
        if self.answers.len() == CONTRAST_LIMIT {
            self.answers.pop_front();
        }
        self.answers.push_back((now, parts.to_vec()));
    }

    /// Whether a request without `part` was answered shortly before `now`.
    fn has_without(&self, part: PartId, now: Duration) -> bool {
        let mut answers = self.answers.iter();
        answers.any(|(at, parts)| now < *at + CONTRAST_TIME && !parts.contains(&part))
    }
}

impl PartTable {
    /// Remembers an answer to a request with `parts` at `now`.
    pub fn note_contrast_answer(&mut self, parts: &[PartId], now: Duration) {
        self.recent_answers.insert(parts, now);
    }

    /// Records that requests without `part` were answered; returns whether this is new.
    pub fn note_contrast(&mut self, part: PartId) -> bool {
        let Some(state) = self.parts.get_mut(&part) else {
            return false;
        };
        !std::mem::replace(&mut state.has_contrast, true)
    }

    /// Suspected parts of which this instance has found at `now` that requests without
    /// them are answered, and which it had not recorded.
    pub fn find_contrasts(&mut self, now: Duration) -> Vec<PartId> {
        let mut found = Vec::new();
        for (part, state) in &mut self.parts {
            if state.has_contrast || !state.is_suspect() {
                continue;
            }
            if self.recent_answers.has_without(*part, now) {
                state.has_contrast = true;
                found.push(*part);
            }
        }
        found
    }

    /// Suspends the parts that the crashes speak against until a time of the steady clock;
    /// returns those that were suspended now.
    pub fn suspend(&mut self) -> Vec<(PartId, Duration)> {
        let ranked = self.ranked_parts();
        let mut suspended = Vec::new();
        for candidate in &ranked {
            let state = candidate.state();
            let is_open = state.condemned_at.is_none() && state.has_contrast;
            let rounds = state.rounds();
            if !is_open || rounds <= state.suspension.rounds {
                continue;
            }
            let least = if state.has_begun() {
                SUSPENSION_ROUNDS
            } else {
                WAITING_ROUNDS
            };
            let is_due = rounds >= least + self.other_rounds(state);
            if is_due && Self::is_unexplained(candidate, &ranked) {
                suspended.push((candidate.part(), rounds));
            }
        }
        let mut ends = Vec::with_capacity(suspended.len());
        for (part, rounds) in suspended {
            let Some(state) = self.parts.get_mut(&part) else {
                continue;
            };
            let last_crash = state.last_crash_at().unwrap_or_default();
            state.suspension.extend(rounds, last_crash);
            ends.push((part, state.suspension.until));
        }
        ends
    }

    /// The suspended part because of which a request of `team` with `parts` is refused at
    /// `now`, and for how much longer.
    pub fn suspension(
        &self,
        parts: &[PartId],
        team: TeamTag,
        now: Duration,
    ) -> Option<(PartId, Duration)> {
        for part in parts {
            let Some(state) = self.parts.get(part) else {
                continue;
            };
            let until = state.suspension.until;
            if now < until && state.refuses(parts, team) {
                return Some((*part, until - now));
            }
        }
        None
    }

    /// What is known of `part` besides its crashes.
    pub fn standing(&self, part: PartId) -> PartStanding {
        let state = self.parts.get(&part);
        state.map_or_else(PartStanding::default, |state| PartStanding {
            rounds: u32::try_from(state.rounds()).unwrap_or(u32::MAX),
            has_contrast: state.has_contrast,
            suspensions: state.suspension.count,
        })
    }

    /// Applies what the topic says of `part` besides its crashes, which are known. They
    /// were received at once, though they were several rounds.
    pub fn merge_standing(&mut self, part: PartId, standing: PartStanding) {
        let Some(state) = self.parts.get_mut(&part) else {
            return;
        };
        state.has_contrast |= standing.has_contrast;
        let rounds = usize::try_from(standing.rounds).unwrap_or(usize::MAX);
        state.missed_rounds += rounds.saturating_sub(state.rounds());
        // The last suspension is decided again.
        let before = standing.suspensions.saturating_sub(1);
        state.suspension.count = state.suspension.count.max(before);
    }
}

impl SuspensionState {
    /// Suspends the part again after `rounds` rounds of crashes, the last one at
    /// `last_crash`.
    fn extend(&mut self, rounds: usize, last_crash: Duration) {
        let factor = SUSPENSION_FACTOR.checked_pow(self.count);
        let time = SUSPENSION_TIME.saturating_mul(factor.unwrap_or(u32::MAX));
        self.until = last_crash + time.min(MAX_SUSPENSION);
        self.count = self.count.saturating_add(1);
        self.rounds = rounds;
    }
}

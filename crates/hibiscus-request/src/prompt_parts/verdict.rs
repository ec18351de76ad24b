//! Decides which parts of prompts are condemned.
//!
//! A part is condemned when servers crashed with it several times, one after the
//! other, and no response to a request with it went on. Servers that crash for
//! another reason take parts along by chance. But then responses that have begun go on
//! as often with a sound part as without: if a tenth of the responses that had just
//! begun at the crashed servers had the part, so had a tenth of those that went on
//! between the crashes. So a part is condemned only when many such answers were to be
//! expected and there was none. While servers answer little, nothing is condemned, and
//! parts are suspended at most ([`crate::prompt_parts::suspension`]).
//!
//! Crashes at which a stronger part was do not count. A part that was in answered
//! requests before is weaker than any other. When another part was at as many of the
//! crashes, more crashes are needed.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use hibiscus_types::UnixMillis;

use crate::prompt_parts::PartId;
use crate::prompt_parts::history::PromptCount;
use crate::prompt_parts::table::PartState;
use crate::prompt_parts::table::PartTable;

/// Crashes at which a part must have been.
const MIN_CRASHES: usize = 3;
/// Crashes after which a part is condemned although another part was at as many
/// crashes.
const RIVAL_CRASHES: usize = 5;
/// Rounds of crashes after which a part is condemned if no server crashed without it
/// meanwhile and shortly before.
const MIN_ROUNDS: usize = 2;
/// Time before the first crash in which crashes without the part make a verdict
/// doubtful.
const STORM_TIME: Duration = Duration::from_secs(10);
/// Rounds of crashes after which a part is condemned if servers crashed without it.
const STORM_ROUNDS: usize = 4;
/// The same if the part was in answered requests before.
const ANSWERED_ROUNDS: usize = 5;
/// Rounds of crashes after which a part is condemned if no response had begun in
/// them.
const WAITING_ROUNDS: usize = 5;
/// The same if servers crashed without the part.
const WAITING_STORM_ROUNDS: usize = 8;
/// Time from the first crash of a round to the next round. Servers that crash for the
/// same reason at the same moment are found within less.
pub(super) const ROUND_TIME: Duration = Duration::from_millis(300);
/// Answers with the part that were to be expected between the crashes. The
/// probability that a sound part has none is `exp(-MIN_EXPECTED_ANSWERS)`.
const MIN_EXPECTED_ANSWERS: f64 = 10.0;
/// Maximum number of parts that are compared with each other.
const RANKED_LIMIT: usize = 256;

/// How much speaks against a part: whether no request with it was answered before,
/// the crashes, and those of them in which a response had begun.
type PartWeight = (bool, usize, usize);

/// A part with enough crashes to be looked at.
pub(super) struct RankedPart<'a> {
    weight: PartWeight,
    part: PartId,
    state: &'a PartState,
}

impl<'a> RankedPart<'a> {
    pub(super) fn part(&self) -> PartId {
        self.part
    }

    pub(super) fn state(&self) -> &'a PartState {
        self.state
    }

    fn was_answered(&self) -> bool {
        let (is_unanswered, ..) = self.weight;
        !is_unanswered
    }
}

impl PartState {
    /// Number of crashes in which a response had begun.
    fn begun_crashes(&self) -> usize {
        self.crashes().filter(|crash| crash.begun).count()
    }

    /// Whether there are enough crashes for a verdict.
    pub(super) fn has_enough_crashes(&self) -> bool {
        self.held.len() >= MIN_CRASHES
    }

    /// Number of times that servers crashed one after the other; those that crashed
    /// at the same moment are one round. If responses had begun in several crashes,
    /// only these count.
    pub(super) fn rounds(&self) -> usize {
        let only_begun = self.has_begun();
        let mut times = Vec::with_capacity(self.held.len());
        for held in self.held.values() {
            if held.crash.begun || !only_begun {
                times.push(held.received_at);
            }
        }
        times.sort_unstable();
        let mut rounds = 0;
        let mut next_round = Duration::ZERO;
        for time in times {
            if time >= next_round || rounds == 0 {
                rounds += 1;
                next_round = time + ROUND_TIME;
            }
        }
        rounds + self.further.rounds + self.missed_rounds
    }

    /// Whether responses had begun in several crashes.
    pub(super) fn has_begun(&self) -> bool {
        self.begun_crashes() > 1
    }

    /// Share of the part in `all` requests at the crashed servers: of those whose
    /// response had begun, if this happened.
    fn share_of(&self, all: PromptCount) -> f64 {
        let mut own = self.further.prompts;
        for held in self.held.values() {
            own += held.prompts;
        }
        let (own, all) = if self.has_begun() {
            (own.begun, all.begun)
        } else {
            (own.waiting + own.begun, all.waiting + all.begun)
        };
        own as f64 / all.max(1) as f64
    }
}

impl PartTable {
    /// The parts with enough crashes to be looked at, those that most speaks against
    /// first.
    pub(super) fn ranked_parts(&self) -> Vec<RankedPart<'_>> {
        let mut ranked = Vec::new();
        for (part, state) in &self.parts {
            if !state.has_enough_crashes() {
                continue;
            }
            let is_unanswered = !self.was_answered(*part);
            ranked.push(RankedPart {
                weight: (is_unanswered, state.crash_count(), state.begun_crashes()),
                part: *part,
                state,
            });
        }
        ranked.sort_unstable_by_key(|ranked| Reverse((ranked.weight, ranked.part)));
        ranked.truncate(RANKED_LIMIT);
        ranked
    }

    /// Condemns the parts that the crashes speak against, at the time `now`; returns
    /// those that are new. Each of `instances` instances gets about as many answers.
    pub fn condemn(&mut self, instances: u32, now: UnixMillis) -> Vec<PartId> {
        let ranked = self.ranked_parts();
        let mut condemned = Vec::new();
        for candidate in &ranked {
            let is_new = candidate.state.condemned_at.is_none();
            if is_new && self.is_deadly(candidate, &ranked, instances) {
                condemned.push(candidate.part);
            }
        }
        for part in &condemned {
            if let Some(state) = self.parts.get_mut(part) {
                state.condemned_at = Some(now);
            }
        }
        condemned
    }

    /// Number of times that servers crashed without the part, shortly before its first
    /// crash or between that and its last one. Crashes with condemned parts do not count.
    pub(super) fn other_rounds(&self, state: &PartState) -> usize {
        let times = state.held.values().map(|held| held.received_at);
        let first = times.min().unwrap_or_default();
        let serials = state.held.values().map(|held| held.serial);
        let last = serials.max().unwrap_or_default();
        let condemned = self.parts.values();
        let condemned: Vec<_> = condemned
            .filter(|other| other.condemned_at.is_some())
            .collect();
        let mut rounds = 0;
        let mut next_round = Duration::ZERO;
        for (process, at) in self.history.since(first.saturating_sub(STORM_TIME), last) {
            let is_explained = condemned.iter().any(|other| other.was_at(process));
            if is_explained || state.was_at(process) || at < next_round {
                continue;
            }
            rounds += 1;
            next_round = at + ROUND_TIME;
        }
        rounds
    }

    /// Whether the crashes of a part condemn it, and none of the `ranked` parts
    /// explains them as well.
    fn is_deadly(
        &self,
        candidate: &RankedPart<'_>,
        ranked: &[RankedPart<'_>],
        instances: u32,
    ) -> bool {
        let state = candidate.state;
        let serials = state.held.values().map(|held| held.serial);
        let (Some(first), Some(last)) = (serials.clone().min(), serials.max()) else {
            return false;
        };
        let is_storm = self.other_rounds(state) > 0;
        let min_rounds = match (state.has_begun(), is_storm, candidate.was_answered()) {
            (false, false, _) => WAITING_ROUNDS,
            (false, true, _) => WAITING_STORM_ROUNDS,
            (true, true, true) => ANSWERED_ROUNDS,
            (true, true, false) => STORM_ROUNDS,
            (true, false, _) => MIN_ROUNDS,
        };
        if state.rounds() < min_rounds {
            return false;
        }
        let last = last.max(state.further.last);
        let (all, answers) = self.history.totals(first..=last);
        let expected = estimate_answers(answers, instances) * state.share_of(all);
        expected >= MIN_EXPECTED_ANSWERS && Self::is_unexplained(candidate, ranked)
    }

    /// Whether none of the `ranked` parts explains the crashes of a part as well.
    pub(super) fn is_unexplained(candidate: &RankedPart<'_>, ranked: &[RankedPart<'_>]) -> bool {
        let state = candidate.state;
        let mut has_rival = false;
        let companions = state.companions();
        let mut unexplained: BTreeSet<_> = state.held.keys().collect();
        for other in ranked {
            if other.weight > candidate.weight {
                unexplained.retain(|process| !other.state.was_at(process));
                continue;
            }
            let mut shared = state.held.keys();
            has_rival |= other.weight == candidate.weight
                && !companions.contains(&other.part)
                && shared.any(|process| other.state.was_at(process));
        }
        unexplained.len() >= MIN_CRASHES && (!has_rival || state.held.len() >= RIVAL_CRASHES)
    }
}

/// Number of answers that all of `instances` instances got at least, by the `own` ones of
/// this instance: two standard deviations below the estimate.
fn estimate_answers(own: u64, instances: u32) -> f64 {
    let own = own as f64;
    let lower = own - 2.0 * own.sqrt();
    own.max(lower * f64::from(instances))
}

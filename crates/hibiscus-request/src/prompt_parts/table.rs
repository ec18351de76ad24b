//! Crashes of servers, indexed by the parts of the prompts that were there.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use hibiscus_types::ServiceName;
use hibiscus_types::UnixMillis;

use crate::prompt_parts::PARTS_PER_PROMPT_LIMIT;
use crate::prompt_parts::PartClearance;
use crate::prompt_parts::PartCrash;
use crate::prompt_parts::PartEvidence;
use crate::prompt_parts::PartId;
use crate::prompt_parts::PartStatus;
use crate::prompt_parts::PromptCrash;
use crate::prompt_parts::TeamTag;
use crate::prompt_parts::history::CrashHistory;
use crate::prompt_parts::history::PromptCount;
use crate::prompt_parts::recent::RecentKeys;
use crate::prompt_parts::recent::UsedKeys;
use crate::prompt_parts::suspension::RecentAnswers;
use crate::prompt_parts::suspension::SuspensionState;
use crate::prompt_parts::verdict::ROUND_TIME;
use crate::suspects::ServerProcess;

/// Number of crashes one after the other from which on a part is a suspect.
const CRASHES_TO_SUSPECT: usize = 2;
/// Time after its last crash at which a part is forgotten. Requests with a
/// condemned part are refused until then.
pub const PART_LIFETIME: Duration = Duration::from_secs(24 * 3_600);
/// Maximum number of parts; those with the fewest crashes are evicted first.
pub const PART_LIMIT: usize = 8_192;
/// Part of [`PART_LIMIT`] that is evicted at once, as it takes a look at all parts.
const EVICTED_SHARE: usize = 16;
/// Crashes kept for one part in full.
const CRASHES_PER_PART_LIMIT: usize = 16;
/// Further crashes of one part, of which only the processes and sums are kept.
const FURTHER_CRASH_LIMIT: usize = 64;
/// Number of teams that are recorded for a crash: whether there is a second one
/// decides whose requests are refused.
const TEAMS_PER_CRASH_LIMIT: usize = 2;
/// Removed crashes that are remembered, so that late copies do not restore them.
const REMOVED_LIMIT: usize = 16_384;
/// Reports that are remembered, so that copies of them are not forwarded again.
const REPORT_LIMIT: usize = 4_096;
/// Parts of answered requests that are remembered.
const ANSWERED_LIMIT: usize = 16_384;

/// A crash and when it was learned.
#[derive(Clone, Debug)]
pub(super) struct ReceivedCrash {
    pub(super) crash: PartCrash,
    /// Time of the steady clock at which the crash was received.
    pub(super) received_at: Duration,
    /// Number of the crash.
    pub(super) serial: u64,
    /// Requests with the part.
    pub(super) prompts: PromptCount,
}

/// Crashes of a part beyond those that are kept in full.
#[derive(Clone, Debug, Default)]
pub(super) struct FurtherCrashes {
    processes: BTreeSet<ServerProcess>,
    /// Number of the last of them.
    pub(super) last: u64,
    /// Requests with the part.
    pub(super) prompts: PromptCount,
    /// Rounds of crashes.
    pub(super) rounds: usize,
    /// Time of the steady clock from which on a crash begins another round.
    next_round: Duration,
}

/// What the table knows of one part.
#[derive(Clone, Debug, Default)]
pub(super) struct PartState {
    pub(super) held: BTreeMap<ServerProcess, ReceivedCrash>,
    pub(super) further: FurtherCrashes,
    pub(super) condemned_at: Option<UnixMillis>,
    /// Whether requests without the part were answered.
    pub(super) has_contrast: bool,
    pub(super) suspension: SuspensionState,
    /// Rounds of crashes that were over before this instance learned of them.
    pub(super) missed_rounds: usize,
    /// Number of crashes that the fleet's topic holds, and whether it holds the part
    /// as condemned.
    stored: Option<(usize, bool)>,
}

impl PartState {
    /// The crashes that speak against the part.
    pub(super) fn crashes(&self) -> impl Iterator<Item = &PartCrash> {
        self.held.values().map(|held| &held.crash)
    }

    /// Number of crashes, also of those that are not kept in full.
    pub(super) fn crash_count(&self) -> usize {
        self.held.len() + self.further.processes.len()
    }

    /// Whether the part was at the crash of `process`.
    pub(super) fn was_at(&self, process: &ServerProcess) -> bool {
        self.held.contains_key(process) || self.further.processes.contains(process)
    }

    /// Adds a crash beyond those that are kept in full.
    fn note_further(&mut self, received: &ReceivedCrash) {
        let process = received.crash.process();
        let is_full = self.further.processes.len() >= FURTHER_CRASH_LIMIT;
        if is_full && !self.further.processes.contains(&process) {
            return;
        }
        let now = received.received_at;
        let is_counted = received.crash.begun || !self.has_begun();
        let after_held = self.last_received().unwrap_or_default() + ROUND_TIME;
        let further = &mut self.further;
        further.processes.insert(process);
        further.last = further.last.max(received.serial);
        further.prompts += received.prompts;
        if is_counted && now >= after_held.max(further.next_round) {
            further.rounds += 1;
            further.next_round = now + ROUND_TIME;
        }
    }

    /// Time of the steady clock at which the last crash was received.
    fn last_received(&self) -> Option<Duration> {
        self.held.values().map(|held| held.received_at).max()
    }

    /// Parts that were in the same requests at each crash.
    pub(super) fn companions(&self) -> BTreeSet<PartId> {
        let mut crashes = self.crashes();
        let first = crashes.next();
        let mut common = first.map_or_else(BTreeSet::new, |crash| crash.companions.clone());
        for crash in crashes {
            common.retain(|part| crash.companions.contains(part));
        }
        common
    }

    /// Time of the steady clock at which the last crash was received, also of those that
    /// are not kept in full.
    pub(super) fn last_crash_at(&self) -> Option<Duration> {
        let further = self.further.next_round.saturating_sub(ROUND_TIME);
        Some(self.last_received()?.max(further))
    }

    pub(super) fn is_suspect(&self) -> bool {
        self.held.len() >= CRASHES_TO_SUSPECT && self.rounds() > 1
    }

    /// Whether requests of `team` are refused if the part is condemned.
    fn concerns(&self, team: TeamTag) -> bool {
        let teams = self.crashes().flat_map(|crash| &crash.teams);
        let teams: BTreeSet<_> = teams.collect();
        teams.len() >= TEAMS_PER_CRASH_LIMIT || teams.contains(&team)
    }

    /// Whether a request of `team` with `parts` is refused while the part is condemned or
    /// suspended: parts that were in the same requests can't be told from it.
    pub(super) fn refuses(&self, parts: &[PartId], team: TeamTag) -> bool {
        self.concerns(team) && self.companions().iter().all(|part| parts.contains(part))
    }

    /// Time of the last crash.
    fn last_seen(&self) -> Option<UnixMillis> {
        self.crashes().map(|crash| crash.seen).max()
    }

    /// Whether the fleet's topic does not hold all that is known.
    fn is_ahead_of_topic(&self) -> bool {
        self.stored.is_none_or(|(crashes, condemned)| {
            crashes < self.held.len() || condemned != self.condemned_at.is_some()
        })
    }
}

/// Crashes of servers, indexed by the parts of the prompts that were there.
#[derive(Clone, Debug)]
pub struct PartTable {
    pub(super) parts: HashMap<PartId, PartState>,
    removed: RecentKeys<(PartId, ServerProcess)>,
    /// Hashes of the reports that were merged.
    reports: RecentKeys<u64>,
    /// Crashes with requests of any prompt.
    pub(super) history: CrashHistory,
    /// Parts of answered requests.
    answered: UsedKeys<PartId>,
    /// Parts of the last answered requests.
    pub(super) recent_answers: RecentAnswers,
    /// Parts that were dropped and that the fleet's topic may hold.
    dropped: Vec<PartId>,
}

impl Default for PartTable {
    fn default() -> Self {
        Self {
            parts: HashMap::new(),
            removed: RecentKeys::new(REMOVED_LIMIT),
            reports: RecentKeys::new(REPORT_LIMIT),
            history: CrashHistory::default(),
            answered: UsedKeys::new(ANSWERED_LIMIT),
            recent_answers: RecentAnswers::default(),
            dropped: Vec::new(),
        }
    }
}

impl PartTable {
    /// Number of parts that servers crashed with.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether no server is known to have crashed with a part.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Number of suspected and of condemned parts.
    pub fn counts(&self) -> (usize, usize) {
        let (mut suspects, mut condemned) = (0, 0);
        for state in self.parts.values() {
            if state.condemned_at.is_some() {
                condemned += 1;
                continue;
            }
            suspects += usize::from(state.is_suspect());
        }
        (suspects, condemned)
    }

    /// Returns whether a request of `team` with `parts` may be sent.
    pub fn status(&self, parts: &[PartId], team: TeamTag) -> PartStatus {
        let mut status = PartStatus::Clear;
        if self.parts.is_empty() {
            return status;
        }
        for part in parts {
            let Some(state) = self.parts.get(part) else {
                continue;
            };
            if state.is_suspect() {
                status = PartStatus::Suspect(*part);
            }
            if state.condemned_at.is_some() && state.refuses(parts, team) {
                return PartStatus::Condemned(*part);
            }
        }
        status
    }

    /// What is known of `part`.
    pub fn evidence(&self, part: PartId) -> Option<PartEvidence> {
        let state = self.parts.get(&part)?;
        Some(PartEvidence {
            part,
            condemned_at: state.condemned_at,
            crashes: state.crashes().cloned().collect(),
        })
    }

    /// Adds a report that was received at `now`. Returns false if it was already
    /// known.
    pub fn merge_crash(&mut self, crash: &PromptCrash, now: Duration) -> bool {
        if !self.reports.insert(crash.hash()) {
            return false;
        }
        let process = crash.process();
        let mut all = PromptCount::default();
        for prompt in &crash.prompts {
            all += PromptCount::of(prompt);
        }
        let serial = self.history.note_crash(process, all, now);
        for prompt in &crash.prompts {
            let parts = prompt.parts.iter().take(PARTS_PER_PROMPT_LIMIT).copied();
            let mut companions: BTreeSet<_> = parts.clone().collect();
            companions.retain(|part| !self.removed.contains(&(*part, process)));
            for (index, part) in parts.enumerate() {
                let part_crash = PartCrash {
                    server: crash.server.clone(),
                    started: crash.started,
                    service: crash.service.clone(),
                    reporter: crash.reporter.clone(),
                    seen: crash.seen,
                    companions: companions.clone(),
                    teams: BTreeSet::from([prompt.team]),
                    begun: prompt.begun > 0,
                    answered: prompt.was_answered(index),
                };
                let received = ReceivedCrash {
                    crash: part_crash,
                    received_at: now,
                    serial,
                    prompts: PromptCount::of(prompt),
                };
                self.insert(part, received);
            }
        }
        self.evict_weakest();
        true
    }

    /// Adds a crash to a part, unless it was removed before.
    fn insert(&mut self, part: PartId, received: ReceivedCrash) {
        let process = received.crash.process();
        if self.removed.contains(&(part, process)) {
            return;
        }
        let state = self.parts.entry(part).or_default();
        if let Some(known) = state.held.get_mut(&process) {
            known.prompts += received.prompts;
            let (held, crash) = (&mut known.crash, received.crash);
            held.companions.extend(crash.companions);
            held.begun |= crash.begun;
            held.answered |= crash.answered;
            for team in crash.teams {
                if held.teams.len() < TEAMS_PER_CRASH_LIMIT {
                    held.teams.insert(team);
                }
            }
            return;
        }
        if state.held.len() < CRASHES_PER_PART_LIMIT {
            state.held.insert(process, received);
        } else if received.prompts != PromptCount::default() {
            state.note_further(&received);
        }
    }

    /// Crashes at servers of `service` that speak against `parts`. A response that
    /// begins now and goes on disproves them.
    pub fn crashes_of(&self, parts: &[PartId], service: &ServiceName) -> Vec<PartClearance> {
        let mut clearances = Vec::new();
        for part in parts {
            let Some(state) = self.parts.get(part) else {
                continue;
            };
            let crashes = state.crashes();
            let crashes = crashes.filter(|crash| crash.service == *service);
            let processes: Vec<_> = crashes.map(PartCrash::process).collect();
            if !processes.is_empty() {
                clearances.push(PartClearance {
                    part: *part,
                    processes,
                });
            }
        }
        clearances
    }

    /// Number of crashes so far, for [`Self::note_answer`].
    pub fn crash_count(&self) -> u64 {
        self.history.count()
    }

    /// Records an answer to a request with `parts` that began when there had been
    /// `crash_count` crashes, and went on.
    pub fn note_answer(&mut self, parts: &[PartId], crash_count: u64) {
        self.history.note_answer(crash_count);
        for part in parts {
            self.answered.insert(*part);
        }
    }

    /// Indexes of the `parts` that were in answered requests.
    pub fn answered_indexes(&self, parts: &[PartId]) -> Vec<u8> {
        let indexed = (0..).zip(parts);
        let answered = indexed.filter(|(_index, part)| self.answered.contains(part));
        answered.map(|(index, _part)| index).collect()
    }

    /// Whether an instance knew an answered request with the part.
    pub fn was_answered(&self, part: PartId) -> bool {
        let state = self.parts.get(&part);
        let mut crashes = state.into_iter().flat_map(PartState::crashes);
        self.answered.contains(&part) || crashes.any(|crash| crash.answered)
    }

    /// Removes crashes from a part, which is not condemned any more then. Returns
    /// false if they were already removed.
    pub fn clear(&mut self, clearance: &PartClearance) -> bool {
        let part = clearance.part;
        let mut changed = false;
        for process in &clearance.processes {
            changed |= self.removed.insert((part, *process));
            self.remove_crash(part, *process);
        }
        changed
    }

    fn remove_crash(&mut self, part: PartId, process: ServerProcess) {
        let Some(state) = self.parts.get_mut(&part) else {
            return;
        };
        let Some(removed) = state.held.remove(&process) else {
            return;
        };
        state.condemned_at = None;
        state.suspension = SuspensionState::default();
        state.has_contrast = false;
        state.missed_rounds = 0;
        state.further = FurtherCrashes::default();
        if state.held.is_empty() {
            self.remove(part);
        }
        for companion in removed.crash.companions {
            let state = self.parts.get_mut(&companion);
            if let Some(held) = state.and_then(|state| state.held.get_mut(&process)) {
                held.crash.companions.remove(&part);
            }
        }
    }

    /// Removes all crashes of `part`; returns whether there were any.
    fn release(&mut self, part: PartId) -> bool {
        let Some(state) = self.parts.get(&part) else {
            return false;
        };
        let processes = state.held.keys().copied().collect();
        self.clear(&PartClearance { part, processes })
    }

    /// Removes all crashes of a part that the fleet's topic does not hold any more,
    /// such as one that operators released. Returns whether there were any.
    pub fn note_dropped(&mut self, part: PartId) -> bool {
        if let Some(state) = self.parts.get_mut(&part) {
            state.stored = None;
        }
        self.release(part)
    }

    fn remove(&mut self, part: PartId) {
        let removed = self.parts.remove(&part);
        if removed.is_some_and(|state| state.stored.is_some()) {
            self.dropped.push(part);
        }
    }

    /// Adds what another instance or the fleet's topic knows of a part, received at
    /// `now`. `stored` is whether it is from the topic. Returns whether the part
    /// became condemned.
    pub fn merge_evidence(&mut self, evidence: &PartEvidence, stored: bool, now: Duration) -> bool {
        let part = evidence.part;
        for crash in &evidence.crashes {
            let mut crash = crash.clone();
            let process = crash.process();
            let serial = self
                .history
                .note_crash(process, PromptCount::default(), now);
            let removed = &self.removed;
            crash
                .companions
                .retain(|part| !removed.contains(&(*part, process)));
            let received = ReceivedCrash {
                crash,
                received_at: now,
                serial,
                prompts: PromptCount::default(),
            };
            self.insert(part, received);
        }
        let Some(state) = self.parts.get_mut(&part) else {
            // All its crashes were disproved, which the topic has not recorded yet.
            if stored {
                self.dropped.push(part);
            }
            return false;
        };
        if stored {
            state.stored = Some((evidence.crashes.len(), evidence.condemned_at.is_some()));
        }
        let is_new = state.condemned_at.is_none() && evidence.condemned_at.is_some();
        if is_new && state.has_enough_crashes() {
            state.condemned_at = evidence.condemned_at;
            return true;
        }
        false
    }

    /// Removes the parts that the fleet's topic held before but does not list now,
    /// after a gap in reading the topic.
    pub fn retain_stored(&mut self, listed: &BTreeSet<PartId>) {
        let mut gone = Vec::new();
        for (part, state) in &self.parts {
            if state.stored.is_some() && !listed.contains(part) {
                gone.push(*part);
            }
        }
        for part in gone {
            self.note_dropped(part);
        }
        self.dropped.retain(|part| listed.contains(part));
    }

    /// Records that the fleet's topic may have lost parts that it held.
    pub fn forget_stored(&mut self) {
        for state in self.parts.values_mut() {
            state.stored = None;
        }
    }

    /// Suspected and condemned parts of which the fleet's topic does not hold all
    /// that was received before `before`.
    pub fn not_stored(&self, before: Duration) -> Vec<PartEvidence> {
        let mut missing = Vec::new();
        for (part, state) in &self.parts {
            let is_due = state.last_received().is_some_and(|last| last < before);
            let matters = state.condemned_at.is_some() || state.is_suspect();
            if is_due && matters && state.is_ahead_of_topic() {
                missing.extend(self.evidence(*part));
            }
        }
        missing
    }

    /// Marks a part as held by the fleet's topic with all that `evidence` says.
    pub fn note_stored(&mut self, evidence: &PartEvidence) {
        if let Some(state) = self.parts.get_mut(&evidence.part) {
            state.stored = Some((evidence.crashes.len(), evidence.condemned_at.is_some()));
        }
    }

    /// Forgets the parts whose last crash is too old at `now`; returns their number.
    pub fn expire(&mut self, now: UnixMillis) -> usize {
        let mut old = Vec::new();
        for (part, state) in &self.parts {
            let seen = state.last_seen();
            if seen.is_none_or(|seen| now.since(seen) > PART_LIFETIME) {
                old.push(*part);
            }
        }
        for part in &old {
            self.release(*part);
        }
        old.len()
    }

    /// Returns the parts that were dropped since the last call and that the fleet's
    /// topic may hold.
    pub fn take_dropped(&mut self) -> Vec<PartId> {
        std::mem::take(&mut self.dropped)
    }

    /// Evicts the parts with the fewest crashes, the oldest first, when the table is
    /// full.
    fn evict_weakest(&mut self) {
        if self.parts.len() <= PART_LIMIT {
            return;
        }
        let mut ranked = Vec::with_capacity(self.parts.len());
        for (part, state) in &self.parts {
            let condemned = state.condemned_at.is_some();
            ranked.push((condemned, state.held.len(), state.last_received(), *part));
        }
        let surplus = self.parts.len() - PART_LIMIT + PART_LIMIT / EVICTED_SHARE;
        ranked.select_nth_unstable(surplus);
        for (_condemned, _crashes, _received, part) in ranked.drain(..surplus) {
            self.remove(part);
        }
    }
}

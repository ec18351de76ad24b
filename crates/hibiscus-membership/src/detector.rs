//! Which instances answer, as the few that watch each of them find.
//!
//! In a small fleet every instance watches all others and believes what it
//! sees. In a larger one it watches few ([`crate::rings`]), and the watchers
//! tell the rest: a [`FailureSuspicion`] goes from neighbour to neighbour, and a
//! slow exchange repairs what got lost. An instance that one watcher calls
//! silent is affirmed by its other watchers, if they find it answering, and
//! the majority holds; verdicts of watchers that are themselves called silent
//! are set aside. So a watcher that is cut off takes nobody out.
//!
//! Nothing here depends on the time of day: a verdict names the process it is
//! about and the process that made it, whose own counter orders its verdicts.
//! Which process of an instance is the newest, the announcements say.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::ops::Bound;
use std::time::Duration;

use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;

use crate::rings::FULL_MONITORING_LIMIT;
use crate::rings::MonitorRings;
use crate::suspicion::FailureSuspicion;
use crate::suspicion::MonitorFinding;
use crate::suspicion::SuspicionMessage;

/// Verdicts in one message: less than 4 KB.
pub const SUSPICION_LIMIT: usize = 32;
/// Messages in which one verdict is passed on.
const NEWS_REPEATS: u8 = 2;
/// Held verdicts that an exchange repeats.
const REPAIR_LIMIT: usize = 16;
/// Bytes of the verdicts told to a process that starts: the link between
/// instances takes messages of 64 KiB.
const JOIN_BYTES: usize = 48 * 1024;
/// Bytes of an encoded verdict beyond its two names, at most.
const VERDICT_BYTES: usize = 64;
/// Responsive of other instances to the question for all that is known.
const JOIN_ANSWERS: u8 = 2;
/// Verdicts kept of one instance: its watchers, and some that were.
const REPORTER_LIMIT: usize = 16;
/// Time after which the verdict of a single watcher is believed: another that
/// finds the instance answering would have said so.
const LONE_TIME: Duration = Duration::from_secs(1);
/// Time after an announcement within which a process need not serve yet: its
/// watchers keep their findings to themselves.
const START_TIME: Duration = Duration::from_secs(2);

/// A verdict and when it came.
#[derive(Clone, Debug)]
struct HeldVerdict {
    verdict: FailureSuspicion,
    heard: Duration,
}

/// Another instance.
#[derive(Clone, Debug)]
struct FleetMember {
    incarnation: IncarnationId,
    /// When the process announced itself.
    since: Duration,
    /// Whether it has said that it will stop.
    leaving: bool,
    /// Whether it left and was then found silent.
    gone: bool,
    /// What the own process found, while it watches it.
    seen: Option<bool>,
    /// Whether the own process ever found it serving.
    served: bool,
    /// What the own process told the others.
    told: Option<MonitorFinding>,
    /// What the watchers say.
    verdicts: BTreeMap<InstanceName, HeldVerdict>,
}

/// A verdict that waits to be passed on.
#[derive(Clone, Debug)]
struct PendingNews {
    verdict: FailureSuspicion,
    repeats: u8,
}

/// The other instances and which of them are held to answer.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    own: InstanceName,
    process: IncarnationId,
    version: u64,
    members: BTreeMap<InstanceName, FleetMember>,
    rings: MonitorRings,
    watched: BTreeSet<InstanceName>,
    silent: BTreeSet<InstanceName>,
    /// Instances of which anything was seen or said: few, so that a decision
    /// costs the same in a fleet of any size.
    marked: BTreeSet<InstanceName>,
    news: VecDeque<PendingNews>,
    /// After which verdict the next repair goes on: its subject and reporter.
    repaired: Option<(InstanceName, InstanceName)>,
    /// Responsive still wanted to the question for all that is known.
    wanted: u8,
}

impl FailureDetector {
    /// The board of the process `process` of the instance `own`.
    pub fn new(own: InstanceName, process: IncarnationId) -> Self {
        Self {
            rings: MonitorRings::new(own.clone()),
            own,
            process,
            version: 0,
            members: BTreeMap::new(),
            watched: BTreeSet::new(),
            silent: BTreeSet::new(),
            marked: BTreeSet::new(),
            news: VecDeque::new(),
            repaired: None,
            wanted: JOIN_ANSWERS,
        }
    }

    /// Takes over the newest process of an instance, announced at `now`. In a
    /// large fleet the next [`Self::tick`] decides whom to watch.
    pub fn announce(
        &mut self,
        name: &InstanceName,
        incarnation: IncarnationId,
        leaving: bool,
        now: Duration,
    ) {
        if *name == self.own {
            return;
        }
        if let Some(member) = self.members.get_mut(name)
            && member.incarnation == incarnation
        {
            member.leaving = leaving;
            return;
        }
        let member = FleetMember {
            incarnation,
            since: now,
            leaving,
            gone: false,
            seen: None,
            served: false,
            told: None,
            verdicts: BTreeMap::new(),
        };
        self.rings.insert(name);
        if self.members.insert(name.clone(), member).is_some() {
            self.forget_verdicts(name);
        }
        if !self.is_large() {
            self.review(now);
        }
    }

    /// Forgets what was said of the process of `name` that was replaced, and
    /// what it said.
    fn forget_verdicts(&mut self, name: &InstanceName) {
        self.silent.remove(name);
        self.marked.remove(name);
        for member in self.members.values_mut() {
            member.verdicts.remove(name);
        }
        self.news
            .retain(|news| news.verdict.subject != *name && news.verdict.reporter != *name);
    }

    /// Takes over what the own process found at `now` of a process that it
    /// watches.
    pub fn record_finding(
        &mut self,
        name: &InstanceName,
        incarnation: IncarnationId,
        serves: bool,
        now: Duration,
    ) {
        let watched = !self.is_large() || self.watched.contains(name);
        let Some(member) = self.members.get_mut(name).filter(|_member| watched) else {
            return;
        };
        if member.incarnation != incarnation {
            return;
        }
        if member.seen == Some(serves) {
            return;
        }
        member.seen = Some(serves);
        member.served |= serves;
        self.marked.insert(name.clone());
        self.review(now);
    }

    /// Takes over what another instance passed on, and answers it.
    pub fn receive(&mut self, message: SuspicionMessage, now: Duration) -> SuspicionMessage {
        let joining = message.joining;
        self.receive_response(message, now);
        let verdicts = if joining {
            self.all_silent()
        } else {
            self.next_repairs()
        };
        SuspicionMessage {
            joining: false,
            verdicts,
        }
    }

    /// Takes over an answer.
    pub fn receive_response(&mut self, message: SuspicionMessage, now: Duration) {
        let mut changed = false;
        for verdict in message.verdicts {
            changed |= self.learn(verdict, now);
        }
        if changed {
            self.review(now);
        }
    }

    /// Notes that one of the others answered the question for all.
    pub fn record_join_response(&mut self) {
        self.wanted = self.wanted.saturating_sub(1);
    }

    /// Lets time pass: decides what announcements and waiting verdicts change.
    pub fn tick(&mut self, now: Duration) {
        if self.is_large() {
            self.review(now);
        }
    }

    /// Whether the fleet is so large that each watches a few.
    pub fn is_large(&self) -> bool {
        self.members.len() > FULL_MONITORING_LIMIT
    }

    /// Whether `name` is held not to answer.
    pub fn is_unresponsive(&self, name: &InstanceName) -> bool {
        self.silent.contains(name)
    }

    /// The instances that are held not to answer.
    pub fn unresponsive(&self) -> &BTreeSet<InstanceName> {
        &self.silent
    }

    /// The instances that the own one watches.
    pub fn monitored(&self) -> &BTreeSet<InstanceName> {
        &self.watched
    }

    /// The instances to which news go: those it watches that answer.
    pub fn contacts(&self) -> impl Iterator<Item = &InstanceName> {
        let watched = self.watched.iter();
        watched.filter(|name| !self.silent.contains(*name))
    }

    /// Whether news wait to be passed on.
    pub fn has_updates(&self) -> bool {
        !self.news.is_empty()
    }

    /// The next news, for all contacts; `None` when there are none.
    pub fn next_update(&mut self) -> Option<SuspicionMessage> {
        let mut verdicts = Vec::new();
        for _news in 0..self.news.len().min(SUSPICION_LIMIT) {
            let Some(mut news) = self.news.pop_front() else {
                break;
            };
            verdicts.push(news.verdict.clone());
            news.repeats -= 1;
            if news.repeats > 0 {
                self.news.push_back(news);
            }
        }
        (!verdicts.is_empty()).then_some(SuspicionMessage {
            joining: false,
            verdicts,
        })
    }

    /// A message of the slow exchange, for one contact.
    pub fn next_exchange(&mut self) -> SuspicionMessage {
        SuspicionMessage {
            joining: self.wanted > 0,
            verdicts: self.next_repairs(),
        }
    }

    /// Takes a verdict over; false when it says nothing new.
    fn learn(&mut self, verdict: FailureSuspicion, now: Duration) -> bool {
        if verdict.reporter == self.own || verdict.subject == verdict.reporter {
            return false;
        }
        let reporter = self.members.get(&verdict.reporter);
        if reporter.is_none_or(|member| member.incarnation != verdict.process) {
            return false;
        }
        let Some(member) = self.members.get_mut(&verdict.subject) else {
            return false;
        };
        if member.incarnation != verdict.incarnation || member.gone {
            return false;
        }
        let held = member.verdicts.get(&verdict.reporter);
        if held.is_some_and(|held| held.verdict.version >= verdict.version) {
            return false;
        }
        if !member.make_room(&verdict.reporter) {
            return false;
        }
        let held = HeldVerdict {
            verdict: verdict.clone(),
            heard: now,
        };
        member.verdicts.insert(verdict.reporter.clone(), held);
        self.marked.insert(verdict.subject.clone());
        self.pass_on(verdict);
        true
    }

    /// Queues a verdict in place of an older one of the same watcher.
    fn pass_on(&mut self, verdict: FailureSuspicion) {
        self.news.retain(|news| {
            news.verdict.subject != verdict.subject || news.verdict.reporter != verdict.reporter
        });
        self.news.push_back(PendingNews {
            verdict,
            repeats: NEWS_REPEATS,
        });
    }

    /// Decides anew who is silent, whom to watch and what to tell.
    fn review(&mut self, now: Duration) {
        self.judge(now);
        let answers = |name: &InstanceName| {
            // One that starts will answer: who follows it has its watcher.
            let member = self.members.get(name);
            !self.silent.contains(name) || member.is_some_and(|member| member.is_starting(now))
        };
        let watched = self.rings.watched(answers);
        if watched != self.watched {
            for name in self.watched.difference(&watched) {
                if let Some(member) = self.members.get_mut(name) {
                    member.seen = None;
                }
            }
            self.watched = watched;
            self.judge(now);
        }
        if self.is_large() {
            self.tell(now);
        }
    }

    /// Decides who is silent.
    fn judge(&mut self, now: Duration) {
        if !self.is_large() {
            let members = self.members.iter();
            let silent = members.filter(|(_name, member)| member.seen != Some(true));
            self.silent = silent.map(|(name, _member)| name.clone()).collect();
            return;
        }
        let marked = self.marked.iter();
        let accused = marked.filter(|name| {
            let member = self.members.get(*name);
            member.is_some_and(FleetMember::is_accused)
        });
        let accused: BTreeSet<InstanceName> = accused.cloned().collect();
        self.silent.clear();
        for name in &self.marked {
            let Some(member) = self.members.get_mut(name) else {
                continue;
            };
            let silent = match member.seen {
                _ if member.gone => true,
                Some(serves) => !serves,
                // Whoever announced itself answers until its watchers say else.
                None => member.is_outvoted(&accused, now),
            };
            if !silent {
                continue;
            }
            self.silent.insert(name.clone());
            if member.leaving && !member.gone {
                member.gone = true;
                self.rings.remove(name);
            }
        }
    }

    /// Tells the others what the own process finds, where they must know.
    fn tell(&mut self, now: Duration) {
        let mut news = Vec::new();
        for name in &self.marked {
            let Some(member) = self.members.get_mut(name) else {
                continue;
            };
            let Some(finding) = member.next_finding(self.watched.contains(name), now) else {
                continue;
            };
            self.version += 1;
            member.told = Some(finding);
            let verdict = FailureSuspicion {
                subject: name.clone(),
                incarnation: member.incarnation,
                reporter: self.own.clone(),
                process: self.process,
                version: self.version,
                finding,
            };
            let held = HeldVerdict {
                verdict: verdict.clone(),
                heard: now,
            };
            member.verdicts.insert(self.own.clone(), held);
            news.push(verdict);
        }
        for verdict in news {
            self.pass_on(verdict);
        }
    }

    /// The verdicts by which instances are silent, then those that contradict,
    /// as many as a message holds.
    fn all_silent(&self) -> Vec<FailureSuspicion> {
        let members = self.members.values();
        let held = members.flat_map(|member| member.verdicts.values());
        let found = |finding| {
            let verdicts = held.clone().map(|held| &held.verdict);
            verdicts.filter(move |verdict| verdict.finding == finding)
        };
        let silent = found(MonitorFinding::Unresponsive);
        let mut verdicts = Vec::new();
        let mut bytes = 0;
        for verdict in silent.chain(found(MonitorFinding::Responsive)) {
            let names = verdict.subject.as_str().len() + verdict.reporter.as_str().len();
            bytes += VERDICT_BYTES + names;
            if bytes > JOIN_BYTES {
                break;
            }
            verdicts.push(verdict.clone());
        }
        verdicts
    }

    /// The next held verdicts in turn.
    fn next_repairs(&mut self) -> Vec<FailureSuspicion> {
        let mut verdicts = Vec::new();
        let mut after = self.repaired.take();
        let first = after.as_ref().map(|(subject, _reporter)| subject.clone());
        let begin = match &first {
            Some(subject) => Bound::Included(subject),
            None => Bound::Unbounded,
        };
        for (subject, member) in self
            .members
            .range::<InstanceName, _>((begin, Bound::Unbounded))
        {
            for (reporter, held) in &member.verdicts {
                let passed = after
                    .as_ref()
                    .is_some_and(|(told, by)| (subject, reporter) <= (told, by));
                if passed {
                    continue;
                }
                verdicts.push(held.verdict.clone());
                if verdicts.len() >= REPAIR_LIMIT {
                    self.repaired = Some((subject.clone(), reporter.clone()));
                    return verdicts;
                }
            }
            after = None;
        }
        verdicts
    }
}

impl FleetMember {
    /// Whether the own process finds it silent, or, where that does not watch
    /// it, more watchers call it silent than affirm it.
    fn is_accused(&self) -> bool {
        if self.gone {
            return true;
        }
        if let Some(serves) = self.seen {
            return !serves;
        }
        let votes = self.votes(|_reporter| true);
        votes.silent > votes.answers
    }

    /// Whether it is silent by the verdicts of those that are not `accused`.
    fn is_outvoted(&self, accused: &BTreeSet<InstanceName>, now: Duration) -> bool {
        let votes = self.votes(|reporter| !accused.contains(reporter));
        if votes.silent <= votes.answers {
            return false;
        }
        votes.silent > 1 || now.saturating_sub(votes.heard) >= LONE_TIME
    }

    fn votes(&self, counts: impl Fn(&InstanceName) -> bool) -> WatcherVotes {
        let mut votes = WatcherVotes::default();
        for (reporter, held) in &self.verdicts {
            if !counts(reporter) {
                continue;
            }
            match held.verdict.finding {
                MonitorFinding::Responsive => votes.answers += 1,
                MonitorFinding::Unresponsive => {
                    votes.silent += 1;
                    votes.heard = votes.heard.max(held.heard);
                }
                MonitorFinding::Withdrawn => {}
            }
        }
        votes
    }

    /// Whether it announced itself so lately that it need not serve yet.
    fn is_starting(&self, now: Duration) -> bool {
        !self.served && now.saturating_sub(self.since) < START_TIME
    }

    /// What the own process must tell of it now, if it has not.
    fn next_finding(&self, watched: bool, now: Duration) -> Option<MonitorFinding> {
        let told_silent = self.told == Some(MonitorFinding::Unresponsive);
        let finding = match self.seen {
            _ if self.gone => return None,
            Some(false) if !self.is_starting(now) => MonitorFinding::Unresponsive,
            Some(true) if told_silent || self.votes(|_reporter| true).silent > 0 => {
                MonitorFinding::Responsive
            }
            None if !watched && self.told.is_some() => MonitorFinding::Withdrawn,
            _ => return None,
        };
        (self.told != Some(finding)).then_some(finding)
    }

    /// Makes room for a verdict of `reporter`; false when there is none.
    fn make_room(&mut self, reporter: &InstanceName) -> bool {
        if self.verdicts.len() < REPORTER_LIMIT || self.verdicts.contains_key(reporter) {
            return true;
        }
        let mut held = self.verdicts.iter();
        let withdrawn =
            held.find(|(_name, held)| held.verdict.finding == MonitorFinding::Withdrawn);
        let Some(name) = withdrawn.map(|(name, _held)| name.clone()) else {
            return false;
        };
        self.verdicts.remove(&name);
        true
    }
}

/// What the watchers of an instance say.
#[derive(Clone, Copy, Debug, Default)]
struct WatcherVotes {
    answers: usize,
    silent: usize,
    /// When the newest of the silent ones came.
    heard: Duration,
}

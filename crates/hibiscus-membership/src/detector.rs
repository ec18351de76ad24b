//! Detects instances that no longer respond, from the findings of their
//! monitors.
//!
//! In a small fleet, every instance monitors all others and relies on its own
//! findings. In a larger one it monitors a few ([`crate::rings`]) and reports
//! their failures to the others: each [`FailureSuspicion`] spreads by gossip,
//! and a slow periodic exchange repairs lost messages. If one monitor reports
//! an instance as unresponsive, its other monitors contradict when they find
//! it responsive, and the majority decides. Suspicions of monitors that are
//! themselves suspected don't count, so a monitor that is cut off from the
//! network can't take other instances out of service.
//!
//! Nothing here depends on the time of day: a suspicion names the process that
//! it is about and the process that made it, whose own counter orders its
//! suspicions. Announcements determine which process of an instance is newest.

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

/// Most suspicions in one update: less than 4 KB.
pub const SUSPICION_LIMIT: usize = 32;
/// Updates in which each suspicion is sent.
const UPDATE_SENDS: u8 = 2;
/// Most suspicions in one message of the periodic exchange.
const REPAIR_LIMIT: usize = 16;
/// Size limit of the suspicions in the response to a joining process: the link
/// between instances accepts messages of up to 64 KiB.
const JOIN_BYTES_LIMIT: usize = 48 * 1024;
/// Upper bound of the size of an encoded suspicion without its two names.
const SUSPICION_OVERHEAD_BYTES: usize = 64;
/// Responses that a joining process collects, each with all suspicions that
/// the responding instance holds.
const JOIN_RESPONSES: u8 = 2;
/// Suspicions kept about one instance: those of its monitors, and some of its
/// former monitors.
const REPORTER_LIMIT: usize = 16;
/// Delay until the suspicion of a single monitor takes effect: within it,
/// another monitor that finds the instance responsive would have contradicted.
const SINGLE_MONITOR_DELAY: Duration = Duration::from_secs(1);
/// Time after its announcement in which a process need not serve yet. Its
/// monitors report no failure in this time.
const STARTUP_GRACE: Duration = Duration::from_secs(2);

/// A suspicion and the time at which it was received.
#[derive(Clone, Debug)]
struct HeldSuspicion {
    suspicion: FailureSuspicion,
    received_at: Duration,
}

/// State of another instance.
#[derive(Clone, Debug)]
struct FleetMember {
    incarnation: IncarnationId,
    /// When the process announced itself.
    announced_at: Duration,
    /// Whether the process has announced its shutdown.
    shutting_down: bool,
    /// Whether the process became unresponsive after announcing its shutdown.
    departed: bool,
    /// Whether this process finds the member serving; `None` while it doesn't
    /// monitor the member.
    serving: Option<bool>,
    /// Whether this process has ever found the member serving.
    ever_served: bool,
    /// The finding that this process last reported to the others.
    reported: Option<MonitorFinding>,
    /// Suspicions by monitor, including this process.
    suspicions: BTreeMap<InstanceName, HeldSuspicion>,
}

/// A suspicion that is queued for sending.
#[derive(Clone, Debug)]
struct PendingUpdate {
    suspicion: FailureSuspicion,
    sends_left: u8,
}

/// Tracks the other instances and decides which of them are unresponsive.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    own: InstanceName,
    process: IncarnationId,
    version: u64,
    members: BTreeMap<InstanceName, FleetMember>,
    rings: MonitorRings,
    monitored: BTreeSet<InstanceName>,
    unresponsive: BTreeSet<InstanceName>,
    /// Instances with any finding or suspicion. These are few, so the cost of a
    /// decision doesn't depend on the size of the fleet.
    tracked: BTreeSet<InstanceName>,
    updates: VecDeque<PendingUpdate>,
    /// Subject and reporter of the suspicion that the periodic exchange sent
    /// last.
    repair_cursor: Option<(InstanceName, InstanceName)>,
    /// Responses with all suspicions that this process still needs.
    join_responses_wanted: u8,
}

impl FailureDetector {
    /// Creates the detector of the process `process` of the instance `own`.
    pub fn new(own: InstanceName, process: IncarnationId) -> Self {
        Self {
            rings: MonitorRings::new(own.clone()),
            own,
            process,
            version: 0,
            members: BTreeMap::new(),
            monitored: BTreeSet::new(),
            unresponsive: BTreeSet::new(),
            tracked: BTreeSet::new(),
            updates: VecDeque::new(),
            repair_cursor: None,
            join_responses_wanted: JOIN_RESPONSES,
        }
    }

    /// Records the newest process of an instance, announced at `now`. In a large
    /// fleet the next [`Self::tick`] selects the instances to monitor.
    pub fn announce(
        &mut self,
        name: &InstanceName,
        incarnation: IncarnationId,
        shutting_down: bool,
        now: Duration,
    ) {
        if *name == self.own {
            return;
        }
        if let Some(member) = self.members.get_mut(name)
            && member.incarnation == incarnation
        {
            member.shutting_down = shutting_down;
            return;
        }
        let member = FleetMember {
            incarnation,
            announced_at: now,
            shutting_down,
            departed: false,
            serving: None,
            ever_served: false,
            reported: None,
            suspicions: BTreeMap::new(),
        };
        self.rings.insert(name);
        if self.members.insert(name.clone(), member).is_some() {
            self.remove_suspicions(name);
        }
        if !self.is_large() {
            self.reevaluate(now);
        }
    }

    /// Removes suspicions about and from the process of `name` that was
    /// replaced.
    fn remove_suspicions(&mut self, name: &InstanceName) {
        self.unresponsive.remove(name);
        self.tracked.remove(name);
        for member in self.members.values_mut() {
            member.suspicions.remove(name);
        }
        self.updates.retain(|update| {
            update.suspicion.subject != *name && update.suspicion.reporter != *name
        });
    }

    /// Records whether this process found a monitored process serving at `now`.
    pub fn record_finding(
        &mut self,
        name: &InstanceName,
        incarnation: IncarnationId,
        serves: bool,
        now: Duration,
    ) {
        let monitored = !self.is_large() || self.monitored.contains(name);
        let Some(member) = self.members.get_mut(name).filter(|_member| monitored) else {
            return;
        };
        if member.incarnation != incarnation {
            return;
        }
        if member.serving == Some(serves) {
            return;
        }
        member.serving = Some(serves);
        member.ever_served |= serves;
        self.tracked.insert(name.clone());
        self.reevaluate(now);
    }

    /// Merges the message of another instance and returns the response.
    pub fn receive(&mut self, message: SuspicionMessage, now: Duration) -> SuspicionMessage {
        let joining = message.joining;
        self.receive_response(message, now);
        let suspicions = if joining {
            self.join_suspicions()
        } else {
            self.next_repairs()
        };
        SuspicionMessage {
            joining: false,
            suspicions,
        }
    }

    /// Merges the response of another instance.
    pub fn receive_response(&mut self, message: SuspicionMessage, now: Duration) {
        let mut changed = false;
        for suspicion in message.suspicions {
            changed |= self.merge(suspicion, now);
        }
        if changed {
            self.reevaluate(now);
        }
    }

    /// Records that another instance responded with all its suspicions.
    pub fn record_join_response(&mut self) {
        self.join_responses_wanted = self.join_responses_wanted.saturating_sub(1);
    }

    /// Applies announcements and suspicions that take effect with time.
    pub fn tick(&mut self, now: Duration) {
        if self.is_large() {
            self.reevaluate(now);
        }
    }

    /// Whether the fleet is so large that each instance monitors only a few
    /// others.
    pub fn is_large(&self) -> bool {
        self.members.len() > FULL_MONITORING_LIMIT
    }

    /// Whether `name` is considered unresponsive.
    pub fn is_unresponsive(&self, name: &InstanceName) -> bool {
        self.unresponsive.contains(name)
    }

    /// The instances that are considered unresponsive.
    pub fn unresponsive(&self) -> &BTreeSet<InstanceName> {
        &self.unresponsive
    }

    /// The instances that this instance monitors.
    pub fn monitored(&self) -> &BTreeSet<InstanceName> {
        &self.monitored
    }

    /// The instances to send updates to: the monitored ones that are responsive.
    pub fn contacts(&self) -> impl Iterator<Item = &InstanceName> {
        let monitored = self.monitored.iter();
        monitored.filter(|name| !self.unresponsive.contains(*name))
    }

    /// Whether updates wait to be sent.
    pub fn has_updates(&self) -> bool {
        !self.updates.is_empty()
    }

    /// Returns the next update for all contacts, or `None` if none is queued.
    pub fn next_update(&mut self) -> Option<SuspicionMessage> {
        let mut suspicions = Vec::new();
        for _update in 0..self.updates.len().min(SUSPICION_LIMIT) {
            let Some(mut update) = self.updates.pop_front() else {
                break;
            };
            suspicions.push(update.suspicion.clone());
            update.sends_left -= 1;
            if update.sends_left > 0 {
                self.updates.push_back(update);
            }
        }
        (!suspicions.is_empty()).then_some(SuspicionMessage {
            joining: false,
            suspicions,
        })
    }

    /// Returns the next message of the periodic exchange, for one contact.
    pub fn next_exchange(&mut self) -> SuspicionMessage {
        SuspicionMessage {
            joining: self.join_responses_wanted > 0,
            suspicions: self.next_repairs(),
        }
    }

    /// Merges a suspicion; returns false if it is outdated or invalid.
    fn merge(&mut self, suspicion: FailureSuspicion, now: Duration) -> bool {
        if suspicion.reporter == self.own || suspicion.subject == suspicion.reporter {
            return false;
        }
        let reporter = self.members.get(&suspicion.reporter);
        if reporter.is_none_or(|member| member.incarnation != suspicion.process) {
            return false;
        }
        let Some(member) = self.members.get_mut(&suspicion.subject) else {
            return false;
        };
        if member.incarnation != suspicion.incarnation || member.departed {
            return false;
        }
        let held = member.suspicions.get(&suspicion.reporter);
        if held.is_some_and(|held| held.suspicion.version >= suspicion.version) {
            return false;
        }
        if !member.make_room(&suspicion.reporter) {
            return false;
        }
        let held = HeldSuspicion {
            suspicion: suspicion.clone(),
            received_at: now,
        };
        member.suspicions.insert(suspicion.reporter.clone(), held);
        self.tracked.insert(suspicion.subject.clone());
        self.queue_update(suspicion);
        true
    }

    /// Queues a suspicion, replacing an older one of the same monitor.
    fn queue_update(&mut self, suspicion: FailureSuspicion) {
        self.updates.retain(|update| {
            update.suspicion.subject != suspicion.subject
                || update.suspicion.reporter != suspicion.reporter
        });
        self.updates.push_back(PendingUpdate {
            suspicion,
            sends_left: UPDATE_SENDS,
        });
    }

    /// Decides again which instances are unresponsive, which to monitor and
    /// which findings to report.
    fn reevaluate(&mut self, now: Duration) {
        self.update_unresponsive(now);
        let is_responsive = |name: &InstanceName| {
            // A starting process will respond soon and then monitor its
            // successors itself.
            let member = self.members.get(name);
            !self.unresponsive.contains(name)
                || member.is_some_and(|member| member.is_starting(now))
        };
        let monitored = self.rings.monitored(is_responsive);
        if monitored != self.monitored {
            for name in self.monitored.difference(&monitored) {
                if let Some(member) = self.members.get_mut(name) {
                    member.serving = None;
                }
            }
            self.monitored = monitored;
            self.update_unresponsive(now);
        }
        if self.is_large() {
            self.report_findings(now);
        }
    }

    /// Decides which instances are unresponsive.
    fn update_unresponsive(&mut self, now: Duration) {
        if !self.is_large() {
            let members = self.members.iter();
            let unresponsive = members.filter(|(_name, member)| member.serving != Some(true));
            self.unresponsive = unresponsive.map(|(name, _member)| name.clone()).collect();
            return;
        }
        let tracked = self.tracked.iter();
        let suspected = tracked.filter(|name| {
            let member = self.members.get(*name);
            member.is_some_and(FleetMember::is_suspected)
        });
        let suspected: BTreeSet<InstanceName> = suspected.cloned().collect();
        self.unresponsive.clear();
        for name in &self.tracked {
            let Some(member) = self.members.get_mut(name) else {
                continue;
            };
            let unresponsive = match member.serving {
                _ if member.departed => true,
                Some(serves) => !serves,
                // An announced process counts as responsive until its monitors
                // report otherwise.
                None => member.is_voted_unresponsive(&suspected, now),
            };
            if !unresponsive {
                continue;
            }
            self.unresponsive.insert(name.clone());
            if member.shutting_down && !member.departed {
                member.departed = true;
                self.rings.remove(name);
            }
        }
    }

    /// Queues the findings of this process that the other instances need.
    fn report_findings(&mut self, now: Duration) {
        let mut updates = Vec::new();
        for name in &self.tracked {
            let Some(member) = self.members.get_mut(name) else {
                continue;
            };
            let Some(finding) = member.next_finding(self.monitored.contains(name), now) else {
                continue;
            };
            self.version += 1;
            member.reported = Some(finding);
            let suspicion = FailureSuspicion {
                subject: name.clone(),
                incarnation: member.incarnation,
                reporter: self.own.clone(),
                process: self.process,
                version: self.version,
                finding,
            };
            let held = HeldSuspicion {
                suspicion: suspicion.clone(),
                received_at: now,
            };
            member.suspicions.insert(self.own.clone(), held);
            updates.push(suspicion);
        }
        for suspicion in updates {
            self.queue_update(suspicion);
        }
    }

    /// Returns the suspicions that report instances as unresponsive, then those
    /// that contradict them, up to the size of a message.
    fn join_suspicions(&self) -> Vec<FailureSuspicion> {
        let members = self.members.values();
        let held = members.flat_map(|member| member.suspicions.values());
        let found = |finding| {
            let suspicions = held.clone().map(|held| &held.suspicion);
            suspicions.filter(move |suspicion| suspicion.finding == finding)
        };
        let unresponsive = found(MonitorFinding::Unresponsive);
        let mut suspicions = Vec::new();
        let mut bytes = 0;
        for suspicion in unresponsive.chain(found(MonitorFinding::Responsive)) {
            let names = suspicion.subject.as_str().len() + suspicion.reporter.as_str().len();
            bytes += SUSPICION_OVERHEAD_BYTES + names;
            if bytes > JOIN_BYTES_LIMIT {
                break;
            }
            suspicions.push(suspicion.clone());
        }
        suspicions
    }

    /// Returns the next held suspicions in turn for the periodic exchange.
    fn next_repairs(&mut self) -> Vec<FailureSuspicion> {
        let mut suspicions = Vec::new();
        let mut after = self.repair_cursor.take();
        let first = after.as_ref().map(|(subject, _reporter)| subject.clone());
        let begin = match &first {
            Some(subject) => Bound::Included(subject),
            None => Bound::Unbounded,
        };
        for (subject, member) in self
            .members
            .range::<InstanceName, _>((begin, Bound::Unbounded))
        {
            for (reporter, held) in &member.suspicions {
                let already_sent = after
                    .as_ref()
                    .is_some_and(|(sent, by)| (subject, reporter) <= (sent, by));
                if already_sent {
                    continue;
                }
                suspicions.push(held.suspicion.clone());
                if suspicions.len() >= REPAIR_LIMIT {
                    self.repair_cursor = Some((subject.clone(), reporter.clone()));
                    return suspicions;
                }
            }
            after = None;
        }
        suspicions
    }
}

impl FleetMember {
    /// Whether this process finds the member unresponsive or, if it doesn't
    /// monitor the member, more monitors report it as unresponsive than as
    /// responsive.
    fn is_suspected(&self) -> bool {
        if self.departed {
            return true;
        }
        if let Some(serves) = self.serving {
            return !serves;
        }
        let votes = self.votes(|_reporter| true);
        votes.unresponsive > votes.responsive
    }

    /// Whether the monitors that are not themselves `suspected` vote that the
    /// member is unresponsive.
    fn is_voted_unresponsive(&self, suspected: &BTreeSet<InstanceName>, now: Duration) -> bool {
        let votes = self.votes(|reporter| !suspected.contains(reporter));
        if votes.unresponsive <= votes.responsive {
            return false;
        }
        votes.unresponsive > 1 || now.saturating_sub(votes.latest) >= SINGLE_MONITOR_DELAY
    }

    fn votes(&self, counts: impl Fn(&InstanceName) -> bool) -> MonitorVotes {
        let mut votes = MonitorVotes::default();
        for (reporter, held) in &self.suspicions {
            if !counts(reporter) {
                continue;
            }
            match held.suspicion.finding {
                MonitorFinding::Responsive => votes.responsive += 1,
                MonitorFinding::Unresponsive => {
                    votes.unresponsive += 1;
                    votes.latest = votes.latest.max(held.received_at);
                }
                MonitorFinding::Withdrawn => {}
            }
        }
        votes
    }

    /// Whether the process announced itself so recently that it need not serve
    /// yet.
    fn is_starting(&self, now: Duration) -> bool {
        !self.ever_served && now.saturating_sub(self.announced_at) < STARTUP_GRACE
    }

    /// Returns the finding that this process must report now, unless it already
    /// has.
    fn next_finding(&self, monitored: bool, now: Duration) -> Option<MonitorFinding> {
        let reported_unresponsive = self.reported == Some(MonitorFinding::Unresponsive);
        let finding = match self.serving {
            _ if self.departed => return None,
            Some(false) if !self.is_starting(now) => MonitorFinding::Unresponsive,
            Some(true)
                if reported_unresponsive || self.votes(|_reporter| true).unresponsive > 0 =>
            {
                MonitorFinding::Responsive
            }
            None if !monitored && self.reported.is_some() => MonitorFinding::Withdrawn,
            _ => return None,
        };
        (self.reported != Some(finding)).then_some(finding)
    }

    /// Makes room for a suspicion of `reporter` by dropping a withdrawn one;
    /// returns false if there is no room.
    fn make_room(&mut self, reporter: &InstanceName) -> bool {
        if self.suspicions.len() < REPORTER_LIMIT || self.suspicions.contains_key(reporter) {
            return true;
        }
        let mut held = self.suspicions.iter();
        let withdrawn =
            held.find(|(_name, held)| held.suspicion.finding == MonitorFinding::Withdrawn);
        let Some(name) = withdrawn.map(|(name, _held)| name.clone()) else {
            return false;
        };
        self.suspicions.remove(&name);
        true
    }
}

/// Counts of the findings of an instance's monitors.
#[derive(Clone, Copy, Debug, Default)]
struct MonitorVotes {
    responsive: usize,
    unresponsive: usize,
    /// When the newest [`MonitorFinding::Unresponsive`] was received.
    latest: Duration,
}

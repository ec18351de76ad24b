//! The fleet as one process sees it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use hibiscus_types::DataCentre;
use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use hibiscus_types::RegionName;
use hibiscus_types::UnixMillis;
use serde::Deserialize;
use serde::Serialize;

use crate::gossip::GossipItem;
use crate::gossip::GossipMessage;
use crate::gossip::NEWS_REPEATS;
use crate::gossip::NOTICE_ITEM_LIMIT;
use crate::gossip::REPAIR_ITEMS;
use crate::gossip::SILENCE_REPORTS;
use crate::gossip::SilenceReport;
use crate::neighbours;

/// Time without a heartbeat after which a neighbour counts as silent.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(4);

/// Times that an instance asks for all heartbeats after its start.
const WHOLE_ASKS: u32 = 16;
/// One message among so many asks for all heartbeats, so that the asks reach
/// past the time in which a whole fleet starts.
const WHOLE_ASK_EVERY: u32 = 2;

/// Time in which messages of a replaced incarnation are passed over.
const FORMER_TIME: Duration = Duration::from_secs(60);

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceHeartbeat {
    /// Its name.
    pub name: InstanceName,
    /// Its present incarnation.
    pub incarnation: IncarnationId,
    /// Milliseconds since the incarnation started.
    pub uptime_ms: u64,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Whether it has a configuration that it may decide by.
    pub configured: bool,
    /// Requests in progress.
    pub load: u32,
    /// The configuration version in force there.
    pub config_version: u64,
}

impl InstanceHeartbeat {
    /// Whether others must learn of this soon.
    fn is_news(&self, other: &Self) -> bool {
        self.incarnation != other.incarnation
            || self.stopping != other.stopping
            || self.configured != other.configured
    }
}

/// An instance that the platform lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetInstance {
    /// Its name.
    pub name: InstanceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: RegionName,
    /// Address of the callers' port.
    pub callers: SocketAddr,
    /// Address of the operators' port.
    pub operators: SocketAddr,
    /// Address of the peer link.
    pub peers: SocketAddr,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
}

/// What is known of one instance.
#[derive(Clone, Debug)]
struct KnownInstance {
    beat: InstanceHeartbeat,
    /// Time of the last message from itself, or of the first news of it.
    heard_at: UnixMillis,
    /// Whether it ever sent a message itself.
    direct: bool,
    /// The incarnation before, and the time at which it was replaced.
    former: Option<(IncarnationId, UnixMillis)>,
    /// Others that call it silent, and up to which uptime.
    reports: BTreeMap<InstanceName, u64>,
}

/// News to pass on.
#[derive(Clone, Debug)]
struct PendingNews {
    item: GossipItem,
    repeats: u8,
}

/// The listed instances and what was heard of them.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    own: InstanceName,
    instances: Vec<FleetInstance>,
    positions: BTreeMap<InstanceName, usize>,
    neighbours: BTreeSet<InstanceName>,
    known: BTreeMap<InstanceName, KnownInstance>,
    incarnations: BTreeMap<IncarnationId, InstanceName>,
    news: VecDeque<PendingNews>,
    reported: BTreeMap<InstanceName, IncarnationId>,
    repair_from: Option<InstanceName>,
    messages: u32,
}

impl FleetView {
    /// Names the instance whose view this is.
    pub fn set_own(&mut self, own: &InstanceName) {
        self.own = own.clone();
        self.choose_neighbours();
    }

    /// Replaces the listed instances.
    pub fn set_instances(&mut self, instances: Vec<FleetInstance>) {
        self.instances = instances;
        self.positions.clear();
        for (position, instance) in self.instances.iter().enumerate() {
            self.positions.insert(instance.name.clone(), position);
        }
        let positions = &self.positions;
        self.known
            .retain(|name, _known| positions.contains_key(name));
        self.incarnations
            .retain(|_incarnation, name| positions.contains_key(name));
        self.reported
            .retain(|name, _incarnation| positions.contains_key(name));
        self.choose_neighbours();
    }

    fn choose_neighbours(&mut self) {
        let chosen = neighbours::choose(&self.own, &self.instances);
        self.neighbours = chosen.into_iter().collect();
    }

    /// The instances to exchange heartbeats with.
    pub fn neighbours(&self) -> impl Iterator<Item = &FleetInstance> {
        self.neighbours
            .iter()
            .filter_map(|name| self.instance(name))
    }

    /// Whether a neighbour was never heard of.
    pub fn awaits_neighbours(&self) -> bool {
        let mut names = self.neighbours.iter();
        names.any(|name| !self.known.contains_key(name))
    }

    /// Takes a heartbeat that its own instance sent and that arrived at
    /// `now`.
    pub fn hear(&mut self, beat: InstanceHeartbeat, now: UnixMillis) {
        let name = beat.name.clone();
        let incarnation = beat.incarnation;
        if self.learn(beat.clone(), now) {
            self.pass_on(GossipItem::Beat(beat));
        }
        let Some(known) = self.known.get_mut(&name) else {
            return;
        };
        if known.beat.incarnation == incarnation {
            known.heard_at = now;
            known.direct = true;
            self.reported.remove(&name);
        }
    }

    /// Takes a heartbeat from its instance or passed on by another one;
    /// whether it is news.
    fn learn(&mut self, beat: InstanceHeartbeat, now: UnixMillis) -> bool {
        let Some(held) = self.known.get(&beat.name) else {
            self.incarnations
                .insert(beat.incarnation, beat.name.clone());
            let known = KnownInstance {
                beat: beat.clone(),
                heard_at: now,
                direct: false,
                former: None,
                reports: BTreeMap::new(),
            };
            self.known.insert(beat.name, known);
            return true;
        };
        if !self.supersedes(&beat, held, now) {
            return false;
        }
        let Some(known) = self.known.get_mut(&beat.name) else {
            return false;
        };
        let mut news = beat.is_news(&known.beat);
        if beat.incarnation != known.beat.incarnation {
            known.former = Some((known.beat.incarnation, now));
            known.reports.clear();
            known.heard_at = now;
            self.incarnations.remove(&known.beat.incarnation);
            self.incarnations
                .insert(beat.incarnation, beat.name.clone());
        }
        let reports = known.reports.len();
        let uptime = beat.uptime_ms;
        known.reports.retain(|_reporter, silent| *silent >= uptime);
        news |= known.reports.len() < reports;
        known.beat = beat;
        news
    }

    /// Whether `beat` replaces what is `held`. Incarnations are ordered by the
    /// clock at their start; a clock may be behind, so an earlier one counts
    /// too once the held one is silent, and the one that was replaced lately
    /// does not come back.
    fn supersedes(&self, beat: &InstanceHeartbeat, held: &KnownInstance, now: UnixMillis) -> bool {
        if beat.incarnation == held.beat.incarnation {
            return beat.uptime_ms > held.beat.uptime_ms;
        }
        let replaced = held.former.is_some_and(|(incarnation, at)| {
            incarnation == beat.incarnation && now.since(at) < FORMER_TIME
        });
        if replaced {
            return false;
        }
        beat.incarnation > held.beat.incarnation || self.is_silent(&beat.name, held, now)
    }

    /// Takes another instance's word that one is silent.
    fn learn_silence(&mut self, report: SilenceReport) {
        let Some(known) = self.known.get_mut(&report.name) else {
            return;
        };
        let stale =
            known.beat.incarnation != report.incarnation || known.beat.uptime_ms > report.uptime_ms;
        if stale || report.name == self.own {
            // The own heartbeat in every message refutes it; so does the
            // newer one that is known here.
            let beat = known.beat.clone();
            if known.beat.incarnation == report.incarnation {
                self.pass_on(GossipItem::Beat(beat));
            }
            return;
        }
        let before = known
            .reports
            .insert(report.reporter.clone(), report.uptime_ms);
        if before.is_none_or(|uptime| uptime < report.uptime_ms) {
            self.pass_on(GossipItem::Silence(report));
        }
    }

    /// Queues news, unless the same is queued already.
    fn pass_on(&mut self, item: GossipItem) {
        let name = item_name(&item);
        if *name == self.own && !matches!(item, GossipItem::Beat(_)) {
            return;
        }
        let beat = matches!(item, GossipItem::Beat(_));
        self.news.retain(|pending| {
            let same = item_name(&pending.item) == name;
            let replaced = beat && matches!(pending.item, GossipItem::Beat(_));
            !(same && (replaced || pending.item == item))
        });
        self.news.push_back(PendingNews {
            item,
            repeats: NEWS_REPEATS,
        });
    }

    /// The next message to a neighbour.
    pub fn message(&mut self, beat: InstanceHeartbeat) -> GossipMessage {
        let joining = self.asks_for_all();
        let items = self.next_items();
        GossipMessage {
            beat,
            joining,
            items,
        }
    }

    /// The reply to a message, with all heartbeats when its sender is
    /// `joining`.
    pub fn reply(&mut self, beat: InstanceHeartbeat, joining: bool) -> GossipMessage {
        let items = if joining {
            let all = self.known.values();
            all.map(|known| GossipItem::Beat(known.beat.clone()))
                .collect()
        } else {
            self.next_items()
        };
        GossipMessage {
            beat,
            joining: false,
            items,
        }
    }

    /// News and repairs for one message.
    fn next_items(&mut self) -> Vec<GossipItem> {
        let mut items = Vec::with_capacity(NOTICE_ITEM_LIMIT + REPAIR_ITEMS);
        self.take_news(&mut items);
        self.take_repairs(&mut items);
        items
    }

    /// Whether to ask for all heartbeats: while some are missing, but only
    /// so often, since some instances may never have been heard by anyone.
    fn asks_for_all(&mut self) -> bool {
        let missing = self.instances.len().saturating_sub(self.known.len());
        if missing == 0 || self.messages >= WHOLE_ASKS * WHOLE_ASK_EVERY {
            return false;
        }
        self.messages += 1;
        self.messages % WHOLE_ASK_EVERY == 1
    }

    fn take_news(&mut self, items: &mut Vec<GossipItem>) {
        for _item in 0..self.news.len().min(NOTICE_ITEM_LIMIT) {
            let Some(mut pending) = self.news.pop_front() else {
                return;
            };
            items.push(pending.item.clone());
            pending.repeats -= 1;
            if pending.repeats > 0 {
                self.news.push_back(pending);
            }
        }
    }

    /// Adds the next heartbeats in turn. Where all are neighbours, nothing
    /// needs repair.
    fn take_repairs(&mut self, items: &mut Vec<GossipItem>) {
        if self.instances.len() <= neighbours::FULL_MESH_LIMIT + 1 {
            return;
        }
        for _item in 0..REPAIR_ITEMS {
            let after = self.repair_from.take();
            let next = self.known.iter().find(|(name, _known)| {
                after.as_ref().is_none_or(|after| *name > after) && **name != self.own
            });
            let Some((name, known)) = next else {
                return;
            };
            items.push(GossipItem::Beat(known.beat.clone()));
            self.repair_from = Some(name.clone());
        }
    }

    /// Takes a message that arrived at `now`.
    pub fn take_message(&mut self, message: GossipMessage, now: UnixMillis) {
        self.hear(message.beat, now);
        // All heartbeats, for one who joins, are no news to the others.
        let whole = message.items.len() > NOTICE_ITEM_LIMIT + REPAIR_ITEMS;
        for item in message.items {
            match item {
                GossipItem::Beat(beat) if beat.name != self.own => {
                    if self.learn(beat.clone(), now) && !whole {
                        self.pass_on(GossipItem::Beat(beat));
                    }
                }
                GossipItem::Beat(_) => {}
                GossipItem::Silence(report) => self.learn_silence(report),
            }
        }
    }

    /// Reports neighbours that have fallen silent, and names them.
    pub fn note_silence(&mut self, now: UnixMillis) -> Vec<InstanceName> {
        let silence_ms = u64::try_from(SILENCE_LIMIT.as_millis()).unwrap_or(u64::MAX);
        let mut silent = Vec::new();
        for name in &self.neighbours {
            let Some(known) = self.known.get(name) else {
                continue;
            };
            let incarnation = known.beat.incarnation;
            let told = self.reported.get(name) == Some(&incarnation);
            if !told && now.since(known.heard_at) > SILENCE_LIMIT {
                silent.push(SilenceReport {
                    name: name.clone(),
                    incarnation,
                    uptime_ms: known.beat.uptime_ms + silence_ms,
                    reporter: self.own.clone(),
                });
            }
        }
        let mut names = Vec::with_capacity(silent.len());
        for report in silent {
            names.push(report.name.clone());
            self.reported
                .insert(report.name.clone(), report.incarnation);
            self.pass_on(GossipItem::Silence(report));
        }
        names
    }

    /// All listed instances.
    pub fn instances(&self) -> &[FleetInstance] {
        &self.instances
    }

    /// The listed instance `name`.
    pub fn instance(&self, name: &InstanceName) -> Option<&FleetInstance> {
        self.instances.get(*self.positions.get(name)?)
    }

    /// The instance whose last heartbeat came from `incarnation`.
    pub fn instance_of(&self, incarnation: IncarnationId) -> Option<&FleetInstance> {
        self.instance(self.incarnations.get(&incarnation)?)
    }

    /// The last heartbeat of `name`.
    pub fn beat_of(&self, name: &InstanceName) -> Option<&InstanceHeartbeat> {
        self.known.get(name).map(|known| &known.beat)
    }

    /// Whether most of the listed instances were heard of.
    pub fn knows_most(&self) -> bool {
        self.known.len() * 2 > self.instances.len()
    }

    /// The instance other than the own one that lately told the highest
    /// configuration version in force, and that version.
    pub fn newest_config(&self, now: UnixMillis) -> Option<(&FleetInstance, u64)> {
        let mut newest = None;
        for (name, known) in &self.known {
            let recent = known.direct && now.since(known.heard_at) <= SILENCE_LIMIT;
            if *name == self.own || !recent {
                continue;
            }
            let version = known.beat.config_version;
            if newest.is_none_or(|(_name, highest)| version > highest) {
                newest = Some((name, version));
            }
        }
        let (name, version) = newest?;
        Some((self.instance(name)?, version))
    }

    /// Whether nothing was heard of `name` lately, as far as this view can
    /// tell.
    fn is_silent(&self, name: &InstanceName, known: &KnownInstance, now: UnixMillis) -> bool {
        if self.neighbours.contains(name) {
            return now.since(known.heard_at) > SILENCE_LIMIT;
        }
        *name != self.own && known.reports.len() >= SILENCE_REPORTS
    }

    /// The instances of [`Self::ready`] that have a configuration to decide
    /// by: those that callers may be sent to.
    pub fn serving(&self, now: UnixMillis) -> Vec<FleetInstance> {
        let mut serving = self.ready(now);
        serving.retain(|instance| {
            let beat = self.beat_of(&instance.name);
            beat.is_some_and(|beat| beat.configured)
        });
        serving
    }

    /// Instances that are listed as live, not silent and not stopping.
    pub fn ready(&self, now: UnixMillis) -> Vec<FleetInstance> {
        let mut ready = Vec::new();
        for instance in &self.instances {
            if instance.leaving {
                continue;
            }
            let Some(known) = self.known.get(&instance.name) else {
                continue;
            };
            let beat = &known.beat;
            if beat.stopping || self.is_silent(&instance.name, known, now) {
                continue;
            }
            ready.push(instance.clone());
        }
        ready
    }

    /// Requests in progress at `name`, as last heard.
    pub fn load_of(&self, name: &InstanceName) -> u32 {
        self.beat_of(name).map_or(0, |beat| beat.load)
    }
}

/// The instance that `item` is about.
fn item_name(item: &GossipItem) -> &InstanceName {
    match item {
        GossipItem::Beat(beat) => &beat.name,
        GossipItem::Silence(report) => &report.name,
    }
}

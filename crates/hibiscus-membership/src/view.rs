//! The fleet as seen by one process, merged from the instance list and
//! heartbeats.

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

use crate::gossip::CHANGED_ITEM_SENDS;
use crate::gossip::CHANGED_ITEMS_LIMIT;
use crate::gossip::FAILURE_REPORT_QUORUM;
use crate::gossip::FailureReport;
use crate::gossip::GossipItem;
use crate::gossip::GossipMessage;
use crate::gossip::REPAIR_ITEMS;
use crate::neighbours;

/// Time without a heartbeat after which a neighbour counts as unresponsive.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);

/// Number of messages after its start in which an instance requests all
/// heartbeats.
const FULL_REQUEST_COUNT: u32 = 16;
/// Messages per request for all heartbeats, so that the requests extend past
/// the time in which a whole fleet starts.
const FULL_REQUEST_INTERVAL: u32 = 2;

/// Time for which messages of a replaced incarnation are ignored.
const REPLACED_INCARNATION_TIMEOUT: Duration = Duration::from_secs(60);

/// State that an instance reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceHeartbeat {
    /// Name of the instance.
    pub name: InstanceName,
    /// Current incarnation of the instance.
    pub incarnation: IncarnationId,
    /// Milliseconds since the incarnation started.
    pub uptime_ms: u64,
    /// Whether the instance is shutting down.
    pub stopping: bool,
    /// Whether the instance has a configuration that is recent enough to serve
    /// requests.
    pub configured: bool,
    /// Number of requests in progress.
    pub load: u32,
    /// Version of the active configuration.
    pub config_version: u64,
}

impl InstanceHeartbeat {
    /// Whether the change from `other` must spread quickly.
    fn is_significant_change(&self, other: &Self) -> bool {
        self.incarnation != other.incarnation
            || self.stopping != other.stopping
            || self.configured != other.configured
    }
}

/// An instance that the platform lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetInstance {
    /// Name of the instance.
    pub name: InstanceName,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Region of the instance.
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

/// The newest state received of one instance.
#[derive(Clone, Debug)]
struct KnownInstance {
    heartbeat: InstanceHeartbeat,
    /// Time of the last message from the instance itself; before any, the time
    /// at which another instance first reported it.
    received_at: UnixMillis,
    /// Whether any message came from the instance itself.
    direct: bool,
    /// The previous incarnation and the time at which it was replaced.
    previous: Option<(IncarnationId, UnixMillis)>,
    /// Uptime in milliseconds at which each reporter found the instance
    /// unresponsive.
    reports: BTreeMap<InstanceName, u64>,
}

/// An item that is queued for sending.
#[derive(Clone, Debug)]
struct PendingItem {
    item: GossipItem,
    sends_left: u8,
}

/// The listed instances and their last heartbeats.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    own: InstanceName,
    instances: Vec<FleetInstance>,
    positions: BTreeMap<InstanceName, usize>,
    neighbours: BTreeSet<InstanceName>,
    known: BTreeMap<InstanceName, KnownInstance>,
    incarnations: BTreeMap<IncarnationId, InstanceName>,
    pending: VecDeque<PendingItem>,
    reported_failures: BTreeMap<InstanceName, IncarnationId>,
    repair_cursor: Option<InstanceName>,
    joining_messages: u32,
}

impl FleetView {
    /// Sets the name of the instance that owns this view.
    pub fn set_own_name(&mut self, own: &InstanceName) {
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
        self.reported_failures
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

    /// Whether no heartbeat of some neighbour has been received.
    pub fn has_unknown_neighbours(&self) -> bool {
        let mut names = self.neighbours.iter();
        names.any(|name| !self.known.contains_key(name))
    }

    /// Records a heartbeat that its own instance sent and that arrived at `now`.
    pub fn receive_heartbeat(&mut self, heartbeat: InstanceHeartbeat, now: UnixMillis) {
        let name = heartbeat.name.clone();
        let incarnation = heartbeat.incarnation;
        if self.merge_heartbeat(heartbeat.clone(), now) {
            self.queue_item(GossipItem::Heartbeat(heartbeat));
        }
        let Some(known) = self.known.get_mut(&name) else {
            return;
        };
        if known.heartbeat.incarnation == incarnation {
            known.received_at = now;
            known.direct = true;
            self.reported_failures.remove(&name);
        }
    }

    /// Merges a heartbeat that arrived directly or through another instance.
    /// Returns whether the change must spread.
    fn merge_heartbeat(&mut self, heartbeat: InstanceHeartbeat, now: UnixMillis) -> bool {
        let Some(held) = self.known.get(&heartbeat.name) else {
            self.incarnations
                .insert(heartbeat.incarnation, heartbeat.name.clone());
            let known = KnownInstance {
                heartbeat: heartbeat.clone(),
                received_at: now,
                direct: false,
                previous: None,
                reports: BTreeMap::new(),
            };
            self.known.insert(heartbeat.name, known);
            return true;
        };
        if !self.supersedes(&heartbeat, held, now) {
            return false;
        }
        let Some(known) = self.known.get_mut(&heartbeat.name) else {
            return false;
        };
        let mut changed = heartbeat.is_significant_change(&known.heartbeat);
        if heartbeat.incarnation != known.heartbeat.incarnation {
            known.previous = Some((known.heartbeat.incarnation, now));
            known.reports.clear();
            known.received_at = now;
            self.incarnations.remove(&known.heartbeat.incarnation);
            self.incarnations
                .insert(heartbeat.incarnation, heartbeat.name.clone());
        }
        let reports = known.reports.len();
        let uptime = heartbeat.uptime_ms;
        known
            .reports
            .retain(|_reporter, reported| *reported >= uptime);
        changed |= known.reports.len() < reports;
        known.heartbeat = heartbeat;
        changed
    }

    /// Whether `heartbeat` replaces the `held` one. Incarnations are ordered by
    /// the clock at their start. Since a clock may be behind, an earlier
    /// incarnation is also accepted once the held one is unresponsive, except
    /// one that was replaced recently.
    fn supersedes(
        &self,
        heartbeat: &InstanceHeartbeat,
        held: &KnownInstance,
        now: UnixMillis,
    ) -> bool {
        if heartbeat.incarnation == held.heartbeat.incarnation {
            return heartbeat.uptime_ms > held.heartbeat.uptime_ms;
        }
        let recently_replaced = held.previous.is_some_and(|(incarnation, at)| {
            incarnation == heartbeat.incarnation && now.since(at) < REPLACED_INCARNATION_TIMEOUT
        });
        if recently_replaced {
            return false;
        }
        heartbeat.incarnation > held.heartbeat.incarnation
            || self.is_unresponsive(&heartbeat.name, held, now)
    }

    /// Merges another instance's report that an instance is unresponsive.
    fn merge_failure_report(&mut self, report: FailureReport) {
        let Some(known) = self.known.get_mut(&report.name) else {
            return;
        };
        let stale = known.heartbeat.incarnation != report.incarnation
            || known.heartbeat.uptime_ms > report.uptime_ms;
        if stale || report.name == self.own {
            // A report about this instance is refuted by the heartbeat in each
            // of its messages, an outdated one by the newer heartbeat held here.
            let heartbeat = known.heartbeat.clone();
            if known.heartbeat.incarnation == report.incarnation {
                self.queue_item(GossipItem::Heartbeat(heartbeat));
            }
            return;
        }
        let before = known
            .reports
            .insert(report.reporter.clone(), report.uptime_ms);
        if before.is_none_or(|uptime| uptime < report.uptime_ms) {
            self.queue_item(GossipItem::Failure(report));
        }
    }

    /// Queues an item, replacing an equal one and, for a heartbeat, older
    /// heartbeats of the same instance.
    fn queue_item(&mut self, item: GossipItem) {
        let name = item_name(&item);
        if *name == self.own && !matches!(item, GossipItem::Heartbeat(_)) {
            return;
        }
        let is_heartbeat = matches!(item, GossipItem::Heartbeat(_));
        self.pending.retain(|pending| {
            let same = item_name(&pending.item) == name;
            let replaced = is_heartbeat && matches!(pending.item, GossipItem::Heartbeat(_));
            !(same && (replaced || pending.item == item))
        });
        self.pending.push_back(PendingItem {
            item,
            sends_left: CHANGED_ITEM_SENDS,
        });
    }

    /// Returns the next message to a neighbour.
    pub fn message(&mut self, heartbeat: InstanceHeartbeat) -> GossipMessage {
        let joining = self.requests_all_heartbeats();
        let items = self.next_items();
        GossipMessage {
            heartbeat,
            joining,
            items,
        }
    }

    /// Returns the reply to a message, with all heartbeats if its sender is
    /// `joining`.
    pub fn reply(&mut self, heartbeat: InstanceHeartbeat, joining: bool) -> GossipMessage {
        let items = if joining {
            let all = self.known.values();
            all.map(|known| GossipItem::Heartbeat(known.heartbeat.clone()))
                .collect()
        } else {
            self.next_items()
        };
        GossipMessage {
            heartbeat,
            joining: false,
            items,
        }
    }

    /// Returns the changed items and repair items for one message.
    fn next_items(&mut self) -> Vec<GossipItem> {
        let mut items = Vec::with_capacity(CHANGED_ITEMS_LIMIT + REPAIR_ITEMS);
        self.append_changed_items(&mut items);
        self.append_repair_items(&mut items);
        items
    }

    /// Whether to request all heartbeats: while some are missing, but only a
    /// limited number of times, since some instances may never have sent one.
    fn requests_all_heartbeats(&mut self) -> bool {
        let missing = self.instances.len().saturating_sub(self.known.len());
        if missing == 0 || self.joining_messages >= FULL_REQUEST_COUNT * FULL_REQUEST_INTERVAL {
            return false;
        }
        self.joining_messages += 1;
        self.joining_messages % FULL_REQUEST_INTERVAL == 1
    }

    fn append_changed_items(&mut self, items: &mut Vec<GossipItem>) {
        for _item in 0..self.pending.len().min(CHANGED_ITEMS_LIMIT) {
            let Some(mut pending) = self.pending.pop_front() else {
                return;
            };
            items.push(pending.item.clone());
            pending.sends_left -= 1;
            if pending.sends_left > 0 {
                self.pending.push_back(pending);
            }
        }
    }

    /// Adds the next heartbeats in turn. A fleet in which all instances are
    /// neighbours needs no repair.
    fn append_repair_items(&mut self, items: &mut Vec<GossipItem>) {
        if self.instances.len() <= neighbours::FULL_MESH_LIMIT + 1 {
            return;
        }
        for _item in 0..REPAIR_ITEMS {
            let after = self.repair_cursor.take();
            let next = self.known.iter().find(|(name, _known)| {
                after.as_ref().is_none_or(|after| *name > after) && **name != self.own
            });
            let Some((name, known)) = next else {
                return;
            };
            items.push(GossipItem::Heartbeat(known.heartbeat.clone()));
            self.repair_cursor = Some(name.clone());
        }
    }

    /// Merges a message that arrived at `now`.
    pub fn receive_message(&mut self, message: GossipMessage, now: UnixMillis) {
        self.receive_heartbeat(message.heartbeat, now);
        // A response with all heartbeats contains no changes for the others.
        let is_full = message.items.len() > CHANGED_ITEMS_LIMIT + REPAIR_ITEMS;
        for item in message.items {
            match item {
                GossipItem::Heartbeat(heartbeat) if heartbeat.name != self.own => {
                    if self.merge_heartbeat(heartbeat.clone(), now) && !is_full {
                        self.queue_item(GossipItem::Heartbeat(heartbeat));
                    }
                }
                GossipItem::Heartbeat(_) => {}
                GossipItem::Failure(report) => self.merge_failure_report(report),
            }
        }
    }

    /// Queues failure reports for neighbours that became unresponsive, and
    /// returns their names.
    pub fn report_unresponsive_neighbours(&mut self, now: UnixMillis) -> Vec<InstanceName> {
        let timeout_ms = u64::try_from(HEARTBEAT_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
        let mut failures = Vec::new();
        for name in &self.neighbours {
            let Some(known) = self.known.get(name) else {
                continue;
            };
            let incarnation = known.heartbeat.incarnation;
            let already_reported = self.reported_failures.get(name) == Some(&incarnation);
            if !already_reported && now.since(known.received_at) > HEARTBEAT_TIMEOUT {
                failures.push(FailureReport {
                    name: name.clone(),
                    incarnation,
                    uptime_ms: known.heartbeat.uptime_ms + timeout_ms,
                    reporter: self.own.clone(),
                });
            }
        }
        let mut names = Vec::with_capacity(failures.len());
        for report in failures {
            names.push(report.name.clone());
            self.reported_failures
                .insert(report.name.clone(), report.incarnation);
            self.queue_item(GossipItem::Failure(report));
        }
        names
    }

    /// All listed instances.
    pub fn instances(&self) -> &[FleetInstance] {
        &self.instances
    }

    /// Returns the listed instance `name`.
    pub fn instance(&self, name: &InstanceName) -> Option<&FleetInstance> {
        self.instances.get(*self.positions.get(name)?)
    }

    /// Returns the instance whose last heartbeat came from `incarnation`.
    pub fn instance_of(&self, incarnation: IncarnationId) -> Option<&FleetInstance> {
        self.instance(self.incarnations.get(&incarnation)?)
    }

    /// Returns the last heartbeat of `name`.
    pub fn heartbeat_of(&self, name: &InstanceName) -> Option<&InstanceHeartbeat> {
        self.known.get(name).map(|known| &known.heartbeat)
    }

    /// Whether heartbeats of most listed instances have been received.
    pub fn knows_majority(&self) -> bool {
        self.known.len() * 2 > self.instances.len()
    }

    /// Returns the other instance that recently reported the highest active
    /// configuration version, and that version.
    pub fn newest_config(&self, now: UnixMillis) -> Option<(&FleetInstance, u64)> {
        let mut newest = None;
        for (name, known) in &self.known {
            let recent = known.direct && now.since(known.received_at) <= HEARTBEAT_TIMEOUT;
            if *name == self.own || !recent {
                continue;
            }
            let version = known.heartbeat.config_version;
            if newest.is_none_or(|(_name, highest)| version > highest) {
                newest = Some((name, version));
            }
        }
        let (name, version) = newest?;
        Some((self.instance(name)?, version))
    }

    /// Whether `name` is unresponsive according to this instance's heartbeats
    /// with it or, if it is no neighbour, to reports of other instances.
    fn is_unresponsive(&self, name: &InstanceName, known: &KnownInstance, now: UnixMillis) -> bool {
        if self.neighbours.contains(name) {
            return now.since(known.received_at) > HEARTBEAT_TIMEOUT;
        }
        *name != self.own && known.reports.len() >= FAILURE_REPORT_QUORUM
    }

    /// Returns the instances of [`Self::ready`] that are configured. Callers may
    /// be directed to these.
    pub fn serving(&self, now: UnixMillis) -> Vec<FleetInstance> {
        let mut serving = self.ready(now);
        serving.retain(|instance| {
            let heartbeat = self.heartbeat_of(&instance.name);
            heartbeat.is_some_and(|heartbeat| heartbeat.configured)
        });
        serving
    }

    /// Returns the instances that are not listed as leaving, are responsive and
    /// are not shutting down.
    pub fn ready(&self, now: UnixMillis) -> Vec<FleetInstance> {
        let mut ready = Vec::new();
        for instance in &self.instances {
            if instance.leaving {
                continue;
            }
            let Some(known) = self.known.get(&instance.name) else {
                continue;
            };
            let heartbeat = &known.heartbeat;
            if heartbeat.stopping || self.is_unresponsive(&instance.name, known, now) {
                continue;
            }
            ready.push(instance.clone());
        }
        ready
    }

    /// Returns the number of requests in progress that `name` last reported.
    pub fn load_of(&self, name: &InstanceName) -> u32 {
        self.heartbeat_of(name)
            .map_or(0, |heartbeat| heartbeat.load)
    }
}

/// Returns the name of the instance that `item` is about.
fn item_name(item: &GossipItem) -> &InstanceName {
    match item {
        GossipItem::Heartbeat(heartbeat) => &heartbeat.name,
        GossipItem::Failure(report) => &report.name,
    }
}

//! State shared by the tasks of the traffic thread.

mod evacuation;
mod history;
mod holding;
mod shutdown;
pub mod start;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_membership::headroom::gauge::HeadroomLimits;
use hibiscus_peer::PinSet;
use hibiscus_peer::PinnedLink;
use hibiscus_types::DataCentre;
use metrics::counter;
use tokio::sync::Notify;

use crate::budgets::BudgetHandle;
use crate::budgets::BudgetManager;
use crate::callers::CallerRegistry;
use crate::cold::permits::ColdCoordinator;
use crate::crash_detector::CrashDetector;
use crate::directory::InstanceDirectory;
use crate::headroom::HeadroomKeeper;
use crate::holders::HolderFailures;
use crate::holders::HolderTable;
use crate::limit_exchange::LimitOutbox;
use crate::machine::MachineLimits;
use crate::machine::MachineUse;
use crate::memory_pressure::MemoryPressure;
use crate::memory_pressure::PressureGauge;
use crate::model::FleetConfig;
use crate::model::InstanceEntry;
use crate::part_tracker::PartTracker;
use crate::permits::PermitDesk;
use crate::regions::RegionMap;
use crate::relays;
use crate::retries::RetryCounter;
use crate::server_registry::RegistryChange;
use crate::server_registry::ServerRegistry;
use crate::servers;
use crate::servers::ServerPool;
use crate::shares::MemoryShares;
use crate::state::holding::HeldRanks;
use crate::state::start::StartupProgress;
use crate::stream_versions::StreamTracker;
use crate::stream_versions::StreamUpdate;
use crate::suspects::SuspectTracker;
use crate::table::RouteTable;
use crate::tally::WorkTally;
use crate::traffic_metrics::CONFIG_VERSIONS;
use crate::traffic_metrics::TrafficGauges;
use crate::traffic_metrics::TrafficMetrics;
use crate::updates::ConfigArrival;
use crate::updates::TrafficUpdate;
use crate::usage_log::UsageLogger;
use crate::wire_format::WireFormat;

/// Timeout of request heads before a configuration is active: the usual
/// setting.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);

/// The parts from which a [`TrafficState`] is created.
#[expect(missing_debug_implementations, reason = "moved into the state at once")]
pub struct TrafficComponents<D> {
    /// Format of the requests of callers and to servers.
    pub wire_format: D,
    /// Data centre of this instance.
    pub data_centre: DataCentre,
    /// Regions of the data centres.
    pub regions: RegionMap,
    /// The budgets.
    pub budgets: BudgetManager,
    /// The limit on retries.
    pub retries: RetryCounter,
    /// The known instances.
    pub directory: InstanceDirectory,
    /// The requests under which servers crashed.
    pub suspects: SuspectTracker,
    /// The parts of prompts that servers crashed with.
    pub parts: PartTracker,
    /// The software versions that began streams.
    pub streams: StreamTracker,
    /// Share of the machine's memory for each purpose.
    pub memory_shares: MemoryShares,
    /// Resource limits of the process.
    pub limits: MachineLimits,
    /// Whether the whole system starts for the first time, so that other
    /// instances have yet to announce themselves.
    pub first_start: bool,
}

/// State of the request path, shared by the tasks of one thread. No borrow is
/// held across an await.
pub struct TrafficState<D> {
    /// Format of the requests of callers and to servers.
    pub wire_format: D,
    /// Data centre of this instance.
    pub data_centre: DataCentre,
    /// Regions of the data centres.
    pub regions: RegionMap,
    /// The budgets.
    pub budgets: BudgetHandle,
    /// The limit on retries.
    pub retries: RefCell<RetryCounter>,
    /// The known instances.
    pub directory: RefCell<InstanceDirectory>,
    /// Holders that recently had no tokens.
    pub refusals: RefCell<HolderFailures>,
    holders: RefCell<HolderTable>,
    /// Number of budgets in the active configuration.
    budget_count: Cell<usize>,
    /// Cached result of [`Self::held_ranks`].
    ranks: Cell<Option<HeldRanks>>,
    /// The link to the other instances, once it is open.
    pub link: RefCell<Option<PinnedLink>>,
    /// Notifies [`crate::members`] that the instances to monitor or the updates
    /// to send may have changed.
    pub membership_changed: Notify,
    /// Certificate fingerprints of the processes that the link accepts.
    pub pins: PinSet,
    /// The callers' connections.
    pub callers: Rc<CallerRegistry>,
    /// How much more this instance can take.
    pub headroom: HeadroomKeeper,
    /// Counts of the work for the fleet.
    pub tally: Rc<WorkTally>,
    /// Counters and histograms.
    pub metrics: Rc<TrafficMetrics>,
    /// Detects crashed servers.
    pub crash_detector: Rc<CrashDetector>,
    /// The requests under which servers crashed.
    pub suspects: Rc<SuspectTracker>,
    /// The parts of prompts that servers crashed with.
    pub parts: Rc<PartTracker>,
    /// The software versions that began streams.
    pub streams: Rc<StreamTracker>,
    /// The servers with their connections.
    pub servers: RefCell<ServerPool>,
    /// Servers whose limits have changed, for the other instances.
    pub limit_outbox: LimitOutbox,
    /// Schedules of the servers of which this instance is a lender.
    pub permit_desk: RefCell<PermitDesk>,
    /// Permits for cold servers, and notices about them.
    pub cold: ColdCoordinator,
    server_registry: RefCell<ServerRegistry>,
    table: RefCell<Option<Rc<RouteTable>>>,
    pub(crate) startup: StartupProgress,
    /// When the route table became active.
    table_since: Cell<Duration>,
    /// Whether the whole system starts for the first time.
    first_start: bool,
    /// When the instances' announcements were first read.
    instances_read: Cell<Option<Duration>>,
    in_progress: Rc<Cell<usize>>,
    shutdown_start: Cell<Option<Instant>>,
    /// When a graceful shutdown ends the requests that are still in progress.
    shutdown_end: Cell<Option<Instant>>,
    closing: Cell<bool>,
    close: Notify,
    /// Whether the callers' port is closed.
    port_closed: Cell<bool>,
    port_close: Notify,
    started: Instant,
    pressure: UsageLogger,
    memory_shares: MemoryShares,
    gauge: RefCell<PressureGauge>,
}

impl<D: WireFormat> TrafficState<D> {
    /// Creates the state before any update.
    pub fn new(parts: TrafficComponents<D>) -> Self {
        let own = parts.directory.own().name.clone();
        Self {
            tally: Rc::clone(parts.budgets.tally()),
            pressure: UsageLogger::new(parts.limits),
            memory_shares: parts.memory_shares,
            gauge: RefCell::new(PressureGauge::new(parts.memory_shares.memory)),
            wire_format: parts.wire_format,
            data_centre: parts.data_centre,
            regions: parts.regions,
            budgets: BudgetHandle::new(parts.budgets),
            retries: RefCell::new(parts.retries),
            directory: RefCell::new(parts.directory),
            callers: CallerRegistry::new(parts.memory_shares.callers),
            headroom: HeadroomKeeper::new(HeadroomLimits {
                link: parts.limits.link_bytes_per_second,
                connections: parts.memory_shares.callers.connections,
            }),
            refusals: RefCell::default(),
            holders: RefCell::default(),
            budget_count: Cell::default(),
            ranks: Cell::default(),
            link: RefCell::default(),
            membership_changed: Notify::new(),
            metrics: Rc::default(),
            pins: PinSet::default(),
            crash_detector: Rc::default(),
            suspects: Rc::new(parts.suspects),
            parts: Rc::new(parts.parts),
            streams: Rc::new(parts.streams),
            cold: ColdCoordinator::new(own.clone()),
            servers: RefCell::new(ServerPool::new(own, parts.memory_shares.idle_links)),
            limit_outbox: LimitOutbox::default(),
            permit_desk: RefCell::default(),
            server_registry: RefCell::default(),
            table: RefCell::default(),
            startup: StartupProgress::default(),
            table_since: Cell::default(),
            first_start: parts.first_start,
            instances_read: Cell::default(),
            in_progress: Rc::default(),
            shutdown_start: Cell::new(None),
            shutdown_end: Cell::new(None),
            closing: Cell::new(false),
            close: Notify::new(),
            port_closed: Cell::new(false),
            port_close: Notify::new(),
            started: Instant::now(),
        }
    }

    /// Time since the start by the monotonic clock.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The route table of the active configuration.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.get()
    }

    /// Counts a request until the returned guard is dropped.
    pub fn count_request(&self) -> CountGuard {
        CountGuard::new(&self.in_progress)
    }

    /// Whether the memory has room for one more request, which has already been
    /// counted.
    pub fn has_room(&self) -> bool {
        let level = self.gauge.borrow().level();
        level.admits(self.in_progress())
    }

    /// Adjusts memory use to the `resident` bytes that the process uses.
    pub fn observe_memory(&self, resident: usize) {
        self.headroom
            .note_memory(resident, self.memory_shares.memory);
        let changed = self.gauge.borrow_mut().observe(resident);
        if !changed {
            return;
        }
        let level = self.gauge.borrow().level();
        event!(
            EventCode::MemoryRelief,
            "level={level:?} resident_bytes={resident} limit_bytes={} requests={}",
            self.memory_shares.memory,
            self.in_progress()
        );
        let idle = match level {
            MemoryPressure::Calm => self.memory_shares.idle_links,
            MemoryPressure::Tight | MemoryPressure::Full => 0,
        };
        self.servers.borrow().idle_links().set_limit(idle);
        self.update_ready();
    }

    /// Drops idle connections to servers that can't be used any more.
    pub fn drop_unusable_links(&self) {
        self.servers.borrow().idle_links().drop_unusable();
    }

    /// Applies an update of another thread.
    pub fn apply(&self, update: TrafficUpdate) {
        match update {
            TrafficUpdate::Evacuations {
                in_force,
                queued_at,
            } => self.apply_evacuations(&in_force, queued_at),
            TrafficUpdate::Config { config, arrival } => {
                if !self.activate_config(config, &arrival) {
                    return;
                }
            }
            TrafficUpdate::AllServers(entries) => {
                let changes = self
                    .server_registry
                    .borrow_mut()
                    .replace(entries, self.now());
                self.apply_server_changes(changes);
                self.streams.note_entries_read(self.now());
                self.startup.note_servers();
            }
            TrafficUpdate::Server(entry) => {
                let change = self.server_registry.borrow_mut().put(entry);
                self.apply_server_changes(change);
            }
            TrafficUpdate::ServerRemoved(name) => {
                let change = self.server_registry.borrow_mut().remove(&name, self.now());
                self.apply_server_changes(change);
            }
            TrafficUpdate::ServerTopicUnavailable => {
                self.streams.note_entries_lost();
                self.server_registry.borrow_mut().note_store_lost();
            }
            TrafficUpdate::ServerTopicRead => {
                self.streams.note_entries_read(self.now());
                let mut registry = self.server_registry.borrow_mut();
                registry.note_store_read(self.now());
            }
            TrafficUpdate::Streams(update) => {
                let has_all = matches!(update, StreamUpdate::AllVersions(_));
                self.streams.apply_update(update, self.now());
                if has_all {
                    self.startup.note_versions();
                }
            }
            TrafficUpdate::Accounts { first, records } => {
                for (offset, record) in (first..).zip(&records) {
                    self.budgets.apply(offset, record);
                }
                self.review_waiting();
            }
            TrafficUpdate::AccountsEnd { end, first } => {
                self.budgets.set_stream_range(first, end);
            }
            TrafficUpdate::AccountsCompleteEra(recorded, current) => {
                self.budgets.set_complete_era(recorded, current);
            }
            TrafficUpdate::AccountsRestored(era) => self.budgets.begin_restore(era),
            TrafficUpdate::AccountsPaused => self.budgets.note_reading_paused(),
            TrafficUpdate::AccountsCaughtUp => {
                self.budgets.recover();
                self.budgets.note_caught_up();
                self.review_budgets();
            }
            TrafficUpdate::AccountsTruncated { first, snapshots } => {
                self.budgets.resume(first, snapshots);
            }
            TrafficUpdate::AccountClosesDropped => self.budgets.note_closes_dropped(),
            TrafficUpdate::AccountsAppended { number, end } => {
                self.budgets.acknowledge(number, end);
                self.review_waiting();
            }
            TrafficUpdate::Suspects(update) => self.apply_suspect_update(update),
            TrafficUpdate::Instance(entry) => {
                self.announce(entry);
                self.membership_changed.notify_one();
            }
            TrafficUpdate::Reachable(entry, reachable) => {
                let mut directory = self.directory.borrow_mut();
                directory.note_reachable(&entry, reachable);
                self.membership_changed.notify_one();
            }
            TrafficUpdate::InstancesRead => {
                if self.instances_read.get().is_none() {
                    self.instances_read.set(Some(self.now()));
                    self.cold.note_instances_read();
                    self.review_budgets();
                }
            }
            TrafficUpdate::Shutdown => {
                self.shutdown_start.set(Some(Instant::now()));
                self.budgets.begin_shutdown();
                self.review_budgets();
                self.directory.borrow_mut().set_ready(false);
            }
        }
        self.update_ready();
    }

    /// Activates `config`; returns false if the active configuration is at least
    /// as new.
    fn activate_config(&self, config: Arc<FleetConfig>, arrival: &ConfigArrival) -> bool {
        let known = self.table().map(|table| table.config().version);
        if known.is_some_and(|known| known >= config.version) {
            return false;
        }
        let taken = Instant::now();
        counter!(CONFIG_VERSIONS, "source" => arrival.source.label()).increment(1);
        self.budgets.set_totals(&config);
        self.regions.log_unknown(&config);
        self.budget_count.set(self.budgets.budget_count());
        let mut servers = self.servers.borrow_mut();
        servers.set_cold_starts(&config.cold_starts);
        drop(servers);
        let table = Rc::new(RouteTable::new(Arc::clone(&config)));
        *self.table.borrow_mut() = Some(table);
        self.startup.note_config();
        self.table_since.set(self.now());
        self.review_budgets();
        event!(
            EventCode::ConfigInForce,
            "version={} routes={} teams={} source={} bytes={} read_ms={} behind={} decode_ms={} queued_ms={} index_ms={}",
            config.version,
            config.routes.len(),
            config.teams.len(),
            arrival.source.label(),
            arrival.bytes,
            arrival.read_time.as_millis(),
            arrival.records_behind,
            arrival.decode_time.as_millis(),
            taken
                .saturating_duration_since(arrival.queued_at)
                .as_millis(),
            taken.elapsed().as_millis()
        );
        true
    }

    /// Records the announcement of an instance. The link accepts only the newest
    /// process of each instance.
    fn announce(&self, entry: InstanceEntry) {
        let mut directory = self.directory.borrow_mut();
        let pin = entry.pin;
        let newest = entry.clone();
        let _was_new = directory.announce(entry);
        if directory.is_current(&newest) {
            self.pins.insert(pin);
        }
        for pin in directory.take_replaced_pins() {
            self.pins.remove(&pin);
        }
    }

    /// Decides on draws and reports for the budgets that requests wait for.
    pub fn review_waiting(&self) {
        let directory = self.directory.borrow();
        self.budgets
            .review_waiting(|budget| self.role_of(&directory, budget));
    }

    /// Decides on draws and reports for all budgets.
    pub fn review_budgets(&self) {
        let directory = self.directory.borrow();
        self.budgets
            .review(|budget| self.role_of(&directory, budget));
    }

    /// Returns how many instances rank before this one as a relay of the
    /// operators' topic.
    pub fn relay_rank(&self) -> usize {
        let directory = self.directory.borrow();
        relays::rank_of(&directory.own().name, directory.responding())
    }

    /// Closes callers' connections whose request heads take too long.
    pub fn close_slow_heads(&self) {
        let limits = self.table().map(|table| table.config().limits);
        let limit = limits.map_or(DEFAULT_HEADER_TIMEOUT, |limits| limits.header_timeout);
        let ended = self.callers.close_slow_heads(limit);
        if ended > 0 {
            event!(
                EventCode::SlowHeadsEnded,
                "connections={ended} limit_ms={}",
                limit.as_millis()
            );
        }
    }

    /// Divides the connections that servers accept among the instances.
    pub fn share_server_connections(&self) {
        let Some(table) = self.table() else {
            return;
        };
        let instances = self.directory.borrow().live_count();
        let servers = self.servers.borrow();
        for (service, most) in &table.config().connections {
            servers.set_idle_limit(service, servers::idle_share(*most, instances));
        }
    }

    /// Publishes the current levels as metrics.
    pub fn show_levels(&self) {
        let now = self.now();
        let directory = self.directory.borrow();
        let servers = self.servers.borrow();
        let instances = directory.possibly_live_count();
        servers.show_limits();
        servers.show_costs();
        let levels = TrafficGauges {
            in_progress: self.in_progress(),
            connections: self.callers.len(),
            instances: directory.live_count(),
            config_version: self.table().map_or(0, |table| table.config().version),
            config_age: now.saturating_sub(self.table_since.get()),
            servers: servers.count(),
            silent_servers: servers.count_silent(),
            retries_left: self.retries.borrow_mut().remaining(instances, now),
            tokens: self.budgets.token_sums(),
            tokens_free: self.budgets.free_tokens(),
            ready: directory.is_ready(),
            used: MachineUse::read(),
            body_bytes: self.callers.body_bytes(),
            unread_bytes: self.callers.unread_bytes(),
            stalled_bytes: self.callers.traffic().stalled(),
            idle_links: servers.idle_links().len(),
            accounts: self.budgets.account_count(),
            account_lag: self.budgets.unread_records(),
        };
        levels.publish();
        self.headroom.show_levels(directory.count_short());
        self.parts.show_levels();
        self.streams.show_levels();
        self.review_evacuations();
        self.tally.publish();
        if self.pressure.note_levels(&levels, &self.tally) {
            self.budgets
                .log_budgets(|budget| self.group_holders(&directory, budget).own_rank == Some(0));
        }
    }

    /// Records that the thread's timer was late by `delay`.
    pub fn note_lateness(&self, delay: Duration) {
        self.metrics.record_timer_delay(delay);
        self.pressure.note_lateness(delay);
    }

    /// Removes servers whose absence has lasted too long.
    pub fn expire_servers(&self) {
        let changes = self.server_registry.borrow_mut().expire(self.now());
        self.apply_server_changes(changes);
    }

    fn apply_server_changes(&self, changes: impl IntoIterator<Item = RegistryChange>) {
        for change in changes {
            match &change {
                RegistryChange::Present(entry) => event!(
                    EventCode::ServerKnown,
                    "server={} service={} address={} phase={:?} started={} software={}",
                    entry.name,
                    entry.service,
                    entry.address,
                    entry.phase,
                    entry.started,
                    entry.software
                ),
                RegistryChange::Gone(name) => event!(EventCode::ServerGone, "server={name}"),
            }
            let mut servers = self.servers.borrow_mut();
            let (before, after) = match &change {
                RegistryChange::Present(entry) => (servers.entry(&entry.name), Some(entry)),
                RegistryChange::Gone(name) => (servers.entry(name), None),
            };
            self.streams.note_entry(before.as_ref(), after, self.now());
            let present = after.cloned();
            servers.apply(change);
            drop(servers);
            if let Some(entry) = present {
                self.note_cold_entry(&entry);
            }
        }
    }

    /// Updates the readiness of this instance: it is ready when it has a
    /// configuration and a server, is not shutting down and has memory left.
    fn update_ready(&self) {
        let knows = self.table.borrow().is_some() && !self.servers.borrow().is_empty();
        let full = self.gauge.borrow().level() == MemoryPressure::Full;
        let ready = knows && self.shutdown_start.get().is_none() && !full;
        if self.directory.borrow().is_ready() == ready {
            return;
        }
        event!(EventCode::ReadinessChanged, "ready={ready}");
        self.directory.borrow_mut().set_ready(ready);
    }
}

/// Increments a count while it is held.
#[derive(Debug)]
pub struct CountGuard {
    count: Rc<Cell<usize>>,
}

impl CountGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self {
            count: Rc::clone(count),
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

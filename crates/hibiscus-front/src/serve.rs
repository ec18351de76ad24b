//! Starts the traffic thread and the threads that move records, serves requests
//! and performs the graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_peer::LinkCounts;
use hibiscus_peer::PinnedError;
use hibiscus_peer::PinnedKeys;
use hibiscus_peer::PinnedLink;
use hibiscus_traffic::budgets::BudgetManager;
use hibiscus_traffic::clock::MachineClock;
use hibiscus_traffic::crash_detector;
use hibiscus_traffic::directory::InstanceDirectory;
use hibiscus_traffic::headroom;
use hibiscus_traffic::limit_exchange;
use hibiscus_traffic::machine;
use hibiscus_traffic::machine::MachineLimits;
use hibiscus_traffic::members;
use hibiscus_traffic::model::InstanceEntry;
use hibiscus_traffic::part_tracker;
use hibiscus_traffic::part_tracker::PartTracker;
use hibiscus_traffic::peers;
use hibiscus_traffic::port;
use hibiscus_traffic::recovery;
use hibiscus_traffic::regions::RegionMap;
use hibiscus_traffic::retries::RetryBound;
use hibiscus_traffic::retries::RetryCounter;
use hibiscus_traffic::servers::cost;
use hibiscus_traffic::shares::MemoryShares;
use hibiscus_traffic::state::TrafficComponents;
use hibiscus_traffic::state::TrafficState;
use hibiscus_traffic::stream_versions;
use hibiscus_traffic::stream_versions::StreamTracker;
use hibiscus_traffic::stream_versions::VersionReads;
use hibiscus_traffic::stream_versions::witnesses;
use hibiscus_traffic::supply;
use hibiscus_traffic::suspects::SuspectTracker;
use hibiscus_traffic::traffic_metrics;
use hibiscus_traffic::updates;
use hibiscus_traffic::updates::UpdateReceiver;
use hibiscus_types::IncarnationId;
use http::Request;
use hyper::body::Incoming;
use metrics::counter;
use metrics::gauge;
use metrics_exporter_prometheus::BuildError;
use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use metrics_exporter_prometheus::PrometheusRecorder;
use platform::endpoints;
use platform::headers::PlatformFormat;
use platform::settings::ProcessSettings;
use platform::store::StoreClient;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use crate::append;
use crate::config;
use crate::follow;
use crate::follow::AccountsGate;
use crate::follow::OwnAnnouncement;
use crate::relay::RelayRole;
use crate::servers;
use crate::signals;
use crate::status::addresses_response;
use crate::status::metrics_response;
use crate::status::readiness_response;
use crate::streams;
use crate::suspects;

/// Time for which a caller caches the addresses of instances, after which it no
/// longer uses an instance that has failed.
const ADDRESS_TTL: Duration = Duration::from_secs(2);
/// Interval of the reviews of budgets and servers.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which gauges are updated; the platform reads them every 5 s.
const LEVELS_INTERVAL: Duration = Duration::from_secs(2);
/// Interval of the checks of memory use: a link of 10 Mbit/s transfers 0.6 MB
/// within it.
const MEMORY_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the start of a graceful shutdown during which new requests are still
/// served: callers cache addresses for up to three lifetimes, and streams need
/// the remaining time before the process is killed.
const SHUTDOWN_SERVING_TIME: Duration = Duration::from_millis(3_000);
/// Time after the start of a graceful shutdown after which requests are refused that may
/// last beyond its end.
const LONG_REQUESTS_TIME: Duration = Duration::from_millis(2_500);
/// Share of the time between SIGTERM and SIGKILL that the shutdown may take.
const SHUTDOWN_SHARE: f64 = 0.95;
/// Time to respond to the last connections after the accounts are closed.
const LAST_CALLERS_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval at which a shutdown checks for open connections of callers.
const CALLERS_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Stack size of the threads that only move records.
const THREAD_STACK_BYTES: usize = 256 * 1024;

/// Error that prevents the start of the daemon.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ServeError {
    /// A port cannot be opened.
    #[error("failed to open the port {address}")]
    Bind {
        /// Address of the port.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A runtime, a thread or a signal handler cannot be created.
    #[error("failed to start a runtime, a thread or a signal handler")]
    Start(#[from] io::Error),
    /// The recorder of the metrics cannot be created.
    #[error("failed to start the metrics")]
    Metrics(#[from] BuildError),
    /// The link to the other instances cannot be opened.
    #[error("failed to start the link to the other instances")]
    Link(#[from] PinnedError),
}

/// Result of running the daemon.
pub(crate) type Result<T> = std::result::Result<T, ServeError>;

/// Parts of the daemon that [`run`] passes to [`serve`].
struct ServeParts {
    store: StoreClient,
    announcement: Arc<OwnAnnouncement>,
    keys: PinnedKeys,
    role: Arc<RelayRole>,
    accounts: Arc<AccountsGate>,
}

/// State of the traffic thread with the platform's header format.
pub(crate) type FrontState = TrafficState<PlatformFormat>;

/// Runs the daemon until a graceful shutdown is complete.
///
/// # Errors
///
/// Fails if a port, a thread or a signal handler cannot be created.
pub(crate) fn run(settings: ProcessSettings) -> Result<()> {
    let recorder = recorder()?;
    let metrics = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        event!(EventCode::MetricsRunning, "");
    }
    let mut signals = signals::register()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let keys = PinnedKeys::generate()?;
    let own = InstanceEntry {
        name: settings.instance.clone(),
        incarnation: IncarnationId::generate(),
        callers: settings.callers,
        readiness: settings.readiness,
        peers: settings.peers,
        pin: keys.pin(),
        data_centre: settings.data_centre.clone(),
        shutting_down: false,
        capacity: settings.capacity(),
        lends_permits: true,
    };
    let limits = MachineLimits {
        memory_bytes: settings.memory_bytes,
        descriptors: settings.descriptors,
        cores: settings.cores,
        link_bytes_per_second: settings.link_bytes_per_second,
    };
    event!(
        EventCode::LimitsKnown,
        "memory_bytes={} descriptors={} cores={:.2}",
        limits.memory_bytes,
        limits.descriptors,
        limits.cores
    );
    let clock = MachineClock::of_this_boot();
    event!(
        EventCode::InstanceStarted,
        "instance={} incarnation={} callers={} boot={:x} steady_ms={}",
        own.name,
        own.incarnation,
        own.callers,
        clock.now().boot,
        clock.now().millis
    );
    let store = StoreClient::new(settings.store);
    let (sender, receiver) = updates::channel();
    let (outbox, batches) = mpsc::sync_channel(append::QUEUE_CAPACITY);
    let (stream_sender, stream_records) = mpsc::sync_channel(streams::QUEUE_CAPACITY);
    let (suspect_sender, suspect_batches) = mpsc::sync_channel(suspects::QUEUE_CAPACITY);
    spawn("signals", {
        let sender = sender.clone();
        move || signals::run(&mut signals, &sender)
    })?;
    let role = Arc::new(RelayRole::default());
    let shared = config::new_shared(sender.clone(), Arc::clone(&role));
    spawn("config", {
        let (store, shared) = (store.clone(), Arc::clone(&shared));
        move || config::follow_operators(&store, &shared)
    })?;
    spawn("changes", {
        let (store, shared) = (store.clone(), Arc::clone(&shared));
        move || config::follow_deltas(&store, &shared)
    })?;
    spawn("servers", {
        let (store, sender, role) = (store.clone(), sender.clone(), Arc::clone(&role));
        move || servers::follow_servers(&store, &sender, &role)
    })?;
    let accounts = Arc::new(AccountsGate::default());
    let reader = spawn("accounts", {
        let (store, sender, gate) = (store.clone(), sender.clone(), Arc::clone(&accounts));
        move || follow::follow_accounts(&store, &sender, &gate)
    })?;
    accounts.set_reader(reader.thread().clone());
    let announcement = Arc::new(OwnAnnouncement::new(own.clone()));
    spawn("instances", {
        let (store, sender, own) = (store.clone(), sender.clone(), Arc::clone(&announcement));
        move || follow::follow_instances(&store, &sender, &own)
    })?;
    spawn("suspects", {
        let (store, sender) = (store.clone(), sender.clone());
        move || suspects::follow_suspects(&store, &sender)
    })?;
    spawn("suspects-append", {
        let (store, limits) = (store.clone(), settings.store_limits);
        move || suspects::append_suspects(&store, limits, &suspect_batches)
    })?;
    spawn("versions", {
        let (store, sender) = (store.clone(), sender.clone());
        move || streams::follow_versions(&store, &sender)
    })?;
    let version_reads = Arc::new(VersionReads::default());
    let version_reader = spawn("versions-check", {
        let (store, sender, reads) = (store.clone(), sender.clone(), Arc::clone(&version_reads));
        move || streams::confirm_versions(&store, &sender, &reads)
    })?;
    version_reads.set_reader(version_reader.thread().clone());
    spawn("streams", {
        let (store, sender) = (store.clone(), sender.clone());
        move || streams::follow_notes(&store, &sender)
    })?;
    spawn("streams-append", {
        let store = store.clone();
        move || streams::append_streams(&store, &stream_records)
    })?;
    spawn("append", {
        let (store, sender, limits) = (store.clone(), sender.clone(), settings.store_limits);
        move || append::run(&store, limits, &sender, &batches)
    })?;
    let mut desk = BudgetManager::new(own.incarnation, own.name.clone(), clock, outbox);
    desk.set_reader(reader.thread().clone());
    desk.set_history(settings.store_history);
    desk.require_complete_era();
    let retries = RetryCounter::new(RetryBound {
        share: settings.retry_share,
        slack: settings.retry_slack,
        window: settings.retry_window,
    });
    let state = Rc::new(TrafficState::new(TrafficComponents {
        wire_format: PlatformFormat,
        data_centre: settings.data_centre.clone(),
        regions: RegionMap::new(&settings.regions, &settings.data_centre, &settings.region),
        budgets: desk,
        retries,
        directory: InstanceDirectory::new(own.clone()),
        suspects: SuspectTracker::new(own.name.clone(), suspect_sender.clone()),
        parts: PartTracker::new(own.name.clone(), suspect_sender),
        streams: StreamTracker::new(stream_sender, version_reads),
        memory_shares: MemoryShares::of_machine(settings.memory_bytes, settings.descriptors),
        limits,
        first_start: settings.first_start,
    }));
    let tasks = LocalSet::new();
    tasks.block_on(
        &runtime,
        serve(
            &settings,
            state,
            receiver,
            metrics,
            ServeParts {
                store,
                announcement,
                keys,
                role,
                accounts,
            },
        ),
    )?;
    drop(tasks);
    drop(runtime);
    event!(EventCode::InstanceStopped, "");
    Ok(())
}

/// Creates the metrics recorder with the bucket bounds of its histograms.
fn recorder() -> Result<PrometheusRecorder> {
    let times = &traffic_metrics::TIME_BOUNDS;
    let bounds = [
        (traffic_metrics::FIRST_EVENT, &times[..]),
        (traffic_metrics::REQUEST_TIME, &times[..]),
        (traffic_metrics::EVENT_GAP, &traffic_metrics::GAP_BOUNDS[..]),
        (traffic_metrics::TIMER_LATENESS, &times[..]),
        (cost::PREDICTED_TIME, &times[..]),
        (cost::OBSERVED_TIME, &times[..]),
        (platform::store::CALL_SECONDS_METRIC, &times[..]),
    ];
    let mut builder = PrometheusBuilder::new();
    for (name, bounds) in bounds {
        builder = builder.set_buckets_for_metric(Matcher::Full(name.to_owned()), bounds)?;
    }
    Ok(builder.build_recorder())
}

/// Starts a thread that only moves records.
fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<thread::JoinHandle<()>> {
    thread::Builder::new()
        .name(name.to_owned())
        .stack_size(THREAD_STACK_BYTES)
        .spawn(work)
}

/// Opens the ports and serves until a graceful shutdown is complete.
async fn serve(
    settings: &ProcessSettings,
    state: Rc<FrontState>,
    mut updates: UpdateReceiver,
    metrics: PrometheusHandle,
    parts: ServeParts,
) -> Result<()> {
    let ServeParts {
        store,
        announcement,
        keys,
        role,
        accounts,
    } = parts;
    let callers = bind(settings.callers).await?;
    let readiness = bind(settings.readiness).await?;
    let directory = bind(settings.directory).await?;
    let operators = bind(settings.metrics).await?;
    let (inbox, calls) = tokio::sync::mpsc::channel(peers::REQUEST_QUEUE_CAPACITY);
    let link = PinnedLink::open(settings.peers, &keys, &state.pins, inbox)?;
    *state.link.borrow_mut() = Some(link);
    state.budgets.set_start_time();
    tokio::task::spawn_local(peers::answer_peer_requests(Rc::clone(&state), calls));
    tokio::task::spawn_local(recovery::close_unproven(Rc::clone(&state)));
    tokio::task::spawn_local(recovery::close_ended_processes(Rc::clone(&state)));
    tokio::task::spawn_local(members::keep(Rc::clone(&state), endpoints::READINESS_PATH));
    tokio::task::spawn_local(crash_detector::run(Rc::clone(&state)));
    tokio::task::spawn_local(hibiscus_traffic::suspects::run(Rc::clone(&state)));
    tokio::task::spawn_local(part_tracker::run(Rc::clone(&state)));
    tokio::task::spawn_local(stream_versions::run(Rc::clone(&state)));
    tokio::task::spawn_local(witnesses::run(Rc::clone(&state)));
    tokio::task::spawn_local(limit_exchange::run(Rc::clone(&state)));
    tokio::task::spawn_local(hibiscus_traffic::cold::exchange::run(Rc::clone(&state)));
    tokio::task::spawn_local(port::serve_callers(callers, Rc::clone(&state)));
    tokio::task::spawn_local(port::serve_status_requests(
        readiness,
        Rc::clone(&state),
        readiness_response,
    ));
    let lifetime = ADDRESS_TTL.min(settings.address_lifetime);
    tokio::task::spawn_local(port::serve_status_requests(
        directory,
        Rc::clone(&state),
        move |state: &FrontState, request| addresses_response(state, request, lifetime),
    ));
    tokio::task::spawn_local(port::serve_status_requests(operators, Rc::clone(&state), {
        let metrics = metrics.clone();
        move |_state: &FrontState, request: &Request<Incoming>| metrics_response(&metrics, request)
    }));
    tokio::task::spawn_local(update_gauges(Rc::clone(&state), metrics));
    tokio::task::spawn_local(watch_memory(Rc::clone(&state)));
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while state.shutdown_start().is_none() {
        tokio::select! {
            update = updates.recv() => {
                if let Some(update) = update {
                    state.apply(update);
                }
            }
            due = tick.tick() => {
                state.note_lateness(due.elapsed());
                headroom::tick(&state, due.elapsed());
                state.expire_servers();
                state.directory.borrow_mut().tick();
                let large = state.directory.borrow().is_large();
                role.set(state.relay_rank(), large);
                state.membership_changed.notify_one();
                state.close_slow_heads();
                state.share_server_connections();
                state.review_budgets();
                state.request_snapshots();
                state.tick_parts();
                state.tick_streams();
                supply::return_idle(&state);
            }
        }
        accounts.set(state.reads_account_stream());
        accounts.set_lacks_history(state.budgets.lacks_history());
    }
    spawn("announce", move || {
        announcement.set_shutting_down();
        announcement.publish(&store);
    })?;
    shut_down(settings, &state, &mut updates).await;
    Ok(())
}

/// Updates gauges for as long as the runtime runs, and runs the upkeep of the
/// recorder, which otherwise keeps every value of the histograms.
async fn update_gauges(state: Rc<FrontState>, metrics: PrometheusHandle) {
    loop {
        tokio::time::sleep(LEVELS_INTERVAL).await;
        state.show_levels();
        state.suspects.tick(state.maintains_suspects(), state.now());
        if let Some(link) = state.link.borrow().as_ref() {
            record_link_metrics(&link.counts());
        }
        metrics.run_upkeep();
    }
}

/// Records the counts of the link to the other instances as metrics.
fn record_link_metrics(counts: &LinkCounts) {
    let open = [("out", counts.open_out), ("in", counts.open_in)];
    for (direction, count) in open {
        gauge!("hibiscus_peer_connections", "direction" => direction).set(count as f64);
    }
    let handshakes = [
        ("begun", counts.handshakes_begun),
        ("completed", counts.handshakes_completed),
        ("failed", counts.handshakes_failed),
        ("accepted", counts.handshakes_accepted),
        ("refused", counts.handshakes_refused),
    ];
    for (step, count) in handshakes {
        counter!("hibiscus_peer_handshakes_total", "step" => step).absolute(count);
    }
    counter!("hibiscus_peer_calls_late_total").absolute(counts.calls_late);
}

/// Checks the memory use for as long as the runtime runs; the state sheds load
/// when memory is short.
async fn watch_memory(state: Rc<FrontState>) {
    loop {
        tokio::time::sleep(MEMORY_INTERVAL).await;
        state.drop_unusable_links();
        if let Some(resident) = machine::resident() {
            state.observe_memory(resident);
        }
    }
}

/// Shuts down gracefully: serves until callers have stopped using this instance,
/// then refuses new requests, waits for those in progress and settles the
/// accounts.
async fn shut_down(
    settings: &ProcessSettings,
    state: &Rc<FrontState>,
    updates: &mut UpdateReceiver,
) {
    let started = tokio::time::Instant::now();
    let limit = started + settings.termination_grace.mul_f64(SHUTDOWN_SHARE);
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    loop {
        tokio::select! {
            update = updates.recv() => {
                if let Some(update) = update {
                    state.apply(update);
                }
            }
            due = tick.tick() => {
                headroom::tick(state, due.elapsed());
                state.review_budgets();
                state.tick_parts();
                state.tick_streams();
            }
        }
        if started.elapsed() >= LONG_REQUESTS_TIME {
            state.refuse_beyond(limit.into_std());
        }
        if started.elapsed() < SHUTDOWN_SERVING_TIME {
            continue;
        }
        if !state.is_closing() {
            state.close_idle();
        }
        let busy = state.in_progress() > 0 || !state.callers.is_empty();
        if !busy || tokio::time::Instant::now() >= limit {
            break;
        }
    }
    if tokio::time::timeout_at(limit, settle_accounts(state, updates))
        .await
        .is_err()
    {
        event!(EventCode::TokensNotReturned, "");
    }
    // The last connections get a response that this instance has shut down.
    state.close_port();
    let stop_time = limit.min(tokio::time::Instant::now() + LAST_CALLERS_TIMEOUT);
    loop {
        // Lets the port's task accept connections from the listen queue.
        tokio::time::sleep(CALLERS_POLL_INTERVAL).await;
        if state.callers.is_empty() || tokio::time::Instant::now() >= stop_time {
            break;
        }
    }
}

/// Returns the unspent tokens and writes the last snapshots, and waits until the
/// store has acknowledged both.
async fn settle_accounts(state: &Rc<FrontState>, updates: &mut UpdateReceiver) {
    supply::return_all(state).await;
    state.budgets.return_all_tokens();
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    while !is_settled(state) {
        tokio::select! {
            update = updates.recv() => {
                if let Some(update) = update {
                    state.apply(update);
                }
            }
            _at = tick.tick() => {
                state.review_budgets();
                if state.budgets.must_return_again() && !state.budgets.is_restoring() {
                    state.budgets.return_all_tokens();
                }
            }
        }
    }
    // The accounts of an instance that does not follow the stream are outdated.
    if !state.reads_account_stream() {
        return;
    }
    state.budgets.write_snapshots();
    while !state.budgets.is_acknowledged() {
        if let Some(update) = updates.recv().await {
            state.apply(update);
        }
    }
}

/// Whether the store holds all account records of this instance.
fn is_settled(state: &FrontState) -> bool {
    let is_stored = state.budgets.is_acknowledged() && state.budgets.has_read_own_records();
    is_stored && !state.budgets.is_restoring() && !state.budgets.must_return_again()
}

/// Opens a port.
async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let listener = port::bind(address).await;
    listener.map_err(|source| ServeError::Bind { address, source })
}

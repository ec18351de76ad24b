//! Starting and stopping a router process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use hibiscus_clients::log::HttpLog;
use hibiscus_events::EventCode;
use hibiscus_events::EventFields;
use hibiscus_events::EventRecorder;
use hibiscus_peer::LinkError;
use hibiscus_peer::LinkKeys;
use hibiscus_peer::LinkOptions;
use hibiscus_peer::PeerLink;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

use crate::callers;
use crate::config;
use crate::context::RouterContext;
use crate::context::SharedContext;
use crate::holder;
use crate::holder::HolderMessage;
use crate::ledger::append;
use crate::ledger::append::AppendRings;
use crate::ledger::broker;
use crate::ledger::follow;
use crate::membership;
use crate::operators;
use crate::operators::OperatorsError;
use crate::peer;
use crate::peer::DutyRings;
use crate::servers;
use crate::settings::RouterSettings;
use crate::witness;

/// Messages that wait for a duty.
const RING_CAPACITY: usize = 8_192;
/// Threads that ask brokers for grants.
const GRANT_THREADS: usize = 2;
/// Threads that split grants between peers.
const SPLIT_THREADS: usize = 2;
/// Time after which an append counts as unanswered.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a process cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The peer link cannot be opened.
    #[error("failed to start the peer link")]
    Link(#[from] LinkError),
    /// The operators' port cannot be opened.
    #[error(transparent)]
    Operators(#[from] OperatorsError),
    /// The callers' port cannot be opened.
    #[error("failed to open the callers' port {address}")]
    Callers {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

/// Result of starting.
pub type Result<T> = std::result::Result<T, StartError>;

/// Addresses that a process listens on.
#[derive(Clone, Copy, Debug)]
pub struct BoundAddresses {
    /// The callers' port.
    pub callers: SocketAddr,
    /// The operators' port.
    pub operators: SocketAddr,
    /// The peer link.
    pub peers: SocketAddr,
}

/// A process that runs.
pub struct RunningRouter {
    /// Addresses that it listens on.
    pub addresses: BoundAddresses,
    /// What its duties share.
    pub context: SharedContext,
    pub(crate) holder: SyncSender<HolderMessage>,
    pub(crate) appends: AppendRings,
    pub(crate) appenders: Vec<JoinHandle<()>>,
    pub(crate) callers: JoinHandle<()>,
}

/// Starts all duties of a process.
///
/// # Errors
///
/// Fails when a port cannot be opened or a key cannot be read.
pub fn start(settings: RouterSettings) -> Result<RunningRouter> {
    let (inbox, calls) = mpsc::sync_channel(RING_CAPACITY);
    let name = settings.instance.name.as_str();
    let events = Arc::new(EventRecorder::new(name));
    let link = open_link(&settings, &events, inbox)?;
    let log = HttpLog::new(&settings.platform.log, APPEND_TIMEOUT);
    let context = Arc::new(RouterContext::new(settings, events, link, log));
    let operators = operators::start(&context)?;
    let (callers_port, runtime) = open_callers(&context)?;
    let (appends, appenders) = start_appenders(&context);
    let (holder, reservations) = mpsc::sync_channel(RING_CAPACITY);
    let (wanted, wants) = mpsc::sync_channel(RING_CAPACITY);
    let (splits, jobs) = mpsc::sync_channel(RING_CAPACITY);
    let (broker, broker_calls) = mpsc::sync_channel(RING_CAPACITY);
    let (witness, witness_calls) = mpsc::sync_channel(RING_CAPACITY);

    spawn(&context, "config", config::follow::follow);
    spawn(&context, "config-peers", config::peers::fetch);
    spawn(&context, "config-snapshots", config::snapshots::run);
    spawn(&context, "instance-list", membership::follow_list);
    for thread in 0..membership::BEAT_THREADS {
        spawn(&context, "heartbeat", move |context| {
            membership::beat(context, thread);
        });
    }
    spawn(&context, "call-watch", servers::watch::run);
    spawn(&context, "load-reports", servers::reports::follow);
    spawn(&context, "suspects", servers::suspects::follow);
    for shard in 0..context.settings.budgets.shards {
        let ring = broker.clone();
        spawn(&context, "ledger-reader", move |context| {
            follow::run(context, shard, &ring);
        });
    }
    let rings = appends.clone();
    spawn(&context, "broker", move |context| {
        broker::run(context, &broker_calls, &rings);
    });
    let rings = appends.clone();
    spawn(&context, "witness", move |context| {
        witness::run(context, &witness_calls, &rings);
    });
    let rings = appends.clone();
    spawn(&context, "holder", move |context| {
        holder::run(context, &reservations, &wanted, &splits, &rings);
    });
    let jobs = Arc::new(std::sync::Mutex::new(jobs));
    for _thread in 0..SPLIT_THREADS {
        let ring = holder.clone();
        let jobs = Arc::clone(&jobs);
        spawn(&context, "splits", move |context| {
            holder::splits::run(context, &jobs, &ring);
        });
    }
    let wants = Arc::new(std::sync::Mutex::new(wants));
    for _thread in 0..GRANT_THREADS {
        let ring = holder.clone();
        let wants = Arc::clone(&wants);
        spawn(&context, "grants", move |context| {
            holder::grants::request_grants(context, &wants, &ring);
        });
    }
    let rings = DutyRings {
        witness,
        broker,
        holder: holder.clone(),
    };
    spawn(&context, "peer-calls", move |context| {
        peer::dispatch(context, &calls, &rings);
    });
    let addresses = BoundAddresses {
        callers: callers_port
            .local_addr()
            .unwrap_or(context.settings.listen.callers),
        operators,
        peers: context.link.address(),
    };
    let callers = serve_callers(&context, callers_port, runtime, holder.clone());
    context
        .events
        .record(EventCode::InstanceStarted, EventFields::default());
    Ok(RunningRouter {
        addresses,
        context,
        holder,
        appends,
        appenders,
        callers,
    })
}

/// Opens the peer link.
fn open_link(
    settings: &RouterSettings,
    events: &Arc<EventRecorder>,
    inbox: SyncSender<hibiscus_peer::PeerCall>,
) -> Result<PeerLink> {
    let options = LinkOptions {
        listen: settings.listen.peers,
        keys: LinkKeys {
            authority: &settings.fleet.authority,
            certificate: &settings.fleet.certificate,
            key: &settings.fleet.key,
        },
        events,
    };
    Ok(PeerLink::start(&options, inbox)?)
}

/// Opens the callers' port on a runtime of its own.
fn open_callers(context: &SharedContext) -> Result<(TcpListener, Runtime)> {
    let address = context.settings.listen.callers;
    let failed = |source| StartError::Callers { address, source };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(failed)?;
    let listener = runtime
        .block_on(TcpListener::bind(address))
        .map_err(failed)?;
    Ok((listener, runtime))
}

/// Serves the callers' port in a thread of its own.
fn serve_callers(
    context: &SharedContext,
    listener: TcpListener,
    runtime: Runtime,
    holder: SyncSender<HolderMessage>,
) -> JoinHandle<()> {
    spawn(context, "callers", move |context| {
        runtime.block_on(callers::port::serve(Arc::clone(context), listener, holder));
        runtime.shutdown_background();
    })
}

/// Starts one appender a shard.
fn start_appenders(context: &SharedContext) -> (AppendRings, Vec<JoinHandle<()>>) {
    let mut rings = Vec::new();
    let mut handles = Vec::new();
    for shard in 0..context.settings.budgets.shards {
        let (ring, records) = mpsc::sync_channel(append::RING_CAPACITY);
        rings.push(ring);
        let context = Arc::clone(context);
        handles.push(thread::spawn(move || {
            append::run(&context, shard, &records)
        }));
    }
    (AppendRings { rings }, handles)
}

/// Starts the thread of one duty.
fn spawn<F>(context: &SharedContext, name: &str, duty: F) -> JoinHandle<()>
where
    F: FnOnce(&SharedContext) + Send + 'static,
{
    let context = Arc::clone(context);
    // Without its duties a process cannot serve: a refused thread at start
    // is a broken invariant.
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || duty(&context))
        .expect("a duty's thread starts")
}

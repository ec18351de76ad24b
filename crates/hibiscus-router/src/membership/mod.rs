//! Duty: follows the instance list and exchanges heartbeats.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::list::InstanceList;
use hibiscus_clients::list::ListClient;
use hibiscus_clients::list::ListedState;
use hibiscus_events::EventCode;
use hibiscus_events::EventFields;
use hibiscus_membership::gossip::GossipMessage;
use hibiscus_membership::view::FleetInstance;
use hibiscus_membership::view::FleetView;
use hibiscus_membership::view::InstanceHeartbeat;
use hibiscus_types::InstanceName;
use hibiscus_types::UnixMillis;

use crate::context::SharedContext;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Time that a read of the list waits for a change.
const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// Time after which a read of the list is given up.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a failed read is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Threads that exchange heartbeats, each with its share of the neighbours.
pub const BEAT_THREADS: usize = 3;
/// Time between two exchanges of one thread.
const BEAT_INTERVAL: Duration = Duration::from_millis(1_000);
/// The same while neighbours are new or the own state has changed.
const HURRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a hurry lasts, so that a dead neighbour does not keep it up.
const HURRY_TIME: Duration = Duration::from_secs(3);
/// Time that an exchange may take.
const BEAT_TIMEOUT: Duration = Duration::from_millis(900);

/// Neighbours that fell silent and were not heard again.
type SilentNames = BTreeSet<InstanceName>;

/// The fleet as this process sees it.
pub struct FleetCell {
    view: Mutex<FleetView>,
    started: Instant,
}

impl Default for FleetCell {
    fn default() -> Self {
        Self {
            view: Mutex::default(),
            started: Instant::now(),
        }
    }
}

impl FleetCell {
    /// Milliseconds since the process started.
    fn uptime_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The view, locked for a short look or change.
    pub fn lock(&self) -> MutexGuard<'_, FleetView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What this process says of itself.
pub fn own_heartbeat(context: &SharedContext) -> InstanceHeartbeat {
    let config_version = context.config.get().version;
    InstanceHeartbeat {
        uptime_ms: context.fleet.uptime_ms(),
        configured: config_version > 0 && !context.config.is_outdated(),
        name: context.settings.instance.name.clone(),
        incarnation: context.incarnation,
        stopping: context.is_draining(),
        load: context.in_progress.load(Ordering::Relaxed),
        config_version,
    }
}

/// Follows the instance list until the process ends.
pub fn follow_list(context: &SharedContext) {
    let client = ListClient::new(&context.settings.platform.instances, LIST_TIMEOUT);
    let mut list = InstanceList::default();
    while !context.is_ended() {
        match client.follow(&mut list, POLL_WAIT) {
            Ok(true) => take_list(context, &list),
            Ok(false) => {}
            Err(_unreachable) => thread::sleep(RETRY_DELAY),
        }
    }
}

/// Takes a new version of the list over.
fn take_list(context: &SharedContext, list: &InstanceList) {
    let mut instances = Vec::with_capacity(list.instances.len());
    for listed in &list.instances {
        instances.push(FleetInstance {
            name: listed.name.clone(),
            data_centre: listed.data_centre.clone(),
            region: listed.region.clone(),
            callers: listed.callers,
            operators: listed.operators,
            peers: listed.peers,
            leaving: listed.state == ListedState::Leaving,
        });
    }
    context.fleet.lock().set_instances(instances);
    context.servers.set_listed(&list.servers);
}

/// Exchanges heartbeats with the share `thread` of the neighbours until the
/// process ends.
pub fn beat(context: &SharedContext, thread: usize) {
    let own = &context.settings.instance.name;
    context.fleet.lock().set_own_name(own);
    let mut hurry = HurryState::default();
    let mut silent = SilentNames::new();
    let mut turn = 0;
    while !context.is_ended() {
        let started = Instant::now();
        let beat = own_heartbeat(context);
        let interval = hurry.interval(context, &beat);
        note_silence(context, &mut silent);
        if let Some(peer) = next_neighbour(context, thread, turn) {
            exchange(context, beat, peer);
        }
        turn += 1;
        thread::sleep(interval.saturating_sub(started.elapsed()));
    }
}

/// When to exchange faster.
#[derive(Default)]
struct HurryState {
    last: Option<(bool, bool, usize)>,
    since: Option<Instant>,
}

impl HurryState {
    /// The time until the next exchange. The own state and the number of
    /// listed instances start a hurry when they change.
    fn interval(&mut self, context: &SharedContext, beat: &InstanceHeartbeat) -> Duration {
        let listed = context.fleet.lock().instances().len();
        let state = (beat.stopping, beat.configured, listed);
        if self.last != Some(state) {
            self.last = Some(state);
            self.since = Some(Instant::now());
        }
        let since = self.since.map_or(HURRY_TIME, |since| since.elapsed());
        if since < HURRY_TIME {
            HURRY_INTERVAL
        } else {
            BEAT_INTERVAL
        }
    }
}

/// Records which neighbours fall silent and which are heard again.
fn note_silence(context: &SharedContext, silent: &mut SilentNames) {
    let now = UnixMillis::now();
    let mut fleet = context.fleet.lock();
    let fallen = fleet.report_unresponsive_neighbours(now);
    let ready = fleet.ready(now);
    drop(fleet);
    for instance in ready {
        if silent.remove(&instance.name) {
            note_instance(context, EventCode::InstanceHeard, &instance.name);
        }
    }
    for name in fallen {
        note_instance(context, EventCode::InstanceSilent, &name);
        silent.insert(name);
    }
}

/// Records an event about another instance.
fn note_instance(context: &SharedContext, code: EventCode, name: &InstanceName) {
    let fields = EventFields {
        detail: name.to_string(),
        ..EventFields::default()
    };
    context.events.record(code, fields);
}

/// The neighbour whose turn it is.
fn next_neighbour(context: &SharedContext, thread: usize, turn: usize) -> Option<SocketAddr> {
    let now = UnixMillis::now();
    let mut fleet = context.fleet.lock();
    fleet.receive_heartbeat(own_heartbeat(context), now);
    let all = fleet.neighbours().skip(thread).step_by(BEAT_THREADS);
    let share: Vec<SocketAddr> = all.map(|instance| instance.peers).collect();
    if share.is_empty() {
        return None;
    }
    Some(share[turn % share.len()])
}

/// One exchange with `peer`.
fn exchange(context: &SharedContext, beat: InstanceHeartbeat, peer: SocketAddr) {
    let message = context.fleet.lock().message(beat);
    let request = PeerRequest::Heartbeat(message);
    if let Ok(PeerReply::Heartbeat(reply)) = request.call(context, peer, BEAT_TIMEOUT) {
        context
            .fleet
            .lock()
            .receive_message(reply, UnixMillis::now());
    }
}

/// Takes a peer's message and answers it.
pub fn answer(context: &SharedContext, message: GossipMessage) -> GossipMessage {
    let beat = own_heartbeat(context);
    let joining = message.joining;
    let mut fleet = context.fleet.lock();
    fleet.receive_message(message, UnixMillis::now());
    fleet.reply(beat, joining)
}

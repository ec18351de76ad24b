//! Duty: follows the instance list and exchanges heartbeats.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::EventFields;
use hibiscus_membership::view::FleetInstance;
use hibiscus_membership::view::FleetView;
use hibiscus_membership::view::InstanceHeartbeat;
use hibiscus_platform::list::InstanceList;
use hibiscus_platform::list::ListClient;
use hibiscus_platform::list::ListedState;
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
/// Time between heartbeats.
const BEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time that a heartbeat may take.
const BEAT_TIMEOUT: Duration = Duration::from_millis(400);

/// Heartbeats without an answer after which an instance counts as silent.
const SILENT_BEATS: u32 = 3;

/// Heartbeats in a row that each instance left without an answer.
type MissedBeats = BTreeMap<InstanceName, u32>;

/// The fleet as this process sees it.
#[derive(Default)]
pub struct FleetCell {
    view: Mutex<FleetView>,
}

impl FleetCell {
    /// The view, locked for a short look or change.
    pub fn lock(&self) -> MutexGuard<'_, FleetView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What this process says of itself.
pub fn own_heartbeat(context: &SharedContext) -> InstanceHeartbeat {
    InstanceHeartbeat {
        name: context.settings.instance.name.clone(),
        incarnation: context.incarnation,
        stopping: context.is_draining(),
        load: context.in_progress.load(Ordering::Relaxed),
        config_version: context.config.get().version,
    }
}

/// Follows the instance list until the process ends.
pub fn follow_list(context: &SharedContext) {
    let client = ListClient::new(&context.settings.platform.instances, LIST_TIMEOUT);
    let mut version = 0;
    while !context.is_ended() {
        let Ok(list) = client.read(version, POLL_WAIT) else {
            thread::sleep(RETRY_DELAY);
            continue;
        };
        if list.version == version {
            continue;
        }
        version = list.version;
        take_list(context, list);
    }
}

/// Takes a new version of the list over.
fn take_list(context: &SharedContext, list: InstanceList) {
    let mut instances = Vec::with_capacity(list.instances.len());
    for listed in list.instances {
        instances.push(FleetInstance {
            name: listed.name,
            data_centre: listed.data_centre,
            region: listed.region,
            callers: listed.callers,
            operators: listed.operators,
            peers: listed.peers,
            leaving: listed.state == ListedState::Leaving,
        });
    }
    context.fleet.lock().set_instances(instances);
    context.servers.set_listed(&list.servers);
}

/// Records when an instance falls silent and when it is heard again.
fn note_beat(
    context: &SharedContext,
    missed: &mut MissedBeats,
    name: InstanceName,
    answered: bool,
) {
    let fields = EventFields {
        detail: name.to_string(),
        ..EventFields::default()
    };
    if answered {
        let count = missed.remove(&name).unwrap_or(0);
        if count >= SILENT_BEATS {
            context.events.record(EventCode::InstanceHeard, fields);
        }
        return;
    }
    let count = missed.entry(name).or_default();
    *count += 1;
    if *count == SILENT_BEATS {
        context.events.record(EventCode::InstanceSilent, fields);
    }
}

/// Sends heartbeats until the process ends.
pub fn beat(context: &SharedContext) {
    let mut missed = MissedBeats::new();
    while !context.is_ended() {
        let own = own_heartbeat(context);
        context.fleet.lock().hear(own.clone(), UnixMillis::now());
        let instances = context.fleet.lock().instances().to_vec();
        missed.retain(|name, _count| instances.iter().any(|listed| listed.name == *name));
        let mut pending = Vec::with_capacity(instances.len());
        for instance in &instances {
            if instance.name == own.name {
                continue;
            }
            let request = PeerRequest::Heartbeat(own.clone());
            let Ok(call) = request.start(context, instance.peers, BEAT_TIMEOUT) else {
                continue;
            };
            pending.push((instance.name.clone(), call));
        }
        for (name, call) in pending {
            let reply = PeerReply::receive(call);
            note_beat(context, &mut missed, name, reply.is_ok());
            let Ok(PeerReply::Heartbeat(beat)) = reply else {
                continue;
            };
            context.fleet.lock().hear(beat, UnixMillis::now());
        }
        thread::sleep(BEAT_INTERVAL);
    }
}

//! The fleet as one process sees it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hibiscus_types::DataCentre;
use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use hibiscus_types::RegionName;
use hibiscus_types::UnixMillis;
use serde::Deserialize;
use serde::Serialize;

/// Time without a heartbeat after which an instance counts as silent.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceHeartbeat {
    /// Its name.
    pub name: InstanceName,
    /// Its present incarnation.
    pub incarnation: IncarnationId,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Requests in progress.
    pub load: u32,
    /// The configuration version in force there.
    pub config_version: u64,
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

/// The last heartbeat and its time of arrival.
#[derive(Clone, Debug)]
struct HeardBeat {
    beat: InstanceHeartbeat,
    at: UnixMillis,
}

/// The listed instances and what was heard of them.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    instances: Vec<FleetInstance>,
    beats: BTreeMap<InstanceName, HeardBeat>,
}

impl FleetView {
    /// Replaces the listed instances.
    pub fn set_instances(&mut self, instances: Vec<FleetInstance>) {
        self.instances = instances;
        let listed = &self.instances;
        self.beats
            .retain(|name, _beat| listed.iter().any(|instance| instance.name == *name));
    }

    /// Takes a heartbeat that arrived at `now`.
    pub fn hear(&mut self, beat: InstanceHeartbeat, now: UnixMillis) {
        let older = self
            .beats
            .get(&beat.name)
            .is_some_and(|heard| heard.beat.incarnation > beat.incarnation);
        if older {
            return;
        }
        self.beats
            .insert(beat.name.clone(), HeardBeat { beat, at: now });
    }

    /// All listed instances.
    pub fn instances(&self) -> &[FleetInstance] {
        &self.instances
    }

    /// The listed instance `name`.
    pub fn instance(&self, name: &InstanceName) -> Option<&FleetInstance> {
        self.instances.iter().find(|held| held.name == *name)
    }

    /// The instance whose last heartbeat came from `incarnation`.
    pub fn instance_of(&self, incarnation: IncarnationId) -> Option<&FleetInstance> {
        let (name, _heard) = self
            .beats
            .iter()
            .find(|(_name, heard)| heard.beat.incarnation == incarnation)?;
        self.instance(name)
    }

    /// The last heartbeat of `name`.
    pub fn beat_of(&self, name: &InstanceName) -> Option<&InstanceHeartbeat> {
        self.beats.get(name).map(|heard| &heard.beat)
    }

    /// Instances that are listed as live, heard of lately and not stopping.
    pub fn ready(&self, now: UnixMillis) -> Vec<FleetInstance> {
        let mut ready = Vec::new();
        for instance in &self.instances {
            if instance.leaving {
                continue;
            }
            let Some(heard) = self.beats.get(&instance.name) else {
                continue;
            };
            if heard.beat.stopping || now.since(heard.at) > SILENCE_LIMIT {
                continue;
            }
            ready.push(instance.clone());
        }
        ready
    }
}

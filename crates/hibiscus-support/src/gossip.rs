//! Views of many instances that exchange heartbeats inside one process.

use std::net::SocketAddr;

use hibiscus_membership::gossip::GossipMessage;
use hibiscus_membership::view::FleetInstance;
use hibiscus_membership::view::FleetView;
use hibiscus_membership::view::InstanceHeartbeat;
use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use hibiscus_types::UnixMillis;
use hibiscus_types::codec;

/// Exchanges that an instance begins a second.
pub const EXCHANGES: usize = 3;
/// Milliseconds of one round.
pub const ROUND_MS: u64 = 1_000;

/// One instance.
pub struct GossipMember {
    /// What it sees.
    pub view: FleetView,
    /// What it says of itself.
    pub beat: InstanceHeartbeat,
    /// Whether it runs; a paused one neither sends nor answers.
    pub running: bool,
    turn: usize,
}

/// A fleet, advanced by rounds.
pub struct GossipFleet {
    /// Its members.
    pub members: Vec<GossipMember>,
    /// The time of the last round.
    pub now: UnixMillis,
    /// Bytes of all messages.
    pub bytes: u64,
    /// Messages sent.
    pub messages: u64,
}

/// The instance number `number` of a fleet over `data_centres`.
pub fn instance(number: usize, data_centres: usize) -> FleetInstance {
    let port = u16::try_from(number + 1).unwrap_or(u16::MAX);
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    FleetInstance {
        name: InstanceName::new(format!("router-{number:04}")),
        data_centre: format!("dc-{}", number % data_centres).as_str().into(),
        region: "region".into(),
        callers: address,
        operators: address,
        peers: address,
        leaving: false,
    }
}

impl GossipMember {
    /// The member of `instance` in a new incarnation, knowing nobody.
    pub fn new(instance: &FleetInstance, listed: &[FleetInstance]) -> Self {
        let mut view = FleetView::default();
        view.set_own_name(&instance.name);
        view.set_instances(listed.to_vec());
        let beat = InstanceHeartbeat {
            name: instance.name.clone(),
            incarnation: IncarnationId::generate(),
            uptime_ms: 0,
            stopping: false,
            configured: true,
            load: 0,
            config_version: 1,
        };
        Self {
            view,
            beat,
            running: true,
            turn: 0,
        }
    }

    /// The next heartbeat.
    fn next_beat(&mut self, now: UnixMillis) -> InstanceHeartbeat {
        self.beat.uptime_ms = now.get();
        self.beat.clone()
    }
}

impl GossipFleet {
    /// A fleet of `count` instances over `data_centres`, all listed.
    pub fn new(count: usize, data_centres: usize) -> Self {
        let listed: Vec<FleetInstance> = (0..count)
            .map(|number| instance(number, data_centres))
            .collect();
        let members = listed
            .iter()
            .map(|instance| GossipMember::new(instance, &listed));
        Self {
            members: members.collect(),
            now: UnixMillis::new(1_000_000),
            bytes: 0,
            messages: 0,
        }
    }

    /// Advances by one round; `passes` says whether a message from one
    /// member reaches another one.
    pub fn round<F>(&mut self, passes: F)
    where
        F: Fn(usize, usize) -> bool,
    {
        self.now = UnixMillis::new(self.now.get() + ROUND_MS);
        for from in 0..self.members.len() {
            if !self.members[from].running {
                continue;
            }
            let now = self.now;
            let member = &mut self.members[from];
            let beat = member.next_beat(now);
            member.view.receive_heartbeat(beat, now);
            member.view.report_unresponsive_neighbours(now);
            for to in self.targets(from) {
                if self.members[to].running && passes(from, to) {
                    self.exchange(from, to);
                }
            }
        }
    }

    /// The members that `from` contacts in this round.
    fn targets(&mut self, from: usize) -> Vec<usize> {
        let member = &mut self.members[from];
        let names: Vec<InstanceName> = member
            .view
            .neighbours()
            .map(|instance| instance.name.clone())
            .collect();
        let mut targets = Vec::new();
        for _exchange in 0..EXCHANGES.min(names.len()) {
            let name = &names[member.turn % names.len()];
            member.turn += 1;
            targets.push(name.clone());
        }
        let position = |name: &InstanceName| {
            self.members
                .iter()
                .position(|member| member.beat.name == *name)
        };
        targets.iter().filter_map(position).collect()
    }

    /// One exchange between two members.
    fn exchange(&mut self, from: usize, to: usize) {
        let now = self.now;
        let beat = self.members[from].next_beat(now);
        let message = self.members[from].view.message(beat);
        self.count(&message);
        let joining = message.joining;
        let beat = self.members[to].next_beat(now);
        self.members[to].view.receive_message(message, now);
        let reply = self.members[to].view.reply(beat, joining);
        self.count(&reply);
        self.members[from].view.receive_message(reply, now);
    }

    fn count(&mut self, message: &GossipMessage) {
        let bytes = codec::encode(message).map_or(0, |data| data.len());
        self.bytes += bytes as u64;
        self.messages += 1;
    }

    /// The least and the most instances that a running member sees ready.
    pub fn ready_range(&self) -> (usize, usize) {
        let running = self.members.iter().filter(|member| member.running);
        let counts = running.map(|member| member.view.ready(self.now).len());
        let counts: Vec<usize> = counts.collect();
        let least = counts.iter().min().copied().unwrap_or(0);
        (least, counts.iter().max().copied().unwrap_or(0))
    }
}

//! One run of the routing experiment: a queue of events in virtual time that
//! drives routers' decisions and the model servers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use hibiscus_routing::affinity::CacheEvent;
use hibiscus_routing::affinity::PrefixEstimate;
use hibiscus_routing::health::ServerHealth;
use hibiscus_routing::load::LoadTracker;
use hibiscus_routing::load::ServerLoad;
use hibiscus_routing::policy::RoutingPolicy;
use hibiscus_types::ServerName;
use hibiscus_types::ServiceName;

use crate::routing_model::ModelRequest;
use crate::routing_model::ModelServer;
use crate::routing_model::SLOTS;
use crate::routing_model::StartedRequest;
use crate::routing_model::TOKEN_MS;

/// Routers, each with its own view.
const ROUTERS: usize = 7;
/// Servers.
const SERVERS: usize = 20;
/// Virtual length of a run, in milliseconds.
const RUN_MS: f64 = 120_000.0;
/// Time before which nothing is measured, in milliseconds.
const WARM_UP_MS: f64 = 10_000.0;
/// Share of the servers' capacity that is asked for.
const UTILISATION: f64 = 0.7;
/// Age of a load report when it arrives, in milliseconds.
const REPORT_LAG_MS: f64 = 2_000.0;
/// Time between two reports, in milliseconds.
const REPORT_INTERVAL_MS: f64 = 500.0;
/// Age of cache events when they arrive, in milliseconds.
const CACHE_LAG_MS: f64 = 1_000.0;
/// Time until a router learns that a server failed a request, in
/// milliseconds.
const FAILURE_MS: f64 = 300.0;
/// Attempts of one request at most.
const ATTEMPTS: u32 = 3;
/// Mean tokens of an answer.
const MEAN_TOKENS: f64 = 60.0;
/// Longest answer, in tokens.
const TOKEN_LIMIT: f64 = 600.0;
/// Time between two looks at the imbalance, in milliseconds.
const LOOK_INTERVAL_MS: f64 = 100.0;
/// Time between the changes of the failing and the leaving servers, in
/// milliseconds.
const CHANGE_INTERVAL_MS: f64 = 15_000.0;
/// Time by which the list lags, in milliseconds.
const LIST_LAG_MS: f64 = 1_000.0;

/// Servers that leave at once.
const LEAVING_AT_ONCE: usize = 4;
/// Time from the listing of a leaving server until it takes nothing, in
/// milliseconds.
const LEAVE_MS: f64 = 2_000.0;
/// Time until a new server has taken the place of one that leaves, in
/// milliseconds.
const REPLACE_MS: f64 = 12_000.0;

/// What differs from case to case.
#[derive(Clone, Copy, Debug)]
pub struct RoutingCase {
    /// Its name.
    pub name: &'static str,
    /// Distinct prefixes, 0 when every request has its own.
    pub prefixes: u64,
    /// Share of the cache events that are lost.
    pub lost_events: f64,
    /// Whether every third server takes three times as long.
    pub unequal: bool,
    /// Whether a third of the servers, in turn, fails every request.
    pub failing: bool,
    /// Whether servers leave and are replaced, one after the other.
    pub leaving: bool,
}

/// What a run measured.
#[derive(Clone, Debug, Default)]
pub struct RoutingResult {
    /// Requests offered.
    pub offered: usize,
    /// Requests answered.
    pub answered: usize,
    /// Attempts that failed.
    pub failed_attempts: usize,
    /// Answered requests whose prefix was cached.
    pub hits: usize,
    /// Times to the first token, in milliseconds, sorted.
    pub first_tokens: Vec<f64>,
    /// Mean over time of the highest load over the mean load.
    pub imbalance: f64,
}

/// Something that happens at a time.
#[derive(Clone, Debug)]
enum ModelEvent {
    Arrive,
    Reach { server: usize, call: ModelCall },
    Ended { server: usize, call: ModelCall },
    Failed { server: usize, call: ModelCall },
    Report,
    ReportArrives { loads: Vec<u32>, made_ms: f64 },
    CacheArrives { server: usize, event: CacheEvent },
    Look,
    Change { step: usize },
    Listed { server: usize },
    Gone { server: usize },
    Replaced { server: usize },
}

/// One attempt on its way.
#[derive(Clone, Copy, Debug)]
struct ModelCall {
    request: ModelRequest,
    router: usize,
    arrived_ms: f64,
    attempt: u32,
}

/// Orders events by time, then by the order of their making.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EventOrder {
    at_us: u64,
    number: u64,
}

/// What a router knows of one server.
#[derive(Clone, Debug, Default)]
struct RouterServer {
    load: LoadTracker,
    health: ServerHealth,
    prefixes: PrefixEstimate,
}

/// One router.
struct ModelRouter<P> {
    policy: P,
    servers: Vec<RouterServer>,
}

/// State of a run.
pub struct RoutingRun<P> {
    case: RoutingCase,
    /// Whether failing servers are avoided.
    avoids: bool,
    origin: Instant,
    now_ms: f64,
    arrivals: Rng,
    choices: Rng,
    next_event: u64,
    next_request: usize,
    queue: BinaryHeap<Reverse<(EventOrder, usize)>>,
    events: Vec<Option<ModelEvent>>,
    servers: Vec<ModelServer>,
    routers: Vec<ModelRouter<P>>,
    running: Vec<Vec<ModelCall>>,
    names: Vec<ServerName>,
    result: RoutingResult,
    looks: f64,
}

impl<P: RoutingPolicy + Default> RoutingRun<P> {
    /// A run of `case` with the choices of `seed`.
    pub fn new(case: RoutingCase, seed: u64, avoids: bool) -> Self {
        let mut servers = Vec::new();
        let mut names = Vec::new();
        for index in 0..SERVERS {
            let slow = case.unequal && index % 3 == 0;
            servers.push(ModelServer::new(if slow { 3.0 } else { 1.0 }));
            names.push(ServerName::from(format!("server-{index}").as_str()));
        }
        let mut routers = Vec::new();
        for _router in 0..ROUTERS {
            routers.push(ModelRouter {
                policy: P::default(),
                servers: vec![RouterServer::default(); SERVERS],
            });
        }
        Self {
            case,
            avoids,
            origin: Instant::now(),
            now_ms: 0.0,
            arrivals: Rng::with_seed(seed),
            choices: Rng::with_seed(seed.wrapping_add(1)),
            next_event: 0,
            next_request: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            servers,
            routers,
            running: vec![Vec::new(); SERVERS],
            names,
            result: RoutingResult::default(),
            looks: 0.0,
        }
    }

    /// Runs to the end.
    pub fn run(mut self) -> RoutingResult {
        self.schedule(0.0, ModelEvent::Arrive);
        self.schedule(0.0, ModelEvent::Report);
        self.schedule(WARM_UP_MS, ModelEvent::Look);
        if self.case.failing || self.case.leaving {
            self.schedule(CHANGE_INTERVAL_MS, ModelEvent::Change { step: 0 });
        }
        while let Some(Reverse((order, index))) = self.queue.pop() {
            self.now_ms = order.at_us as f64 / 1_000.0;
            let Some(event) = self.events[index].take() else {
                continue;
            };
            self.handle(event);
        }
        self.result.first_tokens.sort_by(f64::total_cmp);
        if self.looks > 0.0 {
            self.result.imbalance /= self.looks;
        }
        self.result
    }

    fn schedule(&mut self, after_ms: f64, event: ModelEvent) {
        let order = EventOrder {
            at_us: ((self.now_ms + after_ms) * 1_000.0) as u64,
            number: self.next_event,
        };
        self.next_event += 1;
        self.events.push(Some(event));
        self.queue.push(Reverse((order, self.events.len() - 1)));
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Arrive => self.arrive(),
            ModelEvent::Reach { server, call } => self.reach(server, call),
            ModelEvent::Ended { server, call } => self.end(server, call),
            ModelEvent::Failed { server, call } => self.fail(server, call),
            ModelEvent::Report => self.report(),
            ModelEvent::ReportArrives { loads, made_ms } => self.note_report(&loads, made_ms),
            ModelEvent::CacheArrives { server, event } => {
                for router in &mut self.routers {
                    router.servers[server].prefixes.take(&event);
                }
            }
            ModelEvent::Look => self.look(),
            ModelEvent::Change { step } => self.change(step),
            ModelEvent::Listed { server } => self.servers[server].listed_leaving = true,
            ModelEvent::Gone { server } => self.servers[server].gone = true,
            ModelEvent::Replaced { server } => self.servers[server].replace(),
        }
    }

    fn arrive(&mut self) {
        if self.now_ms >= RUN_MS {
            return;
        }
        let slow_share = if self.case.unequal { 1.0 / 3.0 } else { 0.0 };
        let speed = 1.0 - slow_share + slow_share / 3.0;
        let service_ms = 140.0 + MEAN_TOKENS * TOKEN_MS;
        let capacity = SERVERS as f64 * SLOTS as f64 * speed / service_ms;
        let usable = if self.case.failing { 2.0 / 3.0 } else { 1.0 };
        let rate = capacity * usable * UTILISATION;
        let gap = self.exponential(1.0 / rate);
        self.schedule(gap, ModelEvent::Arrive);
        let request = self.new_request();
        let call = ModelCall {
            request,
            router: self.arrivals.usize(0..ROUTERS),
            arrived_ms: self.now_ms,
            attempt: 1,
        };
        if self.now_ms >= WARM_UP_MS {
            self.result.offered += 1;
        }
        self.send(call);
    }

    fn new_request(&mut self) -> ModelRequest {
        let tokens = self.exponential(MEAN_TOKENS).clamp(1.0, TOKEN_LIMIT);
        let id = self.next_request;
        self.next_request += 1;
        let prefix = if self.case.prefixes == 0 {
            id as u64 + 1_000_000
        } else {
            // Squaring makes some prefixes much more frequent than others.
            let share = self.arrivals.f64();
            (share * share * self.case.prefixes as f64) as u64
        };
        ModelRequest {
            id,
            prefix,
            tokens: tokens as u32,
        }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.arrivals.f64()).ln()
    }

    fn time(&self, at_ms: f64) -> Instant {
        self.origin + Duration::from_secs_f64(at_ms / 1_000.0)
    }

    /// Has the router choose a server for an attempt.
    fn send(&mut self, call: ModelCall) {
        let now = self.time(self.now_ms);
        let pick = self.choices.u64(..);
        let mut views = Vec::with_capacity(SERVERS);
        let mut positions = Vec::with_capacity(SERVERS);
        let mut avoided = Vec::new();
        for index in 0..SERVERS {
            let usable = self.routers[call.router].servers[index]
                .health
                .is_usable(now);
            if self.avoids && !usable {
                avoided.push(index);
                continue;
            }
            views.push(self.view(call, index, now));
            positions.push(index);
        }
        if views.iter().all(|view| view.draining) {
            for index in avoided {
                views.push(self.view(call, index, now));
                positions.push(index);
            }
        }
        let router = &mut self.routers[call.router];
        let Some(chosen) = router.policy.choose(&views, pick) else {
            return;
        };
        let server = positions[chosen];
        let known = &mut router.servers[server];
        known.load.note_sent(now);
        known.health.note_sent();
        known.prefixes.note_sent(call.request.prefix);
        self.schedule(0.5, ModelEvent::Reach { server, call });
    }

    fn view(&self, call: ModelCall, index: usize, now: Instant) -> ServerLoad {
        let known = &self.routers[call.router].servers[index];
        ServerLoad {
            name: self.names[index].clone(),
            service: ServiceName::from("model"),
            address: ([127, 0, 0, 1], 1).into(),
            draining: self.servers[index].listed_leaving,
            reported: known.load.reported(),
            own: known.load.own(),
            expected: known.load.expected(now, ROUTERS as u32 - 1),
            token_seconds: known.load.token_seconds(),
            cached: known.prefixes.of(call.request.prefix),
        }
    }

    fn reach(&mut self, server: usize, call: ModelCall) {
        if self.servers[server].failing || self.servers[server].gone {
            self.schedule(FAILURE_MS, ModelEvent::Failed { server, call });
            return;
        }
        self.running[server].push(call);
        let started = self.servers[server].take(call.request);
        self.note_started(server, started);
    }

    fn note_started(&mut self, server: usize, started: Option<StartedRequest>) {
        self.publish_cache(server);
        let Some(started) = started else {
            return;
        };
        let found = self.running[server]
            .iter()
            .position(|call| call.request.id == started.request.id);
        let Some(index) = found else {
            return;
        };
        let call = self.running[server].swap_remove(index);
        if call.arrived_ms >= WARM_UP_MS {
            let first_token = self.now_ms - call.arrived_ms + started.first_token_ms;
            self.result.first_tokens.push(first_token);
            self.result.answered += 1;
            self.result.hits += usize::from(started.hit);
        }
        self.schedule(started.end_ms, ModelEvent::Ended { server, call });
    }

    fn publish_cache(&mut self, server: usize) {
        for event in self.servers[server].drain_events() {
            if self.choices.f64() >= self.case.lost_events {
                self.schedule(CACHE_LAG_MS, ModelEvent::CacheArrives { server, event });
            }
        }
    }

    fn end(&mut self, server: usize, call: ModelCall) {
        let now = self.time(self.now_ms);
        let slowness = self.servers[server].slowness;
        let known = &mut self.routers[call.router].servers[server];
        known.load.note_ended(now);
        known.load.note_speed(TOKEN_MS * slowness / 1_000.0);
        known.health.note_success();
        let started = self.servers[server].end_one();
        self.note_started(server, started);
    }

    fn fail(&mut self, server: usize, call: ModelCall) {
        let now = self.time(self.now_ms);
        let known = &mut self.routers[call.router].servers[server];
        known.load.note_ended(now);
        known.health.note_failed(now);
        if call.arrived_ms >= WARM_UP_MS {
            self.result.failed_attempts += 1;
        }
        if call.attempt < ATTEMPTS {
            self.send(ModelCall {
                attempt: call.attempt + 1,
                ..call
            });
        }
    }

    fn report(&mut self) {
        if self.now_ms >= RUN_MS {
            return;
        }
        let loads = self.servers.iter().map(ModelServer::load).collect();
        let made_ms = self.now_ms;
        self.schedule(REPORT_LAG_MS, ModelEvent::ReportArrives { loads, made_ms });
        self.schedule(REPORT_INTERVAL_MS, ModelEvent::Report);
    }

    fn note_report(&mut self, loads: &[u32], made_ms: f64) {
        let made = self.time(made_ms);
        for router in &mut self.routers {
            for (known, load) in router.servers.iter_mut().zip(loads) {
                known.load.note_report(*load, made);
            }
        }
    }

    fn look(&mut self) {
        if self.now_ms >= RUN_MS {
            return;
        }
        self.schedule(LOOK_INTERVAL_MS, ModelEvent::Look);
        let mut sum = 0.0;
        let mut highest = 0.0_f64;
        let mut count = 0.0;
        for server in &self.servers {
            if server.gone || server.failing {
                continue;
            }
            let load = f64::from(server.load());
            sum += load;
            count += 1.0;
            highest = highest.max(load);
        }
        if sum > 0.0 {
            self.result.imbalance += highest * count / sum;
            self.looks += 1.0;
        }
    }

    /// Lets the next third of the servers fail, or the next server leave.
    fn change(&mut self, step: usize) {
        if self.now_ms >= RUN_MS {
            return;
        }
        self.schedule(CHANGE_INTERVAL_MS, ModelEvent::Change { step: step + 1 });
        if self.case.failing {
            for (index, server) in self.servers.iter_mut().enumerate() {
                server.failing = index % 3 == step % 3;
            }
        }
        if self.case.leaving {
            for offset in 0..LEAVING_AT_ONCE {
                let server = (step * LEAVING_AT_ONCE + offset) % SERVERS;
                self.schedule(LIST_LAG_MS, ModelEvent::Listed { server });
                self.schedule(LIST_LAG_MS + LEAVE_MS, ModelEvent::Gone { server });
                self.schedule(REPLACE_MS, ModelEvent::Replaced { server });
            }
        }
    }
}

//! A store that comes back from copies of itself again and again, and answers 410 to reads
//! from offsets that it does not have, while the operator changes the configuration,
//! servers are replaced, and single instances freeze or are killed.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use platform_standins::BackendBehaviour;
use platform_standins::BackendStandin;
use platform_standins::FrontProcess;
use platform_standins::RefusedCalls;
use platform_standins::StoreFaults;
use platform_standins::StoreRates;
use platform_standins::StoreStandin;

use crate::front::PREPAID;
use crate::front::config;
use crate::front::request;
use crate::front::start_fronts;
use crate::front::status;
use crate::front::write_server;

/// Number of instances, as in the users' small deployments; some are no relays.
const INSTANCES: usize = 7;
/// Calls a second of the users' store in these deployments.
const RATES: StoreRates = StoreRates {
    writes: 600,
    reads: 2_000,
};
/// Number of servers in use.
const SERVERS: usize = 3;
/// Duration of a play.
const PLAY_TIME: Duration = Duration::from_secs(24);
/// Time between two copies from which the store comes back.
const DRILL_INTERVAL: Duration = Duration::from_millis(5_500);
/// Time for which the store is away.
const AWAY_TIME: Duration = Duration::from_millis(300);
/// Time between two versions of the configuration.
const CONFIG_INTERVAL: Duration = Duration::from_millis(700);
/// Number of added routes that a version keeps.
const ADDED_ROUTES: usize = 12;
/// Time between two replacements of a server.
const REPLACE_INTERVAL: Duration = Duration::from_millis(1_700);
/// Interval at which servers write their entries.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a change in which it has to be in force: `config-apply-ms` and
/// `drain-timeout-ms`.
const CHANGE_LIMIT: Duration = Duration::from_secs(2);
/// Time after the return of the store in which a missing entry may be one that is written
/// again, and instances are not in touch: `stable-window-ms`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(20);

/// Time between two troubles of single instances.
const TROUBLE_INTERVAL: Duration = Duration::from_millis(2_600);
/// Time for which an instance freezes, or is gone.
const TROUBLE_TIME: Duration = Duration::from_millis(1_200);

/// A change and the time at which the store acknowledged it.
#[derive(Clone, Copy, Debug)]
struct TimedChange {
    number: u64,
    at: Instant,
}

/// A server that left, and when.
struct LeftServer {
    name: String,
    server: BackendStandin,
    at: Instant,
    is_removed: bool,
}

/// A fleet whose store comes back from copies.
struct DrillPlay {
    store: StoreStandin,
    /// Makes the instances ready.
    _engine: BackendStandin,
    faults: StoreFaults,
    fronts: Vec<FrontProcess>,
    /// Added routes that are in the newest version, the oldest first.
    routes: Mutex<VecDeque<TimedChange>>,
    left: Mutex<Vec<LeftServer>>,
    /// Times at which the store went away and came back.
    drills: Mutex<Vec<(Instant, Instant)>>,
    /// Instances that froze or were killed, and the times at which that began and ended.
    troubles: Mutex<Vec<(usize, Instant, Option<Instant>)>>,
    /// Processes that replace killed ones.
    restarted: Mutex<Vec<FrontProcess>>,
    stopped: AtomicBool,
}

/// What callers, servers and the store saw.
#[derive(Debug, Default)]
struct PlayOutcome {
    /// Requests to added routes.
    requests: usize,
    /// Those that got 404 although the route had to be in force.
    denied: usize,
    /// Those that were served.
    served: usize,
    /// Requests that reached servers before they left.
    arrived: usize,
    /// Requests that reached servers after they had left, by whether the entry was removed
    /// without a word.
    late_after_draining: usize,
    late_after_removal: usize,
    refused: RefusedCalls,
}

/// Returns an id for a request to the instance `index`.
fn unique_id(index: usize) -> String {
    format!("id-{index}-{:x}", fastrand::u64(..))
}

/// Returns the instance to which a request with an id of [`unique_id`] was sent.
fn index_of(id: &str) -> Option<usize> {
    id.split('-').nth(1)?.parse().ok()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DrillPlay {
    fn start(faults: StoreFaults) -> Self {
        let store = StoreStandin::start();
        store.write("keyed.op", "config", config(1, PREPAID, "").as_bytes());
        let engine = BackendStandin::start(BackendBehaviour::Events { count: 5 });
        write_server(&store, "i-engine", "engine", &engine, "ready");
        // Reads are refused once the store has come back from a copy.
        store.set_faults(StoreFaults {
            rates: Some(RATES),
            ..StoreFaults::default()
        });
        Self {
            fronts: start_fronts(&store, INSTANCES),
            store,
            _engine: engine,
            faults,
            routes: Mutex::default(),
            left: Mutex::default(),
            drills: Mutex::default(),
            troubles: Mutex::default(),
            restarted: Mutex::default(),
            stopped: AtomicBool::new(false),
        }
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Returns the time from which a change at `at` binds: [`CHANGE_LIMIT`] after it, and
    /// `return_limit` after the return of a store that was away meanwhile.
    fn binds_from(&self, at: Instant, return_limit: Duration) -> Instant {
        let mut bound = at + CHANGE_LIMIT;
        for (away, back) in lock(&self.drills).iter() {
            if *back >= at && *away <= bound {
                bound = bound.max(*back + return_limit);
            }
        }
        bound
    }

    /// Whether the instance `index` is in touch at `at`: no trouble of its own in the stable
    /// window before.
    fn is_in_touch(&self, index: usize, at: Instant) -> bool {
        let troubles = lock(&self.troubles);
        !troubles.iter().any(|(troubled, began, ended)| {
            let has_ended = ended.is_some_and(|ended| at > ended + STABLE_WINDOW);
            *troubled == index && at >= *began && !has_ended
        })
    }

    /// Freezes one instance after the other, or kills it and starts it again.
    fn trouble_instances(&self) {
        for (index, front) in self.fronts.iter().enumerate() {
            thread::sleep(TROUBLE_INTERVAL - TROUBLE_TIME);
            if self.is_stopped() {
                return;
            }
            lock(&self.troubles).push((index, Instant::now(), None));
            if index % 2 == 0 {
                front.signal(Signal::SIGSTOP);
                thread::sleep(TROUBLE_TIME);
                front.signal(Signal::SIGCONT);
            } else {
                front.signal(Signal::SIGKILL);
                thread::sleep(TROUBLE_TIME);
                let name = format!("front-{index}");
                let again = FrontProcess::start(&name, front.ports, self.store.address());
                again.wait_ready();
                lock(&self.restarted).push(again);
            }
            if let Some(trouble) = lock(&self.troubles).last_mut() {
                trouble.2 = Some(Instant::now());
            }
        }
    }

    /// Writes versions, each with a route more.
    fn write_versions(&self) {
        let mut version = 1;
        while !self.is_stopped() {
            version += 1;
            let mut kept: Vec<u64> = lock(&self.routes)
                .iter()
                .map(|route| route.number)
                .collect();
            kept.push(version);
            if kept.len() > ADDED_ROUTES {
                lock(&self.routes).pop_front();
                kept.remove(0);
            }
            let mut routes = String::new();
            for number in kept {
                routes.push_str(&format!(
                    r#",{{"name":"r-{number}","hostname":"h.example","path-prefix":"/added-{number}/","route-type":"idempotent","timeout-ms":3000,"target-latency-ms":500,"priority":1,"service":"plain","allow-anonymous":false,"max-attempts":2}}"#
                ));
            }
            let text = config(version, PREPAID, &routes);
            self.store.write("keyed.op", "config", text.as_bytes());
            lock(&self.routes).push_back(TimedChange {
                number: version,
                at: Instant::now(),
            });
            thread::sleep(CONFIG_INTERVAL);
        }
    }

    fn write_entry(&self, number: usize, server: &BackendStandin, state: &str, sequence: usize) {
        let entry = format!(
            r#"{{"service":"plain","address":"{}","zone":"a","version":"v1","slots":8,"state":"{state}","cold-remaining-ms":0,"sequence":{sequence},"born":{}}}"#,
            server.address(),
            number + 1
        );
        let name = format!("i-{number}");
        self.store.write("keyed.servers", &name, entry.as_bytes());
    }

    /// Renews the entries of servers, and replaces one server after the other: it says that
    /// it is draining, or its entry is removed.
    fn replace_servers(&self) {
        let mut servers = VecDeque::new();
        let mut started = 0;
        let mut replaced_at = Instant::now();
        let mut written_at: Option<Instant> = None;
        let mut sequence = 0;
        while !self.is_stopped() {
            while servers.len() < SERVERS {
                let server = BackendStandin::start(BackendBehaviour::Respond);
                self.write_entry(started, &server, "ready", sequence);
                servers.push_back((started, server));
                started += 1;
            }
            if written_at.is_none_or(|at| at.elapsed() >= HEARTBEAT_INTERVAL) {
                sequence += 1;
                for (number, server) in &servers {
                    self.write_entry(*number, server, "ready", sequence);
                }
                written_at = Some(Instant::now());
            }
            if replaced_at.elapsed() >= REPLACE_INTERVAL
                && let Some((number, server)) = servers.pop_front()
            {
                let is_removed = number % 2 == 1;
                let name = format!("i-{number}");
                if is_removed {
                    self.store.write("keyed.servers", &name, b"");
                } else {
                    self.write_entry(number, &server, "draining", sequence + 1);
                }
                replaced_at = Instant::now();
                lock(&self.left).push(LeftServer {
                    name,
                    server,
                    at: replaced_at,
                    is_removed,
                });
            }
            thread::sleep(CALLER_PAUSE);
        }
        for (_number, server) in servers {
            drop(server);
        }
    }

    /// Lets the store come back from copies that are up to `DRILL_INTERVAL / 2` old, at times
    /// without the history of topics.
    fn run_drills(&self) {
        let mut random = fastrand::Rng::with_seed(48);
        while !self.is_stopped() {
            let age = DRILL_INTERVAL.mul_f64(0.1 + 0.4 * random.f64());
            thread::sleep(DRILL_INTERVAL - age);
            let copy = self.store.copy();
            thread::sleep(age);
            let away = Instant::now();
            self.store.set_faults(StoreFaults {
                refuse: Some(503),
                ..self.faults.clone()
            });
            thread::sleep(AWAY_TIME);
            self.store.come_back_from(copy);
            if random.bool() {
                for topic in ["keyed.op", "keyed.servers", "config-changes"] {
                    self.store.expire_history(topic);
                }
            }
            // The store writes again what is lost but for removals.
            for left in lock(&self.left).iter().filter(|left| left.is_removed) {
                self.store.write("keyed.servers", &left.name, b"");
            }
            self.store.set_faults(self.faults.clone());
            lock(&self.drills).push((away, Instant::now()));
        }
    }

    /// Sends requests to a route that all versions have, which reach servers whatever
    /// version is in force, and to the newest added route that has to be in force.
    fn call(&self, index: usize, front: &FrontProcess) -> PlayOutcome {
        let mut outcome = PlayOutcome::default();
        while !self.is_stopped() {
            thread::sleep(CALLER_PAUSE);
            front.call(&request("/often/x", &unique_id(index), ""));
            let routes: Vec<TimedChange> = lock(&self.routes).iter().copied().collect();
            // The oldest one may be dropped at any moment.
            let mut in_force = routes.iter().skip(2).rev();
            let sent = Instant::now();
            let Some(route) =
                in_force.find(|route| self.binds_from(route.at, CHANGE_LIMIT) <= sent)
            else {
                continue;
            };
            let path = format!("/added-{}/x", route.number);
            let response = front.call(&request(&path, &unique_id(index), ""));
            if !self.is_in_touch(index, sent) {
                continue;
            }
            outcome.requests += 1;
            outcome.denied += usize::from(status(&response) == "404");
            outcome.served += usize::from(status(&response) == "200");
        }
        outcome
    }

    /// Runs all parts for [`PLAY_TIME`].
    fn run(&self) -> PlayOutcome {
        let mut outcome = thread::scope(|scope| {
            scope.spawn(|| self.write_versions());
            scope.spawn(|| self.replace_servers());
            scope.spawn(|| self.run_drills());
            let mut callers = Vec::new();
            scope.spawn(|| self.trouble_instances());
            for (index, front) in self.fronts.iter().enumerate() {
                callers.push(scope.spawn(move || self.call(index, front)));
            }
            thread::sleep(PLAY_TIME);
            self.stopped.store(true, Ordering::Relaxed);
            let mut outcome = PlayOutcome::default();
            for caller in callers {
                let part = caller.join().expect("the caller ends");
                outcome.requests += part.requests;
                outcome.denied += part.denied;
                outcome.served += part.served;
            }
            outcome
        });
        for left in lock(&self.left).iter() {
            let return_limit = if left.is_removed {
                STABLE_WINDOW
            } else {
                CHANGE_LIMIT
            };
            let bound = self.binds_from(left.at, return_limit);
            let arrivals = left.server.arrivals().into_iter();
            let mut late = 0;
            for (at, request) in arrivals.zip(left.server.requests()) {
                let index = request.header("request-id").and_then(index_of);
                let is_judged = index.is_none_or(|index| self.is_in_touch(index, at));
                late += usize::from(at > bound && is_judged);
                outcome.arrived += usize::from(at < left.at);
            }
            if left.is_removed {
                outcome.late_after_removal += late;
            } else {
                outcome.late_after_draining += late;
            }
        }
        outcome.refused = self.store.refused();
        outcome
    }
}

/// Plays with a store that has `faults`, and checks what the users' rules CONFIG, DENIED and
/// DRAIN bind, and that the instances do not use up the store's rates.
fn check_play(faults: StoreFaults) {
    let play = DrillPlay::start(StoreFaults {
        rates: Some(RATES),
        ..faults
    });
    let outcome = play.run();
    println!("{outcome:?}");
    assert!(outcome.served > 0 && outcome.arrived > 0, "{outcome:?}");
    assert_eq!(outcome.denied, 0, "{outcome:?}");
    assert_eq!(outcome.late_after_draining, 0, "{outcome:?}");
    assert_eq!(outcome.late_after_removal, 0, "{outcome:?}");
    assert_eq!(outcome.refused.rate, 0, "{outcome:?}");
}

/// Guards against instances that read neither new versions nor entries of servers any more
/// where the store answers 410 to reads beyond the end of a topic (issue 48).
#[test]
fn changes_are_in_force_in_time_if_reads_beyond_the_end_are_refused() {
    check_play(StoreFaults {
        refuse_beyond_end: true,
        ..StoreFaults::default()
    });
}

/// Guards against the same where the store also answers 410 to a read from the end itself,
/// until the topic is longer than before the copy (issue 48).
#[test]
fn changes_are_in_force_in_time_if_reads_from_the_end_are_refused() {
    check_play(StoreFaults {
        refuse_beyond_end: true,
        refuse_at_end: true,
        ..StoreFaults::default()
    });
}

//! Servers that leave while the store comes back from copies of itself: by their entry, by
//! its removal, or by their responses alone.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
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
use platform_standins::StoreCopy;
use platform_standins::StoreFaults;
use platform_standins::StoreStandin;
use platform_standins::front::FrontPorts;

use crate::front::PREPAID;
use crate::front::SETTLE_TIME;
use crate::front::config;
use crate::front::count_logs;
use crate::front::make_store_unavailable;
use crate::front::start_fronts;
use crate::front::steady_callers::SteadyCallers;
use crate::front::wait_for;
use crate::front::write_server;

/// Number of instances.
const INSTANCES: usize = 3;
/// Environment variable with another number of instances, for manual runs.
const INSTANCES_VARIABLE: &str = "HIBISCUS_TEST_INSTANCES";
/// Time for which the store is away before it comes back.
const AWAY_TIME: Duration = Duration::from_millis(500);
/// Time after which a server that leaves gets no more requests: `drain-timeout-ms`.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Time after a disruption from which instances are bound by the entries: `stable-window-ms`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time after the return of the store in which the removal of an entry is written again:
/// three times `heartbeat-interval-ms`.
const REMOVAL_DELAY: Duration = Duration::from_millis(3_600);
/// Time in which instances read a removed or a renewed entry.
const RENEWAL_PAUSE: Duration = Duration::from_millis(700);
/// Time between two renewals of an entry, as with several servers.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which the store refuses calls beyond its rates.
const REFUSAL_TIME: Duration = Duration::from_millis(600);
/// Header of a server that is draining.
const DRAINING: &str = "Server-Leaving: 1\r\n";
/// Load of the callers: requests at the same time, and the pause of each.
const CALLERS: usize = 6;
const CALLER_PAUSE: Duration = Duration::from_millis(10);

/// Instances with a server that leaves and one that stays.
struct LeavingFleet {
    store: StoreStandin,
    /// Makes the instances ready.
    _engine: BackendStandin,
    leaving: BackendStandin,
    staying: BackendStandin,
    fronts: Vec<FrontProcess>,
}

impl LeavingFleet {
    fn start() -> Self {
        Self::start_with(|store| {
            let instances = std::env::var(INSTANCES_VARIABLE);
            let instances = instances.ok().and_then(|text| text.parse().ok());
            start_fronts(store, instances.unwrap_or(INSTANCES))
        })
    }

    fn start_with(start: impl FnOnce(&StoreStandin) -> Vec<FrontProcess>) -> Self {
        let store = StoreStandin::start();
        store.write("keyed.op", "config", config(1, PREPAID, "").as_bytes());
        let engine = BackendStandin::start(BackendBehaviour::Events { count: 5 });
        let leaving = BackendStandin::start(BackendBehaviour::Respond);
        let staying = BackendStandin::start(BackendBehaviour::Respond);
        write_server(&store, "i-engine", "engine", &engine, "ready");
        write_server(&store, "i-staying", "plain", &staying, "ready");
        write_entry(&store, &leaving, "ready", 20);
        let fronts = start(&store);
        Self {
            store,
            _engine: engine,
            leaving,
            staying,
            fronts,
        }
    }

    fn write_leaving(&self, state: &str, sequence: u64) {
        write_entry(&self.store, &self.leaving, state, sequence);
    }

    fn remove_leaving(&self) {
        self.store.write("keyed.servers", "i-leaving", b"");
    }

    /// Renews the entry of the server that stays, for `time`.
    fn renew_entries_for(&self, time: Duration) {
        let started = Instant::now();
        while started.elapsed() < time {
            write_server(&self.store, "i-staying", "plain", &self.staying, "ready");
            thread::sleep(RENEWAL_INTERVAL);
        }
    }

    fn callers(&self) -> SteadyCallers<'_> {
        SteadyCallers::new(&self.fronts, "/often/x").with_load(CALLERS, CALLER_PAUSE)
    }

    /// Waits until the leaving server gets requests after `from`.
    fn wait_for_use(&self, from: Instant) {
        wait_for("the server to be used", || {
            self.leaving.arrivals().iter().any(|at| *at > from)
        });
    }

    /// Lets the store be away for a moment and come back from `copy`, which has an entry of
    /// the server that left; returns when the store was back.
    fn drill(&self, copy: StoreCopy) -> Instant {
        make_store_unavailable(&self.store);
        thread::sleep(AWAY_TIME);
        self.store.come_back_from(copy);
        self.store.set_faults(StoreFaults::default());
        Instant::now()
    }

    /// Lets the store come back from `copy` with the ready entry of the server that left,
    /// which is removed again later. Returns when the store was back.
    fn drill_with_late_removal(&self, copy: StoreCopy) -> Instant {
        make_store_unavailable(&self.store);
        thread::sleep(AWAY_TIME);
        self.store.come_back_from(copy);
        self.write_leaving("ready", 20);
        self.store.set_faults(StoreFaults::default());
        let back = Instant::now();
        thread::sleep(REMOVAL_DELAY);
        self.remove_leaving();
        back
    }

    /// Number of requests that reached the leaving server after `from`.
    fn arrivals_after(&self, from: Instant) -> usize {
        let arrivals = self.leaving.arrivals();
        arrivals.iter().filter(|at| **at > from).count()
    }

    /// Arrival times at the leaving server of requests of the instance `index`.
    fn arrivals_from(&self, index: usize) -> Vec<Instant> {
        let prefix = format!("id-{index}-");
        let requests = self.leaving.requests().into_iter();
        let arrivals = requests.zip(self.leaving.arrivals());
        arrivals
            .filter(|(request, _at)| {
                let id = request.header("request-id").unwrap_or_default();
                id.starts_with(&prefix)
            })
            .map(|(_request, at)| at)
            .collect()
    }
}

fn write_entry(store: &StoreStandin, server: &BackendStandin, state: &str, sequence: u64) {
    let entry = format!(
        r#"{{"service":"plain","address":"{}","zone":"a","version":"v1","slots":8,"state":"{state}","cold-remaining-ms":0,"sequence":{sequence},"born":5}}"#,
        server.address()
    );
    store.write("keyed.servers", "i-leaving", entry.as_bytes());
}

/// A connection of one instance to the store, which can be cut.
struct StoreLink {
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl StoreLink {
    fn start(store: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let link = Self {
            address,
            is_cut: Arc::default(),
            open: Arc::default(),
        };
        let (is_cut, open) = (Arc::clone(&link.is_cut), Arc::clone(&link.open));
        thread::spawn(move || {
            for accepted in listener.incoming() {
                let Ok(near) = accepted else {
                    continue;
                };
                if is_cut.load(Ordering::Relaxed) {
                    continue;
                }
                let far = TcpStream::connect(store).expect("the store accepts");
                let mut open = open.lock().unwrap_or_else(PoisonError::into_inner);
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let from = from.try_clone().expect("a socket");
                    let to = to.try_clone().expect("a socket");
                    thread::spawn(move || pass_on(&from, &to));
                }
                open.extend([near, far]);
            }
        });
        link
    }

    /// Closes all connections and refuses new ones while `is_cut`.
    fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in open.drain(..) {
            let _closed = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Passes bytes on until one of the two connections ends.
fn pass_on(mut from: &TcpStream, mut to: &TcpStream) {
    let _ended = io::copy(&mut from, &mut to);
    let _closed = from.shutdown(Shutdown::Both);
    let _closed = to.shutdown(Shutdown::Both);
}

/// Guards against requests to a server that said it is draining, whose entry was then
/// removed, and whose earlier entry is in a store that came back from a copy (issue 48).
#[test]
fn a_removed_server_that_was_draining_is_not_used_when_a_copy_shows_it_ready() {
    let fleet = LeavingFleet::start();
    let mut back = Instant::now();
    fleet.callers().during(|| {
        fleet.wait_for_use(Instant::now());
        let copy = fleet.store.copy();
        fleet.write_leaving("draining", 21);
        thread::sleep(Duration::from_secs(1));
        fleet.remove_leaving();
        thread::sleep(DRAIN_LIMIT);
        back = fleet.drill_with_late_removal(copy);
        thread::sleep(Duration::from_secs(1));
    });
    let (early, late) = (
        fleet.arrivals_after(back),
        fleet.arrivals_after(back + STABLE_WINDOW),
    );
    println!("{early} requests after the drill, {late} of them late");
    assert_eq!(late, 0);
}

/// Guards against requests to a server whose entry was removed and is in a store that came
/// back from a copy, and against a server that is not used again after it wrote its entry
/// anew (issue 48).
#[test]
fn a_removed_server_is_not_used_when_a_copy_shows_it_but_when_it_returns() {
    let fleet = LeavingFleet::start();
    let mut back = Instant::now();
    let mut returned = Instant::now();
    fleet.callers().during(|| {
        fleet.wait_for_use(Instant::now());
        let copy = fleet.store.copy();
        fleet.remove_leaving();
        thread::sleep(DRAIN_LIMIT);
        back = fleet.drill_with_late_removal(copy);
        thread::sleep(Duration::from_secs(1));
        returned = Instant::now();
        fleet.write_leaving("ready", 30);
        fleet.wait_for_use(returned);
    });
    let early = fleet.arrivals_after(back) - fleet.arrivals_after(returned);
    let late = fleet.arrivals_after(back + STABLE_WINDOW) - fleet.arrivals_after(returned);
    println!("{early} requests after the drill, {late} of them late");
    assert_eq!(late, 0);
}

/// Guards against requests to a server whose responses alone say that it is draining,
/// because the store came back from a copy, its history expired, it was lost, or an
/// instance was restarted (issue 48).
#[test]
fn a_server_whose_responses_say_that_it_is_draining_stays_unused_in_drills() {
    let fleet = LeavingFleet::start();
    let mut restarted_at = Instant::now();
    let mut draining_since = Instant::now();
    fleet.callers().during(|| {
        fleet.wait_for_use(Instant::now());
        let copy = fleet.store.copy();
        draining_since = Instant::now();
        fleet.leaving.set_extra_headers(DRAINING);
        thread::sleep(DRAIN_LIMIT);
        fleet.drill(copy);
        fleet.write_leaving("ready", 21);
        let copy = fleet.store.copy();
        fleet.store.expire_history("keyed.servers");
        // Later than missing entries have time to return.
        thread::sleep(STABLE_WINDOW);
        fleet.remove_leaving();
        thread::sleep(RENEWAL_PAUSE);
        fleet.write_leaving("ready", 22);
        thread::sleep(RENEWAL_PAUSE);
        make_store_unavailable(&fleet.store);
        fleet.remove_leaving();
        let ports = fleet.fronts[0].ports;
        fleet.fronts[0].signal(Signal::SIGKILL);
        thread::sleep(Duration::from_secs(1));
        fleet.store.set_faults(StoreFaults::default());
        fleet.write_leaving("ready", 23);
        let restarted = FrontProcess::start("front-0", ports, fleet.store.address());
        restarted_at = Instant::now();
        restarted.wait_ready();
        fleet.drill(copy);
        fleet.write_leaving("ready", 24);
        thread::sleep(DRAIN_LIMIT * 2);
    });
    for index in 0..fleet.fronts.len() {
        let since = if index == 0 {
            restarted_at
        } else {
            draining_since
        };
        let mut arrivals = fleet.arrivals_from(index);
        arrivals.retain(|at| *at > since);
        let bound = arrivals.first().map(|first| *first + DRAIN_LIMIT);
        let late = arrivals
            .iter()
            .filter(|at| bound.is_some_and(|bound| **at > bound));
        let late = late.count();
        println!(
            "instance {index}: {} requests, {late} of them late",
            arrivals.len()
        );
        assert_eq!(late, 0, "instance {index}");
    }
}

/// Guards against requests to a server that left while an instance was frozen or cut off
/// from a store that came back from a copy meanwhile (issue 48).
#[test]
fn instances_that_missed_a_drill_use_no_server_that_left_meanwhile() {
    let mut link = None;
    let fleet = LeavingFleet::start_with(|store| {
        let cut = link.insert(StoreLink::start(store.address()));
        let addresses = [store.address(), store.address(), cut.address];
        let mut fronts = Vec::new();
        for (number, address) in addresses.into_iter().enumerate() {
            let name = format!("front-{number}");
            let front = FrontProcess::start_bootstrap(&name, FrontPorts::find(), address);
            fronts.push(front);
        }
        for front in &fronts {
            front.wait_ready();
        }
        thread::sleep(SETTLE_TIME);
        fronts
    });
    let link = link.expect("the link was started");
    let mut back = Instant::now();
    fleet.callers().during(|| {
        fleet.wait_for_use(Instant::now());
        let copy = fleet.store.copy();
        fleet.fronts[1].signal(Signal::SIGSTOP);
        link.set_cut(true);
        fleet.write_leaving("draining", 21);
        thread::sleep(Duration::from_secs(1));
        let drilled = fleet.drill(copy);
        thread::sleep(Duration::from_secs(1));
        fleet.fronts[1].signal(Signal::SIGCONT);
        link.set_cut(false);
        back = Instant::now();
        println!("back {:?} after the drill", back - drilled);
        thread::sleep(STABLE_WINDOW + Duration::from_secs(1));
    });
    let drills = count_logs(&fleet.fronts, "HS2014 ");
    let late = fleet.arrivals_after(back + STABLE_WINDOW);
    println!("{late} late requests, {drills} instances saw the drill");
    assert_eq!(late, 0);
}

/// Guards against requests to a server whose entry was removed while a few calls were
/// refused because of the store's rates: no entry can have lapsed in so short a time
/// (issue 48).
#[test]
fn a_removed_server_gets_no_more_requests_if_the_store_refuses_a_few_calls() {
    let fleet = LeavingFleet::start();
    let mut removed_at = Instant::now();
    fleet.callers().during(|| {
        fleet.wait_for_use(Instant::now());
        fleet.renew_entries_for(Duration::from_secs(2));
        fleet.store.set_faults(StoreFaults {
            refuse: Some(429),
            ..StoreFaults::default()
        });
        // Reads that wait at the store end with a renewal, and the next ones are refused.
        fleet.renew_entries_for(REFUSAL_TIME);
        removed_at = Instant::now();
        fleet.remove_leaving();
        fleet.store.set_faults(StoreFaults::default());
        fleet.renew_entries_for(DRAIN_LIMIT * 2);
    });
    let late = fleet.arrivals_after(removed_at + DRAIN_LIMIT);
    println!("{late} late requests");
    assert_eq!(late, 0);
}

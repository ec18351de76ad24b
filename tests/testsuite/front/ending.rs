//! Requests under which servers end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::sys::signal::Signal;
use platform_standins::BackendBehaviour;
use platform_standins::BackendStandin;
use platform_standins::FrontProcess;
use platform_standins::StoreFaults;
use platform_standins::StoreStandin;

use crate::front::PREPAID;
use crate::front::config;
use crate::front::count_logs;
use crate::front::start_fronts;
use crate::front::status;

/// Instances of the fleet; more than each of them watches all others of.
const INSTANCES: usize = 10;
/// Variable with another number of instances, for a run by hand.
const INSTANCES_VARIABLE: &str = "HIBISCUS_TEST_INSTANCES";
/// Servers of the service.
const SERVERS: usize = 9;
/// The body under which servers end.
pub(super) const CRASH_BODY: &str = "fatal body";
/// How often a caller sends such a request again.
const REPEATS: usize = 30;
/// Pause between two of them.
const PAUSE: Duration = Duration::from_millis(400);
/// Time after the third end by which all instances must know: the users'
/// `stable-window-ms`.
const QUARANTINE_LIMIT: Duration = Duration::from_secs(3);
/// How often such a request may reach a server after that.
const LATE_ARRIVALS_LIMIT: usize = 3;

/// Daemons before a store and servers that end under one body.
pub(super) struct CrashFleet {
    pub(super) store: Arc<StoreStandin>,
    pub(super) servers: Vec<BackendStandin>,
    pub(super) fronts: Vec<FrontProcess>,
}

/// Writes the entry of the server `name`, which began now.
fn write_start(store: &StoreStandin, service: &str, name: &str, address: SocketAddr) {
    let began = SystemTime::now().duration_since(UNIX_EPOCH);
    let began = began.expect("the clock is set").as_millis();
    let entry = format!(
        r#"{{"service":"{service}","address":"{address}","zone":"a","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":{began}}}"#
    );
    store.write("keyed.servers", name, entry.as_bytes());
}

/// Instances of the fleet of this run.
fn instances() -> usize {
    let text = std::env::var(INSTANCES_VARIABLE);
    text.ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(INSTANCES)
}

impl CrashFleet {
    pub(super) fn start(instances: usize) -> Self {
        Self::start_for("plain", instances)
    }

    /// Starts `instances` daemons before servers of `service`.
    fn start_for(service: &'static str, instances: usize) -> Self {
        let store = Arc::new(StoreStandin::start_for(instances));
        store.write("keyed.op", "config", config(1, PREPAID, "").as_bytes());
        let mut servers = Vec::new();
        for number in 0..SERVERS {
            let name = format!("i-{number}");
            let server =
                BackendStandin::start_with_restart_hook(BackendBehaviour::Respond, |address| {
                    write_start(&store, service, &name, address);
                    let store = Arc::clone(&store);
                    Box::new(move || write_start(&store, service, &name, address))
                });
            server.crash_on(CRASH_BODY.as_bytes());
            servers.push(server);
        }
        Self {
            fronts: start_fronts(&store, instances),
            store,
            servers,
        }
    }

    /// Sends `body` to `path` at the instance `number`; the status.
    pub(super) fn send(&self, number: usize, path: &str, body: &str) -> String {
        let front = &self.fronts[number % self.fronts.len()];
        let id = fastrand::u64(..);
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-{id:x}\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer key-a\r\nConnection: close\r\nToken-Counts: 10,15\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        status(&front.call(&request)).to_owned()
    }

    /// Sends the fatal request `times` to one instance after the other; the
    /// statuses.
    pub(super) fn repeat(&self, path: &str, times: usize) -> Vec<String> {
        let mut statuses = Vec::new();
        for number in 0..times {
            statuses.push(self.send(number, path, CRASH_BODY));
            thread::sleep(PAUSE);
        }
        statuses
    }

    /// When servers ended, in order.
    pub(super) fn crash_times(&self) -> Vec<Instant> {
        let times = self.servers.iter().flat_map(BackendStandin::crash_times);
        let mut times: Vec<Instant> = times.collect();
        times.sort();
        times
    }

    /// Fatal requests that reached a server later than [`QUARANTINE_LIMIT`] after
    /// the third end.
    fn late(&self) -> usize {
        let Some(third) = self.crash_times().get(2).copied() else {
            return 0;
        };
        let arrivals = self
            .servers
            .iter()
            .flat_map(BackendStandin::trigger_arrivals);
        arrivals.filter(|at| *at > third + QUARANTINE_LIMIT).count()
    }

    /// Fails when the fatal request reached servers too often.
    fn check(&self, statuses: &[String]) {
        let (ended, late) = (self.crash_times().len(), self.late());
        println!("servers ended {ended}, later than 3 s after the third {late}: {statuses:?}");
        assert!(
            late <= LATE_ARRIVALS_LIMIT,
            "{ended} servers ended, {late} of them later than 3 s after the third: {statuses:?}"
        );
    }

    /// Starts the instance `number` again on its ports.
    pub(super) fn restart(&mut self, number: usize) {
        let ports = self.fronts[number].ports;
        let name = format!("front-{number}");
        self.fronts[number] = FrontProcess::start(&name, ports, self.store.address());
    }
}

/// Guards against a request under which servers end being sent on and on
/// (issue 23).
#[test]
fn an_idempotent_request_under_which_servers_end_is_not_sent_on_and_on() {
    let fleet = CrashFleet::start(instances());
    let statuses = fleet.repeat("/often/x", REPEATS);
    fleet.check(&statuses);
}

/// Guards against the same for requests that may run once (issue 23).
#[test]
fn a_request_that_may_run_once_and_ends_servers_is_not_sent_on_and_on() {
    let fleet = CrashFleet::start(instances());
    let statuses = fleet.repeat("/once/x", REPEATS);
    fleet.check(&statuses);
}

/// Guards against the same for a stream that ends its server after its first
/// event (issue 23).
#[test]
fn a_stream_that_ends_servers_after_its_first_event_is_not_sent_on_and_on() {
    let fleet = CrashFleet::start_for("engine", instances());
    for server in &fleet.servers {
        server.crash_after_event_on(CRASH_BODY.as_bytes());
    }
    let statuses = fleet.repeat("/stream/x", REPEATS);
    fleet.check(&statuses);
}

/// Guards against the same while nothing can be written to the store
/// (issue 23).
#[test]
fn a_request_that_ends_servers_is_not_sent_on_and_on_while_the_store_is_away() {
    let fleet = CrashFleet::start(instances());
    fleet.store.set_faults(StoreFaults {
        refuse: Some(503),
        ..StoreFaults::default()
    });
    let statuses = fleet.repeat("/often/x", REPEATS);
    fleet.check(&statuses);
}

/// Guards against forgetting the request when the fleet is started again in
/// turn, and when all of it is killed (issue 23).
#[test]
fn a_request_that_ends_servers_is_not_sent_on_by_processes_that_start_later() {
    let mut fleet = CrashFleet::start(3);
    let mut statuses = fleet.repeat("/often/x", 12);
    for number in 0..3 {
        fleet.fronts[number].signal(Signal::SIGTERM);
        let _ended = fleet.fronts[number].wait(Duration::from_secs(12));
        fleet.restart(number);
        fleet.fronts[number].wait_ready();
    }
    statuses.extend(fleet.repeat("/often/x", 6));
    for front in &mut fleet.fronts {
        front.kill();
    }
    for number in 0..3 {
        fleet.restart(number);
    }
    for front in &fleet.fronts {
        front.wait_ready();
    }
    statuses.extend(fleet.repeat("/often/x", 6));
    fleet.check(&statuses);
}

/// Guards against callers that hold the same request at once (issue 23).
#[test]
fn a_request_of_several_callers_that_ends_servers_is_not_sent_on_and_on() {
    let fleet = CrashFleet::start(instances());
    let statuses = thread::scope(|scope| {
        let callers: Vec<_> = (0..4)
            .map(|caller| {
                let fleet = &fleet;
                scope.spawn(move || {
                    let mut statuses = Vec::new();
                    for number in 0..REPEATS {
                        statuses.push(fleet.send(number * 4 + caller, "/often/x", CRASH_BODY));
                        thread::sleep(PAUSE);
                    }
                    statuses
                })
            })
            .collect();
        let joined = callers.into_iter().map(|caller| caller.join());
        joined
            .flat_map(|statuses| statuses.expect("a caller ends"))
            .collect::<Vec<_>>()
    });
    fleet.check(&statuses);
}

/// Guards against condemning a request that many callers send and that is at
/// servers which end for other reasons (issue 23).
#[test]
fn a_popular_request_at_servers_that_end_together_is_still_served() {
    let fleet = CrashFleet::start(instances());
    let stop = Instant::now() + Duration::from_secs(9);
    let served = thread::scope(|scope| {
        let lookups: Vec<_> = (0..6)
            .map(|caller| {
                let fleet = &fleet;
                scope.spawn(move || {
                    let (mut sent, mut served) = (0, 0);
                    while Instant::now() < stop {
                        sent += 1;
                        served += usize::from(fleet.send(sent + caller, "/often/x", "") == "200");
                        thread::sleep(Duration::from_millis(10));
                    }
                    (sent, served)
                })
            })
            .collect();
        for wave in 0..3 {
            thread::sleep(Duration::from_millis(1_900));
            for server in fleet.servers.iter().skip(wave).take(6) {
                server.crash();
            }
        }
        let joined = lookups
            .into_iter()
            .map(|lookup| lookup.join().expect("a caller ends"));
        joined.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    });
    println!("served while servers ended: {served:?}");
    assert!(served.1 * 100 >= served.0 * 95, "{served:?}");
    thread::sleep(Duration::from_millis(2_000));
    for number in 0..30 {
        let status = fleet.send(number, "/often/x", "");
        assert_eq!(
            status, "200",
            "request {number} after the servers were back"
        );
    }
}

/// Guards against taking a server that resets single answers for one that
/// ended (issue 23).
#[test]
fn a_request_at_servers_that_reset_single_answers_is_still_served() {
    let fleet = CrashFleet::start(instances());
    for server in &fleet.servers {
        server.set_behaviour(BackendBehaviour::Reset);
    }
    for number in 0..12 {
        let status = fleet.send(number, "/often/x", "");
        assert!(status.starts_with('5'), "{status}");
    }
    for server in &fleet.servers {
        server.set_behaviour(BackendBehaviour::Respond);
    }
    for number in 0..30 {
        let status = fleet.send(number, "/often/x", "");
        assert_eq!(status, "200", "request {number}");
    }
}

/// Guards against every instance finding out anew which servers have ended
/// (issue 23).
#[test]
fn servers_that_one_instance_found_ended_are_avoided_by_the_others() {
    let fleet = CrashFleet::start(instances());
    for server in &fleet.servers[..6] {
        server.crash_for(Duration::from_secs(20));
    }
    // Lines are gathered for 100 ms before they are written.
    let told = Duration::from_millis(500);
    for _request in 0..40 {
        assert_eq!(fleet.send(0, "/often/x", ""), "200");
    }
    thread::sleep(told);
    for number in 1..fleet.fronts.len() {
        for _request in 0..10 {
            assert_eq!(fleet.send(number, "/often/x", ""), "200");
        }
        thread::sleep(told);
    }
    let mut found = 0;
    for number in 0..6 {
        let ended = format!("server=i-{number} cause=Closed");
        let instances = count_logs(&fleet.fronts, &ended);
        assert!(instances <= 1, "{instances} instances found i-{number}");
        found += instances;
    }
    assert!(found > 0, "no instance found any server closed");
}

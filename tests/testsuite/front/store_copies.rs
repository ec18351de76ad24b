//! A store that comes back from a copy some seconds old: what the system wrote there
//! since is lost, and offsets are given out again.

use std::thread;
use std::time::Duration;

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
use crate::front::request;
use crate::front::start_fronts;
use crate::front::status;
use crate::front::wait_for;
use crate::front::write_server;

/// Number of instances.
const INSTANCES: usize = 3;
/// Time for which the store is away before it comes back.
const AWAY_TIME: Duration = Duration::from_millis(500);
/// Tokens of one request.
const REQUEST_TOKENS: u64 = 2_515;

/// Daemons with a store that comes back from a copy.
struct CopyFleet {
    store: StoreStandin,
    _engine: BackendStandin,
    fronts: Vec<FrontProcess>,
}

impl CopyFleet {
    fn start() -> Self {
        let store = StoreStandin::start();
        let engine = BackendStandin::start(BackendBehaviour::Events { count: 5 });
        store.write("keyed.op", "config", config(1, PREPAID, "").as_bytes());
        write_server(&store, "i-engine", "engine", &engine, "ready");
        Self {
            fronts: start_fronts(&store, INSTANCES),
            store,
            _engine: engine,
        }
    }

    fn write_config(&self, version: u64) {
        let text = config(version, PREPAID, "");
        self.store.write("keyed.op", "config", text.as_bytes());
    }

    /// Waits until each instance has the configuration `version` in force.
    fn wait_for_config(&self, version: u64) {
        let line = format!("HS2001 configuration version is in force version={version} ");
        wait_for(&line, || count_logs(&self.fronts, &line) == INSTANCES);
    }

    /// Lets the store be away for a moment and come back from `copy`.
    fn drill(&self, copy: StoreCopy) {
        self.store.set_faults(StoreFaults {
            refuse: Some(503),
            ..StoreFaults::default()
        });
        thread::sleep(AWAY_TIME);
        self.store.come_back_from(copy);
        self.store.set_faults(StoreFaults::default());
    }

    /// Sends `count` requests to one instance after another; returns the tokens spent.
    fn spend(&self, count: usize) -> u64 {
        let mut spent = 0;
        for number in 0..count {
            let id = format!("id-{:x}", fastrand::u64(..));
            let call = request("/stream/x", &id, "Token-Counts: 2500,15\r\n");
            let response = self.fronts[number % self.fronts.len()].call(&call);
            spent += u64::from(status(&response) == "200") * REQUEST_TOKENS;
        }
        spent
    }
}

/// Guards against tokens that are drawn a second time, after the store has lost the
/// records of the first draws (issue 39).
#[test]
fn prepaid_is_not_exceeded_after_the_store_came_back_from_a_copy() {
    let fleet = CopyFleet::start();
    let copy = fleet.store.copy();
    let mut spent = fleet.spend(30);
    fleet.drill(copy);
    thread::sleep(SETTLE_TIME);
    spent += fleet.spend(30);
    assert!(spent <= PREPAID, "{spent} tokens of {PREPAID}");
}

/// Guards against the same when an instance is killed at that moment and the store comes
/// back twice (issue 39).
#[test]
fn prepaid_is_not_exceeded_after_two_copies_and_a_kill_of_one_instance() {
    let mut fleet = CopyFleet::start();
    let mut spent = 0;
    for _drill in 0..2 {
        let copy = fleet.store.copy();
        spent += fleet.spend(9);
        thread::sleep(SETTLE_TIME);
        fleet.drill(copy);
    }
    let copy = fleet.store.copy();
    spent += fleet.spend(9);
    thread::sleep(SETTLE_TIME);
    fleet.fronts.remove(0).kill();
    fleet.drill(copy);
    thread::sleep(SETTLE_TIME);
    spent += fleet.spend(30);
    assert!(spent <= PREPAID, "{spent} tokens of {PREPAID}");
}

/// Guards against the same when the instances that made the draws are killed meanwhile, so
/// that nobody knows of them (issue 39).
#[test]
fn prepaid_is_not_exceeded_after_a_copy_and_a_kill_of_all_instances() {
    let mut fleet = CopyFleet::start();
    let copy = fleet.store.copy();
    let mut spent = fleet.spend(30);
    for front in &mut fleet.fronts {
        front.kill();
    }
    fleet.drill(copy);
    fleet.fronts = start_fronts(&fleet.store, INSTANCES);
    spent += fleet.spend(30);
    assert!(spent <= PREPAID, "{spent} tokens of {PREPAID}");
}

/// Guards against a version of the configuration that is not seen, since it stands at an
/// offset that was read before (issue 39).
#[test]
fn a_configuration_that_is_written_after_the_store_came_back_comes_into_force() {
    let fleet = CopyFleet::start();
    let copy = fleet.store.copy();
    for version in 2..6 {
        fleet.write_config(version);
    }
    fleet.wait_for_config(5);
    fleet.drill(copy);
    fleet.write_config(6);
    fleet.wait_for_config(6);
    // As many as were lost, so that offsets reach those that were read.
    for version in 7..10 {
        fleet.write_config(version);
    }
    fleet.wait_for_config(9);
}

/// Guards against an instance that nobody finds, after the store has lost its
/// announcement (issue 39).
#[test]
fn an_instance_whose_announcement_was_lost_is_found_by_one_that_starts() {
    let mut fleet = CopyFleet::start();
    let copy = fleet.store.copy();
    let late = FrontProcess::start("front-late", FrontPorts::find(), fleet.store.address());
    late.wait_ready();
    fleet.drill(copy);
    for front in &mut fleet.fronts {
        front.kill();
    }
    let newest = FrontProcess::start("front-newest", FrontPorts::find(), fleet.store.address());
    newest.wait_ready();
    let fronts = [newest];
    let found = "instance=front-late";
    wait_for(found, || count_logs(&fronts, found) > 0);
}

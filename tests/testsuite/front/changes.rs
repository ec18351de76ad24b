//! Large configurations, slow links and changes in quick succession.

use std::fmt::Write;
use std::thread;
use std::time::Duration;

use platform_standins::BackendBehaviour;
use platform_standins::BackendStandin;
use platform_standins::FrontProcess;
use platform_standins::StoreFaults;
use platform_standins::StoreStandin;
use platform_standins::front::FrontPorts;

use crate::front::PREPAID;
use crate::front::Platform;
use crate::front::config;
use crate::front::count_logs;
use crate::front::request;
use crate::front::status;
use crate::front::wait_for;
use crate::front::write_server;

/// Routes of a large configuration, which takes some 600 KB.
const MANY_ROUTES: usize = 2_800;

/// Time after which a read that waits for records has ended.
const READ_END_TIME: Duration = Duration::from_secs(2);
/// Time after which the instances of a fleet know each other.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// `count` routes more, and one at the path `/new-VERSION/`.
fn more_routes(version: u64, count: usize) -> String {
    let mut text = String::new();
    let names = (0..count).map(|number| format!("extra-{number}"));
    for name in names.chain([format!("new-{version}")]) {
        let written = write!(
            text,
            r#",{{"name":"r-{name}","hostname":"h.example","path-prefix":"/{name}/","route-type":"idempotent","timeout-ms":3000,"target-latency-ms":500,"priority":1,"service":"plain","max-attempts":2,"allow-anonymous":false,"session-affinity":false,"stream-resume":false}}"#
        );
        written.expect("a string takes all");
    }
    text
}

/// Publishes a version with `count` routes more.
fn publish(store: &StoreStandin, version: u64, count: usize) {
    let text = config(version, PREPAID, &more_routes(version, count));
    store.write("keyed.op", "config", text.as_bytes());
}

/// Whether `front` serves the route that `version` added.
fn serves(front: &FrontProcess, version: u64) -> bool {
    let path = format!("/new-{version}/x");
    let response = front.call(&request(&path, &format!("id-{version}"), ""));
    status(&response) == "200"
}

/// Versions that came into force at `front`, in their order.
fn versions_in_force(front: &FrontProcess) -> Vec<u64> {
    let log = std::fs::read_to_string(front.log_file()).unwrap_or_default();
    let lines = log.lines().filter(|line| line.contains("HS2001 "));
    let words = lines.filter_map(|line| line.split("version=").nth(1)?.split(' ').next());
    words.filter_map(|word| word.parse().ok()).collect()
}

/// Guards against a transfer that is cut and begun again for ever, since its
/// time is bounded and its size is not (issue 20).
#[test]
fn a_configuration_whose_transfer_takes_longer_than_a_call_comes_into_force() {
    let platform = Platform::start();
    platform.store.set_faults(StoreFaults {
        read_rate: Some(200_000),
        ..StoreFaults::default()
    });
    thread::sleep(READ_END_TIME);
    publish(&platform.store, 2, MANY_ROUTES);
    wait_for("version 2", || serves(&platform.front, 2));
}

/// Guards against an instance that starts and never gets a configuration over
/// a slow link (issue 20).
#[test]
fn an_instance_starts_with_a_configuration_whose_transfer_takes_longer_than_a_call() {
    let mut platform = Platform::start();
    publish(&platform.store, 2, MANY_ROUTES);
    platform.front.kill();
    platform.store.set_faults(StoreFaults {
        read_rate: Some(200_000),
        ..StoreFaults::default()
    });
    platform.restart();
    assert!(serves(&platform.front, 2));
}

/// Guards against an instance that takes all versions between its own and the
/// newest, and falls further behind with each (issue 20).
#[test]
fn an_instance_that_is_behind_takes_the_newest_version_at_once() {
    let platform = Platform::start();
    platform.store.set_faults(StoreFaults {
        refuse: Some(503),
        ..StoreFaults::default()
    });
    thread::sleep(READ_END_TIME);
    for version in 2..14 {
        publish(&platform.store, version, 600);
    }
    platform.store.set_faults(StoreFaults::default());
    wait_for("version 13", || serves(&platform.front, 13));
    wait_for("the log", || {
        versions_in_force(&platform.front).last() == Some(&13)
    });
    let taken = versions_in_force(&platform.front).len() - 1;
    assert!(taken <= 2, "{taken} versions were taken, 12 were published");
}

/// Topic of the changes that instances publish.
const DELTAS_TOPIC: &str = "config-changes";

/// Daemons before a store and a server, which know each other and hold version
/// 1 with many routes.
struct Fleet {
    store: StoreStandin,
    _plain: BackendStandin,
    fronts: Vec<FrontProcess>,
}

impl Fleet {
    fn start(instances: usize) -> Self {
        let store = StoreStandin::start();
        let plain = BackendStandin::start(BackendBehaviour::Respond);
        publish(&store, 1, MANY_ROUTES);
        write_server(&store, "i-plain", "plain", &plain, "ready");
        let start = |number| {
            let name = format!("front-{number}");
            FrontProcess::start(&name, FrontPorts::find(), store.address())
        };
        let fronts: Vec<FrontProcess> = (0..instances).map(start).collect();
        for front in &fronts {
            front.wait_ready();
        }
        thread::sleep(SETTLE_TIME);
        Self {
            store,
            _plain: plain,
            fronts,
        }
    }

    /// Publishes `version` and waits until all instances serve its route.
    fn publish(&self, version: u64) {
        publish(&self.store, version, MANY_ROUTES);
        for front in &self.fronts {
            wait_for("the version", || serves(front, version));
        }
    }
}

/// Guards against a fleet whose instances each read each version whole, so
/// that the store's rate and their links are used up by one change (issue 20).
#[test]
fn a_change_is_read_whole_by_a_few_instances_of_a_fleet() {
    let fleet = Fleet::start(10);
    let before = fleet.store.served_bytes("keyed.op");
    let size = config(2, PREPAID, &more_routes(2, MANY_ROUTES)).len();
    fleet.publish(2);
    let read = (fleet.store.served_bytes("keyed.op") - before) / size;
    assert!(read <= 5, "the version was read {read} times");
}

/// Guards against a version that depends on the instances which read it first.
#[test]
fn a_version_comes_into_force_though_no_change_can_be_published() {
    let fleet = Fleet::start(5);
    fleet.store.set_faults(StoreFaults {
        refuse_appends: true,
        ..StoreFaults::default()
    });
    fleet.publish(2);
    assert!(fleet.store.records(DELTAS_TOPIC).is_empty());
    wait_for("the log", || count_logs(&fleet.fronts, "HS2013 ") >= 1);
    fleet.store.set_faults(StoreFaults::default());
    fleet.publish(3);
}

/// Guards against a configuration that goes back when a change comes late, and
/// against records that are no change.
#[test]
fn late_copies_of_changes_and_records_that_are_none_change_nothing() {
    let fleet = Fleet::start(5);
    fleet.publish(2);
    let change = fleet.store.records(DELTAS_TOPIC);
    assert!(!change.is_empty());
    fleet.publish(3);
    fleet.store.append(DELTAS_TOPIC, change);
    let garbage = vec![Vec::new(), vec![255; 40], b"no change".to_vec()];
    fleet.store.append(DELTAS_TOPIC, garbage);
    wait_for("the records", || count_logs(&fleet.fronts, "HS2012 ") == 5);
    for front in &fleet.fronts {
        assert!(serves(front, 3));
        assert_eq!(versions_in_force(front), [1, 2, 3]);
    }
    fleet.publish(4);
}

/// Guards against an instance that follows changes only and misses those which
/// the store has dropped.
#[test]
fn changes_that_the_store_has_dropped_are_made_up_for() {
    let fleet = Fleet::start(5);
    fleet.publish(2);
    fleet.store.expire_history(DELTAS_TOPIC);
    fleet.store.expire_history("keyed.op");
    fleet.publish(3);
}

/// A configuration that this release cannot read.
const UNREADABLE: &[u8] = br#"{"version":9,"routes":"none"}"#;

/// Guards against an instance that is behind and passes over the versions
/// before one that it cannot read (issue 20).
#[test]
fn a_version_before_an_unreadable_one_comes_into_force() {
    let platform = Platform::start();
    platform.store.set_faults(StoreFaults {
        refuse: Some(503),
        ..StoreFaults::default()
    });
    thread::sleep(READ_END_TIME);
    publish(&platform.store, 2, 1);
    platform.store.write("keyed.op", "config", UNREADABLE);
    platform.store.set_faults(StoreFaults::default());
    wait_for("version 2", || serves(&platform.front, 2));
    publish(&platform.store, 10, 1);
    wait_for("version 10", || serves(&platform.front, 10));
}

/// Guards against an instance that starts with a configuration that it cannot
/// read and asks for it again without a pause (issue 20).
#[test]
fn an_unreadable_configuration_is_read_a_few_times_by_an_instance_that_starts() {
    let store = StoreStandin::start();
    let plain = BackendStandin::start(BackendBehaviour::Respond);
    write_server(&store, "i-plain", "plain", &plain, "ready");
    store.write("keyed.op", "config", UNREADABLE);
    let front = FrontProcess::start("front-1", FrontPorts::find(), store.address());
    wait_for("the log", || {
        let log = std::fs::read_to_string(front.log_file()).unwrap_or_default();
        log.contains("HS2002 ")
    });
    thread::sleep(SETTLE_TIME);
    let reads = store.served_bytes("keyed.op") / UNREADABLE.len();
    assert!(reads <= 20, "the configuration was read {reads} times");
    publish(&store, 10, 1);
    wait_for("version 10", || serves(&front, 10));
}

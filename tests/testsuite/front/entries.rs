//! Servers' entries in a fleet in which a few instances read them.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use platform_standins::BackendBehaviour;
use platform_standins::BackendStandin;
use platform_standins::FrontProcess;
use platform_standins::StoreStandin;

use crate::front::PREPAID;
use crate::front::config;
use crate::front::request;
use crate::front::start_fronts;
use crate::front::status;
use crate::front::wait_for;
use crate::front::write_server;

/// Instances of the fleet; more than each of them watches all others of.
const INSTANCES: usize = 12;
/// Instances that read the entries.
const RELAYS: usize = 3;
/// Servers of the service.
const SERVERS: usize = 40;
/// Time between two entries of one server.
const BEAT: Duration = Duration::from_millis(1_000);
/// Time after which a leaving server gets nothing new.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Writes the entries of all but the first server again, unchanged.
fn write_all(store: &StoreStandin, server: &BackendStandin) {
    for number in 1..SERVERS {
        let name = format!("i-{number}");
        write_server(store, &name, "engine", server, "ready");
    }
}

/// The last line of `front` that says whether it reads for the fleet.
fn is_relay(front: &FrontProcess) -> bool {
    let log = std::fs::read_to_string(front.log_file()).unwrap_or_default();
    let last = log.lines().rfind(|line| line.contains("HS1124 "));
    last.is_none_or(|line| line.contains("relay=true"))
}

/// A fleet before one plain server and many engines.
fn start() -> (
    StoreStandin,
    BackendStandin,
    BackendStandin,
    Vec<FrontProcess>,
) {
    let store = StoreStandin::start_for(INSTANCES);
    store.write("keyed.op", "config", config(1, PREPAID, "").as_bytes());
    let leaving = BackendStandin::start(BackendBehaviour::Respond);
    let staying = BackendStandin::start(BackendBehaviour::Respond);
    write_server(&store, "i-leaving", "plain", &leaving, "ready");
    write_server(&store, "i-staying", "plain", &staying, "ready");
    write_all(&store, &staying);
    let fronts = start_fronts(&store, INSTANCES);
    wait_for("a few relays", || {
        fronts.iter().filter(|front| is_relay(front)).count() == RELAYS
    });
    (store, leaving, staying, fronts)
}

/// Guards against bytes that grow with the servers times the instances
/// (issue 29).
#[test]
fn entries_that_are_written_unchanged_are_read_by_a_few_instances() {
    let (store, _leaving, staying, _fronts) = start();
    let topics = ["keyed.servers", "server-changes"];
    let before = topics.map(|topic| store.served_bytes(topic));
    let beats = 5;
    for _beat in 0..beats {
        write_all(&store, &staying);
        thread::sleep(BEAT);
    }
    let after = topics.map(|topic| store.served_bytes(topic));
    let [entries, news] = [after[0] - before[0], after[1] - before[1]];
    // An entry is more than 120 bytes, and was read by all before.
    let each = beats * SERVERS * 120;
    println!("{entries} bytes of entries and {news} of news, {each} for each reader at the least");
    assert!(
        entries <= each * (RELAYS + 1) * 2,
        "{entries} bytes of entries"
    );
    assert!(news <= each, "{news} bytes of news");
}

/// Guards against a leaving server that the followers learn of too late, with
/// and without the relays.
#[test]
fn a_leaving_server_is_known_to_all_also_when_the_relays_are_frozen() {
    for frozen in [false, true] {
        let (store, leaving, _staying, fronts) = start();
        let (relays, others): (Vec<_>, Vec<_>) = fronts.iter().partition(|front| is_relay(front));
        if frozen {
            for relay in &relays {
                relay.signal(Signal::SIGSTOP);
            }
        }
        write_server(&store, "i-leaving", "plain", &leaving, "draining");
        let written = Instant::now();
        thread::sleep(DRAIN_LIMIT);
        let before = leaving.requests().len();
        for (number, front) in others.iter().enumerate() {
            for attempt in 0..3 {
                let id = format!("id-{number}-{attempt}");
                let response = front.call(&request("/often/x", &id, ""));
                assert_eq!(status(&response), "200", "{response}");
            }
        }
        let late = leaving.requests().len() - before;
        println!(
            "relays frozen {frozen}: {late} late after {:?}",
            written.elapsed()
        );
        assert_eq!(late, 0, "relays frozen: {frozen}");
        if frozen {
            for relay in &relays {
                relay.signal(Signal::SIGCONT);
            }
        }
    }
}

//! Budgets in a fleet of several daemons with one store.

use platform_standins::BackendBehaviour;
use platform_standins::BackendStandin;
use platform_standins::FrontProcess;
use platform_standins::StoreStandin;

use crate::front::PREPAID;
use crate::front::config;
use crate::front::count_logs;
use crate::front::request;
use crate::front::start_fronts;
use crate::front::status;
use crate::front::wait_for;
use crate::front::write_server;

/// Size of the fleet: more instances than hold a budget.
const INSTANCES: usize = 10;

/// Daemons with a store and one engine.
struct Fleet {
    store: StoreStandin,
    _engine: BackendStandin,
    fronts: Vec<FrontProcess>,
}

impl Fleet {
    fn start(prepaid: u64) -> Self {
        let store = StoreStandin::start();
        let engine = BackendStandin::start(BackendBehaviour::Events { count: 5 });
        store.write("keyed.op", "config", config(1, prepaid, "").as_bytes());
        write_server(&store, "i-engine", "engine", &engine, "ready");
        Self {
            fronts: start_fronts(&store, INSTANCES),
            store,
            _engine: engine,
        }
    }

    /// Sends a request that costs `prompt` + 15 tokens to the instance `number`;
    /// returns whether it was served.
    fn is_served(&self, number: usize, id: &str, prompt: u64) -> bool {
        let more = format!("Token-Counts: {prompt},15\r\n");
        let response = self.fronts[number].call(&request("/stream/x", id, &more));
        status(&response) == "200"
    }
}

/// Guards against a large fleet in which each instance holds a part of a budget
/// that is too small for one request (issue 17).
#[test]
fn an_instance_that_does_not_hold_a_budget_serves_its_callers_with_a_holders_tokens() {
    let fleet = Fleet::start(PREPAID);
    for number in 0..INSTANCES {
        let id = format!("id-{number}");
        wait_for("a response", || fleet.is_served(number, &id, 2_500));
    }
    assert!(count_logs(&fleet.fronts, "HS3102 ") <= 8);
    assert!(count_logs(&fleet.fronts, "HS3121 ") >= 1);
}

/// Guards against tokens that are spent twice, or lost, when they are transferred
/// between instances.
#[test]
fn a_fleet_spends_no_more_than_the_prepaid_tokens_when_a_holder_is_killed() {
    let mut fleet = Fleet::start(PREPAID);
    let mut spent = 0;
    for round in 0..8 {
        for number in 0..INSTANCES {
            let id = format!("id-{round}-{number}");
            if fleet.is_served(number, &id, 2_500) {
                spent += 2_515;
            }
        }
        if round == 2 {
            fleet.fronts[0].kill();
            let ports = fleet.fronts[0].ports;
            let store = fleet.store.address();
            fleet.fronts[0] = FrontProcess::start("front-0", ports, store);
            fleet.fronts[0].wait_ready();
        }
    }
    assert!(spent <= PREPAID, "{spent} tokens of {PREPAID}");
    assert!(spent >= PREPAID * 8 / 10, "{spent} tokens of {PREPAID}");
}

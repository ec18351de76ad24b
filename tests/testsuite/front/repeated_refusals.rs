//! Servers that send an earlier refusal once more on a connection in use again.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use platform_standins::BackendBehaviour;
use platform_standins::BackendStandin;
use platform_standins::RepeatedRefusal;
use platform_standins::StoreStandin;

use crate::front::PREPAID;
use crate::front::config;
use crate::front::request;
use crate::front::start_fronts;
use crate::front::status;
use crate::front::write_server;

/// Number of instances.
const INSTANCES: usize = 2;
/// Number of servers of the service.
const SERVERS: usize = 3;
/// Number of concurrent callers.
const CALLERS: usize = 4;
/// Number of requests of each caller.
const REQUESTS: usize = 60;
/// Statuses that promise that a request did not run and never will.
const PROMISES: [&str; 4] = ["408", "421", "429", "503"];

/// Guards against a refusal of an earlier request that is taken for the refusal of the
/// one that runs: its caller is told that it did not run, or it runs at a second server
/// (issue 38, REFUSED and TWICE).
#[test]
fn a_refusal_that_names_no_request_or_another_one_proves_nothing() {
    for (status_code, named) in [(503, true), (503, false), (421, true), (421, false)] {
        for pause in [0, 15] {
            let refusal = RepeatedRefusal {
                status: status_code,
                named,
                pause: Duration::from_millis(pause),
            };
            check(refusal);
        }
    }
}

/// Sends requests that may run once to servers that repeat `refusal`.
fn check(refusal: RepeatedRefusal) {
    let store = StoreStandin::start();
    store.write("keyed.op", "config", config(1, PREPAID, "").as_bytes());
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = BackendStandin::start(BackendBehaviour::RepeatRefusal(refusal));
        write_server(&store, &format!("i-{number}"), "plain", &server, "ready");
        servers.push(server);
    }
    let fronts = start_fronts(&store, INSTANCES);
    let responses = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let fronts = &fronts;
                scope.spawn(move || {
                    let mut responses = Vec::new();
                    for number in 0..REQUESTS {
                        let id = format!("id-{caller}-{number}");
                        let front = &fronts[number % INSTANCES];
                        let response = front.call(&request("/once/x", &id, ""));
                        responses.push((id, status(&response).to_owned()));
                    }
                    responses
                })
            })
            .collect();
        let joined = callers.into_iter().map(|caller| caller.join());
        joined
            .flat_map(|responses| responses.expect("a caller ends"))
            .collect::<Vec<_>>()
    });
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for received in servers.iter().flat_map(BackendStandin::requests) {
        let id = received.header("request-id").unwrap_or_default();
        *runs.entry(id.to_owned()).or_default() += 1;
    }
    let mut refused_though_run = 0;
    for (id, status) in &responses {
        let has_run = runs.contains_key(id);
        refused_though_run += usize::from(has_run && PROMISES.contains(&status.as_str()));
    }
    let ran_twice = runs.values().filter(|runs| **runs > 1).count();
    println!("{refusal:?}: {refused_though_run} refused though run, {ran_twice} ran twice");
    assert_eq!((refused_though_run, ran_twice), (0, 0), "{refusal:?}");
    let failed = responses.iter().filter(|(_id, status)| status == "502");
    assert!(failed.count() > 0, "no refusal was repeated");
}

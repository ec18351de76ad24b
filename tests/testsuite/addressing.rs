//! Addresses that the instances give to callers.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_router::settings::LimitSettings;
use hibiscus_support::example::ExampleFleet;
use nix::sys::signal::Signal;
use serde_json::Value;

/// Time that a change may take to show in every answer.
const CHANGE_LIMIT: Duration = Duration::from_secs(20);
/// Lifetime of an answer, in milliseconds.
const LIFETIME_MS: u64 = 3_000;

/// The answer of the instance at `address` for `caller`.
fn ask(address: SocketAddr, caller: &str) -> Value {
    let mut response = ureq::get(format!("http://{address}/v1/address?caller={caller}"))
        .call()
        .expect("the instance answers");
    let body = response.body_mut().read_to_string();
    serde_json::from_str(&body.expect("the body is text")).expect("the answer is JSON")
}

/// The addresses of an answer.
fn addresses(answer: &Value) -> Vec<SocketAddr> {
    let listed = answer["addresses"].as_array().expect("it lists addresses");
    let mut addresses = Vec::new();
    for address in listed {
        let text = address.as_str().expect("an address is text");
        addresses.push(text.parse().expect("it is an address"));
    }
    addresses
}

/// Waits until the instance at `address` gives `count` addresses.
fn wait_for(address: SocketAddr, count: usize) {
    let deadline = Instant::now() + CHANGE_LIMIT;
    while addresses(&ask(address, "anyone")).len() != count {
        assert!(Instant::now() < deadline, "no change to {count} addresses");
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn answers_spread_callers_and_leave_a_stopping_instance_out() {
    let limits = LimitSettings {
        address_lifetime_ms: LIFETIME_MS,
        ..LimitSettings::default()
    };
    let mut fleet = ExampleFleet::start(&limits);
    let asked = fleet.routers[0].addresses.callers;
    let stopped = fleet.routers[2].addresses.callers;
    wait_for(asked, 3);
    let mut first = Vec::new();
    for caller in 0..60 {
        let caller = format!("caller-{caller}");
        let answer = ask(asked, &caller);
        assert_eq!(answer["lifetime_s"], LIFETIME_MS / 1_000);
        let order = addresses(&answer);
        assert_eq!(order, addresses(&ask(asked, &caller)), "{caller}");
        first.push((caller, order));
    }
    for router in &fleet.routers {
        let own = router.addresses.callers;
        let share = first.iter().filter(|(_caller, order)| order[0] == own);
        assert!(share.count() > 0, "{own} is nobody's first");
    }
    fleet.routers[2].signal(Signal::SIGTERM);
    wait_for(asked, 2);
    for (caller, mut order) in first {
        // The others keep their order, so only callers of the stopping
        // instance move.
        order.retain(|address| *address != stopped);
        assert_eq!(addresses(&ask(asked, &caller)), order, "{caller}");
    }
    let status = fleet.routers[2].wait(CHANGE_LIMIT);
    assert_eq!(status.and_then(|status| status.code()), Some(0));
}

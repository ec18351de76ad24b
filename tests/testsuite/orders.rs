//! Non-idempotent calls under failures of servers, routers and the log. Each
//! claim of an answer is compared with the servers' own records.

use std::thread;
use std::time::Duration;

use hibiscus_support::log::LogFaults;
use hibiscus_support::plain::PlainFaults;
use hibiscus_support::proxy::LinkDirection;
use hibiscus_support::proxy::LinkFaults;
use hibiscus_support::requests;
use hibiscus_support::requests::CallerReply;

use crate::request_fleet::ORDER;
use crate::request_fleet::order_fleet;
use crate::request_fleet::order_until_answered;
use crate::request_fleet::runs;
use crate::request_fleet::wait_for;

#[test]
fn one_order_sent_to_all_instances_at_once_runs_once_and_is_answered_again() {
    let (fleet, service, _proxy) = order_fleet(3);
    for round in 0..3 {
        let key = format!("order-{round}");
        let mut senders = Vec::new();
        // Two to each instance: the same instance must tell them apart too.
        for index in 0..6 {
            let address = fleet.address(index % 3);
            let key = key.clone();
            senders.push(thread::spawn(move || {
                requests::post(address, ORDER, &key, "{}")
            }));
        }
        for sender in senders {
            let reply = sender.join().expect("the sender ends");
            let recorded = reply.status == 200 && reply.outcome == "ran";
            let waiting = reply.code() == "in_progress" && reply.outcome == "unknown";
            assert!(recorded || waiting, "{reply:?}");
        }
        let first = order_until_answered(&fleet, 0, &key);
        let second = order_until_answered(&fleet, 1, &key);
        assert_eq!(first, second);
        assert_eq!(runs(&service, &key), 1);
    }
}

#[test]
fn an_order_is_not_run_while_the_log_is_down_and_runs_once_after() {
    let (fleet, service, _proxy) = order_fleet(3);
    let outage = LogFaults {
        outage: true,
        ..LogFaults::default()
    };
    fleet.platform.log.set_faults(outage);
    let refused = requests::post(fleet.address(0), ORDER, "order-down", "{}");
    assert_eq!(refused.outcome, "not-run", "{refused:?}");
    // Without the log an instance may also lack the allowance for the order.
    let reasons = ["not_recorded", "budget_unconfirmed"];
    assert!(reasons.contains(&refused.code().as_str()), "{refused:?}");
    assert_eq!(runs(&service, "order-down"), 0);
    fleet.platform.log.set_faults(LogFaults::default());
    order_until_answered(&fleet, 1, "order-down");
    order_until_answered(&fleet, 0, "order-down");
    assert_eq!(runs(&service, "order-down"), 1);
}

#[test]
fn an_order_runs_once_while_replies_of_the_log_are_lost() {
    let (fleet, service, _proxy) = order_fleet(3);
    let lossy = LogFaults {
        lose_every: 2,
        ..LogFaults::default()
    };
    fleet.platform.log.set_faults(lossy);
    for index in 0..3 {
        let key = format!("order-{index}");
        order_until_answered(&fleet, index, &key);
        assert_eq!(runs(&service, &key), 1);
    }
}

#[test]
fn an_order_whose_answer_breaks_off_is_unknown_and_never_runs_again() {
    let (fleet, service, proxy) = order_fleet(3);
    let cut = LinkFaults {
        close_after: Some(30),
        ..LinkFaults::default()
    };
    proxy.set_faults(LinkDirection::Back, cut);
    let broken = requests::post(fleet.address(0), ORDER, "order-cut", "{}");
    assert_eq!(broken.outcome, "unknown", "{broken:?}");
    proxy.set_faults(LinkDirection::Back, LinkFaults::default());
    for index in 0..2 {
        let again = requests::post(fleet.address(index), ORDER, "order-cut", "{}");
        assert_eq!(again.outcome, "unknown", "{again:?}");
    }
    assert_eq!(runs(&service, "order-cut"), 1);
}

#[test]
fn a_crossed_answer_to_an_order_never_reaches_its_caller() {
    let (fleet, service, _proxy) = order_fleet(3);
    service.set_faults(PlainFaults {
        crossed: true,
        ..PlainFaults::default()
    });
    let crossed = requests::post(fleet.address(0), ORDER, "order-crossed", "{}");
    assert_eq!(crossed.outcome, "unknown", "{crossed:?}");
    assert!(!crossed.body.contains("order\":"), "{crossed:?}");
    assert_eq!(runs(&service, "order-crossed"), 1);
}

#[test]
fn an_order_answered_with_an_error_ran_and_the_error_is_answered_again() {
    let (fleet, service, _proxy) = order_fleet(3);
    service.set_faults(PlainFaults {
        failing: true,
        ..PlainFaults::default()
    });
    let failed = requests::post(fleet.address(0), ORDER, "order-500", "{}");
    assert_eq!((failed.status, failed.outcome.as_str()), (500, "ran"));
    service.set_faults(PlainFaults::default());
    wait_for("the recorded answer", || {
        let again = requests::post(fleet.address(1), ORDER, "order-500", "{}");
        again.status == 500 && again.outcome == "ran"
    });
    assert_eq!(runs(&service, "order-500"), 1);
}

#[test]
fn an_order_to_a_server_that_refuses_connections_is_not_run_and_may_run_later() {
    let (fleet, service, _proxy) = order_fleet(3);
    let closed = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        listener.local_addr().expect("the port has an address")
    };
    let list = &fleet.platform;
    list.list_server("book-1", "tailorbook", "regina", closed);
    let mut refused = CallerReply::default();
    wait_for("a refusal", || {
        let key = format!("order-probe-{}", fastrand::u64(..));
        refused = requests::post(fleet.address(0), ORDER, &key, "{}");
        refused.status != 200
    });
    assert_eq!(refused.outcome, "not-run", "{refused:?}");
    let refused = requests::post(fleet.address(0), ORDER, "order-refused", "{}");
    assert_eq!(refused.outcome, "not-run", "{refused:?}");
    assert_eq!(runs(&service, "order-refused"), 0);
    list.list_server("book-1", "tailorbook", "regina", service.address());
    order_until_answered(&fleet, 0, "order-refused");
    assert_eq!(runs(&service, "order-refused"), 1);
}

#[test]
fn an_order_whose_router_dies_is_never_run_a_second_time() {
    let (mut fleet, service, _proxy) = order_fleet(3);
    service.set_faults(PlainFaults {
        delay: Duration::from_millis(400),
        ..PlainFaults::default()
    });
    for (key, delay) in [("order-early", 0), ("order-late", 200)] {
        let index = fleet.routers.len() - 1;
        let address = fleet.address(index);
        let owned = key.to_owned();
        let sender = thread::spawn(move || requests::post(address, ORDER, &owned, "{}"));
        if delay > 0 {
            wait_for("the dispatch", || runs(&service, key) == 1);
        }
        let mut dead = fleet.routers.pop().expect("there is a router");
        dead.kill();
        let _broken = sender.join().expect("the sender ends");
        let again = requests::post(fleet.address(0), ORDER, key, "{}");
        assert_ne!(again.outcome, "", "{again:?}");
        assert!(runs(&service, key) <= 1);
        if again.outcome == "not-run" {
            assert_eq!(runs(&service, key), 0);
        }
    }
}

#[test]
fn a_key_older_than_the_window_is_refused_and_not_run() {
    let (fleet, service, _proxy) = order_fleet(3);
    let old = "01890a5d-ac96-774b-bcce-b302099a8057";
    let refused = requests::post(fleet.address(0), ORDER, old, "{}");
    assert_eq!(refused.outcome, "not-run", "{refused:?}");
    assert_eq!(refused.code(), "key_expired");
    assert_eq!(runs(&service, old), 0);
}

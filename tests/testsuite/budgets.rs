//! Budgets under the loss of holders and of the log, by router processes. What
//! the ledger says is folded from the log alone.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::log::HttpLog;
use hibiscus_clients::log::LogService;
use hibiscus_ledger::audit::LedgerAudit;
use hibiscus_ledger::fold::GrantState;
use hibiscus_ledger::stream_of;
use hibiscus_support::EngineStandin;
use hibiscus_support::PlainStandin;
use hibiscus_support::engine::EngineBehaviour;
use hibiscus_support::log::LogFaults;
use hibiscus_support::requests;
use hibiscus_support::requests::RequestFleet;
use hibiscus_types::RequestKey;
use hibiscus_types::TokenCount;
use nix::sys::signal::Signal;

/// Give-up limit of waits.
const LIMIT: Duration = Duration::from_secs(40);
/// Time between looks of a wait.
const POLL: Duration = Duration::from_millis(50);
/// Time after which a read of the log is repeated.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Requests sent while the log is down.
const OUTAGE_REQUESTS: usize = 10;

/// Four routers before one engine.
fn budget_fleet() -> (RequestFleet, EngineStandin, PlainStandin) {
    let engine = EngineStandin::start(EngineBehaviour::default());
    let service = PlainStandin::start();
    let fleet = RequestFleet::start(4, Duration::ZERO, |_settings| {});
    let platform = &fleet.platform;
    platform.list_server("engine-1", "stylist-llm", "regina", engine.address());
    platform.list_server("book-1", "tailorbook", "regina", service.address());
    fleet.wait_ready();
    (fleet, engine, service)
}

/// Folds the ledger and checks it.
fn ledger(fleet: &RequestFleet) -> LedgerAudit {
    let log = HttpLog::new(&fleet.platform.log.url(), READ_TIMEOUT);
    let mut audit = LedgerAudit::default();
    let deadline = Instant::now() + LIMIT;
    let page = loop {
        // On a busy machine a read may be refused or late: read again.
        match log.read(&stream_of(0), 0, Duration::ZERO) {
            Ok(page) => break page,
            Err(error) => assert!(Instant::now() < deadline, "{error:?}"),
        }
        thread::sleep(POLL);
    };
    for record in page.records {
        let taken = audit.take(record.offset, &record.data);
        taken.expect("the format is known");
    }
    assert_eq!(audit.faults(), []);
    audit
}

/// Waits for `check`.
fn wait_for<F: FnMut() -> bool>(what: &str, mut check: F) {
    let deadline = Instant::now() + LIMIT;
    while !check() {
        assert!(Instant::now() < deadline, "gave up waiting for {what}");
        thread::sleep(POLL);
    }
}

/// Sends one chat under `key` until it is answered whole.
fn chat(fleet: &RequestFleet, router: usize, key: &str) {
    wait_for(key, || {
        let reply = requests::stream_chat(fleet.address(router), key, "fit len=4");
        reply.status == 200 && reply.has_end()
    });
}

/// The grants of the first router from which tokens are outstanding.
fn open_grants(audit: &LedgerAudit) -> Vec<GrantState> {
    let fold = audit.fold().expect("the ledger is whole");
    let mut grants = Vec::new();
    for state in fold.grants().values() {
        if state.grant.instance.as_str() == "router-1" && !state.is_closed() {
            grants.push(state.clone());
        }
    }
    grants
}

/// Whether the ledger charges every one of `keys`.
fn charges(fleet: &RequestFleet, keys: &[String]) -> bool {
    let audit = ledger(fleet);
    let fold = audit.fold().expect("the ledger is whole");
    let charged = |key: &String| {
        let key = RequestKey::new("regina-shop".into(), key);
        fold.settlement(&key).is_some()
    };
    keys.iter().all(charged)
}

/// Tokens outstanding of all budgets.
fn outstanding(audit: &LedgerAudit) -> TokenCount {
    let fold = audit.fold().expect("the ledger is whole");
    fold.budgets()
        .values()
        .map(|budget| budget.outstanding)
        .sum()
}

#[test]
fn the_grants_of_a_killed_holder_are_reclaimed_and_its_charges_stay() {
    let (mut fleet, _engine, _service) = budget_fleet();
    chat(&fleet, 0, "before-1");
    chat(&fleet, 0, "before-2");
    let keys = ["before-1".to_owned(), "before-2".to_owned()];
    wait_for("the charges", || charges(&fleet, &keys));
    wait_for("a grant", || !open_grants(&ledger(&fleet)).is_empty());
    let held = outstanding(&ledger(&fleet));
    fleet.routers[0].kill();
    wait_for("the reclaim", || open_grants(&ledger(&fleet)).is_empty());
    let audit = ledger(&fleet);
    assert!(outstanding(&audit) < held);
    assert!(charges(&fleet, &keys));
    chat(&fleet, 1, "after");
}

#[test]
fn a_holder_paused_until_its_grants_are_reclaimed_spends_only_new_ones() {
    let (fleet, _engine, _service) = budget_fleet();
    chat(&fleet, 0, "before");
    wait_for("the first charge", || {
        charges(&fleet, &["before".to_owned()])
    });
    wait_for("a grant", || !open_grants(&ledger(&fleet)).is_empty());
    let old = open_grants(&ledger(&fleet));
    fleet.routers[0].signal(Signal::SIGSTOP);
    wait_for("the reclaim", || open_grants(&ledger(&fleet)).is_empty());
    fleet.routers[0].signal(Signal::SIGCONT);
    chat(&fleet, 0, "after");
    wait_for("the charge", || charges(&fleet, &["after".to_owned()]));
    let audit = ledger(&fleet);
    let fold = audit.fold().expect("the ledger is whole");
    for state in old {
        let now = &fold.grants()[&state.grant.id];
        assert_eq!(now.charged, state.charged, "a reclaimed grant was charged");
    }
}

#[test]
fn spending_goes_on_within_what_is_held_while_the_log_is_down() {
    let (fleet, _engine, _service) = budget_fleet();
    chat(&fleet, 0, "before-1");
    chat(&fleet, 0, "before-2");
    wait_for("allowance", || !open_grants(&ledger(&fleet)).is_empty());
    fleet.platform.log.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    let mut keys = Vec::new();
    for index in 0..OUTAGE_REQUESTS {
        let key = format!("outage-{index}");
        let reply = requests::stream_chat(fleet.address(0), &key, "fit len=4");
        assert_eq!(reply.status, 200, "{reply:?}");
        assert!(reply.has_end(), "{reply:?}");
        keys.push(key);
    }
    fleet.platform.log.set_faults(LogFaults::default());
    wait_for("all charges", || charges(&fleet, &keys));
}

#[test]
fn a_holder_without_allowance_gets_a_split_from_a_peer_while_the_log_is_down() {
    let (fleet, _engine, _service) = budget_fleet();
    for index in 0..8 {
        chat(&fleet, 0, &format!("before-{index}"));
    }
    wait_for("allowance", || !open_grants(&ledger(&fleet)).is_empty());
    fleet.platform.log.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    chat(&fleet, 2, "split");
    fleet.platform.log.set_faults(LogFaults::default());
    wait_for("the charge", || charges(&fleet, &["split".to_owned()]));
    let audit = ledger(&fleet);
    let fold = audit.fold().expect("the ledger is whole");
    let key = RequestKey::new("regina-shop".into(), "split");
    let settlement = fold.settlement(&key).expect("the request is charged");
    let paying = &fold.grants()[&settlement.grant].grant;
    assert_eq!(paying.instance.as_str(), "router-3");
}

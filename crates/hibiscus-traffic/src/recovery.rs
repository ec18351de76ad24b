//! Closes the accounts of ended processes.
//!
//! A holder closes the accounts of its machine's earlier processes. After a
//! power loss the machine's monotonic clock has restarted and proves nothing;
//! the holder then requests the time of day from other instances. See
//! [`hibiscus_ledger::account::agreement`] for how these times form a proof.
//!
//! An instance that no longer holds a budget does not read the account stream.
//! The first holder closes the accounts left on that machine: it asks the
//! machine's present process for its incarnation. Since that process has the
//! machine's ports, all other processes with accounts there had ended when it
//! began.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account::agreement;
use hibiscus_types::InstanceName;
use hibiscus_types::UnixMillis;

use crate::budgets::RecoveryPhase;
use crate::peers;
use crate::state::TrafficState;
use crate::wire_format::WireFormat;

/// Largest number of instances whose time is requested, so that of five
/// readings three may be wrong. Each new connection costs 7 ms of a core.
const PEER_LIMIT: usize = 4;
/// Time between two checks for accounts of ended processes on other machines.
const ENDED_PROCESSES_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two rounds of requests. After a power cut of all machines, the
/// others announce themselves within half a second.
const ROUND_INTERVAL: Duration = Duration::from_millis(150);
/// Time to wait for more readings once there are the fewest that suffice.
const EXTRA_READINGS_TIME: Duration = Duration::from_millis(600);
/// Time after which gathering stops with too few readings: machines that are
/// not back by then may never return.
const GATHER_TIMEOUT: Duration = Duration::from_secs(6);

/// Waits until the account stream was read, then closes by agreement the
/// accounts that the clock could not close.
pub async fn close_unproven<D: WireFormat>(state: Rc<TrafficState<D>>) {
    while state.budgets.recovery() == RecoveryPhase::Reading {
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
    if state.budgets.recovery() == RecoveryPhase::Complete {
        return;
    }
    let readings = gather_readings(&state, state.now()).await;
    let ended = agreement::agreed_upper_bound(&readings);
    event!(
        EventCode::TimeAgreed,
        "readings={readings:?} ended={ended:?}"
    );
    while !state.budgets.has_all_draws() {
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
    state.budgets.close_unproven(ended);
    state.review_budgets();
}

/// Closes the accounts of ended processes on other machines. Runs as long as
/// the runtime.
pub async fn close_ended_processes<D: WireFormat>(state: Rc<TrafficState<D>>) {
    let running: Rc<RefCell<BTreeSet<InstanceName>>> = Rc::default();
    loop {
        tokio::time::sleep(ENDED_PROCESSES_CHECK_INTERVAL).await;
        if state.budgets.recovery() == RecoveryPhase::Reading || !state.closes_accounts() {
            continue;
        }
        let machines_with_ended_processes = {
            let directory = state.directory.borrow();
            let present = |name: &InstanceName| Some(directory.find(name)?.incarnation);
            state.budgets.machines_with_ended_processes(present)
        };
        for machine in machines_with_ended_processes {
            if !running.borrow_mut().insert(machine.clone()) {
                continue;
            }
            let (state, running) = (Rc::clone(&state), Rc::clone(&running));
            tokio::task::spawn_local(async move {
                close_machine_accounts(&state, &machine).await;
                running.borrow_mut().remove(&machine);
            });
        }
    }
}

/// Closes the accounts of ended processes on `machine`.
async fn close_machine_accounts<D: WireFormat>(state: &TrafficState<D>, machine: &InstanceName) {
    let link = state.link.borrow().clone();
    let peer = state
        .directory
        .borrow()
        .find(machine)
        .map(|entry| entry.peers);
    let (Some(link), Some(peer)) = (link, peer) else {
        return;
    };
    let Some(process) = peers::request_process(&link, peer).await else {
        return;
    };
    let present = process.incarnation;
    let began = state
        .now()
        .saturating_sub(Duration::from_millis(process.age_ms));
    let open_accounts = state
        .budgets
        .close_machine_accounts(machine, present, process.started_at);
    state.review_budgets();
    if open_accounts == 0 {
        return;
    }
    let readings = gather_readings(state, began).await;
    let ended = agreement::agreed_upper_bound(&readings);
    event!(
        EventCode::TimeAgreed,
        "machine={machine} readings={readings:?} ended={ended:?}"
    );
    state
        .budgets
        .close_machine_accounts_by_agreement(machine, present, ended);
    state.review_budgets();
}

/// Gathers times of day for `began`, when a process got the ports of its
/// machine, from the clocks of this and other machines. Each reading is later
/// than the end of the previous process, because it is made after its request
/// was sent.
async fn gather_readings<D: WireFormat>(state: &TrafficState<D>, began: Duration) -> Vec<u64> {
    let gathering_since = state.now();
    let own = at_start(
        UnixMillis::now().get(),
        gathering_since.saturating_sub(began),
    );
    let mut responses: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    loop {
        request_readings(state, began, &mut responses).await;
        let waited = state.now().saturating_sub(gathering_since);
        let enough = responses.len() + 1 >= agreement::MIN_READINGS;
        let all = responses.len() >= PEER_LIMIT;
        if all || (enough && waited >= EXTRA_READINGS_TIME) || waited >= GATHER_TIMEOUT {
            break;
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
    responses.into_values().chain([own]).collect()
}

/// Requests the time from instances that have not responded yet.
async fn request_readings<D: WireFormat>(
    state: &TrafficState<D>,
    began: Duration,
    responses: &mut BTreeMap<SocketAddr, u64>,
) {
    let Some(link) = state.link.borrow().clone() else {
        return;
    };
    // Connections to the other holders are open already; a new one costs a
    // handshake.
    let mut holders = state.co_holders();
    let mut others = state.directory.borrow().peer_addresses();
    others.retain(|other| !holders.contains(other));
    fastrand::shuffle(&mut others);
    holders.append(&mut others);
    holders.retain(|other| !responses.contains_key(other));
    holders.truncate(PEER_LIMIT.saturating_sub(responses.len()));
    for other in holders {
        let since = state.now().saturating_sub(began);
        if let Some(reading) = peers::request_time_of_day(&link, other).await {
            responses.insert(other, at_start(reading, since));
        }
    }
}

/// Converts a reading made at least `since` after the start to a time of day at
/// the start.
fn at_start(reading: u64, since: Duration) -> u64 {
    let since = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
    reading.saturating_sub(since)
}

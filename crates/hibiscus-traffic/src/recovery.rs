//! Closes what processes that ended left.
//!
//! A holder closes the accounts of the processes before it. After a loss of
//! power the machine's steady clock began anew and proves nothing; then others
//! are asked for their time of day. How these times make a proof, see
//! [`hibiscus_ledger::account::agreement`].
//!
//! An instance that holds no budget any more does not follow the account
//! stream. The first holder closes what was left on its machine: it asks the
//! process that answers there now who it is. That process has the machine's
//! ports, so every other one of which the stream tells had ended when it began.

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

/// Instances asked, so that of five readings three may be wrong; each new
/// connection costs 7 ms of a core.
const ASKED_LIMIT: usize = 4;
/// Time between two looks for accounts of processes that ended elsewhere.
const STRANGERS_PAUSE: Duration = Duration::from_millis(300);
/// Time between two rounds of questions: after a power cut of all machines the
/// others announce themselves within half a second.
const ROUND_PAUSE: Duration = Duration::from_millis(150);
/// Time for which more answers than the fewest are waited for.
const GATHER_TIME: Duration = Duration::from_millis(600);
/// Time after which too few answers are given up: machines that are not back
/// by then may never be.
const GIVE_UP_TIME: Duration = Duration::from_secs(6);

/// OnDemand until the account stream was read, and closes by agreement what was
/// left without a proof.
pub async fn close_unproven<D: WireFormat>(state: Rc<TrafficState<D>>) {
    while state.budgets.recovery() == RecoveryPhase::Reading {
        tokio::time::sleep(ROUND_PAUSE).await;
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
    state.budgets.close_unproven(ended);
    state.review_budgets();
}

/// Closes the accounts of processes that ended on other machines for as long as
/// the runtime runs.
pub async fn close_ended_processes<D: WireFormat>(state: Rc<TrafficState<D>>) {
    let running: Rc<RefCell<BTreeSet<InstanceName>>> = Rc::default();
    loop {
        tokio::time::sleep(STRANGERS_PAUSE).await;
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
                close_machine(&state, &machine).await;
                running.borrow_mut().remove(&machine);
            });
        }
    }
}

/// Closes what processes that ended on `machine` left.
async fn close_machine<D: WireFormat>(state: &TrafficState<D>, machine: &InstanceName) {
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
    let left = state
        .budgets
        .close_machine(machine, present, process.started_at);
    state.review_budgets();
    if left == 0 {
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
        .close_machine_by_agreement(machine, present, ended);
    state.review_budgets();
}

/// Times of day at `began`, when a process had the ports of its machine, by the
/// clocks of this machine and of others. Each is later than the process before
/// ended: an answer is made after it was asked for.
async fn gather_readings<D: WireFormat>(state: &TrafficState<D>, began: Duration) -> Vec<u64> {
    let begun = state.now();
    let own = at_start(UnixMillis::now().get(), begun.saturating_sub(began));
    let mut answers: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    loop {
        ask_others(state, began, &mut answers).await;
        let waited = state.now().saturating_sub(begun);
        let enough = answers.len() + 1 >= agreement::MIN_READINGS;
        let all = answers.len() >= ASKED_LIMIT;
        if all || (enough && waited >= GATHER_TIME) || waited >= GIVE_UP_TIME {
            break;
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
    answers.into_values().chain([own]).collect()
}

/// Asks the instances that have not answered yet.
async fn ask_others<D: WireFormat>(
    state: &TrafficState<D>,
    began: Duration,
    answers: &mut BTreeMap<SocketAddr, u64>,
) {
    let Some(link) = state.link.borrow().clone() else {
        return;
    };
    // There are links to the other holders; a new one costs a handshake.
    let mut holders = state.co_holders();
    let mut others = state.directory.borrow().peer_addresses();
    others.retain(|other| !holders.contains(other));
    fastrand::shuffle(&mut others);
    holders.append(&mut others);
    holders.retain(|other| !answers.contains_key(other));
    holders.truncate(ASKED_LIMIT.saturating_sub(answers.len()));
    for other in holders {
        let asked = state.now().saturating_sub(began);
        if let Some(reading) = peers::request_time_of_day(&link, other).await {
            answers.insert(other, at_start(reading, asked));
        }
    }
}

/// The time of day at the start, by a reading made no sooner than `since`
/// after it.
fn at_start(reading: u64, since: Duration) -> u64 {
    let since = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
    reading.saturating_sub(since)
}

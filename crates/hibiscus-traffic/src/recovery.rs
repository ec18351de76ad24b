//! Closes what the processes before left, where this machine's clock proves
//! nothing.
//!
//! After a loss of power the steady clock began anew. The other instances are
//! asked for their time of day; how these times make a proof, see
//! [`hibiscus_ledger::account::agreement`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account::agreement;
use hibiscus_types::UnixMillis;

use crate::budgets::RecoveryPhase;
use crate::dialect::RequestDialect;
use crate::peers;
use crate::state::TrafficState;

/// Instances asked, so that of five readings three may be wrong; each new
/// connection costs 7 ms of a core.
const ASKED_LIMIT: usize = 4;
/// Time between two rounds of questions: after a power cut of all machines the
/// others announce themselves within half a second.
const ROUND_PAUSE: Duration = Duration::from_millis(150);
/// Time for which more answers than the fewest are waited for.
const GATHER_TIME: Duration = Duration::from_millis(600);
/// Time after which too few answers are given up: machines that are not back
/// by then may never be.
const GIVE_UP_TIME: Duration = Duration::from_secs(6);

/// Waits until the account stream was read, and closes by agreement what was
/// left without a proof.
pub async fn close_unproven<D: RequestDialect>(state: Rc<TrafficState<D>>) {
    while state.budgets.recovery() == RecoveryPhase::Reading {
        tokio::time::sleep(ROUND_PAUSE).await;
    }
    if state.budgets.recovery() == RecoveryPhase::Complete {
        return;
    }
    let readings = gather_readings(&state).await;
    let ended = agreement::latest_agreed(&readings);
    event!(
        EventCode::TimeAgreed,
        "readings={readings:?} ended={ended:?}"
    );
    state.budgets.close_unproven(ended);
    state.review_budgets();
}

/// Times of day at which this process started, by the clocks of this machine
/// and of others. Each is later than the process before ended: an answer is
/// made after it was asked for.
async fn gather_readings<D: RequestDialect>(state: &TrafficState<D>) -> Vec<u64> {
    let begun = state.now();
    let own = at_start(UnixMillis::now().get(), begun);
    let mut answers: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    loop {
        ask_others(state, &mut answers).await;
        let waited = state.now().saturating_sub(begun);
        let enough = answers.len() + 1 >= agreement::LEAST_READINGS;
        let all = answers.len() >= ASKED_LIMIT;
        if all || (enough && waited >= GATHER_TIME) || waited >= GIVE_UP_TIME {
            break;
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
    answers.into_values().chain([own]).collect()
}

/// Asks the instances that have not answered yet.
async fn ask_others<D: RequestDialect>(
    state: &TrafficState<D>,
    answers: &mut BTreeMap<SocketAddr, u64>,
) {
    let Some(link) = state.link.borrow().clone() else {
        return;
    };
    let mut others = state.directory.borrow().peers();
    others.retain(|other| !answers.contains_key(other));
    fastrand::shuffle(&mut others);
    others.truncate(ASKED_LIMIT.saturating_sub(answers.len()));
    for other in others {
        let asked = state.now();
        if let Some(reading) = peers::ask_time(&link, other).await {
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

//! Where the tokens of a request come from.
//!
//! A holder of the budget draws from the store what it lacks. An instance that
//! does not hold the budget asks a holder for each request, and so does a holder
//! that cannot draw: the holder counts the tokens as
//! spent before it answers, so a lost answer loses tokens and spends none
//! twice. What requests leave is used for the next ones, and goes back to a
//! holder after a rest.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account::quota::QuotaReservation;
use hibiscus_types::BudgetName;
use hibiscus_types::TokenCount;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::budgets::TokenRefusal;
use crate::peers;
use crate::peers::PeerRequest;
use crate::peers::PeerResponse;
use crate::state::TrafficState;
use crate::tally::PeerRequestKind;
use crate::tally::PeerRequestOutcome;
use crate::wire_format::WireFormat;

/// Longest wait for tokens of a budget: a draw takes two store calls, each of
/// which takes up to 0.25 s while the store is slow.
const DRAW_WAIT: Duration = Duration::from_millis(600);
/// Time that a request waits for the holders that it asks.
const HOLDERS_WAIT: Duration = Duration::from_millis(900);
/// Time after which the next holder is asked too: an answer takes a few
/// milliseconds, and a draw some twenty.
const NEXT_HOLDER_TIME: Duration = Duration::from_millis(120);
/// Time for a holder's answer. One that comes after the request stopped to wait
/// still brings its tokens, for the next request.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_500);
/// Holders asked for one request: one without the store says at once that it
/// has too little, and a third of them may be without it.
const ASKED_HOLDERS: usize = 4;
/// Time after which tokens that no request used go back to a holder.
const GIVEN_REST: Duration = Duration::from_millis(400);

/// Time that a planned stop waits for tokens to be brought back: what was drawn
/// must go back after it.
const STOP_WAIT: Duration = Duration::from_millis(500);

/// Result of getting tokens.
pub type Result<T> = std::result::Result<T, TokenRefusal>;

/// Reserves `tokens` of `budget` for a request that waits until `until` at the
/// most.
///
/// # Errors
///
/// Fails when the budget does not cover them, or when nobody in reach has them.
pub async fn reserve<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    budget: &BudgetName,
    tokens: TokenCount,
    until: Instant,
) -> Result<QuotaReservation> {
    if state.requests_from_holders(budget) {
        return reserve_given(state, budget, tokens, until).await;
    }
    let drawn = reserve_drawn(state, budget, tokens, until).await;
    let refusal = match drawn {
        Ok(hold) => return Ok(hold),
        Err(TokenRefusal::Spent) => return Err(TokenRefusal::Spent),
        Err(refusal) => refusal,
    };
    // Another holder may reach the store.
    let given = reserve_given(state, budget, tokens, until).await;
    given.map_err(|other| refusal.or_sooner(other))
}

/// Passes `tokens` on to an instance that does not hold `budget`.
///
/// # Errors
///
/// Fails when the budget does not cover them, or when they cannot be had here.
pub async fn transfer<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    budget: &BudgetName,
    tokens: TokenCount,
) -> Result<()> {
    // One that does not follow the stream learns of no draw.
    if state.budgets.is_closed() || !state.reads_account_stream() {
        return Err(TokenRefusal::Unconfirmed);
    }
    let until = Instant::now() + DRAW_WAIT;
    let passed = reserve_drawn(state, budget, tokens, until).await;
    let refusal = passed.as_ref().err();
    event!(
        EventCode::TokensPassedOn,
        "budget={budget} tokens={tokens} refusal={refusal:?}"
    );
    state.budgets.transfer(budget, passed?);
    Ok(())
}

/// Sends tokens that no request used for a while back to a holder; a holder
/// has them in its account then.
pub fn return_idle<D: WireFormat>(state: &Rc<TrafficState<D>>) {
    for (budget, tokens) in state.budgets.take_idle_given(GIVEN_REST) {
        if state.requests_from_holders(&budget) {
            tokio::task::spawn_local(send_back(Rc::clone(state), budget, tokens));
        } else {
            state.budgets.refund(&budget, tokens);
        }
    }
}

/// Sends all that others gave to other holders, at the end of a planned stop,
/// and waits for their answers as long as the stop allows.
pub async fn return_all<D: WireFormat>(state: &Rc<TrafficState<D>>) {
    let mut returns = JoinSet::new();
    for (budget, tokens) in state.budgets.take_idle_given(Duration::ZERO) {
        returns.spawn_local(send_back(Rc::clone(state), budget, tokens));
    }
    // Tokens whose answers are late may still arrive.
    let _late = tokio::time::timeout(STOP_WAIT, returns.join_all()).await;
}

/// Brings `tokens` back to one holder, which is asked once: an answer may be
/// lost, and the tokens must not count twice. A holder that refuses has not
/// taken them.
async fn send_back<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    budget: BudgetName,
    tokens: TokenCount,
) {
    let link = state.link.borrow().clone();
    let holder = state.other_holders(&budget).first().copied();
    let (Some(link), Some(holder)) = (link, holder) else {
        state.budgets.add_given(&budget, tokens);
        return;
    };
    let question = PeerRequest::Return {
        budget: budget.clone(),
        tokens,
    };
    match peers::ask(&link, holder, &question, ANSWER_LIMIT).await {
        Some(PeerResponse::Refused(_refusal)) => state.budgets.add_given(&budget, tokens),
        Some(_returned) => {}
        None => event!(
            EventCode::TokensNotBrought,
            "holder={holder} budget={budget} tokens={tokens}"
        ),
    }
}

/// OnDemand for a draw or a report that brings the tokens.
async fn reserve_drawn<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    budget: &BudgetName,
    tokens: TokenCount,
    until: Instant,
) -> Result<QuotaReservation> {
    let until = until.min(Instant::now() + DRAW_WAIT);
    if let Ok(hold) = state.budgets.reserve(budget, tokens) {
        state.budgets.count_demand(budget, tokens);
        return Ok(hold);
    }
    let want = state.budgets.wait_for(budget, tokens);
    state.review_waiting();
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let refusal = state.budgets.refusal(budget, tokens);
        let retry_after = refusal.and_then(TokenRefusal::retry_after);
        let wait = match (refusal, retry_after) {
            (None, _) => left,
            // The line of a holder without the store allows it soon.
            (Some(_later), Some(retry_after)) if retry_after < left => retry_after,
            (Some(refusal), _) => return Err(refusal),
        };
        let changed = tokio::time::timeout(wait, want.changed()).await;
        if changed.is_err() && refusal.is_none() {
            return Err(TokenRefusal::Unconfirmed);
        }
        if let Ok(hold) = state.budgets.reserve(budget, tokens) {
            // One that is refused comes back, and would count twice.
            state.budgets.count_demand(budget, tokens);
            return Ok(hold);
        }
    }
}

/// Reserves from what holders give. One after the other is asked, the next one
/// also when the one before has not answered for a while.
async fn reserve_given<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    budget: &BudgetName,
    tokens: TokenCount,
    until: Instant,
) -> Result<QuotaReservation> {
    let until = until.min(Instant::now() + HOLDERS_WAIT);
    let mut holders = state.other_holders(budget);
    state
        .refusals
        .borrow_mut()
        .choose(budget, &mut holders, state.now());
    holders.truncate(ASKED_HOLDERS);
    let (answers, mut answered) = mpsc::unbounded_channel();
    let mut asked = 0;
    let mut open = 0;
    let mut refusal = TokenRefusal::Unconfirmed;
    loop {
        if let Ok(hold) = state.budgets.reserve(budget, tokens) {
            return Ok(hold);
        }
        if open == 0 || Instant::now() < until {
            let missing = tokens.saturating_sub(state.budgets.given(budget));
            if let Some(holder) = holders.get(asked) {
                ask_holder(state, *holder, budget, missing, answers.clone());
                asked += 1;
                open += 1;
            }
        }
        if open == 0 {
            return Err(refusal);
        }
        let next = if asked < holders.len() {
            until.min(Instant::now() + NEXT_HOLDER_TIME)
        } else {
            until
        };
        match tokio::time::timeout_at(next.into(), answered.recv()).await {
            Ok(Some(Err(TokenRefusal::Spent))) => return Err(TokenRefusal::Spent),
            Ok(Some(answer)) => {
                refusal = answer
                    .err()
                    .map_or(refusal, |other| refusal.or_sooner(other));
                open -= 1;
            }
            Ok(None) => return Err(refusal),
            Err(_late) if Instant::now() >= until => return Err(refusal),
            Err(_late) => {
                let slow = holders[asked - 1];
                let now = state.now();
                state
                    .refusals
                    .borrow_mut()
                    .note_late_response(budget, slow, now);
            }
        }
    }
}

/// Asks one holder; what it gives can be reserved once `answers` tells so. The
/// question goes on when the request ends, so that its tokens are not lost.
fn ask_holder<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    holder: SocketAddr,
    budget: &BudgetName,
    tokens: TokenCount,
    answers: mpsc::UnboundedSender<Result<()>>,
) {
    let link = state.link.borrow().clone();
    let state = Rc::clone(state);
    let budget = budget.clone();
    tokio::task::spawn_local(async move {
        let question = PeerRequest::Reserve {
            budget: budget.clone(),
            tokens,
        };
        let answer = match link {
            Some(link) => peers::ask(&link, holder, &question, ANSWER_LIMIT).await,
            None => None,
        };
        let now = state.now();
        if answer.is_some() {
            state.refusals.borrow_mut().note_response(holder, now);
        }
        let (outcome, answer) = match answer {
            Some(PeerResponse::Reserved(tokens)) => {
                state.budgets.add_given(&budget, tokens);
                (PeerRequestOutcome::Answered, Ok(()))
            }
            Some(PeerResponse::Refused(TokenRefusal::Spent)) => {
                (PeerRequestOutcome::Refused, Err(TokenRefusal::Spent))
            }
            Some(PeerResponse::Refused(refusal)) => {
                state.refusals.borrow_mut().note(&budget, holder, now);
                (PeerRequestOutcome::Refused, Err(refusal))
            }
            Some(_other) => (PeerRequestOutcome::Refused, Err(TokenRefusal::Unconfirmed)),
            None => {
                state.refusals.borrow_mut().note_no_response(holder, now);
                event!(
                    EventCode::TokensNotAnswered,
                    "peer={holder} budget={budget}"
                );
                (
                    PeerRequestOutcome::Unanswered,
                    Err(TokenRefusal::Unconfirmed),
                )
            }
        };
        state
            .tally
            .count_peer_request(PeerRequestKind::Link, outcome);
        // A request that ended needs no answer.
        let _ended = answers.send(answer);
    });
}

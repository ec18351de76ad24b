//! Where the tokens of a request come from.
//!
//! A holder of the budget draws from the store what it lacks, and asks the
//! other holders when the store is away. An instance that does not hold the
//! budget asks a holder for each request: the holder counts the tokens as
//! spent before it answers, so a lost answer loses tokens and spends none
//! twice. What requests leave is used for the next ones, and goes back to a
//! holder after a rest.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account::purse::TokenHold;
use hibiscus_types::BudgetName;
use hibiscus_types::TokenCount;
use tokio::task::JoinSet;

use crate::budgets::TokenRefusal;
use crate::dialect::RequestDialect;
use crate::peers;
use crate::peers::PeerAnswer;
use crate::peers::PeerQuestion;
use crate::state::TrafficState;
use crate::tally::QuestionOutcome;
use crate::tally::QuestionSubject;

/// Longest wait for tokens of a budget: a draw takes two store calls.
const DRAW_WAIT: Duration = Duration::from_millis(250);
/// Time that a request waits for one holder's answer: a little longer than the
/// holder waits for a draw.
const HOLDER_WAIT: Duration = Duration::from_millis(300);
/// Time for a holder's answer. One that comes after the request stopped to wait
/// still brings its tokens, for the next request.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_500);
/// Holders asked for one request: one without the store says at once that it
/// has too little, and a third of them may be without it.
const ASKED_HOLDERS: usize = 4;
/// Holders that may leave one request without an answer.
const SILENT_HOLDERS: usize = 2;
/// Time after which tokens that no request used go back to a holder.
const GIVEN_REST: Duration = Duration::from_secs(1);

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
pub async fn reserve<D: RequestDialect>(
    state: &Rc<TrafficState<D>>,
    budget: &BudgetName,
    tokens: TokenCount,
    until: Instant,
) -> Result<TokenHold> {
    if state.asks_for(budget) {
        return reserve_given(state, budget, tokens, until).await;
    }
    let drawn = reserve_drawn(state, budget, tokens, until).await;
    if drawn != Err(TokenRefusal::Unconfirmed) || !gather(state, budget, tokens, until).await {
        return drawn;
    }
    let hold = state.budgets.reserve(budget, tokens);
    hold.map_err(|_fault| TokenRefusal::Unconfirmed)
}

/// Passes `tokens` on to an instance that does not hold `budget`.
///
/// # Errors
///
/// Fails when the budget does not cover them, or when they cannot be had here.
pub async fn pass_on<D: RequestDialect>(
    state: &Rc<TrafficState<D>>,
    budget: &BudgetName,
    tokens: TokenCount,
) -> Result<()> {
    if state.budgets.is_closed() {
        return Err(TokenRefusal::Unconfirmed);
    }
    let until = Instant::now() + DRAW_WAIT;
    let passed = reserve_drawn(state, budget, tokens, until).await;
    let refusal = passed.as_ref().err();
    event!(
        EventCode::TokensPassedOn,
        "budget={budget} tokens={tokens} refusal={refusal:?}"
    );
    state.budgets.pass_on(budget, passed?);
    Ok(())
}

/// Sends tokens that no request used for a while back to a holder.
pub fn return_idle<D: RequestDialect>(state: &Rc<TrafficState<D>>) {
    for (budget, tokens) in state.budgets.take_idle_given(GIVEN_REST) {
        if state.asks_for(&budget) {
            tokio::task::spawn_local(send_back(Rc::clone(state), budget, tokens));
        } else {
            state.budgets.add_given(&budget, tokens);
        }
    }
}

/// Sends all that others gave to other holders, at the end of a planned stop,
/// and waits for their answers as long as the stop allows.
pub async fn return_all<D: RequestDialect>(state: &Rc<TrafficState<D>>) {
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
async fn send_back<D: RequestDialect>(
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
    let question = PeerQuestion::Return {
        budget: budget.clone(),
        tokens,
    };
    match peers::ask(&link, holder, &question, ANSWER_LIMIT).await {
        Some(PeerAnswer::Refused(_refusal)) => state.budgets.add_given(&budget, tokens),
        Some(_returned) => {}
        None => event!(
            EventCode::TokensNotBrought,
            "holder={holder} budget={budget} tokens={tokens}"
        ),
    }
}

/// Waits for a draw or a report that brings the tokens.
async fn reserve_drawn<D: RequestDialect>(
    state: &Rc<TrafficState<D>>,
    budget: &BudgetName,
    tokens: TokenCount,
    until: Instant,
) -> Result<TokenHold> {
    let until = until.min(Instant::now() + DRAW_WAIT);
    state.budgets.count_demand(budget, tokens);
    if let Ok(hold) = state.budgets.reserve(budget, tokens) {
        return Ok(hold);
    }
    let want = state.budgets.want(budget, tokens);
    state.review_waiting();
    loop {
        if let Some(refusal) = state.budgets.refusal(budget, tokens) {
            return Err(refusal);
        }
        let wait = until.saturating_duration_since(Instant::now());
        if tokio::time::timeout(wait, want.changed()).await.is_err() {
            return Err(TokenRefusal::Unconfirmed);
        }
        if let Ok(hold) = state.budgets.reserve(budget, tokens) {
            return Ok(hold);
        }
    }
}

/// Reserves from what holders give. When none of them answers, the tokens are
/// drawn here.
async fn reserve_given<D: RequestDialect>(
    state: &Rc<TrafficState<D>>,
    budget: &BudgetName,
    tokens: TokenCount,
    until: Instant,
) -> Result<TokenHold> {
    let mut answered = false;
    let mut silent = 0;
    let mut holders = state.other_holders(budget);
    state
        .refusals
        .borrow()
        .sort(budget, &mut holders, state.now());
    for holder in holders.into_iter().take(ASKED_HOLDERS) {
        if silent >= SILENT_HOLDERS {
            break;
        }
        if let Ok(hold) = state.budgets.reserve(budget, tokens) {
            return Ok(hold);
        }
        let missing = tokens.saturating_sub(state.budgets.given(budget));
        match ask_holder(state, holder, budget, missing, until).await {
            Some(PeerAnswer::Refused(TokenRefusal::Spent)) => return Err(TokenRefusal::Spent),
            Some(PeerAnswer::Refused(TokenRefusal::Unconfirmed)) => {
                answered = true;
                let now = state.now();
                state.refusals.borrow_mut().note(budget, holder, now);
            }
            Some(_given) => answered = true,
            None => {
                silent += 1;
                let now = state.now();
                state.refusals.borrow_mut().note(budget, holder, now);
                event!(
                    EventCode::TokensNotAnswered,
                    "peer={holder} budget={budget}"
                );
            }
        }
    }
    if let Ok(hold) = state.budgets.reserve(budget, tokens) {
        return Ok(hold);
    }
    if answered {
        return Err(TokenRefusal::Unconfirmed);
    }
    reserve_drawn(state, budget, tokens, until).await
}

/// Asks one holder; what it gives can be reserved once this returns. The
/// question goes on when the request ends, so that its tokens are not lost.
async fn ask_holder<D: RequestDialect>(
    state: &Rc<TrafficState<D>>,
    holder: SocketAddr,
    budget: &BudgetName,
    tokens: TokenCount,
    until: Instant,
) -> Option<PeerAnswer> {
    let link = state.link.borrow().clone()?;
    let wait = until.min(Instant::now() + HOLDER_WAIT);
    let question = PeerQuestion::Reserve {
        budget: budget.clone(),
        tokens,
    };
    let state = Rc::clone(state);
    let budget = budget.clone();
    let asked = tokio::task::spawn_local(async move {
        let answer = peers::ask(&link, holder, &question, ANSWER_LIMIT).await;
        let outcome = match &answer {
            Some(PeerAnswer::Reserved(tokens)) => {
                state.budgets.add_given(&budget, *tokens);
                QuestionOutcome::Answered
            }
            Some(_refused) => QuestionOutcome::Refused,
            None => QuestionOutcome::Unanswered,
        };
        state.tally.count_question(QuestionSubject::Link, outcome);
        answer
    });
    let answer = tokio::time::timeout_at(wait.into(), asked).await;
    answer.ok()?.ok()?
}

/// Asks the other holders for some of what they have drawn.
async fn gather<D: RequestDialect>(
    state: &TrafficState<D>,
    budget: &BudgetName,
    tokens: TokenCount,
    until: Instant,
) -> bool {
    let link = state.link.borrow().clone();
    match link {
        Some(link) => peers::gather_tokens(state, &link, budget, tokens, until).await,
        None => false,
    }
}

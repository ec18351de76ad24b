//! Reserves the tokens of callers' requests.
//!
//! A holder of a budget draws missing tokens from the store. An instance that
//! does not hold the budget gets the tokens for each caller's request from a
//! holder by a peer request, and so does a holder that cannot draw. The
//! contacted holder counts the tokens as spent before it responds, so a lost
//! response loses tokens but never lets them be spent twice. Tokens that a
//! caller's request leaves unused serve the next ones, and go back to a holder
//! after a delay.

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
use crate::holder_waits;
use crate::holders::HOLDERS_PER_BUDGET;
use crate::peers;
use crate::peers::PeerRequest;
use crate::peers::PeerResponse;
use crate::state::TrafficState;
use crate::tally::PeerRequestKind;
use crate::tally::PeerRequestOutcome;
use crate::wire_format::WireFormat;

/// Longest wait for a draw: a draw takes two store calls, each of which takes
/// up to 0.25 s while the store is slow.
const DRAW_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest wait of a caller's request for the responses of holders.
const HOLDERS_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after which the next holder is contacted too: a response takes a few
/// milliseconds, or about twenty if the holder draws.
const NEXT_HOLDER_DELAY: Duration = Duration::from_millis(120);
/// Timeout for a holder's response. A response that arrives after the caller's
/// request gave up still brings tokens for the next one.
const HOLDER_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest number of holders contacted for one caller's request. While no holder
/// reaches the store, each has only a part of what a large request needs.
const HOLDER_REQUEST_LIMIT: usize = HOLDERS_PER_BUDGET;
/// Time after which received tokens that no request used go back to a holder.
const RECEIVED_TOKENS_RETURN_DELAY: Duration = Duration::from_millis(400);

/// Time that a graceful shutdown waits for received tokens to be sent back;
/// drawn tokens are returned to the store after that.
const SHUTDOWN_RETURN_TIMEOUT: Duration = Duration::from_millis(500);

/// Result of reserving tokens.
pub type Result<T> = std::result::Result<T, TokenRefusal>;

/// Reserves `tokens` of `budget` for a request that waits until `deadline` at
/// the latest.
///
/// # Errors
///
/// Fails if the budget does not cover the tokens, or if no reachable instance
/// has them.
pub async fn reserve<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    budget: &BudgetName,
    tokens: TokenCount,
    deadline: Instant,
) -> Result<QuotaReservation> {
    if state.requests_from_holders(budget) {
        return reserve_received(state, budget, tokens, deadline).await;
    }
    let drawn = reserve_drawn(state, budget, tokens, deadline).await;
    let refusal = match drawn {
        Ok(reservation) => return Ok(reservation),
        Err(TokenRefusal::Spent) => return Err(TokenRefusal::Spent),
        Err(refusal) => refusal,
    };
    // Another holder may be able to reach the store.
    let received = reserve_received(state, budget, tokens, deadline).await;
    received.map_err(|other| refusal.or_sooner(other))
}

/// Transfers up to `tokens` to an instance that does not hold `budget`, and
/// returns how many: fewer only if this instance can get no more now. The other
/// instance then collects the rest from other holders.
///
/// # Errors
///
/// Fails if the budget does not cover the tokens, or if this instance cannot
/// reserve any.
pub async fn transfer<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    budget: &BudgetName,
    tokens: TokenCount,
) -> Result<TokenCount> {
    // An instance that does not read the stream never gets the result of a
    // draw.
    if state.budgets.is_closed() || !state.reads_account_stream() {
        return Err(TokenRefusal::Unconfirmed);
    }
    let deadline = Instant::now() + DRAW_TIMEOUT;
    let reserved = match reserve_drawn(state, budget, tokens, deadline).await {
        Err(refusal) if refusal != TokenRefusal::Spent => {
            state.budgets.reserve_part(budget, tokens).ok_or(refusal)
        }
        reserved => reserved,
    };
    let reserved = match reserved {
        Ok(reserved) => reserved,
        Err(refusal) => {
            event!(
                EventCode::TokensRefused,
                "budget={budget} tokens={tokens} refusal={refusal:?}"
            );
            return Err(refusal);
        }
    };
    let passed = reserved.tokens;
    event!(
        EventCode::TokensPassedOn,
        "budget={budget} tokens={tokens} passed={passed}"
    );
    if passed < tokens {
        state.tally.parts_passed_on.add();
    }
    let is_visible = state.all_hold();
    state.budgets.transfer(budget, reserved, is_visible);
    Ok(passed)
}

/// Returns received tokens that no request used for a while: to a holder, or to
/// this instance's own account if it is a holder itself.
pub fn return_idle<D: WireFormat>(state: &Rc<TrafficState<D>>) {
    for (budget, tokens) in state
        .budgets
        .take_idle_received(RECEIVED_TOKENS_RETURN_DELAY)
    {
        if state.requests_from_holders(&budget) {
            tokio::task::spawn_local(send_back(Rc::clone(state), budget, tokens));
        } else {
            state.budgets.refund(&budget, tokens);
        }
    }
}

/// Sends all received tokens to other holders at the end of a graceful
/// shutdown, and waits for their responses as long as the shutdown allows.
pub async fn return_all<D: WireFormat>(state: &Rc<TrafficState<D>>) {
    let mut returns = JoinSet::new();
    for (budget, tokens) in state.budgets.take_idle_received(Duration::ZERO) {
        returns.spawn_local(send_back(Rc::clone(state), budget, tokens));
    }
    // Tokens may still arrive at a holder whose response is late.
    let _late = tokio::time::timeout(SHUTDOWN_RETURN_TIMEOUT, returns.join_all()).await;
}

/// Sends `tokens` back to a single holder and does not retry: if only the
/// response was lost, a retry would count the tokens twice. A holder that
/// refuses has not taken them.
async fn send_back<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    budget: BudgetName,
    tokens: TokenCount,
) {
    let link = state.link.borrow().clone();
    let holder = state.other_holders(&budget).first().copied();
    let (Some(link), Some(holder)) = (link, holder) else {
        state.budgets.add_received(&budget, tokens);
        return;
    };
    let request = PeerRequest::Return {
        budget: budget.clone(),
        tokens,
    };
    match peers::send_request(&link, holder, &request, HOLDER_RESPONSE_TIMEOUT).await {
        Some(PeerResponse::Refused(_refusal)) => state.budgets.add_received(&budget, tokens),
        Some(_returned) => {}
        None => event!(
            EventCode::TokensNotBrought,
            "holder={holder} budget={budget} tokens={tokens}"
        ),
    }
}

/// Reserves tokens of this instance, and waits for a draw or a report that
/// makes them available.
async fn reserve_drawn<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    budget: &BudgetName,
    tokens: TokenCount,
    deadline: Instant,
) -> Result<QuotaReservation> {
    let deadline = deadline.min(Instant::now() + DRAW_TIMEOUT);
    if let Ok(reservation) = state.budgets.reserve(budget, tokens) {
        state.budgets.count_demand(budget, tokens);
        return Ok(reservation);
    }
    let waiter = state.budgets.wait_for(budget, tokens);
    state.review_waiting();
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let refusal = state.budgets.refusal(budget, tokens);
        let retry_after = refusal.and_then(TokenRefusal::retry_after);
        let wait = match (refusal, retry_after) {
            (None, _) => remaining,
            // The limit of a holder without the store allows the tokens soon.
            (Some(_later), Some(retry_after)) if retry_after < remaining => retry_after,
            (Some(refusal), _) => return Err(refusal),
        };
        let changed = tokio::time::timeout(wait, waiter.changed()).await;
        if changed.is_err() && refusal.is_none() {
            return Err(TokenRefusal::Unconfirmed);
        }
        if let Ok(reservation) = state.budgets.reserve(budget, tokens) {
            // Counted only on success: a refused caller retries and would count
            // twice.
            state.budgets.count_demand(budget, tokens);
            return Ok(reservation);
        }
    }
}

/// Reserves tokens that holders transfer. Contacts one holder after another,
/// and the next one also if a response is late.
async fn reserve_received<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    budget: &BudgetName,
    tokens: TokenCount,
    deadline: Instant,
) -> Result<QuotaReservation> {
    let deadline = deadline.min(Instant::now() + HOLDERS_TIMEOUT);
    let is_asker = state.requests_from_holders(budget);
    let mut holders = state.other_holders(budget);
    let missing = tokens.saturating_sub(state.budgets.received(budget));
    let now = state.now();
    let known = holders.len();
    let wait = {
        let mut refusals = state.refusals.borrow_mut();
        let wait = refusals.waits.filter(budget, &mut holders, missing, now);
        if known > 0 && holders.is_empty() {
            state.tally.holders_not_asked.add();
            event!(
                EventCode::HoldersNotAsked,
                "budget={budget} tokens={tokens} wait={wait:?}"
            );
        }
        refusals.choose(budget, &mut holders, now);
        wait
    };
    holders.truncate(HOLDER_REQUEST_LIMIT);
    let (response_sender, mut response_receiver) = mpsc::unbounded_channel();
    let mut requested = 0;
    let mut pending = 0;
    let mut refusal = wait.map_or(TokenRefusal::Unconfirmed, TokenRefusal::later);
    loop {
        if let Ok(reservation) = state.budgets.reserve(budget, tokens) {
            if is_asker {
                state.budgets.count_demand(budget, tokens);
            }
            return Ok(reservation);
        }
        if pending == 0 || Instant::now() < deadline {
            let missing = tokens.saturating_sub(state.budgets.received(budget));
            if let Some(holder) = holders.get(requested) {
                let request = TokenRequest::new(state, budget, missing, is_asker);
                request_tokens(state, *holder, request, response_sender.clone());
                requested += 1;
                pending += 1;
            }
        }
        if pending == 0 {
            return Err(refusal);
        }
        let next = if requested < holders.len() {
            deadline.min(Instant::now() + NEXT_HOLDER_DELAY)
        } else {
            deadline
        };
        match tokio::time::timeout_at(next.into(), response_receiver.recv()).await {
            Ok(Some(Err(TokenRefusal::Spent))) => return Err(TokenRefusal::Spent),
            Ok(Some(response)) => {
                refusal = response
                    .err()
                    .map_or(refusal, |other| refusal.or_sooner(other));
                pending -= 1;
            }
            Ok(None) => return Err(refusal),
            Err(_late) if Instant::now() >= deadline => return Err(refusal),
            Err(_late) => {
                let slow = holders[requested - 1];
                let now = state.now();
                state
                    .refusals
                    .borrow_mut()
                    .note_late_response(budget, slow, now);
            }
        }
    }
}

/// Tokens to request from a holder.
struct TokenRequest {
    budget: BudgetName,
    /// Tokens that the caller's request lacks.
    missing: TokenCount,
    /// Tokens to request, those for further requests included.
    tokens: TokenCount,
}

impl TokenRequest {
    fn new<D: WireFormat>(
        state: &TrafficState<D>,
        budget: &BudgetName,
        missing: TokenCount,
        is_asker: bool,
    ) -> Self {
        let tokens = if is_asker {
            state.budgets.tokens_to_request(budget, missing)
        } else {
            missing
        };
        Self {
            budget: budget.clone(),
            missing,
            tokens,
        }
    }
}

/// Sends a peer request for tokens to one holder and passes the outcome to
/// `response_sender`; the tokens can be reserved by then. The peer request
/// continues if the caller's request ends, so that its tokens are not lost.
fn request_tokens<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    holder: SocketAddr,
    request: TokenRequest,
    response_sender: mpsc::UnboundedSender<Result<()>>,
) {
    let link = state.link.borrow().clone();
    let state = Rc::clone(state);
    let TokenRequest {
        budget,
        missing,
        tokens,
    } = request;
    tokio::task::spawn_local(async move {
        let request = PeerRequest::Reserve {
            budget: budget.clone(),
            tokens,
        };
        let response = match link {
            Some(link) => {
                peers::send_request(&link, holder, &request, HOLDER_RESPONSE_TIMEOUT).await
            }
            None => None,
        };
        let now = state.now();
        if response.is_some() {
            state.refusals.borrow_mut().note_response(holder, now);
        }
        let (outcome, response) = match response {
            Some(PeerResponse::Reserved(passed)) => {
                let is_holder = !state.requests_from_holders(&budget);
                state.budgets.take_transferred(&budget, passed, is_holder);
                if passed < tokens {
                    state.budgets.pause_ahead(&budget);
                }
                if passed < missing {
                    let lacked = holder_waits::lacked_tokens(missing, passed);
                    note_too_few(&state, &budget, holder, (lacked, None));
                }
                (PeerRequestOutcome::Answered, Ok(()))
            }
            Some(PeerResponse::Refused(TokenRefusal::Spent)) if missing < tokens => {
                // The budget may cover the request without the tokens ahead.
                state.budgets.pause_ahead(&budget);
                let refusal = TokenRefusal::Unconfirmed;
                (PeerRequestOutcome::Refused, Err(refusal))
            }
            Some(PeerResponse::Refused(TokenRefusal::Spent)) => {
                (PeerRequestOutcome::Refused, Err(TokenRefusal::Spent))
            }
            Some(PeerResponse::Refused(refusal)) => {
                state.budgets.pause_ahead(&budget);
                let short = (missing, refusal.retry_after());
                note_too_few(&state, &budget, holder, short);
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
        // The caller's request may have ended already.
        let _ended = response_sender.send(response);
    });
}

/// Records that `holder` did not have as many tokens of `budget` as given, and when it
/// expects to have them.
fn note_too_few<D: WireFormat>(
    state: &TrafficState<D>,
    budget: &BudgetName,
    holder: SocketAddr,
    (tokens, retry_after): (TokenCount, Option<Duration>),
) {
    let now = state.now();
    let mut refusals = state.refusals.borrow_mut();
    refusals.note_refusal(budget, holder, now);
    refusals
        .waits
        .note(budget, holder, tokens, retry_after, now);
}

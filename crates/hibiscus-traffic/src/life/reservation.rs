//! The tokens that a request needs before it is sent.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hibiscus_ledger::account::purse::TokenHold;
use hibiscus_types::BudgetName;
use hibiscus_types::TokenCount;

use crate::answer::OwnReason;
use crate::budgets::TokenRefusal;
use crate::dialect::RequestDialect;
use crate::flight::RequestCharge;
use crate::life::Result;
use crate::life::admission::AdmittedRequest;
use crate::peers;
use crate::state::TrafficState;

/// Longest wait for tokens of a budget: a draw takes two store calls.
const TOKEN_WAIT: Duration = Duration::from_millis(250);

/// Logs what was held when a request got no tokens.
pub(super) fn log_shortage<D: RequestDialect>(state: &TrafficState<D>, admitted: &AdmittedRequest) {
    let Some(team) = &admitted.team else {
        return;
    };
    let budget = BudgetName::new(team.name.as_str());
    let tokens = TokenCount::new(admitted.signs.prompt_tokens + admitted.signs.output_tokens);
    state
        .budgets
        .log_shortage(&admitted.signs.id, &budget, tokens);
}

/// Sets aside the most that the request may cost.
pub(super) async fn reserve<D: RequestDialect>(
    state: &Rc<TrafficState<D>>,
    admitted: &AdmittedRequest,
) -> Result<Option<Rc<RequestCharge>>> {
    let Some(team) = &admitted.team else {
        return Ok(None);
    };
    let most = admitted.signs.prompt_tokens + admitted.signs.output_tokens;
    if team.prepaid.is_none() || most == 0 {
        return Ok(None);
    }
    let budget = BudgetName::new(team.name.as_str());
    let tokens = TokenCount::new(most);
    state.budgets.count_demand(&budget, tokens);
    let mut held = wait_for_tokens(state, admitted, &budget, tokens).await;
    if held == Err(OwnReason::BudgetUnconfirmed) && gather(state, &budget, tokens).await {
        let hold = state.budgets.reserve(&budget, tokens);
        held = hold.map_err(|_fault| OwnReason::BudgetUnconfirmed);
    }
    let charge = RequestCharge::new(
        state.budgets.clone(),
        budget,
        held?,
        admitted.signs.prompt_tokens,
    );
    Ok(Some(Rc::new(charge)))
}

/// Waits for a draw or a report that brings the tokens.
async fn wait_for_tokens<D: RequestDialect>(
    state: &Rc<TrafficState<D>>,
    admitted: &AdmittedRequest,
    budget: &BudgetName,
    tokens: TokenCount,
) -> Result<TokenHold> {
    let until = admitted.until.min(Instant::now() + TOKEN_WAIT);
    if let Ok(hold) = state.budgets.reserve(budget, tokens) {
        return Ok(hold);
    }
    let want = state.budgets.want(budget, tokens);
    state.review_waiting();
    loop {
        match state.budgets.refusal(budget, tokens) {
            Some(TokenRefusal::Spent) => return Err(OwnReason::BudgetSpent),
            Some(TokenRefusal::Unconfirmed) => return Err(OwnReason::BudgetUnconfirmed),
            None => {}
        }
        let wait = until.saturating_duration_since(Instant::now());
        if tokio::time::timeout(wait, want.changed()).await.is_err() {
            return Err(OwnReason::BudgetUnconfirmed);
        }
        if let Ok(hold) = state.budgets.reserve(budget, tokens) {
            return Ok(hold);
        }
    }
}

/// Asks the other instances for tokens.
async fn gather<D: RequestDialect>(
    state: &TrafficState<D>,
    budget: &BudgetName,
    tokens: TokenCount,
) -> bool {
    let link = state.link.borrow().clone();
    match link {
        Some(link) => peers::gather_tokens(state, &link, budget, tokens).await,
        None => false,
    }
}

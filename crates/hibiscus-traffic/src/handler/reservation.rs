//! Reserves the tokens of a request before it is sent.

use std::rc::Rc;

use hibiscus_types::BudgetName;
use hibiscus_types::TokenCount;

use crate::budgets::TokenRefusal;
use crate::handler::Result;
use crate::handler::admission::AdmittedRequest;
use crate::in_flight::RequestCharge;
use crate::response::LocalReason;
use crate::response::LocalRefusal;
use crate::state::TrafficState;
use crate::supply;
use crate::wire_format::WireFormat;

/// Logs the tokens held when a request's reservation failed.
pub(super) fn log_shortage<D: WireFormat>(state: &TrafficState<D>, admitted: &AdmittedRequest) {
    let Some(team) = &admitted.team else {
        return;
    };
    let budget = BudgetName::new(team.name.as_str());
    let tokens = TokenCount::new(
        admitted.caller_headers.prompt_tokens + admitted.caller_headers.output_tokens,
    );
    state
        .budgets
        .log_shortage(&admitted.caller_headers.id, &budget, tokens);
}

/// Reserves the maximum cost of the request: its prompt and the most output
/// tokens. Returns `None` when the team has no prepaid budget or the request
/// costs nothing.
pub(super) async fn reserve<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    admitted: &AdmittedRequest,
) -> Result<Option<Rc<RequestCharge>>> {
    let Some(team) = &admitted.team else {
        return Ok(None);
    };
    let max_tokens = admitted.caller_headers.prompt_tokens + admitted.caller_headers.output_tokens;
    if team.prepaid.is_none() || max_tokens == 0 {
        return Ok(None);
    }
    let budget = BudgetName::new(team.name.as_str());
    let tokens = TokenCount::new(max_tokens);
    let hold = supply::reserve(state, &budget, tokens, admitted.deadline).await;
    let hold = hold.map_err(|refusal| LocalRefusal {
        reason: match refusal {
            TokenRefusal::Spent => LocalReason::BudgetSpent,
            TokenRefusal::Unconfirmed | TokenRefusal::Later(_) => LocalReason::BudgetUnconfirmed,
        },
        recovery: refusal.retry_after(),
    })?;
    let charge = RequestCharge::new(
        state.budgets.clone(),
        budget,
        hold,
        admitted.caller_headers.prompt_tokens,
    );
    Ok(Some(Rc::new(charge)))
}

//! The tokens that a request needs before it is sent.

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

/// Logs what was held when a request got no tokens.
pub(super) fn log_shortage<D: WireFormat>(state: &TrafficState<D>, admitted: &AdmittedRequest) {
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
pub(super) async fn reserve<D: WireFormat>(
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
    let hold = supply::reserve(state, &budget, tokens, admitted.until).await;
    let hold = hold.map_err(|refusal| LocalRefusal {
        reason: match refusal {
            TokenRefusal::Spent => LocalReason::BudgetSpent,
            TokenRefusal::Unconfirmed | TokenRefusal::Later(_) => LocalReason::BudgetUnconfirmed,
        },
        chance: refusal.retry_after(),
    })?;
    let charge = RequestCharge::new(
        state.budgets.clone(),
        budget,
        hold,
        admitted.signs.prompt_tokens,
    );
    Ok(Some(Rc::new(charge)))
}

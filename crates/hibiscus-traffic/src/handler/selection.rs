//! Selects the server for an attempt, and waits for a permit where the servers are at
//! the limits that they name.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hibiscus_routing::admission::AdmissionRequest;
use hibiscus_routing::permits::MAX_AHEAD;
use hibiscus_routing::placement::PlacementRequest;
use hibiscus_types::ServerName;
use hibiscus_types::hash::stable_hash;

use crate::handler::admission::AdmittedRequest;
use crate::servers::ServerHandle;
use crate::servers::choice::ChosenServer;
use crate::servers::choice::NoServer;
use crate::servers::choice::PlacementView;
use crate::state::TrafficState;
use crate::wire_format::WireFormat;

/// Result of selecting a server.
type Result<T> = std::result::Result<T, NoServer>;

/// Longest wait for permits when no server can be used without one.
const PERMIT_WAIT: Duration = Duration::from_millis(150);

/// Part of the time to its deadline that a request may wait for the start of its
/// permit.
const RESERVATION_DIVISOR: u32 = 3;

/// Chooses a server that is not in `tried`. A request that finds all others at their
/// limits waits for the lenders' responses, and for a permit that starts soon.
///
/// # Errors
///
/// Fails if no server can be used now.
pub(super) async fn choose_server<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    admitted: &AdmittedRequest,
    tried: &[ServerName],
    request: &PlacementRequest<'_>,
) -> Result<ChosenServer> {
    let deadline = tokio::time::Instant::now() + PERMIT_WAIT;
    let mut spared: Option<Rc<ServerHandle>> = None;
    let none = loop {
        let choice = {
            let view = placement_view(state, admitted, request);
            let servers = state.servers.borrow();
            servers.choose(&admitted.service, tried, &view)
        };
        let Some(wanted) = choice.wanted else {
            match choice.outcome {
                Ok(chosen) => {
                    count_diversion(&chosen, spared.as_ref());
                    return admit(state, admitted, tried, request, chosen);
                }
                Err(none) => break none,
            }
        };
        // Permits of a cold server that one request collects from several lenders would
        // lapse, and the server is cold for a few seconds only.
        if choice.outcome.is_err()
            && wanted.has_cold_limit(Instant::now())
            && let Some(chosen) = reserve(state, admitted, tried, request).await
        {
            return Ok(chosen);
        }
        // The response may arrive as soon as the permit request is sent.
        let answered = wanted.permits_changed().notified();
        state.request_permits(&wanted);
        let is_requesting = wanted
            .limit()
            .borrow()
            .stock(Instant::now())
            .is_requesting();
        if !is_requesting {
            // This instance is the lender, or gets no permits for the server.
            spared = Some(Rc::clone(&wanted));
            continue;
        }
        let none = match choice.outcome {
            Ok(chosen) => {
                count_diversion(&chosen, Some(&wanted));
                return admit(state, admitted, tried, request, chosen);
            }
            Err(none) => none,
        };
        if tokio::time::timeout_at(deadline, answered).await.is_err() {
            break none;
        }
    };
    let NoServer::Limited(_time) = none else {
        return Err(none);
    };
    reserve(state, admitted, tried, request).await.ok_or(none)
}

/// Counts the request that goes to `chosen` although it suits `wanted` best.
fn count_diversion(chosen: &ChosenServer, wanted: Option<&Rc<ServerHandle>>) {
    if let Some(wanted) = wanted
        && !Rc::ptr_eq(wanted, &chosen.server)
    {
        wanted.count_diversion();
    }
}

/// Takes the next permit that starts soon enough for the request, and waits for it.
async fn reserve<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    admitted: &AdmittedRequest,
    tried: &[ServerName],
    request: &PlacementRequest<'_>,
) -> Option<ChosenServer> {
    let time_left = admitted.deadline.saturating_duration_since(Instant::now());
    let wait = MAX_AHEAD.min(time_left / RESERVATION_DIVISOR);
    let chosen = {
        let view = placement_view(state, admitted, request);
        let servers = state.servers.borrow();
        servers.reserve(&admitted.service, tried, wait, &view)?
    };
    if let Some(permit) = chosen.permit {
        tokio::time::sleep(permit.delay(Instant::now())).await;
    }
    Some(chosen)
}

fn placement_view<'a, D: WireFormat>(
    state: &'a TrafficState<D>,
    admitted: &'a AdmittedRequest,
    request: &'a PlacementRequest<'a>,
) -> PlacementView<'a> {
    let engine = admitted.table.engine(&admitted.service);
    PlacementView {
        now: Instant::now(),
        data_centre: &state.data_centre,
        others: state.directory.borrow().live_count().saturating_sub(1),
        request,
        versions: &admitted.versions,
        regions: &admitted.regions,
        memory_limit: engine.map(|engine| engine.memory_tokens),
    }
}

/// Admits a request that is sent for the first time, and takes its permit.
///
/// # Errors
///
/// Fails if the request cannot be completed in time.
fn admit<D: WireFormat>(
    state: &TrafficState<D>,
    admitted: &AdmittedRequest,
    tried: &[ServerName],
    request: &PlacementRequest<'_>,
    chosen: ChosenServer,
) -> Result<ChosenServer> {
    if !tried.is_empty() {
        return Ok(chosen.take_permit());
    }
    let team = admitted.team.as_ref();
    let shared = request.shared.last();
    let claim = AdmissionRequest {
        urgency: admitted.urgency(),
        kind: request.kind,
        kind_urgency: admitted.route.priority,
        team: team.map(|team| stable_hash(&[team.name.as_str().as_bytes()])),
        session: shared.map(|(part, _tokens)| *part),
        work_ms: chosen.work.work_ms,
        time_left: admitted.deadline.saturating_duration_since(Instant::now()),
    };
    let urgency = {
        let view = placement_view(state, admitted, request);
        let servers = state.servers.borrow();
        servers.admit(&admitted.caller_headers.id, &claim, &chosen, &view)?
    };
    Ok(ChosenServer {
        urgency: Some(urgency),
        ..chosen.take_permit()
    })
}

//! Handles one request from its arrival to its response.
//!
//! `admission` finds the route and the team and reads the body, `reservation`
//! reserves tokens of the team's budget, and `forwarding` sends the request to
//! the backend servers that `selection` chooses until one responds, and `response_intake`
//! receives that response. A step that fails returns the [`LocalRefusal`] that the
//! caller receives.

mod admission;
mod forwarding;
mod reservation;
mod response_intake;
mod selection;

use std::rc::Rc;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::callers::CallerRequest;
use crate::handler::admission::AdmittedRequest;
use crate::handler::response_intake::ForwardedResponse;
use crate::in_flight::RequestProgress;
use crate::model::RequestKind;
use crate::response;
use crate::response::LocalReason;
use crate::response::LocalRefusal;
use crate::response_body::ResponseBody;
use crate::state::TrafficState;
use crate::traffic_metrics::RequestOutcome;
use crate::wire_format::WireFormat;

/// Result of a step; the error becomes the response to the caller.
type Result<T> = std::result::Result<T, LocalRefusal>;

/// Data of a request for the log and the metrics.
#[derive(Debug)]
struct RequestInfo {
    id: String,
    kind: Option<RequestKind>,
    arrived: Instant,
    /// Whether the whole body has been read.
    body_read: bool,
}

/// A request in progress. Dropping it without a response is logged; this happens
/// when its connection ends, which drops the connection's task.
struct PendingRequest<'a> {
    info: RequestInfo,
    progress: &'a RequestProgress,
    responded: bool,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if self.responded {
            return;
        }
        if let Some(reason) = self.progress.close_reason() {
            event!(
                EventCode::RequestCut,
                "request={} reason={} answer=none",
                self.info.id,
                reason.label()
            );
        }
        event!(
            EventCode::RequestDropped,
            "request={} total_ms={}",
            self.info.id,
            self.info.arrived.elapsed().as_millis()
        );
    }
}

/// Handles one request; failures become local responses.
pub async fn serve<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    request: Request<Incoming>,
    caller: CallerRequest,
) -> Response<ResponseBody> {
    let progress = RequestProgress::new(caller, state.count_request());
    let mut pending = PendingRequest {
        info: RequestInfo {
            id: String::new(),
            kind: None,
            arrived: Instant::now(),
            body_read: request.body().is_end_stream(),
        },
        progress: &progress,
        responded: false,
    };
    let outcome = process(&state, request, &mut pending.info).await;
    pending.responded = true;
    if pending.info.body_read {
        progress.note_body_read();
    }
    let outcome = outcome.map_err(|refusal| refuse(&state, refusal, &pending.info));
    drop(pending);
    let mut response = match outcome {
        Ok((admitted, forwarded)) => {
            progress.set_deadline(admitted.deadline);
            let metrics = Rc::clone(&state.metrics);
            forwarded.into_response(&admitted, progress, metrics, &state.streams)
        }
        Err(response) => response,
    };
    state.headroom.close_some(&mut response);
    response
}

/// Admits the request, reserves its tokens and forwards it.
async fn process<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    request: Request<Incoming>,
    info: &mut RequestInfo,
) -> Result<(AdmittedRequest, ForwardedResponse)> {
    let (head, body) = request.into_parts();
    let headers = state.wire_format.parse_caller_headers(&head.headers);
    let headers = headers.map_err(|_fault| LocalReason::BadRequest)?;
    info.id.clone_from(&headers.id);
    if state.is_closing() {
        return Err(LocalReason::ShuttingDown.into());
    }
    if !state.has_room() {
        return Err(LocalReason::Overloaded.into());
    }
    state.headroom.admit(state.in_progress()).await?;
    let admitted = admission::admit(state, headers, head, body, info).await?;
    forwarding::check_quarantine(state, &admitted)?;
    // Before tokens are reserved, which may take until the deadline.
    forwarding::check_regions(state, &admitted)?;
    let charge = reservation::reserve(state, &admitted).await;
    let charge = charge.inspect_err(|_reason| reservation::log_shortage(state, &admitted))?;
    let forwarded = forwarding::forward(state, &admitted, charge).await?;
    Ok((admitted, forwarded))
}

/// Logs and counts a refusal and creates its response.
fn refuse<D: WireFormat>(
    state: &TrafficState<D>,
    refusal: LocalRefusal,
    info: &RequestInfo,
) -> Response<ResponseBody> {
    let reason = refusal.reason;
    let elapsed = info.arrived.elapsed();
    event!(
        EventCode::OwnAnswer,
        "request={} reason={} total_ms={}",
        info.id,
        reason.as_str(),
        elapsed.as_millis()
    );
    state.metrics.count_local_response(reason);
    state
        .metrics
        .record_request_end(info.kind, RequestOutcome::LocalResponse, elapsed);
    response::local_response(&state.wire_format, refusal, &info.id)
}

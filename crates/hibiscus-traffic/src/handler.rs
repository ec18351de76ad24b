//! The life of one request: admitted, reserved, placed, sent, answered.
//!
//! `admission` finds route and team and reads the body, `reservation` sets the
//! tokens aside, `forwarding` sends the request until a server answers. A step
//! that fails names the [`LocalRefusal`] that the caller is told.

mod admission;
mod forwarding;
mod reservation;

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
use crate::handler::forwarding::ForwardedAnswer;
use crate::in_flight::RequestProgress;
use crate::model::RequestKind;
use crate::response;
use crate::response::LocalReason;
use crate::response::LocalRefusal;
use crate::response_body::ResponseBody;
use crate::state::TrafficState;
use crate::traffic_metrics::RequestOutcome;
use crate::wire_format::WireFormat;

/// Result of a step; the reason is the answer.
type Result<T> = std::result::Result<T, LocalRefusal>;

/// What is known of a request so far, for the log and the metrics.
#[derive(Debug)]
struct KnownRequest {
    id: String,
    kind: Option<RequestKind>,
    arrived: Instant,
    /// Whether no part of its body is to come.
    body_read: bool,
}

/// A request without an answer so far. Its connection's task is dropped when
/// the connection ends, and the request with it.
struct UnansweredRequest<'a> {
    known: KnownRequest,
    progress: &'a RequestProgress,
    answered: bool,
}

impl Drop for UnansweredRequest<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        if let Some(reason) = self.progress.closing() {
            event!(
                EventCode::RequestCut,
                "request={} reason={} answer=none",
                self.known.id,
                reason.label()
            );
        }
        event!(
            EventCode::RequestDropped,
            "request={} total_ms={}",
            self.known.id,
            self.known.arrived.elapsed().as_millis()
        );
    }
}

/// Serves one request; every way out is an answer.
pub async fn serve<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    request: Request<Incoming>,
    caller: CallerRequest,
) -> Response<ResponseBody> {
    let progress = RequestProgress::new(caller, state.count_request());
    let mut unanswered = UnansweredRequest {
        known: KnownRequest {
            id: String::new(),
            kind: None,
            arrived: Instant::now(),
            body_read: request.body().is_end_stream(),
        },
        progress: &progress,
        answered: false,
    };
    let outcome = work(&state, request, &mut unanswered.known).await;
    unanswered.answered = true;
    if unanswered.known.body_read {
        progress.note_body_read();
    }
    let outcome = outcome.map_err(|refusal| refuse(&state, refusal, &unanswered.known));
    drop(unanswered);
    match outcome {
        Ok((admitted, forwarded)) => {
            let measures = Rc::clone(&state.measures);
            forwarded.into_answer(&admitted, progress, measures)
        }
        Err(refusal) => refusal,
    }
}

/// Admits the request, reserves its tokens and forwards it.
async fn work<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    request: Request<Incoming>,
    known: &mut KnownRequest,
) -> Result<(AdmittedRequest, ForwardedAnswer)> {
    let (head, body) = request.into_parts();
    let signs = state.wire_format.parse_caller_headers(&head.headers);
    let signs = signs.map_err(|_fault| LocalReason::BadRequest)?;
    known.id.clone_from(&signs.id);
    if state.is_closing() {
        return Err(LocalReason::Stopping.into());
    }
    if !state.has_room() {
        return Err(LocalReason::Overloaded.into());
    }
    let admitted = admission::admit(state, signs, head, body, known).await?;
    forwarding::check_suspect_status(state, &admitted)?;
    let charge = reservation::reserve(state, &admitted).await;
    let charge = charge.inspect_err(|_reason| reservation::log_shortage(state, &admitted))?;
    let forwarded = forwarding::forward(state, &admitted, charge).await?;
    Ok((admitted, forwarded))
}

/// Logs, counts and makes an answer of this instance.
fn refuse<D: WireFormat>(
    state: &TrafficState<D>,
    refusal: LocalRefusal,
    known: &KnownRequest,
) -> Response<ResponseBody> {
    let reason = refusal.reason;
    let taken = known.arrived.elapsed();
    event!(
        EventCode::OwnAnswer,
        "request={} reason={} total_ms={}",
        known.id,
        reason.word(),
        taken.as_millis()
    );
    state.measures.count_local_response(reason);
    state
        .measures
        .record_request_end(known.kind, RequestOutcome::Own, taken);
    response::local_response(&state.wire_format, refusal, &known.id)
}

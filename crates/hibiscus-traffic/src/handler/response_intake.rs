//! Receives the response of a backend server and forwards it to the caller.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use hibiscus_events::EventCode;
use hibiscus_events::event;
use http::Method;
use http::Response;
use http::StatusCode;
use http::Version;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;

use crate::callers::pause::ReadingPause;
use crate::crash_detector::StreamCandidate;
use crate::handler::admission::AdmittedRequest;
use crate::handler::forwarding::SentAttempt;
use crate::in_flight::InFlightRequest;
use crate::in_flight::RequestCharge;
use crate::in_flight::RequestProgress;
use crate::in_flight::ResponseTracker;
use crate::model::RequestKind;
use crate::response_body::ResponseBody;
use crate::response_body::StreamForwarder;
use crate::send;
use crate::send::FailureCause;
use crate::send::ServerResponse;
use crate::stream_versions::StreamStart;
use crate::stream_versions::StreamTracker;
use crate::traffic_metrics::RequestOutcome;
use crate::traffic_metrics::TrafficMetrics;

/// Maximum size of a buffered response body. A response that is not a stream
/// is read whole before its head is sent to the caller.
const BUFFERED_BODY_LIMIT_BYTES: usize = 256 * 1024;

/// A server's response that is forwarded to the caller.
pub(super) enum ForwardedResponse {
    /// A response whose body has been read whole.
    Whole(Response<Bytes>),
    /// A stream whose body is forwarded as it arrives.
    Stream(Box<StartedStream>),
}

/// A stream whose head has arrived.
pub(super) struct StartedStream {
    head: http::response::Parts,
    body: Incoming,
    /// Whether the end of the body is marked.
    is_framed: bool,
    in_flight: InFlightRequest,
    charge: Option<Rc<RequestCharge>>,
    attempt: SentAttempt,
}

impl ForwardedResponse {
    /// Converts this into the response to the caller. A stream counts as in
    /// progress until its body has been forwarded.
    pub(super) fn into_response(
        self,
        admitted: &AdmittedRequest,
        progress: RequestProgress,
        metrics: Rc<TrafficMetrics>,
        streams: &Rc<StreamTracker>,
    ) -> Response<ResponseBody> {
        let kind = admitted.route.kind;
        let stream = match self {
            Self::Whole(response) => {
                let elapsed = admitted.arrived.elapsed();
                metrics.record_first_event(kind, elapsed);
                metrics.record_request_end(Some(kind), RequestOutcome::Forwarded, elapsed);
                return response.map(ResponseBody::whole);
            }
            Self::Stream(stream) => *stream,
        };
        let attempt = stream.attempt;
        let engine = admitted.table.engine(&admitted.service);
        let pause = ReadingPause::new(stream.in_flight.server());
        progress.set_pause(&pause);
        let tracker = ResponseTracker {
            id: admitted.caller_headers.id.clone(),
            kind,
            arrived: admitted.arrived,
            last_event: None,
            metrics,
            in_flight: stream.in_flight,
            charge: stream.charge,
            tokens_per_event: engine.map_or(1, |engine| engine.tokens_per_event),
            progress,
            pause,
            crash_candidate: StreamCandidate::new(attempt.request, attempt.crash_detector),
            prompt_watch: attempt.prompt_watch,
            stream_start: stream_start(admitted, streams, attempt.is_verified),
            suspects: attempt.suspects,
            suspect: attempt.suspect,
        };
        let deadline = tokio::time::sleep_until(admitted.deadline.into());
        let forwarder = StreamForwarder::new(
            stream.body,
            stream.is_framed,
            admitted.caller_headers.resume_after,
            deadline,
            tracker,
        );
        Response::from_parts(stream.head, ResponseBody::Stream(Box::new(forwarder)))
    }
}

/// Returns what notes the version that begins a stream that may be taken up again.
fn stream_start(
    admitted: &AdmittedRequest,
    streams: &Rc<StreamTracker>,
    is_verified: bool,
) -> Option<StreamStart> {
    let is_new = admitted.caller_headers.resume_after.is_none();
    (is_new && admitted.route.kind == RequestKind::ResumableStream)
        .then(|| StreamStart::new(Rc::clone(streams), is_verified))
}

/// Whether the response is a stream, which is forwarded as it arrives.
pub(super) fn is_stream(admitted: &AdmittedRequest, response: &ServerResponse) -> bool {
    admitted.route.kind.is_stream() && response.response.status().is_success()
}

/// Whether the end of the body is marked by a length or a last chunk. Otherwise it ends with
/// its connection, which a crash of the server also ends.
fn is_framed(head: &http::response::Parts) -> bool {
    let codings = head.headers.get_all(header::TRANSFER_ENCODING);
    let Some(coding) = codings.iter().next_back() else {
        return head.headers.contains_key(header::CONTENT_LENGTH);
    };
    let coding = coding.to_str().unwrap_or_default();
    let last = coding.rsplit(',').next().unwrap_or_default();
    last.trim().eq_ignore_ascii_case("chunked")
}

/// Whether a body may follow `head` in the response to `admitted`.
fn may_have_body(admitted: &AdmittedRequest, head: &http::response::Parts) -> bool {
    admitted.method != Method::HEAD && head.status != StatusCode::NO_CONTENT
}

/// Removes from the head of a server's response what concerns the connection to the
/// server only.
fn prepare_head(admitted: &AdmittedRequest, head: &mut http::response::Parts) {
    // With an older version, the HTTP library ends a body without a length with the
    // connection, so that the caller could not tell a broken stream from a complete one.
    head.version = Version::HTTP_11;
    send::strip_connection_headers(&mut head.headers);
    // The HTTP library states the length of a whole body, and sends a stream in chunks, so
    // that a stream may still fail after its last byte. The response to HEAD states the
    // length of another one.
    if admitted.method != Method::HEAD {
        head.headers.remove(header::CONTENT_LENGTH);
    }
}

/// Starts to forward a stream.
pub(super) fn start_stream(
    admitted: &AdmittedRequest,
    response: ServerResponse,
    charge: Option<&Rc<RequestCharge>>,
    attempt: SentAttempt,
) -> StartedStream {
    let (mut head, body) = response.response.into_parts();
    let is_framed = is_framed(&head);
    prepare_head(admitted, &mut head);
    StartedStream {
        head,
        body,
        is_framed,
        in_flight: response.in_flight,
        charge: charge.map(Rc::clone),
        attempt,
    }
}

/// Receives a server's response that is not a stream. Its body is read whole, so
/// that the caller never gets the start of a response that breaks off.
pub(super) async fn receive_response(
    admitted: &AdmittedRequest,
    response: ServerResponse,
    attempt: &mut SentAttempt,
) -> std::result::Result<Response<Bytes>, FailureCause> {
    let (mut head, body) = response.response.into_parts();
    let is_unframed = !is_framed(&head) && may_have_body(admitted, &head);
    prepare_head(admitted, &mut head);
    let mut in_flight = response.in_flight;
    attempt.request.head_at = Some(Instant::now());
    if head.status.is_success() {
        attempt.prompt_watch.note_begun();
    }
    let wait = admitted.deadline.saturating_duration_since(Instant::now());
    let gathered = Limited::new(body, BUFFERED_BODY_LIMIT_BYTES).collect();
    let gathered = tokio::time::timeout(wait, gathered).await;
    let Ok(Ok(gathered)) = gathered else {
        in_flight.server().note_failed();
        return Err(FailureCause::ResponseBroken);
    };
    let body = gathered.to_bytes();
    // The connection ended right after the head, which a crash also causes.
    if is_unframed && head.status.is_success() && body.is_empty() {
        in_flight.server().note_failed();
        return Err(FailureCause::ResponseBroken);
    }
    if head.status.is_success() {
        in_flight.note_complete();
    }
    in_flight.note_prefill_done();
    in_flight.server().note_healthy();
    attempt.note_responded();
    attempt.prompt_watch.note_ended();
    event!(
        EventCode::RequestEnded,
        "request={} server={} status={} total_ms={}",
        admitted.caller_headers.id,
        in_flight.server().entry.name,
        head.status.as_u16(),
        admitted.arrived.elapsed().as_millis()
    );
    in_flight.keep_connection();
    Ok(Response::from_parts(head, body))
}

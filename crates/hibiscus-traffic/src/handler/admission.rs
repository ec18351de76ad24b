//! Whether a request may be sent at all, and where to.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use hibiscus_types::ServiceName;
use http::HeaderMap;
use http::Method;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::callers::BodyBytes;
use crate::crash_detector::RequestIdentity;
use crate::handler::KnownRequest;
use crate::handler::Result;
use crate::model::RouteRule;
use crate::model::TeamRule;
use crate::response::LocalReason;
use crate::send;
use crate::state::TrafficState;
use crate::state::start;
use crate::table;
use crate::table::RouteTable;
use crate::wire_format::CallerHeaders;
use crate::wire_format::WireFormat;

/// A request that may be sent.
#[derive(Debug)]
pub(super) struct AdmittedRequest {
    pub(super) signs: CallerHeaders,
    pub(super) table: Rc<RouteTable>,
    pub(super) route: Arc<RouteRule>,
    pub(super) team: Option<Arc<TeamRule>>,
    pub(super) service: ServiceName,
    pub(super) method: Method,
    pub(super) headers: HeaderMap,
    /// Path, caller and body.
    pub(super) identity: Rc<RequestIdentity>,
    /// When it arrived.
    pub(super) arrived: Instant,
    /// When its caller or route has waited long enough.
    pub(super) until: Instant,
}

/// Finds route and team and reads the body.
pub(super) async fn admit<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    signs: CallerHeaders,
    head: http::request::Parts,
    body: Incoming,
    known: &mut KnownRequest,
) -> Result<AdmittedRequest> {
    let arrived = known.arrived;
    if let Some(end) = start::startup_wait_end(arrived, signs.deadline, state.now()) {
        state.wait_until_configured(end).await;
    }
    let table = state.table().ok_or(LocalReason::NoConfig)?;
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = table.route(host, head.uri.path());
    let route = Arc::clone(route.ok_or(LocalReason::UnknownRoute)?);
    known.kind = Some(route.kind);
    let team = signs.key.as_deref().and_then(|key| table.team(key));
    let team = team.map(Arc::clone);
    if table.config().needs_key && !route.anonymous && team.is_none() {
        return Err(LocalReason::UnknownKey.into());
    }
    let pick = fastrand::u32(..);
    let service = table::pick_service(&route, pick).ok_or(LocalReason::NoServer)?;
    let service = service.clone();
    let wait = signs.deadline.unwrap_or(route.timeout).min(route.timeout);
    let until = arrived + wait;
    let limit = table.config().limits.body_bytes;
    let reading = read_body(body, limit, state.callers.begin_body());
    let read = tokio::time::timeout_at(until.into(), reading).await;
    let body = read.map_err(|_elapsed| LocalReason::TimeSpent)??;
    known.body_read = true;
    let mut headers = head.headers;
    send::strip_connection_headers(&mut headers);
    state.wire_format.strip_internal_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let caller = team.as_ref().map(|team| team.name.clone());
    Ok(AdmittedRequest {
        signs,
        table,
        route,
        team,
        service,
        method: head.method,
        headers,
        identity: Rc::new(RequestIdentity::new(caller, head.uri, body)),
        arrived,
        until,
    })
}

/// Reads a body of at most `limit` bytes, which `held` counts.
async fn read_body(
    mut body: Incoming,
    limit: usize,
    mut held: BodyBytes,
) -> Result<(Bytes, BodyBytes)> {
    if hyper::body::Body::size_hint(&body).lower() > limit as u64 {
        return Err(LocalReason::BodyTooLong.into());
    }
    let mut gathered = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_broken| LocalReason::BadRequest)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if gathered.len() + data.len() > limit {
            return Err(LocalReason::BodyTooLong.into());
        }
        if !held.grow(data.len()) {
            return Err(LocalReason::Overloaded.into());
        }
        gathered.extend_from_slice(&data);
    }
    Ok((gathered.freeze(), held))
}

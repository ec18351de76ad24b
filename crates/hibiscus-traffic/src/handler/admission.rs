//! Decides whether a request may be sent, and to which service.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use hibiscus_request::prompt_parts::PARTS_PER_PROMPT_LIMIT;
use hibiscus_request::prompt_parts::PartId;
use hibiscus_request::prompt_parts::SharedPrompt;
use hibiscus_request::prompt_parts::TeamTag;
use hibiscus_types::ServiceName;
use hibiscus_types::TeamName;
use http::HeaderMap;
use http::Method;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::callers::BodyBytes;
use crate::crash_detector::RequestIdentity;
use crate::handler::RequestInfo;
use crate::handler::Result;
use crate::model::RouteRule;
use crate::model::TeamRule;
use crate::regions::RegionRule;
use crate::response::LocalReason;
use crate::send;
use crate::state::TrafficState;
use crate::state::start;
use crate::state::start::StartupNeeds;
use crate::stream_versions::VersionRule;
use crate::stream_versions::take_up::StreamTarget;
use crate::table;
use crate::table::RouteTable;
use crate::wire_format::CallerHeaders;
use crate::wire_format::WireFormat;

/// A request that may be sent to a backend server.
#[derive(Debug)]
pub(super) struct AdmittedRequest {
    pub(super) caller_headers: CallerHeaders,
    pub(super) table: Rc<RouteTable>,
    pub(super) route: Arc<RouteRule>,
    pub(super) team: Option<Arc<TeamRule>>,
    pub(super) service: ServiceName,
    pub(super) method: Method,
    /// Header fields to forward.
    pub(super) headers: HeaderMap,
    /// Team, target URI and body.
    pub(super) identity: Rc<RequestIdentity>,
    /// What the prompt shares with others.
    pub(super) prompt: Rc<SharedPrompt>,
    /// Software versions of the servers that may get the request.
    pub(super) versions: VersionRule,
    /// Data centres that the request may reach.
    pub(super) regions: RegionRule,
    pub(super) arrived: Instant,
    /// Arrival plus the shorter of the caller's deadline and the route's
    /// timeout.
    pub(super) deadline: Instant,
}

impl AdmittedRequest {
    /// Urgency of the request: the team's priority if it has one, else the route's.
    pub(super) fn urgency(&self) -> u8 {
        let team = self.team.as_ref().and_then(|team| team.priority);
        team.unwrap_or(self.route.priority)
    }
}

/// Finds the route and the team of a request and reads its body.
pub(super) async fn admit<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    caller_headers: CallerHeaders,
    head: http::request::Parts,
    body: Incoming,
    info: &mut RequestInfo,
) -> Result<AdmittedRequest> {
    let arrived = info.arrived;
    if let Some(end) = start::startup_wait_end(arrived, caller_headers.deadline, state.now()) {
        let needs = StartupNeeds {
            suspects: caller_headers.parts.len() > 1,
            versions: caller_headers.resume_after.is_some(),
        };
        state.wait_until_configured(needs, end).await;
    }
    let table = state.table().ok_or(LocalReason::NoConfig)?;
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = table.route(host, head.uri.path());
    let route = Arc::clone(route.ok_or(LocalReason::UnknownRoute)?);
    info.kind = Some(route.kind);
    let team = caller_headers
        .key
        .as_deref()
        .and_then(|key| table.team(key));
    let team = team.map(Arc::clone);
    if table.config().needs_key && !route.anonymous && team.is_none() {
        return Err(LocalReason::UnknownKey.into());
    }
    let pick = fastrand::u32(..);
    let service = table::pick_service(&route, pick).ok_or(LocalReason::NoServer)?;
    let service = service.clone();
    let wait = caller_headers
        .deadline
        .unwrap_or(route.timeout)
        .min(route.timeout);
    let deadline = arrived + wait;
    if state.may_be_cut(deadline) {
        return Err(LocalReason::ShuttingDown.into());
    }
    let limit = table.config().limits.body_bytes;
    let reading = read_body(body, limit, state.callers.begin_body());
    let read = tokio::time::timeout_at(deadline.into(), reading).await;
    let body = read.map_err(|_elapsed| LocalReason::ExpiredBeforeSend)??;
    info.body_read = true;
    let team_regions = team.as_ref().map(|team| &team.allowed_regions[..]);
    let regions = state
        .regions
        .rule(&[&route.allowed_regions, team_regions.unwrap_or_default()]);
    let target = StreamTarget {
        service: &service,
        regions: &regions,
    };
    let versions = version_rule(state, &caller_headers, &route, &target, deadline).await?;
    let mut headers = head.headers;
    send::strip_connection_headers(&mut headers);
    state.wire_format.strip_internal_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let caller = team.as_ref().map(|team| team.name.clone());
    let prompt = Rc::new(shared_prompt(&caller_headers, caller.as_ref()));
    Ok(AdmittedRequest {
        caller_headers,
        table,
        route,
        team,
        service,
        method: head.method,
        headers,
        prompt,
        versions,
        regions,
        identity: Rc::new(RequestIdentity::new(caller, head.uri, body)),
        arrived,
        deadline,
    })
}

/// Returns the software versions of the servers that may get a request: for one that
/// takes a stream up again, the version that began the stream.
async fn version_rule<D: WireFormat>(
    state: &TrafficState<D>,
    caller_headers: &CallerHeaders,
    route: &RouteRule,
    target: &StreamTarget<'_>,
    deadline: Instant,
) -> Result<VersionRule> {
    let service = target.service;
    if !route.kind.is_stream() {
        return Ok(VersionRule::Any);
    }
    if caller_headers.resume_after.is_none() {
        return Ok(state.rule_for_new_stream(target, deadline).await);
    }
    let resumes = caller_headers.resumes.as_deref();
    let rule = state.rule_for_take_up(service, resumes, deadline).await;
    rule.map_err(|reason| {
        state.log_take_up_refusal(&caller_headers.id, resumes, service, reason);
        reason.into()
    })
}

/// Returns what the prompt of a request of `team` shares with others: all parts but
/// the last, which is the request's own.
fn shared_prompt(caller_headers: &CallerHeaders, team: Option<&TeamName>) -> SharedPrompt {
    let shared = caller_headers.parts.split_last();
    let shared = shared.map_or(&[][..], |(_own, shared)| shared);
    let parts = shared.iter().take(PARTS_PER_PROMPT_LIMIT);
    let parts = parts.map(|part| PartId(part.id)).collect();
    SharedPrompt::new(parts, TeamTag::of(team))
}

/// Reads a body of at most `limit` bytes and counts them in `counter`.
async fn read_body(
    mut body: Incoming,
    limit: usize,
    mut counter: BodyBytes,
) -> Result<(Bytes, BodyBytes)> {
    if hyper::body::Body::size_hint(&body).lower() > limit as u64 {
        return Err(LocalReason::BodyTooLong.into());
    }
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_broken| LocalReason::BadRequest)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > limit {
            return Err(LocalReason::BodyTooLong.into());
        }
        if !counter.grow(data.len()) {
            return Err(LocalReason::Overloaded.into());
        }
        buffer.extend_from_slice(&data);
    }
    Ok((buffer.freeze(), counter))
}

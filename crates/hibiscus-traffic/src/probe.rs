//! Probes the readiness of other instances, faster than the store reports it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hibiscus_events::EventCode;
use hibiscus_events::event;
use http::Request;
use http::StatusCode;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;

use crate::connect::ServerConnection;
use crate::connect::own_time;
use crate::idle::IdleConnection;
use crate::model::InstanceEntry;
use crate::state::TrafficState;
use crate::tally::PeerRequestKind;
use crate::tally::PeerRequestOutcome;
use crate::updates::TrafficUpdate;
use crate::wire_format::WireFormat;

/// Time between two probes, short enough that callers learn of an instance's crash
/// within a second.
const REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two probes in a large fleet, where each further probe costs every
/// instance, and several instances watch each one.
const LARGE_FLEET_REQUEST_INTERVAL: Duration = Duration::from_millis(800);
/// Time between two checks whether the idle connection was closed: a process that
/// exits closes its connections, so it is probed at once.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Size limit of the body of a response; instances send none.
const BODY_LIMIT_BYTES: usize = 64 * 1024;
/// Time to wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Probes the process that announced `entry` at `path` for as long as this
/// instance is assigned to watch it.
pub async fn watch<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    entry: InstanceEntry,
    path: &'static str,
) {
    let mut link = None;
    let mut last_serves = None;
    while state.directory.borrow().monitors(&entry) {
        let exchange = request_readiness(&mut link, entry.readiness, path);
        let response = own_time::timeout(RESPONSE_TIMEOUT, exchange)
            .await
            .flatten();
        let serves = response == Some(StatusCode::OK);
        let outcome = match response {
            Some(_status) if serves => PeerRequestOutcome::Answered,
            Some(_status) => PeerRequestOutcome::Refused,
            None => PeerRequestOutcome::Unanswered,
        };
        state
            .tally
            .count_peer_request(PeerRequestKind::Readiness, outcome);
        if response.is_none() {
            link = None;
        }
        if last_serves != Some(serves) {
            event!(
                EventCode::InstanceWatched,
                "instance={} serves={serves}",
                entry.name
            );
            last_serves = Some(serves);
        }
        state.apply(TrafficUpdate::Reachable(entry.clone(), serves));
        wait_for_next_request(&state, link.as_ref()).await;
    }
}

/// Waits until the next probe is due.
async fn wait_for_next_request<D: WireFormat>(
    state: &TrafficState<D>,
    link: Option<&ServerConnection>,
) {
    if !state.directory.borrow().is_large() {
        tokio::time::sleep(REQUEST_INTERVAL).await;
        return;
    }
    let started = Instant::now();
    while started.elapsed() < LARGE_FLEET_REQUEST_INTERVAL {
        tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
        if link.is_some_and(|link| !link.is_usable()) {
            return;
        }
    }
}

/// Sends one probe to `address` on the idle connection, or on a new one. Returns the status
/// of the response, unless its body is longer than an instance sends.
pub async fn request_readiness(
    link: &mut Option<ServerConnection>,
    address: SocketAddr,
    path: &'static str,
) -> Option<StatusCode> {
    if link.as_ref().is_none_or(|link| !link.is_usable()) {
        *link = ServerConnection::open(address).await.ok();
    }
    let sender = link.as_mut()?.sender();
    sender.ready().await.ok()?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(path);
    let host = http::HeaderValue::from_str(&address.to_string()).ok()?;
    request.headers_mut().insert(http::header::HOST, host);
    let response = sender.send_request(request).await.ok()?;
    let status = response.status();
    let body = Limited::new(response.into_body(), BODY_LIMIT_BYTES);
    body.collect().await.ok()?;
    Some(status)
}

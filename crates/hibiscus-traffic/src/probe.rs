//! Asks other instances whether they serve, faster than the store tells.

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

use crate::connect::ServerLink;
use crate::dialect::RequestDialect;
use crate::idle::IdleLink;
use crate::model::InstanceEntry;
use crate::state::TrafficState;
use crate::tally::QuestionOutcome;
use crate::tally::QuestionSubject;
use crate::updates::TrafficUpdate;

/// Time between two questions: callers are told of a death within a second.
const REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// The same in a large fleet, where a question more costs every instance, and
/// several watch each.
const LARGE_FLEET_REQUEST_INTERVAL: Duration = Duration::from_millis(800);
/// Time between two looks whether the kept connection was closed: a process
/// that ends closes its own, so its watchers need not wait to ask.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time for an answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Asks the process that announced `entry` at `path` for as long as this
/// instance is to watch it.
pub async fn watch<D: RequestDialect>(
    state: Rc<TrafficState<D>>,
    entry: InstanceEntry,
    path: &'static str,
) {
    let mut link = None;
    let mut last_serves = None;
    while state.directory.borrow().watches(&entry) {
        let exchange = request_readiness(&mut link, &entry, path);
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await;
        let serves = matches!(response, Ok(Some(StatusCode::OK)));
        let outcome = match response {
            Ok(Some(_status)) if serves => QuestionOutcome::Answered,
            Ok(Some(_status)) => QuestionOutcome::Refused,
            _ => QuestionOutcome::Unanswered,
        };
        state
            .tally
            .count_question(QuestionSubject::Readiness, outcome);
        if !matches!(response, Ok(Some(_))) {
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

/// Waits until the next question is due.
async fn wait_for_next_request<D: RequestDialect>(
    state: &TrafficState<D>,
    link: Option<&ServerLink>,
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

/// One question over the kept connection, or over a new one.
async fn request_readiness(
    link: &mut Option<ServerLink>,
    entry: &InstanceEntry,
    path: &'static str,
) -> Option<StatusCode> {
    if link.as_ref().is_none_or(|link| !link.is_usable()) {
        *link = ServerLink::open(entry.readiness).await.ok();
    }
    let sender = link.as_mut()?.sender();
    sender.ready().await.ok()?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(path);
    let host = http::HeaderValue::from_str(&entry.readiness.to_string()).ok()?;
    request.headers_mut().insert(http::header::HOST, host);
    let response = sender.send_request(request).await.ok()?;
    let status = response.status();
    response.into_body().collect().await.ok()?;
    Some(status)
}

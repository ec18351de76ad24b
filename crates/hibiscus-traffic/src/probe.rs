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

use crate::connect::ServerConnection;
use crate::idle::IdleConnection;
use crate::model::InstanceEntry;
use crate::state::TrafficState;
use crate::tally::PeerRequestKind;
use crate::tally::PeerRequestOutcome;
use crate::updates::TrafficUpdate;
use crate::wire_format::WireFormat;

/// Time between two questions: callers are told of a death within a second.
const INTERVAL: Duration = Duration::from_millis(400);
/// The same in a large fleet, where a question more costs every instance, and
/// several watch each.
const LARGE_INTERVAL: Duration = Duration::from_millis(800);
/// Time between two looks whether the kept connection was closed: a process
/// that ends closes its own, so its watchers need not wait to ask.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// Time for an answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(600);

/// Asks the process that announced `entry` at `path` for as long as this
/// instance is to watch it.
pub async fn watch<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    entry: InstanceEntry,
    path: &'static str,
) {
    let mut link = None;
    let mut last = None;
    while state.directory.borrow().monitors(&entry) {
        let asked = ask(&mut link, &entry, path);
        let answer = tokio::time::timeout(ANSWER_LIMIT, asked).await;
        let serves = matches!(answer, Ok(Some(StatusCode::OK)));
        let outcome = match answer {
            Ok(Some(_status)) if serves => PeerRequestOutcome::Answered,
            Ok(Some(_status)) => PeerRequestOutcome::Refused,
            _ => PeerRequestOutcome::Unanswered,
        };
        state
            .tally
            .count_peer_request(PeerRequestKind::Readiness, outcome);
        if !matches!(answer, Ok(Some(_))) {
            link = None;
        }
        if last != Some(serves) {
            event!(
                EventCode::InstanceWatched,
                "instance={} serves={serves}",
                entry.name
            );
            last = Some(serves);
        }
        state.apply(TrafficUpdate::Reachable(entry.clone(), serves));
        rest(&state, link.as_ref()).await;
    }
}

/// Waits until the next question is due.
async fn rest<D: WireFormat>(state: &TrafficState<D>, link: Option<&ServerConnection>) {
    if !state.directory.borrow().is_large() {
        tokio::time::sleep(INTERVAL).await;
        return;
    }
    let begun = Instant::now();
    while begun.elapsed() < LARGE_INTERVAL {
        tokio::time::sleep(LOOK_INTERVAL).await;
        if link.is_some_and(|link| !link.is_usable()) {
            return;
        }
    }
}

/// One question over the kept connection, or over a new one.
async fn ask(
    link: &mut Option<ServerConnection>,
    entry: &InstanceEntry,
    path: &'static str,
) -> Option<StatusCode> {
    if link.as_ref().is_none_or(|link| !link.is_usable()) {
        *link = ServerConnection::open(entry.readiness).await.ok();
    }
    let sender = link.as_mut()?.sender();
    sender.ready().await.ok()?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(path);
    let host = http::HeaderValue::from_str(&entry.readiness.to_string()).ok()?;
    request.headers_mut().insert(http::header::HOST, host);
    let answer = sender.send_request(request).await.ok()?;
    let status = answer.status();
    answer.into_body().collect().await.ok()?;
    Some(status)
}

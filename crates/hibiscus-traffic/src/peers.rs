//! Requests and responses between instances.
//!
//! - An instance that doesn't hold a budget, or a holder that can't draw,
//!   requests the tokens for a request from a holder and later returns what
//!   remains ([`crate::supply`]). The holder counts the tokens as spent before it
//!   responds, so a lost response loses tokens but spends none twice.
//! - An instance that closes the accounts of ended processes requests which
//!   process has their ports now, and the time of day ([`crate::recovery`]).
//! - Monitors send failure suspicions ([`crate::members`]).
//! - An instance that detects the crash of a server reports it to the others
//!   ([`crate::suspects`]) and the prompts that were there
//!   ([`crate::part_tracker`]).
//! - Instances exchange the limits that servers name ([`crate::limit_exchange`])
//!   and request permits under them ([`crate::permits`]). Releases before these
//!   requests do not respond to them.
//! - Instances do the same for servers that are cold ([`crate::cold::exchange`],
//!   [`crate::cold::permits`]).
//! - An instance that carries streams sends notes of the versions that began them
//!   ([`crate::stream_versions::witnesses`]).
//! - An instance that lacks the history of budgets asks their holders for snapshots
//!   ([`crate::budgets`]).
//! - An instance that is short of headroom tells the others ([`crate::headroom`]).

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account::limit::MachineTime;
use hibiscus_membership::headroom::reports::HeadroomMessage;
use hibiscus_membership::suspicion::SuspicionMessage;
use hibiscus_peer::PinnedCall;
use hibiscus_peer::PinnedLink;
use hibiscus_request::prompt_parts::PartId;
use hibiscus_request::stream_versions::StreamBatch;
use hibiscus_routing::permits::PermitGrant;
use hibiscus_types::BudgetName;
use hibiscus_types::IncarnationId;
use hibiscus_types::TokenCount;
use hibiscus_types::UnixMillis;
use hibiscus_types::codec;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::budgets::TokenRefusal;
use crate::cold::exchange::ColdNotice;
use crate::cold::permits::ColdPermitRequest;
use crate::limit_exchange::LimitNotice;
use crate::part_tracker::PartNotice;
use crate::permits::PermitRequest;
use crate::permits::PermitResponse;
use crate::state::TrafficState;
use crate::supply;
use crate::suspects::CrashNotice;
use crate::wire_format::WireFormat;

/// Received requests that can wait for their responses.
pub const REQUEST_QUEUE_CAPACITY: usize = 256;
/// Timeout of calls that no caller waits for: machines that start together are
/// slow to accept connections.
const BACKGROUND_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// A request to another instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Sent by earlier releases only. The response grants no tokens, since a
    /// holder now requests what a single request needs, as other instances do.
    Tokens {
        /// The budget to take the tokens from.
        budget: BudgetName,
        /// The most tokens that the requester accepts.
        tokens: TokenCount,
    },
    /// Requests the time of day of the machine.
    TimeOfDay,
    /// Requests the tokens for one request from a holder of the budget.
    Reserve {
        /// The budget to take the tokens from.
        budget: BudgetName,
        /// Tokens that the request needs; fewer are of no use.
        tokens: TokenCount,
    },
    /// Returns transferred tokens that requests didn't use to a holder.
    Return {
        /// The budget that the tokens belong to.
        budget: BudgetName,
        /// The tokens to return.
        tokens: TokenCount,
    },
    /// Exchanges failure suspicions.
    Suspicions(SuspicionMessage),
    /// Reports crashed servers and the requests under which they crashed.
    Crashes(CrashNotice),
    /// Requests the identity of the process that runs the instance.
    Process,
    /// Exchanges the limits that servers name.
    Limits(Vec<LimitNotice>),
    /// Requests permits for requests to a server that names a limit.
    Permits(PermitRequest),
    /// Reports the prompts at servers that crashed.
    PromptParts(PartNotice),
    /// Exchanges the cold times of servers.
    ColdServers(Vec<ColdNotice>),
    /// Requests permits for requests to a cold server.
    ColdPermits(ColdPermitRequest),
    /// Reports the headroom of instances.
    Headroom(HeadroomMessage),
    /// Sends notes of streams to an instance that holds them.
    StreamNotes(Vec<StreamBatch>),
    /// Reports suspected parts of prompts without which requests are answered.
    PartContrasts(Vec<PartId>),
    /// Requests that the snapshots of budgets are written, whose history the requester
    /// lacks.
    WriteSnapshots(Vec<BudgetName>),
}

/// The process that responds for an instance. It holds the instance's ports, so
/// all processes that held them before have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerProcess {
    /// Identifier of the process.
    pub incarnation: IncarnationId,
    /// The machine's clocks when the process had opened the ports.
    pub started_at: MachineTime,
    /// Milliseconds since `started_at`.
    pub age_ms: u64,
}

/// The response to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The response to [`PeerRequest::Tokens`].
    Tokens(TokenCount),
    /// Milliseconds since the Unix epoch.
    TimeOfDay(u64),
    /// These tokens were transferred, possibly fewer than requested.
    Reserved(TokenCount),
    /// The holder didn't transfer or take back the tokens.
    Refused(TokenRefusal),
    /// The holder took the tokens back.
    Returned,
    /// Failure suspicions held by the responding instance.
    Suspicions(SuspicionMessage),
    /// The notice was recorded.
    NoticeRecorded,
    /// The process that responds.
    Process(PeerProcess),
    /// Limits that the requester does not know, or knows in an older version.
    Limits(Vec<LimitNotice>),
    /// The response to [`PeerRequest::Permits`].
    Permits(PermitResponse),
    /// Cold servers that the requester did not name.
    ColdServers(Vec<ColdNotice>),
    /// The response to [`PeerRequest::ColdPermits`]; `None` if the responding instance
    /// is not the lender.
    ColdPermits(Option<PermitGrant>),
    /// The response to [`PeerRequest::Headroom`].
    HeadroomRecorded,
}

/// Responds to requests of other instances for as long as the runtime runs.
pub async fn answer_peer_requests<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    mut calls: mpsc::Receiver<PinnedCall>,
) {
    while let Some(call) = calls.recv().await {
        state.tally.link_requests.add();
        let request = match codec::decode::<PeerRequest>(&call.body) {
            Ok(request) => request,
            Err(error) => {
                event!(EventCode::QuestionUnreadable, "cause={error}");
                continue;
            }
        };
        // Tokens transferred to a peer that no longer waits would be lost.
        let returns_tokens = matches!(request, PeerRequest::Return { .. });
        if !returns_tokens && !call.is_caller_waiting() {
            continue;
        }
        tokio::task::spawn_local(serve_request(Rc::clone(&state), request, call));
    }
}

/// Responds to one request. Each runs as a task, since a draw may take some
/// time.
async fn serve_request<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    request: PeerRequest,
    call: PinnedCall,
) {
    let response = respond(&state, &request).await;
    let body = match codec::encode(&response) {
        Ok(body) => body,
        Err(error) => {
            event!(EventCode::AnswerNotEncoded, "cause={error}");
            return;
        }
    };
    if call.reply(body) {
        return;
    }
    // The requester no longer waits, so it received no tokens.
    if let (PeerRequest::Reserve { budget, .. }, PeerResponse::Reserved(tokens)) =
        (&request, &response)
    {
        state.budgets.refund(budget, *tokens);
    }
}

/// Handles one request and returns its response.
async fn respond<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    request: &PeerRequest,
) -> PeerResponse {
    match request {
        PeerRequest::Tokens { .. } => PeerResponse::Tokens(TokenCount::ZERO),
        PeerRequest::Process => {
            let (incarnation, started_at, age) = state.budgets.process_start();
            PeerResponse::Process(PeerProcess {
                incarnation,
                started_at,
                age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            })
        }
        PeerRequest::TimeOfDay => PeerResponse::TimeOfDay(UnixMillis::now().get()),
        PeerRequest::Reserve { budget, tokens } => {
            match supply::transfer(state, budget, *tokens).await {
                Ok(passed) => PeerResponse::Reserved(passed),
                Err(refusal) => PeerResponse::Refused(refusal),
            }
        }
        PeerRequest::Return { .. } if state.budgets.is_closed() => {
            PeerResponse::Refused(TokenRefusal::Unconfirmed)
        }
        PeerRequest::Return { budget, tokens } => {
            state.budgets.refund(budget, *tokens);
            PeerResponse::Returned
        }
        PeerRequest::Suspicions(message) => {
            let mut directory = state.directory.borrow_mut();
            let response = directory.handle_message(message.clone());
            state.membership_changed.notify_one();
            PeerResponse::Suspicions(response)
        }
        PeerRequest::Crashes(news) => {
            state.apply_crash_notice(news);
            PeerResponse::NoticeRecorded
        }
        PeerRequest::PromptParts(notice) => {
            state.apply_part_notice(notice);
            PeerResponse::NoticeRecorded
        }
        PeerRequest::WriteSnapshots(budgets) => {
            if state.budgets.write_requested_snapshots(budgets) {
                PeerResponse::NoticeRecorded
            } else {
                PeerResponse::Refused(TokenRefusal::Unconfirmed)
            }
        }
        PeerRequest::PartContrasts(parts) => {
            state.parts.merge_contrasts(parts);
            state.review_parts();
            PeerResponse::NoticeRecorded
        }
        PeerRequest::StreamNotes(batches) => {
            state.streams.hold_notes(batches, state.now());
            PeerResponse::NoticeRecorded
        }
        PeerRequest::Headroom(message) => {
            state.directory.borrow_mut().receive_headroom(message);
            PeerResponse::HeadroomRecorded
        }
        PeerRequest::Limits(notices) => PeerResponse::Limits(state.answer_limits(notices)),
        PeerRequest::Permits(request) => {
            PeerResponse::Permits(state.answer_permit_request(request))
        }
        PeerRequest::ColdServers(notices) => PeerResponse::ColdServers(state.answer_cold(notices)),
        PeerRequest::ColdPermits(request) => {
            PeerResponse::ColdPermits(state.answer_cold_permits(request).await)
        }
    }
}

/// Requests the identity of the process that runs an instance; returns `None`
/// without a response.
pub async fn request_process(link: &PinnedLink, peer: SocketAddr) -> Option<PeerProcess> {
    match send_request(link, peer, &PeerRequest::Process, BACKGROUND_CALL_TIMEOUT).await? {
        PeerResponse::Process(process) => Some(process),
        _other => None,
    }
}

/// Requests the time of day of an instance, in milliseconds since the Unix
/// epoch; returns `None` without a response.
pub async fn request_time_of_day(link: &PinnedLink, peer: SocketAddr) -> Option<u64> {
    match send_request(link, peer, &PeerRequest::TimeOfDay, BACKGROUND_CALL_TIMEOUT).await? {
        PeerResponse::TimeOfDay(millis) => Some(millis),
        _other => None,
    }
}

/// Sends failure suspicions to an instance and returns those that it responds
/// with; returns `None` without a response.
pub async fn send_suspicions(
    link: &PinnedLink,
    peer: SocketAddr,
    message: SuspicionMessage,
) -> Option<SuspicionMessage> {
    let request = PeerRequest::Suspicions(message);
    match send_request(link, peer, &request, BACKGROUND_CALL_TIMEOUT).await? {
        PeerResponse::Suspicions(response) => Some(response),
        _other => None,
    }
}

/// Sends a notice to an instance; returns false without a response.
pub async fn send_notice(link: &PinnedLink, peer: SocketAddr, notice: &PeerRequest) -> bool {
    let response = send_request(link, peer, notice, BACKGROUND_CALL_TIMEOUT).await;
    response == Some(PeerResponse::NoticeRecorded)
}

/// Sends reports of headroom to an instance; returns false without a response.
pub async fn send_headroom(link: &PinnedLink, peer: SocketAddr, message: HeadroomMessage) -> bool {
    let request = PeerRequest::Headroom(message);
    let response = send_request(link, peer, &request, BACKGROUND_CALL_TIMEOUT).await;
    response == Some(PeerResponse::HeadroomRecorded)
}

/// Sends limits to an instance and returns those that it responds with; returns
/// `None` without a response.
pub async fn exchange_limits(
    link: &PinnedLink,
    peer: SocketAddr,
    notices: Vec<LimitNotice>,
) -> Option<Vec<LimitNotice>> {
    let request = PeerRequest::Limits(notices);
    match send_request(link, peer, &request, BACKGROUND_CALL_TIMEOUT).await? {
        PeerResponse::Limits(newer) => Some(newer),
        _other => None,
    }
}

/// Requests permits from an instance; returns `None` without a response.
pub async fn request_permits(
    link: &PinnedLink,
    peer: SocketAddr,
    request: &PermitRequest,
) -> Option<PermitResponse> {
    let request = PeerRequest::Permits(request.clone());
    match send_request(link, peer, &request, BACKGROUND_CALL_TIMEOUT).await? {
        PeerResponse::Permits(response) => Some(response),
        _other => None,
    }
}

/// Sends cold times to an instance and returns those that it responds with; returns
/// `None` without a response.
pub async fn exchange_cold(
    link: &PinnedLink,
    peer: SocketAddr,
    notices: Vec<ColdNotice>,
) -> Option<Vec<ColdNotice>> {
    let request = PeerRequest::ColdServers(notices);
    match send_request(link, peer, &request, BACKGROUND_CALL_TIMEOUT).await? {
        PeerResponse::ColdServers(newer) => Some(newer),
        _other => None,
    }
}

/// Requests permits for a cold server from an instance; returns `None` without a
/// response.
pub async fn request_cold_permits(
    link: &PinnedLink,
    peer: SocketAddr,
    request: &ColdPermitRequest,
) -> Option<Option<PermitGrant>> {
    let request = PeerRequest::ColdPermits(request.clone());
    match send_request(link, peer, &request, BACKGROUND_CALL_TIMEOUT).await? {
        PeerResponse::ColdPermits(grant) => Some(grant),
        _other => None,
    }
}

/// Sends one request and waits up to `limit` for the response.
pub(crate) async fn send_request(
    link: &PinnedLink,
    peer: SocketAddr,
    request: &PeerRequest,
    limit: Duration,
) -> Option<PeerResponse> {
    let body = codec::encode(request).ok()?;
    let response = link.call(peer, &body, limit).await?;
    codec::decode(&response).ok()
}

//! What instances ask each other for.
//!
//! An instance that does not hold a budget asks a holder for what a request
//! needs, and brings back what is left ([`crate::supply`]); so does a holder that
//! cannot draw. Who gives tokens counts them as spent before it answers, so a
//! reply that is lost loses tokens and spends none twice. Who closes accounts of
//! processes that ended asks who has their ports now, and for the time of day
//! ([`crate::recovery`]). Watchers pass on who is silent
//! ([`crate::members`]). Who finds that a server has ended tells that
//! ([`crate::suspects`]).

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account::limit::MachineTime;
use hibiscus_membership::suspicion::SuspicionMessage;
use hibiscus_peer::PinnedCall;
use hibiscus_peer::PinnedLink;
use hibiscus_types::BudgetName;
use hibiscus_types::IncarnationId;
use hibiscus_types::TokenCount;
use hibiscus_types::UnixMillis;
use hibiscus_types::codec;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::budgets::TokenRefusal;
use crate::state::TrafficState;
use crate::supply;
use crate::suspects::CrashNotice;
use crate::wire_format::WireFormat;

/// Calls that wait to be answered.
pub const REQUEST_QUEUE_CAPACITY: usize = 256;
/// Time for an answer that no request waits for: machines that start together
/// are slow to accept connections.
const TIME_LIMIT: Duration = Duration::from_millis(500);

/// A question to another instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asked by releases before this one, and answered with none: a holder asks
    /// for what a request needs, as others do.
    Tokens {
        /// The budget.
        budget: BudgetName,
        /// The most that is asked for.
        tokens: TokenCount,
    },
    /// Tells the time of day of the machine.
    TimeOfDay,
    /// Asks a holder of a budget for what one request needs.
    Reserve {
        /// The budget.
        budget: BudgetName,
        /// Tokens asked for; fewer are of no use.
        tokens: TokenCount,
    },
    /// Brings back what requests left of tokens that a holder passed on.
    Return {
        /// The budget.
        budget: BudgetName,
        /// The tokens.
        tokens: TokenCount,
    },
    /// Takes over which instances are silent.
    Suspicions(SuspicionMessage),
    /// Takes over which servers ended, and under which requests.
    Crashes(CrashNotice),
    /// Tells which process answers for the instance.
    Process,
}

/// The process that answers for an instance. It holds the instance's ports, so
/// all others that ever did have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerProcess {
    /// Its name.
    pub incarnation: IncarnationId,
    /// The machine's clocks when it had the ports.
    pub started_at: MachineTime,
    /// Milliseconds since then.
    pub age_ms: u64,
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The answer to [`PeerRequest::Tokens`].
    Tokens(TokenCount),
    /// Milliseconds since the Unix epoch.
    TimeOfDay(u64),
    /// The tokens were passed on.
    Reserved(TokenCount),
    /// They cannot be had from this holder.
    Refused(TokenRefusal),
    /// Tokens came back.
    Returned,
    /// Which instances are silent.
    Suspicions(SuspicionMessage),
    /// The news of servers that ended were taken over.
    CrashesRecorded,
    /// The process that answers.
    Process(PeerProcess),
}

/// Answers other instances for as long as the runtime runs.
pub async fn answer_peer_requests<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    mut calls: mpsc::Receiver<PinnedCall>,
) {
    while let Some(call) = calls.recv().await {
        state.tally.link_requests.add();
        let question = match codec::decode::<PeerRequest>(&call.body) {
            Ok(question) => question,
            Err(error) => {
                event!(EventCode::QuestionUnreadable, "cause={error}");
                continue;
            }
        };
        // What is given to a peer that has left is lost.
        let brings = matches!(question, PeerRequest::Return { .. });
        if !brings && !call.is_caller_waiting() {
            continue;
        }
        tokio::task::spawn_local(answer_call(Rc::clone(&state), question, call));
    }
}

/// Answers one call; a draw may take some time.
async fn answer_call<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    question: PeerRequest,
    call: PinnedCall,
) {
    let answer = answer(&state, &question).await;
    let body = match codec::encode(&answer) {
        Ok(body) => body,
        Err(error) => {
            event!(EventCode::AnswerNotEncoded, "cause={error}");
            return;
        }
    };
    if call.reply(body) {
        return;
    }
    // The asker has left and got nothing, so nothing was passed on.
    if let (PeerRequest::Reserve { budget, .. }, PeerResponse::Reserved(tokens)) =
        (&question, &answer)
    {
        state.budgets.refund(budget, *tokens);
    }
}

/// Decides on one question.
async fn answer<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    question: &PeerRequest,
) -> PeerResponse {
    match question {
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
                Ok(()) => PeerResponse::Reserved(*tokens),
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
            let answer = directory.handle_message(message.clone());
            state.membership_changed.notify_one();
            PeerResponse::Suspicions(answer)
        }
        PeerRequest::Crashes(news) => {
            state.apply_crash_notice(news);
            PeerResponse::CrashesRecorded
        }
    }
}

/// Asks the process that answers for an instance who it is; `None` when it does
/// not answer.
pub async fn request_process(link: &PinnedLink, peer: SocketAddr) -> Option<PeerProcess> {
    match ask(link, peer, &PeerRequest::Process, TIME_LIMIT).await? {
        PeerResponse::Process(process) => Some(process),
        _other => None,
    }
}

/// Asks one instance for its time of day, in milliseconds since the Unix
/// epoch; `None` when it does not answer.
pub async fn request_time_of_day(link: &PinnedLink, peer: SocketAddr) -> Option<u64> {
    match ask(link, peer, &PeerRequest::TimeOfDay, TIME_LIMIT).await? {
        PeerResponse::TimeOfDay(millis) => Some(millis),
        _other => None,
    }
}

/// Tells one instance which others are silent; `None` when it does not answer.
pub async fn send_suspicions(
    link: &PinnedLink,
    peer: SocketAddr,
    message: SuspicionMessage,
) -> Option<SuspicionMessage> {
    let question = PeerRequest::Suspicions(message);
    match ask(link, peer, &question, TIME_LIMIT).await? {
        PeerResponse::Suspicions(answer) => Some(answer),
        _other => None,
    }
}

/// Tells one instance which servers ended; false when it does not answer.
pub async fn send_crashes(link: &PinnedLink, peer: SocketAddr, news: &CrashNotice) -> bool {
    let question = PeerRequest::Crashes(news.clone());
    let answer = ask(link, peer, &question, TIME_LIMIT).await;
    answer == Some(PeerResponse::CrashesRecorded)
}

/// Asks one instance.
pub(crate) async fn ask(
    link: &PinnedLink,
    peer: SocketAddr,
    question: &PeerRequest,
    limit: Duration,
) -> Option<PeerResponse> {
    let body = codec::encode(question).ok()?;
    let reply = link.call(peer, &body, limit).await?;
    codec::decode(&reply).ok()
}

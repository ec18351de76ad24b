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
use hibiscus_membership::verdict::SilenceMessage;
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
pub const RING_CAPACITY: usize = 256;
/// Time for an answer that no request waits for: machines that start together
/// are slow to accept connections.
const TIME_LIMIT: Duration = Duration::from_millis(500);

/// A question to another instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerQuestion {
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
    Silence(SilenceMessage),
    /// Takes over which servers ended, and under which requests.
    Endings(CrashNotice),
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
    pub began: MachineTime,
    /// Milliseconds since then.
    pub age: u64,
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The answer to [`PeerQuestion::Tokens`].
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
    Silence(SilenceMessage),
    /// The news of servers that ended were taken over.
    EndingsTaken,
    /// The process that answers.
    Process(PeerProcess),
}

/// Answers other instances for as long as the runtime runs.
pub async fn answer_calls<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    mut calls: mpsc::Receiver<PinnedCall>,
) {
    while let Some(call) = calls.recv().await {
        state.tally.link_requests.add();
        let question = match codec::decode::<PeerQuestion>(&call.body) {
            Ok(question) => question,
            Err(error) => {
                event!(EventCode::QuestionUnreadable, "cause={error}");
                continue;
            }
        };
        // What is given to a peer that has left is lost.
        let brings = matches!(question, PeerQuestion::Return { .. });
        if !brings && !call.is_wanted() {
            continue;
        }
        tokio::task::spawn_local(answer_call(Rc::clone(&state), question, call));
    }
}

/// Answers one call; a draw may take some time.
async fn answer_call<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    question: PeerQuestion,
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
    if let (PeerQuestion::Reserve { budget, .. }, PeerAnswer::Reserved(tokens)) =
        (&question, &answer)
    {
        state.budgets.refund(budget, *tokens);
    }
}

/// Decides on one question.
async fn answer<D: WireFormat>(state: &Rc<TrafficState<D>>, question: &PeerQuestion) -> PeerAnswer {
    match question {
        PeerQuestion::Tokens { .. } => PeerAnswer::Tokens(TokenCount::ZERO),
        PeerQuestion::Process => {
            let (incarnation, began, age) = state.budgets.process_start();
            PeerAnswer::Process(PeerProcess {
                incarnation,
                began,
                age: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            })
        }
        PeerQuestion::TimeOfDay => PeerAnswer::TimeOfDay(UnixMillis::now().get()),
        PeerQuestion::Reserve { budget, tokens } => {
            match supply::transfer(state, budget, *tokens).await {
                Ok(()) => PeerAnswer::Reserved(*tokens),
                Err(refusal) => PeerAnswer::Refused(refusal),
            }
        }
        PeerQuestion::Return { .. } if state.budgets.is_closed() => {
            PeerAnswer::Refused(TokenRefusal::Unconfirmed)
        }
        PeerQuestion::Return { budget, tokens } => {
            state.budgets.refund(budget, *tokens);
            PeerAnswer::Returned
        }
        PeerQuestion::Silence(message) => {
            let mut directory = state.directory.borrow_mut();
            let answer = directory.handle_message(message.clone());
            state.members.notify_one();
            PeerAnswer::Silence(answer)
        }
        PeerQuestion::Endings(news) => {
            state.apply_crash_notice(news);
            PeerAnswer::EndingsTaken
        }
    }
}

/// Asks the process that answers for an instance who it is; `None` when it does
/// not answer.
pub async fn ask_process(link: &PinnedLink, peer: SocketAddr) -> Option<PeerProcess> {
    match ask(link, peer, &PeerQuestion::Process, TIME_LIMIT).await? {
        PeerAnswer::Process(process) => Some(process),
        _other => None,
    }
}

/// Asks one instance for its time of day, in milliseconds since the Unix
/// epoch; `None` when it does not answer.
pub async fn ask_time(link: &PinnedLink, peer: SocketAddr) -> Option<u64> {
    match ask(link, peer, &PeerQuestion::TimeOfDay, TIME_LIMIT).await? {
        PeerAnswer::TimeOfDay(millis) => Some(millis),
        _other => None,
    }
}

/// Tells one instance which others are silent; `None` when it does not answer.
pub async fn tell_silence(
    link: &PinnedLink,
    peer: SocketAddr,
    message: SilenceMessage,
) -> Option<SilenceMessage> {
    let question = PeerQuestion::Silence(message);
    match ask(link, peer, &question, TIME_LIMIT).await? {
        PeerAnswer::Silence(answer) => Some(answer),
        _other => None,
    }
}

/// Tells one instance which servers ended; false when it does not answer.
pub async fn tell_endings(link: &PinnedLink, peer: SocketAddr, news: &CrashNotice) -> bool {
    let question = PeerQuestion::Endings(news.clone());
    let answer = ask(link, peer, &question, TIME_LIMIT).await;
    answer == Some(PeerAnswer::EndingsTaken)
}

/// Asks one instance.
pub(crate) async fn ask(
    link: &PinnedLink,
    peer: SocketAddr,
    question: &PeerQuestion,
    limit: Duration,
) -> Option<PeerAnswer> {
    let body = codec::encode(question).ok()?;
    let reply = link.call(peer, &body, limit).await?;
    codec::decode(&reply).ok()
}

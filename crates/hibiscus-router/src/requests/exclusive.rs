//! Non-idempotent calls: sent only after their open was read back from the
//! log as the first of its key, and never sent again once a server may have
//! received them.
//!
//! Each open carries an attempt number that is unique in its process, so two
//! callers that send the same key at the same moment, even to one instance,
//! have different opens, of which the ledger accepts one. A call that was
//! opened and not sent is settled as not run by the process that knows it;
//! only then does the ledger accept another open of the key.

use std::time::Duration;

use hibiscus_clients::engine::EngineError;
use hibiscus_clients::engine::PlainAnswer;
use hibiscus_events::EventCode;
use hibiscus_ledger::holder::TokenReservation;
use hibiscus_ledger::record::RecordedAnswer;
use hibiscus_ledger::record::RequestOpen;
use hibiscus_ledger::record::RequestSettlement;
use hibiscus_ledger::shard_of;
use hibiscus_request::lifecycle::AdmittedRequest;
use hibiscus_request::lifecycle::OpenedRequest;
use hibiscus_types::RefusalReason;
use hibiscus_types::TokenCount;
use hibiscus_types::UnixMillis;

use crate::callers::answer;
use crate::callers::answer::RequestFailure;
use crate::ledger::broker::BrokerReply;
use crate::ledger::broker::BrokerRequest;
use crate::ledger::broker::KeyStatus;
use crate::ledger::client;
use crate::requests::attempt::ChosenServer;
use crate::requests::attempt::ReadyRequest;
use crate::requests::attempt::RequestAttempts;
use crate::requests::open;
use crate::requests::plain;
use crate::requests::plain::PlainCall;
use crate::requests::progress::HeadSender;

/// Longest time that a broker may take to read an open back.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer that a settlement keeps, in bytes.
const RECORDED_LIMIT: usize = 4 * 1024;

/// What the ledger said of an open.
enum OpenEnd {
    /// It is the first of its key.
    First,
    /// An earlier run recorded its answer.
    Recorded(RecordedAnswer),
    /// The key is taken: the failure tells what is known of it.
    Taken(RequestFailure),
    /// The ledger refused the open and holds no other.
    Refused,
    /// Nobody answered: the open may still take effect.
    Unanswered,
}

/// How a call that was opened ended.
enum SendEnd {
    /// A server answered, whatever its status.
    Answered(PlainAnswer),
    /// No server received it.
    NotRun(RequestFailure),
    /// A server may have run it.
    Unknown(RequestFailure),
}

/// Runs one call at most once.
pub(super) fn run(
    call: &PlainCall<'_>,
    reservation: TokenReservation,
    admitted: AdmittedRequest,
    head: HeadSender,
) {
    let mut attempts = call.attempts();
    let chosen = match attempts.next_server() {
        Ok(chosen) => chosen,
        Err(stop) => {
            open::end_reservation(call.context, call.holder, reservation, TokenCount::ZERO);
            let failure = plain::refuse(&attempts, stop, admitted);
            let _left = head.send(answer::fail(&failure));
            return;
        }
    };
    let attempt = call.attempt;
    let record = call.open_record(&reservation, &chosen);
    let opened = match open_first(call, record) {
        OpenEnd::First => admitted.opened(reservation.grant, reservation.tokens, attempt),
        end => {
            attempts.give_back(&chosen);
            refuse(call, reservation, admitted, end, head);
            return;
        }
    };
    open::note(
        call.context,
        EventCode::RequestOpened,
        call.request,
        chosen.load.name.as_str(),
    );
    match send(call, &mut attempts, chosen, opened) {
        SendEnd::Answered(answered) => {
            let kept = kept_answer(&answered);
            let response = call.settle_ran(reservation, answered, kept);
            let _left = head.send(response);
        }
        SendEnd::NotRun(failure) => {
            open::note(call.context, EventCode::RequestRefused, call.request, "");
            let _left = head.send(answer::fail(&failure));
            call.settle_not_run(reservation);
        }
        SendEnd::Unknown(failure) => {
            // The reservation stays: the ledger has the open until somebody
            // proves how it ended.
            open::note(call.context, EventCode::RequestFailed, call.request, "");
            let _left = head.send(answer::fail(&failure));
        }
    }
}

/// Answers a call that was not sent.
fn refuse(
    call: &PlainCall<'_>,
    reservation: TokenReservation,
    admitted: AdmittedRequest,
    end: OpenEnd,
    head: HeadSender,
) {
    let not_recorded = |message: &str| {
        let failure = RequestFailure::unknown(RefusalReason::NotRecorded, message);
        failure.proved_not_run(&admitted.refuse())
    };
    let response = match end {
        OpenEnd::Recorded(recorded) => plain::respond(&call.request.key.key, recorded),
        OpenEnd::Taken(failure) => answer::fail(&failure),
        OpenEnd::First | OpenEnd::Refused => answer::fail(&not_recorded(
            "failed to record the request: the ledger refused its open",
        )),
        OpenEnd::Unanswered => {
            open::note(call.context, EventCode::RequestRefused, call.request, "");
            let failure = not_recorded("failed to record the request in the log");
            let _left = head.send(answer::fail(&failure));
            // The open may still reach the log: it is settled as not run, so
            // that a retry is not taken for a second run.
            call.settle_not_run(reservation);
            return;
        }
    };
    let _left = head.send(response);
    open::end_reservation(call.context, call.holder, reservation, TokenCount::ZERO);
}

/// Has the open recorded and read back.
fn open_first(call: &PlainCall<'_>, record: RequestOpen) -> OpenEnd {
    let shards = call.context.settings.budgets.shards;
    let shard = shard_of(&call.request.key.team, shards);
    let timeout = OPEN_TIMEOUT.min(call.request.remaining());
    let request = BrokerRequest::OpenFirst { open: record };
    let reply = client::call(call.context, shard, &request, timeout);
    let Some(BrokerReply::OpenFirst { first, status }) = reply else {
        return OpenEnd::Unanswered;
    };
    if first {
        return OpenEnd::First;
    }
    match status {
        KeyStatus::Settled { settlement, .. } => settled_end(settlement),
        KeyStatus::Open(held) => OpenEnd::Taken(taken(call, &held)),
        KeyStatus::Unseen => OpenEnd::Refused,
    }
}

/// What a caller gets whose call was settled before.
fn settled_end(settlement: RequestSettlement) -> OpenEnd {
    if let Some(recorded) = settlement.answer {
        return OpenEnd::Recorded(recorded);
    }
    let failure = RequestFailure::unknown(
        RefusalReason::AnswerBroken,
        "failed to answer again: the request ran before, and its answer was not kept",
    );
    OpenEnd::Taken(failure.proved_ran())
}

/// What a caller gets whose call another open holds.
fn taken(call: &PlainCall<'_>, held: &RequestOpen) -> RequestFailure {
    let longest = Duration::from_millis(call.context.settings.limits.deadline_ms);
    if UnixMillis::now().since(held.opened) <= longest {
        return RequestFailure::unknown(
            RefusalReason::InProgress,
            "failed to run the request: its key is in use and its end is not known yet",
        );
    }
    RequestFailure::unknown(
        RefusalReason::ServerFailed,
        "failed to run the request: its key was used before and its end is not known",
    )
}

/// Sends an opened call. Only a refused connection allows another server.
fn send(
    call: &PlainCall<'_>,
    attempts: &mut RequestAttempts<'_>,
    first: ChosenServer,
    opened: OpenedRequest,
) -> SendEnd {
    let mut opened = opened;
    let mut chosen = first;
    loop {
        let dispatched = opened.dispatch(chosen.load.name.clone());
        let error = match call.call(&chosen) {
            Ok(answered) => {
                attempts.answered(&chosen);
                return SendEnd::Answered(answered);
            }
            Err(error) => error,
        };
        opened = match attempts.failed(&chosen, dispatched, &error) {
            ReadyRequest::Opened(opened) => opened,
            ReadyRequest::Failed(_) => return SendEnd::Unknown(unknown_end(&error)),
        };
        chosen = match attempts.next_server() {
            Ok(chosen) => chosen,
            Err(stop) => {
                let failure = attempts.failure(stop, Some(ReadyRequest::Opened(opened)));
                return SendEnd::NotRun(failure);
            }
        };
    }
}

/// A failure after which nobody knows whether the call ran.
fn unknown_end(error: &EngineError) -> RequestFailure {
    RequestFailure::unknown(
        RefusalReason::ServerFailed,
        format!("failed to learn the end of the request from its server: {error}"),
    )
}

/// The answer as its settlement keeps it.
fn kept_answer(answered: &PlainAnswer) -> Option<RecordedAnswer> {
    let small = answered.body.len() <= RECORDED_LIMIT;
    small.then(|| RecordedAnswer {
        status: answered.status,
        content_type: answered.content_type.clone(),
        body: answered.body.clone(),
    })
}

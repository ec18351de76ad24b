//! Calls of plain services. A non-idempotent call is sent only after its
//! open was read back from the log as the first of its key.

use std::sync::mpsc::SyncSender;
use std::time::Duration;

use hibiscus_config::entry::RouteEntry;
use hibiscus_events::EventCode;
use hibiscus_ledger::holder::TokenReservation;
use hibiscus_ledger::record::RecordedAnswer;
use hibiscus_ledger::record::RequestOpen;
use hibiscus_ledger::record::RequestSettlement;
use hibiscus_ledger::record::SettledEnd;
use hibiscus_ledger::shard_of;
use hibiscus_platform::engine::CallHeaders;
use hibiscus_platform::engine::EngineClient;
use hibiscus_platform::engine::EngineError;
use hibiscus_platform::engine::PlainAnswer;
use hibiscus_routing::load::ServerLoad;
use hibiscus_types::RefusalReason;
use hibiscus_types::RequestOutcome;
use hibiscus_types::TokenCount;
use hibiscus_types::UnixMillis;
use hyper::Response;

use crate::callers::answer;
use crate::callers::answer::AnswerHead;
use crate::callers::answer::RequestFailure;
use crate::callers::body::AnswerBody;
use crate::context::SharedContext;
use crate::holder::HolderMessage;
use crate::ledger::broker::BrokerReply;
use crate::ledger::broker::BrokerRequest;
use crate::ledger::broker::KeyStatus;
use crate::ledger::client;
use crate::requests::CallerRequest;
use crate::requests::RequestPath;
use crate::requests::chat::HeadSender;
use crate::requests::open;

/// Time that a broker may take to read an open back.
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest answer that a settlement keeps, in bytes.
const RECORDED_LIMIT: usize = 4 * 1024;

/// What to do with a call after its open.
enum OpenEnd {
    /// Send it to the server.
    Send,
    /// Answer what an earlier run recorded.
    Recorded(RecordedAnswer),
    /// Answer a failure.
    Fail(RequestFailure),
}

/// Runs one call.
pub fn run(
    context: &SharedContext,
    holder: &SyncSender<HolderMessage>,
    request: CallerRequest,
    head: HeadSender,
) {
    let RequestPath::Plain { route } = &request.path else {
        return;
    };
    let response = match open::reserve(context, holder, &request) {
        Ok(reservation) => run_reserved(context, holder, &request, route, reservation),
        Err(failure) => answer::fail(&failure),
    };
    let _left = head.send(response);
}

/// Opens, sends and settles a call whose cost is set aside.
fn run_reserved(
    context: &SharedContext,
    holder: &SyncSender<HolderMessage>,
    request: &CallerRequest,
    route: &RouteEntry,
    reservation: TokenReservation,
) -> Response<AnswerBody> {
    let Some(server) = context.servers.choose(&route.service, &[]) else {
        open::end_reservation(holder, reservation, TokenCount::ZERO);
        let message = format!("failed to find a server of service `{}`", route.service);
        return answer::fail(&RequestFailure::not_run(RefusalReason::NoServer, message));
    };
    let response = match open_call(context, request, route, &reservation, &server) {
        OpenEnd::Send => send(context, holder, request, reservation, &server),
        OpenEnd::Recorded(recorded) => {
            open::end_reservation(holder, reservation, TokenCount::ZERO);
            recorded_response(&request.key.key, recorded)
        }
        OpenEnd::Fail(failure) => {
            open::end_reservation(holder, reservation, TokenCount::ZERO);
            answer::fail(&failure)
        }
    };
    context.servers.release(&server.name);
    response
}

/// Has the open recorded as the call's kind needs it.
fn open_call(
    context: &SharedContext,
    request: &CallerRequest,
    route: &RouteEntry,
    reservation: &TokenReservation,
    server: &ServerLoad,
) -> OpenEnd {
    let record = RequestOpen {
        key: request.key.clone(),
        grant: reservation.grant,
        reserved: reservation.tokens,
        server: server.name.clone(),
        exclusive: !route.idempotent,
        attempt: 0,
        opened: UnixMillis::now(),
    };
    if route.idempotent {
        return match open::acknowledge_open(context, reservation, &record) {
            Ok(()) => OpenEnd::Send,
            Err(failure) => OpenEnd::Fail(failure),
        };
    }
    let shard = shard_of(&request.key.team, context.settings.budgets.shards);
    let call = BrokerRequest::OpenFirst { open: record };
    let reply = client::call(context, shard, &call, OPEN_TIMEOUT);
    let Some(BrokerReply::OpenFirst { first, status }) = reply else {
        return OpenEnd::Fail(RequestFailure::not_run(
            RefusalReason::NotRecorded,
            "failed to record the request in the log",
        ));
    };
    if first {
        return OpenEnd::Send;
    }
    match status {
        KeyStatus::Settled(RequestSettlement {
            answer: Some(recorded),
            ..
        }) => OpenEnd::Recorded(recorded),
        KeyStatus::Settled(_) | KeyStatus::Open(_) | KeyStatus::Unseen => {
            OpenEnd::Fail(RequestFailure {
                outcome: RequestOutcome::Unknown,
                ..RequestFailure::not_run(
                    RefusalReason::InProgress,
                    "failed to run the request: its key was used before and its end is not known",
                )
            })
        }
    }
}

/// Sends the call to `server` and settles it.
fn send(
    context: &SharedContext,
    holder: &SyncSender<HolderMessage>,
    request: &CallerRequest,
    reservation: TokenReservation,
    server: &ServerLoad,
) -> Response<AnswerBody> {
    let silence = Duration::from_millis(context.settings.limits.server_silence_ms);
    let fencing = format!("{:032x}", reservation.grant.as_u128());
    let headers = CallHeaders {
        request_id: &request.key.key,
        fencing: &fencing,
        priority: request.priority,
        remaining: request.remaining(),
        resume_from: 0,
    };
    open::note(
        context,
        EventCode::RequestDispatched,
        request,
        server.name.as_str(),
    );
    let RequestPath::Plain { route } = &request.path else {
        return answer::fail(&unknown_end());
    };
    let client = EngineClient::new(silence);
    let result = client.call_plain(server.address, &route.path, &request.body, &headers);
    match result {
        Ok(answered) => settle(context, holder, request, reservation, answered),
        Err(EngineError::NotConnected(_)) => {
            let settlement = settlement_of(request, &reservation, SettledEnd::NotRun, None);
            let settled = open::acknowledge_settlement(context, &reservation, &settlement);
            if settled {
                open::end_reservation(holder, reservation, TokenCount::ZERO);
            }
            let message = format!("failed to connect to server `{}`", server.name);
            answer::fail(&RequestFailure::not_run(RefusalReason::NoServer, message))
        }
        Err(_) => {
            open::note(
                context,
                EventCode::RequestFailed,
                request,
                server.name.as_str(),
            );
            answer::fail(&unknown_end())
        }
    }
}

/// Records the answer and passes it on.
fn settle(
    context: &SharedContext,
    holder: &SyncSender<HolderMessage>,
    request: &CallerRequest,
    reservation: TokenReservation,
    answered: PlainAnswer,
) -> Response<AnswerBody> {
    let recorded = RecordedAnswer {
        status: answered.status,
        content_type: answered.content_type,
        body: answered.body,
    };
    let kept = (recorded.body.len() <= RECORDED_LIMIT).then(|| recorded.clone());
    let settlement = settlement_of(request, &reservation, SettledEnd::Ran, kept);
    if !open::acknowledge_settlement(context, &reservation, &settlement) {
        return answer::fail(&unknown_end());
    }
    open::note(context, EventCode::RequestSettled, request, "");
    open::end_reservation(holder, reservation, settlement.charge);
    recorded_response(&request.key.key, recorded)
}

/// The settlement of a call, which costs its whole reservation or nothing.
fn settlement_of(
    request: &CallerRequest,
    reservation: &TokenReservation,
    end: SettledEnd,
    answer: Option<RecordedAnswer>,
) -> RequestSettlement {
    let charge = match end {
        SettledEnd::Ran => reservation.tokens,
        SettledEnd::NotRun => TokenCount::ZERO,
    };
    RequestSettlement {
        key: request.key.clone(),
        grant: reservation.grant,
        attempt: 0,
        reserved: reservation.tokens,
        charge,
        end,
        answer,
    }
}

/// A failure after which nobody knows whether the call ran.
fn unknown_end() -> RequestFailure {
    RequestFailure {
        outcome: RequestOutcome::Unknown,
        ..RequestFailure::not_run(
            RefusalReason::ServerFailed,
            "failed to learn the end of the request from its server",
        )
    }
}

/// The answer that a server gave.
fn recorded_response(key: &str, recorded: RecordedAnswer) -> Response<AnswerBody> {
    let head = AnswerHead {
        status: recorded.status,
        content_type: recorded.content_type,
        outcome: RequestOutcome::Ran,
        key: key.to_owned(),
    };
    answer::respond(&head, AnswerBody::whole(recorded.body))
}

//! Chat completions: streamed or whole, resumed at another server when one
//! fails.

use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;
use std::time::Instant;

use hibiscus_clients::engine::EngineError;
use hibiscus_clients::engine::StreamStep;
use hibiscus_events::EventCode;
use hibiscus_ledger::holder::TokenReservation;
use hibiscus_ledger::record::RequestOpen;
use hibiscus_ledger::record::RequestSettlement;
use hibiscus_ledger::record::SettledEnd;
use hibiscus_request::lifecycle::AdmittedRequest;
use hibiscus_request::lifecycle::OpenedRequest;
use hibiscus_routing::load::ServerLoad;
use hibiscus_types::RefusalReason;
use hibiscus_types::ServiceName;
use hibiscus_types::TokenCount;
use hibiscus_types::UnixMillis;

use crate::callers::answer::RequestFailure;
use crate::context::SharedContext;
use crate::holder::HolderMessage;
use crate::requests::AdmittedCall;
use crate::requests::CallerRequest;
use crate::requests::RequestPath;
use crate::requests::attempt;
use crate::requests::attempt::AttemptStop;
use crate::requests::attempt::ChosenServer;
use crate::requests::attempt::ReadyRequest;
use crate::requests::attempt::RequestAttempts;
use crate::requests::open;
use crate::requests::progress::AnswerProgress;
use crate::requests::progress::HeadSender;
use crate::requests::rerun::RerunCheck;
use crate::servers::reports::TokenPace;

/// The path of chat completions, at callers' port and engines alike.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// How the attempts ended.
enum RunEnd {
    /// The end marker came.
    Whole,
    /// The caller closed its connection.
    CallerLeft,
    /// No server ran the request.
    NotRun(RequestFailure),
    /// Servers ran the request and none finished it.
    Failed(RequestFailure),
}

/// Runs one chat completion.
pub fn run(
    context: &SharedContext,
    holder: &SyncSender<HolderMessage>,
    call: AdmittedCall,
    head: HeadSender,
) {
    let AdmittedCall { request, admitted } = call;
    let RequestPath::Chat { service, stream } = &request.path else {
        return;
    };
    let mut progress = AnswerProgress::new(&request, *stream, head);
    let rerun = RerunCheck::start(context, &request);
    let reservation = match open::reserve(context, holder, &request) {
        Ok(reservation) => reservation,
        Err(failure) => {
            open::note(context, EventCode::RequestRefused, &request, "");
            let failure = failure.proved_not_run(&admitted.refuse());
            progress.send_failure(&open::check_claim(context, &request, None, failure));
            return;
        }
    };
    let call = ReservedChat {
        context,
        request: &request,
        service: &service.name,
        reservation: &reservation,
        attempt: context.next_attempt.fetch_add(1, Ordering::Relaxed),
        rerun,
    };
    let attempt = call.attempt;
    let end = attempt_all(call, admitted, &mut progress);
    finish(
        context,
        holder,
        &request,
        reservation,
        attempt,
        progress,
        end,
    );
}

/// A chat completion whose maximum cost is set aside.
struct ReservedChat<'a> {
    context: &'a SharedContext,
    request: &'a CallerRequest,
    service: &'a ServiceName,
    reservation: &'a TokenReservation,
    /// Number of its open, unique in the process.
    attempt: u32,
    rerun: RerunCheck,
}

/// Opens the request and sends it to servers until one finishes it.
fn attempt_all(
    call: ReservedChat<'_>,
    admitted: AdmittedRequest,
    progress: &mut AnswerProgress,
) -> RunEnd {
    let ReservedChat {
        context,
        request,
        service,
        ..
    } = call;
    let mut attempts = RequestAttempts::new(context, request, service, CHAT_PATH);
    let first = match attempts.next_server() {
        Ok(first) => first,
        Err(stop) => {
            let failure = attempts.failure(stop, None);
            return match stop {
                AttemptStop::Quarantined => RunEnd::NotRun(failure),
                _ => RunEnd::NotRun(failure.proved_not_run(&admitted.refuse())),
            };
        }
    };
    let opened = open_request(&call, &first.load, admitted);
    let opened = match call.rerun.verdict().and(opened) {
        Ok(opened) => opened,
        Err(failure) => {
            attempts.give_back(&first);
            return RunEnd::NotRun(failure);
        }
    };
    let mut ready = ReadyRequest::Opened(opened);
    let mut next = Ok(first);
    loop {
        let chosen = match next {
            Ok(chosen) => chosen,
            Err(stop) => return end_without_answer(&attempts, stop, ready),
        };
        let name = chosen.load.name.clone();
        open::note(
            context,
            EventCode::RequestDispatched,
            request,
            name.as_str(),
        );
        let dispatched = ready.dispatch(name);
        let error = match stream_from(context, request, service, &chosen, progress) {
            Ok(true) => {
                attempts.answered(&chosen);
                return RunEnd::Whole;
            }
            Ok(false) => {
                attempts.give_back(&chosen);
                return RunEnd::CallerLeft;
            }
            Err(error) => error,
        };
        ready = attempts.failed(&chosen, dispatched, &error);
        if request.presence.has_left() {
            return RunEnd::CallerLeft;
        }
        next = attempts.next_server();
    }
}

/// The end of a request that no further server gets.
fn end_without_answer(
    attempts: &RequestAttempts<'_>,
    stop: AttemptStop,
    ready: ReadyRequest,
) -> RunEnd {
    let ran = matches!(ready, ReadyRequest::Failed(_));
    let failure = attempts.failure(stop, Some(ready));
    if ran {
        RunEnd::Failed(failure)
    } else {
        RunEnd::NotRun(failure)
    }
}

/// Has the open acknowledged.
fn open_request(
    call: &ReservedChat<'_>,
    server: &ServerLoad,
    admitted: AdmittedRequest,
) -> open::Result<OpenedRequest> {
    let ReservedChat {
        context,
        request,
        reservation,
        attempt,
        ..
    } = *call;
    let record = RequestOpen {
        key: request.key.clone(),
        grant: reservation.grant,
        reserved: reservation.tokens,
        server: server.name.clone(),
        exclusive: false,
        attempt,
        opened: UnixMillis::now(),
    };
    if let Err(failure) = open::acknowledge_open(context, reservation, &record) {
        return Err(failure.proved_not_run(&admitted.refuse()));
    }
    open::note(
        context,
        EventCode::RequestOpened,
        request,
        server.name.as_str(),
    );
    Ok(admitted.opened(reservation.grant, reservation.tokens, attempt))
}

/// Streams from one server; false when the caller has left.
fn stream_from(
    context: &SharedContext,
    request: &CallerRequest,
    service: &ServiceName,
    chosen: &ChosenServer,
    progress: &mut AnswerProgress,
) -> hibiscus_clients::engine::Result<bool> {
    let (client, watched) = attempt::watched_client(context, request);
    let fencing = attempt::fencing_number(context, service);
    let headers = attempt::headers(request, &fencing, progress.tokens());
    let mut stream = client.start_chat(chosen.load.address, &request.body, &headers)?;
    let mut pace = TokenPace::default();
    loop {
        watched.note_byte();
        let chunk = match stream.next_step()? {
            StreamStep::Chunk(chunk) => chunk,
            // Engines end a stream with the marker after an error too.
            StreamStep::End if !progress.is_finished() => return Err(EngineError::Truncated),
            StreamStep::End => {
                if let Some(seconds) = pace.token_seconds() {
                    context.servers.note_speed(&chosen.load.name, seconds);
                }
                return Ok(true);
            }
        };
        pace.note_event(Instant::now());
        if !progress.take(&chunk) {
            return Ok(false);
        }
    }
}

/// Settles, then lets the caller have the answer's end.
fn finish(
    context: &SharedContext,
    holder: &SyncSender<HolderMessage>,
    request: &CallerRequest,
    reservation: TokenReservation,
    attempt: u32,
    progress: AnswerProgress,
    end: RunEnd,
) {
    let (settled_end, charge) = match &end {
        RunEnd::NotRun(_) => (SettledEnd::NotRun, TokenCount::ZERO),
        RunEnd::Whole | RunEnd::CallerLeft | RunEnd::Failed(_) => (
            SettledEnd::Ran,
            progress.charge(request).min(reservation.tokens),
        ),
    };
    let settlement = RequestSettlement {
        key: request.key.clone(),
        grant: reservation.grant,
        attempt,
        reserved: reservation.tokens,
        charge,
        end: settled_end,
        answer: None,
    };
    let grant = reservation.grant;
    // A failure is answered at once; only a whole answer waits for its record.
    let settled = if matches!(end, RunEnd::Whole) {
        open::settle_answer(context, request, &reservation, &settlement)
    } else {
        open::acknowledge_settlement(context, &reservation, &settlement)
    };
    if settled {
        open::note(context, EventCode::RequestSettled, request, "");
        open::end_reservation(context, holder, reservation, charge);
    }
    match end {
        RunEnd::Whole if settled => progress.send_end(),
        RunEnd::Whole => {
            let failure = RequestFailure::unknown(
                RefusalReason::NotRecorded,
                "failed to record the end of the request",
            );
            progress.send_failure(&failure.proved_ran());
        }
        RunEnd::CallerLeft => {}
        RunEnd::NotRun(failure) => {
            open::note(context, EventCode::RequestRefused, request, "");
            progress.send_failure(&open::check_claim(context, request, Some(grant), failure));
        }
        RunEnd::Failed(failure) => {
            open::note(context, EventCode::RequestFailed, request, "");
            progress.send_failure(&failure);
        }
    }
}

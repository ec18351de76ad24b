//! Calls of plain services that may run again: sent to another server when
//! one fails. Calls that may not are in [`super::exclusive`].

use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;

use hibiscus_clients::engine::PlainAnswer;
use hibiscus_config::entry::RouteEntry;
use hibiscus_events::EventCode;
use hibiscus_ledger::holder::TokenReservation;
use hibiscus_ledger::record::RecordedAnswer;
use hibiscus_ledger::record::RequestOpen;
use hibiscus_ledger::record::RequestSettlement;
use hibiscus_ledger::record::SettledEnd;
use hibiscus_request::lifecycle::AdmittedRequest;
use hibiscus_request::lifecycle::OpenedRequest;
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
use crate::requests::AdmittedCall;
use crate::requests::CallerRequest;
use crate::requests::RequestPath;
use crate::requests::attempt;
use crate::requests::attempt::AttemptStop;
use crate::requests::attempt::ChosenServer;
use crate::requests::attempt::ReadyRequest;
use crate::requests::attempt::RequestAttempts;
use crate::requests::exclusive;
use crate::requests::open;
use crate::requests::progress::HeadSender;
use crate::requests::rerun::RerunCheck;

/// Status from which on an answer says that the server failed.
const SERVER_ERROR: u16 = 500;

/// What the calls of plain services share.
pub(super) struct PlainCall<'a> {
    pub(super) context: &'a SharedContext,
    pub(super) holder: &'a SyncSender<HolderMessage>,
    pub(super) request: &'a CallerRequest,
    pub(super) route: &'a RouteEntry,
    /// Number of this call's open, unique in the process.
    pub(super) attempt: u32,
}

/// Runs one call.
pub fn run(
    context: &SharedContext,
    holder: &SyncSender<HolderMessage>,
    call: AdmittedCall,
    head: HeadSender,
) {
    let AdmittedCall { request, admitted } = call;
    let RequestPath::Plain { route } = &request.path else {
        return;
    };
    let plain = PlainCall {
        context,
        holder,
        request: &request,
        route,
        attempt: context.next_attempt.fetch_add(1, Ordering::Relaxed),
    };
    let reservation = match open::reserve(context, holder, &request) {
        Ok(reservation) => reservation,
        Err(failure) => {
            open::note(context, EventCode::RequestRefused, &request, "");
            let failure = failure.proved_not_run(&admitted.refuse());
            let failure = open::check_claim(context, &request, None, failure);
            let _left = head.send(answer::fail(&failure));
            return;
        }
    };
    if !route.idempotent {
        exclusive::run(&plain, reservation, admitted, head);
        return;
    }
    let response = plain.run_repeatable(reservation, admitted);
    let _left = head.send(response);
}

/// How the attempts of a repeatable call ended.
enum RepeatEnd {
    /// A server answered.
    Answered(PlainAnswer),
    /// No server ran the call.
    NotRun(RequestFailure),
    /// Servers may have run the call.
    Failed(RequestFailure),
}

impl PlainCall<'_> {
    /// Opens, sends and settles a call that may run again.
    fn run_repeatable(
        &self,
        reservation: TokenReservation,
        admitted: AdmittedRequest,
    ) -> Response<AnswerBody> {
        match self.attempt_all(&reservation, admitted) {
            RepeatEnd::Answered(answered) => self.settle_ran(reservation, answered, None),
            RepeatEnd::NotRun(failure) => {
                open::note(self.context, EventCode::RequestRefused, self.request, "");
                let grant = Some(reservation.grant);
                self.settle_not_run(reservation);
                let failure = open::check_claim(self.context, self.request, grant, failure);
                answer::fail(&failure)
            }
            RepeatEnd::Failed(failure) => {
                open::note(self.context, EventCode::RequestFailed, self.request, "");
                self.settle_not_charged(reservation);
                answer::fail(&failure)
            }
        }
    }

    /// Sends the call to servers until one answers.
    fn attempt_all(&self, reservation: &TokenReservation, admitted: AdmittedRequest) -> RepeatEnd {
        let rerun = RerunCheck::start(self.context, self.request).verdict();
        if let Err(failure) = rerun {
            return RepeatEnd::NotRun(failure);
        }
        let mut attempts = self.attempts();
        let first = match attempts.next_server() {
            Ok(first) => first,
            Err(stop) => return RepeatEnd::NotRun(refuse(&attempts, stop, admitted)),
        };
        let opened = match self.open(reservation, &first, admitted) {
            Ok(opened) => opened,
            Err(failure) => {
                attempts.give_back(&first);
                return RepeatEnd::NotRun(failure);
            }
        };
        let mut ready = ReadyRequest::Opened(opened);
        let mut next = Ok(first);
        let mut last_answer = None;
        loop {
            let chosen = match next {
                Ok(chosen) => chosen,
                Err(stop) => return end_repeat(&attempts, stop, ready, last_answer),
            };
            let dispatched = ready.dispatch(chosen.load.name.clone());
            let error = match self.call(&chosen) {
                Ok(answered) if answered.status < SERVER_ERROR => {
                    attempts.answered(&chosen);
                    return RepeatEnd::Answered(answered);
                }
                Ok(answered) => {
                    let status = answered.status;
                    last_answer = Some(answered);
                    hibiscus_clients::engine::EngineError::Refused { status }
                }
                Err(error) => error,
            };
            ready = attempts.failed(&chosen, dispatched, &error);
            next = attempts.next_server();
        }
    }

    /// The attempts of this call.
    pub(super) fn attempts(&self) -> RequestAttempts<'_> {
        RequestAttempts::new(
            self.context,
            self.request,
            &self.route.service,
            &self.route.path,
        )
    }

    /// The open of this call.
    pub(super) fn open_record(
        &self,
        reservation: &TokenReservation,
        chosen: &ChosenServer,
    ) -> RequestOpen {
        RequestOpen {
            key: self.request.key.clone(),
            grant: reservation.grant,
            reserved: reservation.tokens,
            server: chosen.load.name.clone(),
            exclusive: !self.route.idempotent,
            attempt: self.attempt,
            opened: UnixMillis::now(),
        }
    }

    /// Has the open acknowledged by the witnesses.
    fn open(
        &self,
        reservation: &TokenReservation,
        chosen: &ChosenServer,
        admitted: AdmittedRequest,
    ) -> open::Result<OpenedRequest> {
        let record = self.open_record(reservation, chosen);
        match open::acknowledge_open(self.context, reservation, &record) {
            Ok(()) => Ok(admitted.opened(reservation.grant, reservation.tokens, self.attempt)),
            Err(failure) => Err(failure.proved_not_run(&admitted.refuse())),
        }
    }

    /// Sends the call to the chosen server.
    pub(super) fn call(
        &self,
        chosen: &ChosenServer,
    ) -> hibiscus_clients::engine::Result<PlainAnswer> {
        open::note(
            self.context,
            EventCode::RequestDispatched,
            self.request,
            chosen.load.name.as_str(),
        );
        let (client, _watched) = attempt::watched_client(self.context, self.request);
        let fencing = attempt::fencing_number(self.context, &self.route.service);
        let headers = attempt::headers(self.request, &fencing, 0);
        let body = &self.request.body;
        client.call_plain(chosen.load.address, &self.route.path, body, &headers)
    }

    /// Records that the call ran, then passes its answer on.
    pub(super) fn settle_ran(
        &self,
        reservation: TokenReservation,
        answered: PlainAnswer,
        kept: Option<RecordedAnswer>,
    ) -> Response<AnswerBody> {
        let charge = reservation.tokens;
        let settlement = RequestSettlement {
            answer: kept,
            ..self.settlement(&reservation, SettledEnd::Ran, charge)
        };
        if !open::acknowledge_settlement(self.context, &reservation, &settlement) {
            let failure = RequestFailure::unknown(
                RefusalReason::NotRecorded,
                "failed to record the end of the request",
            );
            return answer::fail(&failure.proved_ran());
        }
        open::note(self.context, EventCode::RequestSettled, self.request, "");
        open::end_reservation(self.context, self.holder, reservation, charge);
        let answered = RecordedAnswer {
            status: answered.status,
            content_type: answered.content_type,
            body: answered.body,
        };
        respond(&self.request.key.key, answered)
    }

    /// Records that the call did not run.
    pub(super) fn settle_not_run(&self, reservation: TokenReservation) {
        let settlement = self.settlement(&reservation, SettledEnd::NotRun, TokenCount::ZERO);
        if open::acknowledge_settlement(self.context, &reservation, &settlement) {
            open::end_reservation(self.context, self.holder, reservation, TokenCount::ZERO);
        }
    }

    /// Ends a repeatable call that brought no answer: it costs nothing.
    fn settle_not_charged(&self, reservation: TokenReservation) {
        let settlement = self.settlement(&reservation, SettledEnd::Ran, TokenCount::ZERO);
        if open::acknowledge_settlement(self.context, &reservation, &settlement) {
            open::end_reservation(self.context, self.holder, reservation, TokenCount::ZERO);
        }
    }

    fn settlement(
        &self,
        reservation: &TokenReservation,
        end: SettledEnd,
        charge: TokenCount,
    ) -> RequestSettlement {
        RequestSettlement {
            key: self.request.key.clone(),
            grant: reservation.grant,
            attempt: self.attempt,
            reserved: reservation.tokens,
            charge,
            end,
            answer: None,
        }
    }
}

/// The failure of a call that has no server before its open.
pub(super) fn refuse(
    attempts: &RequestAttempts<'_>,
    stop: AttemptStop,
    admitted: AdmittedRequest,
) -> RequestFailure {
    let failure = attempts.failure(stop, None);
    if stop == AttemptStop::Quarantined {
        return failure;
    }
    failure.proved_not_run(&admitted.refuse())
}

/// The end of a repeatable call that no further server gets.
fn end_repeat(
    attempts: &RequestAttempts<'_>,
    stop: AttemptStop,
    ready: ReadyRequest,
    last_answer: Option<PlainAnswer>,
) -> RepeatEnd {
    if let Some(answered) = last_answer {
        return RepeatEnd::Answered(answered);
    }
    let ran = matches!(ready, ReadyRequest::Failed(_));
    let failure = attempts.failure(stop, Some(ready));
    if ran {
        RepeatEnd::Failed(failure)
    } else {
        RepeatEnd::NotRun(failure)
    }
}

/// The answer that a server gave.
pub(super) fn respond(key: &str, recorded: RecordedAnswer) -> Response<AnswerBody> {
    let head = AnswerHead {
        status: recorded.status,
        content_type: recorded.content_type,
        outcome: RequestOutcome::Ran,
        key: key.to_owned(),
    };
    answer::respond(&head, AnswerBody::whole(recorded.body))
}

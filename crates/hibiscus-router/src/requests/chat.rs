//! Chat completions: streamed or whole, resumed at another server when one
//! fails.

use std::sync::mpsc::SyncSender;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_ledger::holder::TokenReservation;
use hibiscus_ledger::record::RequestOpen;
use hibiscus_ledger::record::RequestSettlement;
use hibiscus_ledger::record::SettledEnd;
use hibiscus_platform::engine::CallHeaders;
use hibiscus_platform::engine::ChatChunk;
use hibiscus_platform::engine::EngineClient;
use hibiscus_platform::engine::EngineError;
use hibiscus_platform::engine::StreamStep;
use hibiscus_platform::engine::TokenUsage;
use hibiscus_request::life::AdmittedRequest;
use hibiscus_request::life::OpenedRequest;
use hibiscus_routing::load::ServerLoad;
use hibiscus_types::RefusalReason;
use hibiscus_types::RequestOutcome;
use hibiscus_types::ServerName;
use hibiscus_types::ServiceName;
use hibiscus_types::TokenCount;
use hibiscus_types::UnixMillis;
use hyper::Response;
use serde_json::json;
use tokio::sync::oneshot;

use crate::callers::answer;
use crate::callers::answer::AnswerHead;
use crate::callers::answer::RequestFailure;
use crate::callers::body;
use crate::callers::body::AnswerBody;
use crate::callers::body::AnswerSender;
use crate::context::SharedContext;
use crate::holder::HolderMessage;
use crate::requests::CallerRequest;
use crate::requests::RequestPath;
use crate::requests::open;

/// Servers that one request is sent to at most.
const ATTEMPT_LIMIT: usize = 3;

/// Where the answer's head goes.
pub type HeadSender = oneshot::Sender<Response<AnswerBody>>;

/// What a run has brought so far, over all its attempts.
struct AnswerProgress {
    id: String,
    stream: bool,
    model: String,
    text: String,
    tokens: u64,
    finish_reason: String,
    usage: Option<TokenUsage>,
    head: Option<HeadSender>,
    pieces: Option<AnswerSender>,
}

/// How the attempts ended.
enum RunEnd {
    /// The end marker came.
    Whole,
    /// The caller closed its connection.
    CallerLeft,
    /// No server received the request.
    NotRun(RequestFailure),
    /// Servers received the request and none finished it.
    Failed(RequestFailure),
}

/// Runs one chat completion.
pub fn run(
    context: &SharedContext,
    holder: &SyncSender<HolderMessage>,
    request: CallerRequest,
    head: HeadSender,
) {
    let RequestPath::Chat { service, stream } = &request.path else {
        return;
    };
    let reservation = match open::reserve(context, holder, &request) {
        Ok(reservation) => reservation,
        Err(failure) => {
            open::note(context, EventCode::RequestRefused, &request, "");
            let _left = head.send(answer::fail(&failure));
            return;
        }
    };
    let mut progress = AnswerProgress {
        id: request.key.key.clone(),
        stream: *stream,
        model: String::new(),
        text: String::new(),
        tokens: 0,
        finish_reason: String::new(),
        usage: None,
        head: Some(head),
        pieces: None,
    };
    let end = attempt_all(
        context,
        &request,
        &service.name,
        &reservation,
        &mut progress,
    );
    finish(context, holder, &request, reservation, progress, end);
}

/// Opens the request and sends it to servers until one finishes it.
fn attempt_all(
    context: &SharedContext,
    request: &CallerRequest,
    service: &ServiceName,
    reservation: &TokenReservation,
    progress: &mut AnswerProgress,
) -> RunEnd {
    let mut tried: Vec<ServerName> = Vec::new();
    let mut opened: Option<OpenedRequest> = None;
    let mut ran = false;
    while tried.len() < ATTEMPT_LIMIT {
        let Some(server) = context.servers.choose(service, &tried) else {
            break;
        };
        tried.push(server.name.clone());
        let ready = match opened.take() {
            Some(ready) => ready,
            None => match open_request(context, request, reservation, &server) {
                Ok(ready) => ready,
                Err(failure) => {
                    context.servers.release(&server.name);
                    return RunEnd::NotRun(failure);
                }
            },
        };
        let dispatched = ready.dispatch(server.name.clone());
        open::note(
            context,
            EventCode::RequestDispatched,
            request,
            server.name.as_str(),
        );
        let result = stream_from(context, request, reservation, &server, progress);
        context.servers.release(&server.name);
        match result {
            Ok(true) => return RunEnd::Whole,
            Ok(false) => return RunEnd::CallerLeft,
            Err(EngineError::NotConnected(_) | EngineError::Refused { .. }) => {}
            Err(_) => ran = true,
        }
        opened = Some(dispatched.not_connected());
    }
    if ran {
        return RunEnd::Failed(RequestFailure {
            outcome: RequestOutcome::Unknown,
            ..RequestFailure::not_run(
                RefusalReason::ServerFailed,
                format!(
                    "failed to finish the request: {} servers failed",
                    tried.len()
                ),
            )
        });
    }
    let message = format!("failed to reach a server of service `{service}`");
    RunEnd::NotRun(RequestFailure::not_run(RefusalReason::NoServer, message))
}

/// Has the open acknowledged.
fn open_request(
    context: &SharedContext,
    request: &CallerRequest,
    reservation: &TokenReservation,
    server: &ServerLoad,
) -> open::Result<OpenedRequest> {
    let record = RequestOpen {
        key: request.key.clone(),
        grant: reservation.grant,
        reserved: reservation.tokens,
        server: server.name.clone(),
        exclusive: false,
        attempt: 0,
        opened: UnixMillis::now(),
    };
    open::acknowledge_open(context, reservation, &record)?;
    open::note(
        context,
        EventCode::RequestOpened,
        request,
        server.name.as_str(),
    );
    let admitted = AdmittedRequest::new(request.key.clone());
    Ok(admitted.opened(reservation.grant, reservation.tokens, 0))
}

/// Streams from one server; false when the caller has left.
fn stream_from(
    context: &SharedContext,
    request: &CallerRequest,
    reservation: &TokenReservation,
    server: &ServerLoad,
    progress: &mut AnswerProgress,
) -> hibiscus_platform::engine::Result<bool> {
    let silence = Duration::from_millis(context.settings.limits.server_silence_ms);
    let client = EngineClient::new(silence);
    let fencing = format!("{:032x}", reservation.grant.as_u128());
    let headers = CallHeaders {
        request_id: &request.key.key,
        fencing: &fencing,
        priority: request.priority,
        remaining: request.remaining(),
        resume_from: progress.tokens,
    };
    let mut stream = client.start_chat(server.address, &request.body, &headers)?;
    loop {
        let chunk = match stream.next_step()? {
            StreamStep::Chunk(chunk) => chunk,
            StreamStep::End => return Ok(true),
        };
        if !progress.take(&chunk) {
            return Ok(false);
        }
    }
}

impl AnswerProgress {
    /// Takes one event over; false when the caller has left.
    fn take(&mut self, chunk: &ChatChunk) -> bool {
        if self.model.is_empty() {
            self.model.clone_from(&chunk.model);
        }
        if chunk.usage.is_some() {
            self.usage = chunk.usage;
        }
        let Some(choice) = chunk.choices.first() else {
            return true;
        };
        if let Some(reason) = &choice.finish_reason {
            self.finish_reason.clone_from(reason);
        }
        let Some(content) = &choice.delta.content else {
            return true;
        };
        self.tokens += 1;
        if !self.stream {
            self.text.push_str(content);
            return self.head.as_ref().is_none_or(|head| !head.is_closed());
        }
        let piece = self.event(&json!({ "content": content }), None);
        self.send(piece)
    }

    /// Sends one piece, behind the head when it is the first.
    fn send(&mut self, piece: String) -> bool {
        if let Some(head) = self.head.take() {
            let (pieces, body) = body::channel();
            let opening = AnswerHead {
                status: 200,
                content_type: "text/event-stream".to_owned(),
                outcome: RequestOutcome::Ran,
                key: self.id.clone(),
            };
            if head.send(answer::respond(&opening, body)).is_err() {
                return false;
            }
            self.pieces = Some(pieces);
        }
        let Some(pieces) = &self.pieces else {
            return false;
        };
        pieces.send(piece)
    }

    /// One event of the caller's stream.
    fn event(&self, delta: &serde_json::Value, finish_reason: Option<&str>) -> String {
        let chunk = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish_reason }],
        });
        format!("data: {chunk}\n\n")
    }

    /// The end of the caller's stream: last event, usage and end marker.
    fn closing(&self) -> String {
        let last = self.event(&json!({}), Some(&self.finish_reason));
        let usage = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [],
            "usage": self.usage_json(),
        });
        format!("{last}data: {usage}\n\ndata: [DONE]\n\n")
    }

    /// The whole answer.
    fn whole(&self) -> String {
        let answer = json!({
            "id": self.id,
            "object": "chat.completion",
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": self.text },
                "finish_reason": self.finish_reason,
            }],
            "usage": self.usage_json(),
        });
        answer.to_string()
    }

    fn usage_json(&self) -> serde_json::Value {
        let usage = self.usage.unwrap_or_default();
        json!({
            "prompt_tokens": usage.prompt_tokens,
            "completion_tokens": usage.completion_tokens,
            "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        })
    }

    /// Tokens used, by the engine's count or by what was received.
    fn charge(&self, request: &CallerRequest) -> TokenCount {
        match self.usage {
            Some(usage) => TokenCount::new(usage.prompt_tokens + usage.completion_tokens),
            None => request.prompt_tokens + TokenCount::new(self.tokens),
        }
    }
}

/// Settles, then lets the caller have the answer's end.
fn finish(
    context: &SharedContext,
    holder: &SyncSender<HolderMessage>,
    request: &CallerRequest,
    reservation: TokenReservation,
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
        attempt: 0,
        reserved: reservation.tokens,
        charge,
        end: settled_end,
        answer: None,
    };
    let settled = open::acknowledge_settlement(context, &reservation, &settlement);
    if settled {
        open::note(context, EventCode::RequestSettled, request, "");
        open::end_reservation(holder, reservation, charge);
    }
    match end {
        RunEnd::Whole if settled => send_end(progress),
        RunEnd::Whole => send_failure(
            progress,
            &RequestFailure {
                outcome: RequestOutcome::Unknown,
                ..RequestFailure::not_run(
                    RefusalReason::NotRecorded,
                    "failed to record the end of the request",
                )
            },
        ),
        RunEnd::CallerLeft => {}
        RunEnd::NotRun(failure) => {
            open::note(context, EventCode::RequestRefused, request, "");
            send_failure(progress, &failure);
        }
        RunEnd::Failed(failure) => {
            open::note(context, EventCode::RequestFailed, request, "");
            send_failure(progress, &failure);
        }
    }
}

/// Sends the end of a whole answer.
fn send_end(mut progress: AnswerProgress) {
    if progress.stream {
        let closing = progress.closing();
        let _left = progress.send(closing);
        if let Some(pieces) = progress.pieces {
            pieces.finish();
        }
        return;
    }
    let whole = progress.whole();
    let head = AnswerHead {
        status: 200,
        content_type: "application/json".to_owned(),
        outcome: RequestOutcome::Ran,
        key: progress.id.clone(),
    };
    if let Some(sender) = progress.head.take() {
        let _left = sender.send(answer::respond(&head, AnswerBody::whole(whole)));
    }
}

/// Sends a failure: as an error answer, or as a broken stream when the
/// answer has begun.
fn send_failure(progress: AnswerProgress, failure: &RequestFailure) {
    if let Some(head) = progress.head {
        let _left = head.send(answer::fail(failure));
        return;
    }
    let Some(pieces) = progress.pieces else {
        return;
    };
    let error = serde_json::to_string(&failure.body()).unwrap_or_default();
    pieces.send(format!("data: {error}\n\n"));
    pieces.break_off();
}

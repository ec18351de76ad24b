//! The answer of one chat completion, as its caller gets it.

use hibiscus_clients::engine::ChatChunk;
use hibiscus_clients::engine::TokenUsage;
use hibiscus_types::RequestOutcome;
use hibiscus_types::TokenCount;
use hyper::Response;
use serde_json::json;
use tokio::sync::oneshot;

use crate::callers::answer;
use crate::callers::answer::AnswerHead;
use crate::callers::answer::RequestFailure;
use crate::callers::body;
use crate::callers::body::AnswerBody;
use crate::callers::body::AnswerSender;
use crate::requests::CallerRequest;

/// Where the answer's head goes.
pub type HeadSender = oneshot::Sender<Response<AnswerBody>>;

/// What a request has brought so far, over all its attempts.
pub struct AnswerProgress {
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

impl AnswerProgress {
    /// An answer that has not begun.
    pub fn new(request: &CallerRequest, stream: bool, head: HeadSender) -> Self {
        Self {
            id: request.key.key.clone(),
            stream,
            model: String::new(),
            text: String::new(),
            tokens: request.resume_from,
            finish_reason: String::new(),
            usage: None,
            head: Some(head),
            pieces: None,
        }
    }

    /// Tokens that the caller has.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Whether a server has said why the answer ended.
    pub fn is_finished(&self) -> bool {
        !self.finish_reason.is_empty()
    }

    /// Takes one event over; false when the caller has left.
    pub fn take(&mut self, chunk: &ChatChunk) -> bool {
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

    /// Tokens used, by the engine's count or, without one, by what was
    /// received: the length of a prompt in tokens is the engine's to say, and
    /// nothing is charged before the first token.
    pub fn charge(&self, request: &CallerRequest) -> TokenCount {
        match self.usage {
            Some(usage) => TokenCount::new(usage.prompt_tokens + usage.completion_tokens),
            None if self.tokens == request.resume_from => TokenCount::ZERO,
            None => TokenCount::new(self.tokens),
        }
    }

    /// Sends the end of a whole answer.
    pub fn send_end(mut self) {
        if self.stream {
            let closing = self.closing();
            let _left = self.send(closing);
            if let Some(pieces) = self.pieces {
                pieces.finish();
            }
            return;
        }
        let whole = self.whole();
        let head = AnswerHead {
            status: 200,
            content_type: "application/json".to_owned(),
            outcome: RequestOutcome::Ran,
            key: self.id.clone(),
        };
        if let Some(sender) = self.head.take() {
            let _left = sender.send(answer::respond(&head, AnswerBody::whole(whole)));
        }
    }

    /// Sends a failure: as an error answer, or as a broken stream when the
    /// answer has begun.
    pub fn send_failure(self, failure: &RequestFailure) {
        if let Some(head) = self.head {
            let _left = head.send(answer::fail(failure));
            return;
        }
        let Some(pieces) = self.pieces else {
            return;
        };
        let error = serde_json::to_string(&failure.body()).unwrap_or_default();
        pieces.send(format!("data: {error}\n\n"));
        pieces.break_off();
    }
}

//! A caller that reads its answers byte by byte, and checks on them.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;

use super::scripted_server::ANSWER_TOKENS;
use super::scripted_server::plain_body;
use super::scripted_server::token;

/// API key of the example's first team.
const API_KEY: &str = "regina-example-key";
/// Time limit for the next byte of an answer.
const READ_LIMIT: Duration = Duration::from_secs(20);
/// Text that servers put wherever it must not reach a caller.
const FOREIGN: &str = "FOREIGN";

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerEnd {
    /// Status 200 and all of the expected content.
    Whole,
    /// Status 200 and an end that no caller takes for the whole content, after
    /// so many tokens.
    Broken(usize),
    /// An error with this status that says that no server ran the request.
    NotRun(u16),
    /// Another error with this status.
    Refused(u16),
    /// Anything else.
    Wrong,
}

/// An answer as it came.
#[derive(Clone, Debug)]
pub(crate) struct RawAnswer {
    pub(crate) status: u16,
    head: String,
    pub(crate) body: String,
    /// Whether the last byte came that its framing announced.
    pub(crate) complete: bool,
}

/// A caller's connection.
pub(crate) struct RawCaller {
    stream: TcpStream,
}

impl RawCaller {
    /// Connects to the callers' port of an instance.
    pub(crate) fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the port is open");
        stream
            .set_read_timeout(Some(READ_LIMIT))
            .expect("the limit is set");
        stream.set_nodelay(true).expect("the option is set");
        Self { stream }
    }

    /// Sends a request and receives its answer.
    pub(crate) fn call(&mut self, path: &str, key: &str, body: &str) -> RawAnswer {
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: fleet\r\nauthorization: Bearer {API_KEY}\r\n\
             idempotency-key: {key}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream
            .write_all(request.as_bytes())
            .expect("the request is sent");
        self.receive()
    }

    /// Sends a streamed chat completion and receives its answer.
    pub(crate) fn chat(&mut self, key: &str, stream: bool) -> RawAnswer {
        let body = format!(
            "{{\"model\":\"stylist\",\"stream\":{stream},\"max_tokens\":64,\
             \"messages\":[{{\"role\":\"user\",\"content\":\"{key}\"}}]}}"
        );
        self.call("/v1/chat/completions", key, &body)
    }

    fn receive(&mut self) -> RawAnswer {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let byte = self.byte().expect("the head comes");
            head.push(byte.expect("the head comes whole"));
        }
        let head = String::from_utf8(head).expect("the head is text");
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
        let header = |name: &str| {
            head.lines()
                .filter_map(|line| line.split_once(": "))
                .find(|(found, _value)| found.eq_ignore_ascii_case(name))
                .map(|(_name, value)| value.to_owned())
        };
        let mut body = Vec::new();
        let length = header("content-length").map(|text| text.parse().expect("a length"));
        let complete = match length {
            Some(length) => self.take(length, &mut body),
            None => {
                assert_eq!(header("transfer-encoding").as_deref(), Some("chunked"));
                self.take_chunks(&mut body)
            }
        };
        RawAnswer {
            status: status.expect("a status"),
            head,
            body: String::from_utf8(body).expect("the body is text"),
            complete,
        }
    }

    /// The next byte, `None` at the end of the connection.
    fn byte(&mut self) -> io::Result<Option<u8>> {
        let mut byte = [0];
        Ok((self.stream.read(&mut byte)? > 0).then_some(byte[0]))
    }

    /// Reads `length` bytes into `body`; false when the connection ends before.
    fn take(&mut self, length: usize, body: &mut Vec<u8>) -> bool {
        for _ in 0..length {
            match self.byte() {
                Ok(Some(byte)) => body.push(byte),
                Ok(None) => return false,
                Err(error) => {
                    assert_ne!(error.kind(), io::ErrorKind::WouldBlock, "no byte came");
                    return false;
                }
            }
        }
        true
    }

    /// Reads chunks into `body`; false when the connection ends before the last one.
    fn take_chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let mut line = Vec::new();
            while !line.ends_with(b"\r\n") {
                if !self.take(1, &mut line) {
                    return false;
                }
            }
            let text = String::from_utf8(line).expect("a chunk's size is text");
            let length = usize::from_str_radix(text.trim_end(), 16).expect("a chunk's size");
            if !self.take(length, body) || !self.take(2, &mut Vec::new()) {
                return false;
            }
            if length == 0 {
                return true;
            }
        }
    }

    /// Whether the connection ends without a further byte.
    pub(crate) fn is_ended(&mut self) -> bool {
        match self.byte() {
            Ok(byte) => byte.is_none(),
            Err(error) => error.kind() == io::ErrorKind::ConnectionReset,
        }
    }
}

impl RawAnswer {
    /// Checks an answer with a JSON error.
    fn check_refusal(&self) -> AnswerEnd {
        assert!(self.complete, "{self:?}");
        assert!(self.status >= 400, "{self:?}");
        let error: Value = serde_json::from_str(&self.body).expect("the error is JSON");
        assert!(error["error"]["code"].is_string(), "{self:?}");
        if self.head.contains("\r\nx-hibiscus-outcome: not-run\r\n") {
            return AnswerEnd::NotRun(self.status);
        }
        AnswerEnd::Refused(self.status)
    }

    /// Checks the answer of a plain service to the request `key`.
    pub(crate) fn check_plain(&self, key: &str) -> AnswerEnd {
        self.check_foreign();
        if self.status != 200 {
            return self.check_refusal();
        }
        assert!(self.complete, "{self:?}");
        assert_eq!(self.body, plain_body(key), "{self:?}");
        AnswerEnd::Whole
    }

    /// Checks a chat's answer in one piece to the request `key`.
    pub(crate) fn check_chat(&self, key: &str) -> AnswerEnd {
        self.check_foreign();
        if self.status != 200 {
            return self.check_refusal();
        }
        assert!(self.complete, "{self:?}");
        let answer: Value = serde_json::from_str(&self.body).expect("the answer is JSON");
        let choice = &answer["choices"][0];
        let text: String = (0..ANSWER_TOKENS).map(|index| token(key, index)).collect();
        assert_eq!(choice["message"]["content"], text, "{self:?}");
        assert_eq!(choice["finish_reason"], "stop", "{self:?}");
        AnswerEnd::Whole
    }

    /// Checks a streamed answer to the request `key`: each byte belongs to one of its
    /// events, and only the whole text has an end.
    pub(crate) fn check_stream(&self, key: &str) -> AnswerEnd {
        self.check_foreign();
        if self.status != 200 {
            return self.check_refusal();
        }
        let body = self.body.strip_suffix("\n\n").expect("events end whole");
        let mut events = Vec::new();
        for event in body.split("\n\n") {
            let data = event.strip_prefix("data: ").expect("only events come");
            assert!(!data.contains('\n'), "{self:?}");
            events.push(data);
        }
        let mut tokens = 0;
        while let Some(data) = events.get(tokens) {
            let event: Value = serde_json::from_str(data).unwrap_or_default();
            let content = &event["choices"][0]["delta"]["content"];
            if !content.is_string() {
                break;
            }
            assert_eq!(*content, token(key, tokens), "{self:?}");
            assert_eq!(event["id"], key, "{self:?}");
            tokens += 1;
        }
        let rest = &events[tokens..];
        if self.complete {
            assert_eq!(tokens, ANSWER_TOKENS, "{self:?}");
            assert_eq!(rest.len(), 3, "{self:?}");
            assert_eq!(rest[2], "[DONE]", "{self:?}");
            let last: Value = serde_json::from_str(rest[0]).expect("an event is JSON");
            assert_eq!(last["choices"][0]["finish_reason"], "stop", "{self:?}");
            return AnswerEnd::Whole;
        }
        assert_eq!(rest.len(), 1, "{self:?}");
        let error: Value = serde_json::from_str(rest[0]).expect("an event is JSON");
        assert!(error["error"]["code"].is_string(), "{self:?}");
        AnswerEnd::Broken(tokens)
    }

    fn check_foreign(&self) {
        assert!(!self.head.contains(FOREIGN), "{self:?}");
        assert!(!self.body.contains(FOREIGN), "{self:?}");
    }
}

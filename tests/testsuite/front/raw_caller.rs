//! A caller that reads responses byte for byte and decides from their framing alone
//! whether they are complete.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::front::request;

/// Time without a byte after which a response counts as hanging. It is longer than the
/// deadline of a request.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);

/// How a response marks its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerFraming {
    /// A content length.
    Length(usize),
    /// Chunks.
    Chunks,
    /// The end of the connection, so that each end looks complete.
    Connection,
    /// The status allows no body.
    NoBody,
}

/// A response as its framing shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CallerAnswer {
    /// Status code; 0 if the head is incomplete.
    pub(super) status: u16,
    /// Head, in lower case.
    pub(super) head: String,
    /// Decoded body, as far as it arrived.
    pub(super) body: Vec<u8>,
    /// Whether the response looks complete.
    pub(super) is_whole: bool,
    /// Whether neither more bytes nor the end of the connection came.
    pub(super) is_hanging: bool,
    /// Bytes after the end of the response.
    pub(super) rest: Vec<u8>,
}

impl CallerAnswer {
    /// Returns the value of the header `name`, which is in lower case.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines();
        lines.find_map(|line| Some(line.strip_prefix(name)?.strip_prefix(':')?.trim()))
    }

    /// Body as text.
    pub(super) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the response that begins at the first of `bytes`. `has_ended` is whether the
/// connection has ended after them.
///
/// # Panics
///
/// Panics if the bytes are no HTTP response.
fn parse(bytes: &[u8], has_ended: bool) -> CallerAnswer {
    let mut answer = CallerAnswer {
        status: 0,
        head: String::new(),
        body: Vec::new(),
        is_whole: false,
        is_hanging: false,
        rest: Vec::new(),
    };
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        answer.head = String::from_utf8_lossy(bytes).into_owned();
        return answer;
    };
    answer.head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let line = answer.head.lines().next().unwrap_or_default();
    assert!(line.starts_with("http/1."), "no response: {}", answer.head);
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    answer.status = status.unwrap_or(0);
    let body = &bytes[end + 4..];
    match framing(&answer) {
        AnswerFraming::NoBody => {
            answer.is_whole = true;
            answer.rest = body.to_vec();
        }
        AnswerFraming::Length(length) => {
            answer.is_whole = body.len() >= length;
            let split = length.min(body.len());
            answer.body = body[..split].to_vec();
            answer.rest = body[split..].to_vec();
        }
        AnswerFraming::Chunks => {
            let (body, rest) = decode_chunks(body);
            answer.body = body;
            answer.is_whole = rest.is_some();
            answer.rest = rest.unwrap_or_default();
        }
        AnswerFraming::Connection => {
            answer.is_whole = has_ended;
            answer.body = body.to_vec();
        }
    }
    answer
}

/// Determines how `answer` marks its end.
fn framing(answer: &CallerAnswer) -> AnswerFraming {
    if matches!(answer.status, 100..=199 | 204 | 304) {
        return AnswerFraming::NoBody;
    }
    let lines = answer.head.lines();
    let lengths: Vec<_> = lines
        .filter_map(|line| line.strip_prefix("content-length:"))
        .collect();
    if let Some(coding) = answer.header("transfer-encoding") {
        assert_eq!(coding, "chunked", "{}", answer.head);
        assert!(lengths.is_empty(), "two framings: {}", answer.head);
        return AnswerFraming::Chunks;
    }
    match lengths.as_slice() {
        [] => AnswerFraming::Connection,
        [length] => {
            let length = length.trim().parse();
            AnswerFraming::Length(length.expect("the length is one number"))
        }
        _several => panic!("several lengths: {}", answer.head),
    }
}

/// Decodes chunks; returns the bytes after the last chunk if that has arrived.
fn decode_chunks(bytes: &[u8]) -> (Vec<u8>, Option<Vec<u8>>) {
    let mut body = Vec::new();
    let mut rest = bytes;
    loop {
        let Some(end) = rest.windows(2).position(|window| window == b"\r\n") else {
            return (body, None);
        };
        let size = std::str::from_utf8(&rest[..end]).expect("a chunk size is text");
        let size = usize::from_str_radix(size, 16).expect("a chunk size is a number");
        rest = &rest[end + 2..];
        if size == 0 {
            return match rest.strip_prefix(b"\r\n") {
                Some(rest) => (body, Some(rest.to_vec())),
                None => (body, None),
            };
        }
        let arrived = size.min(rest.len());
        body.extend_from_slice(&rest[..arrived]);
        let Some(after) = rest[arrived..].strip_prefix(b"\r\n") else {
            return (body, None);
        };
        rest = after;
    }
}

/// A caller that keeps its connection while its responses are complete.
pub(super) struct RawCaller {
    address: SocketAddr,
    stream: Option<TcpStream>,
    unread: Vec<u8>,
}

impl RawCaller {
    /// Creates a caller of the daemon at `address`.
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
            unread: Vec::new(),
        }
    }

    /// Sends `request` and reads its response.
    ///
    /// # Panics
    ///
    /// Panics if the daemon can't be reached or has sent bytes before the request.
    pub(super) fn call(&mut self, request: &str) -> CallerAnswer {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect(self.address).expect("the daemon accepts connections"),
        };
        assert!(self.unread.is_empty(), "bytes without a request");
        let limited = stream.set_read_timeout(Some(SILENCE_LIMIT));
        limited.expect("a timeout can be set");
        stream
            .write_all(request.as_bytes())
            .expect("the request is sent");
        let mut buffer = [0; 4_096];
        loop {
            let read = stream.read(&mut buffer);
            let has_ended = matches!(read, Ok(0))
                || read.as_ref().is_err_and(|error| !is_timeout(error.kind()));
            let count = *read.as_ref().unwrap_or(&0);
            self.unread.extend_from_slice(&buffer[..count]);
            let mut answer = parse(&self.unread, has_ended);
            answer.is_hanging = read.is_err() && !has_ended;
            if !answer.is_whole && !has_ended && !answer.is_hanging {
                continue;
            }
            self.unread.clear();
            let closes = answer.header("connection") == Some("close");
            if answer.is_whole && !has_ended && !closes {
                self.unread.clone_from(&answer.rest);
                self.stream = Some(stream);
            }
            return answer;
        }
    }
}

/// Whether reading failed because no byte came in time.
fn is_timeout(kind: std::io::ErrorKind) -> bool {
    matches!(
        kind,
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}

/// Returns a request that keeps its connection.
pub(super) fn kept_request(path: &str, id: &str, more: &str) -> String {
    // The bodies differ, so that no request is taken for one that crashes servers.
    let text = request(path, id, more).replace("Connection: close\r\n", "");
    text.replace(
        "Content-Length: 4\r\n",
        &format!("Content-Length: {}\r\n", id.len()),
    )
    .replace("\r\n\r\nbody", &format!("\r\n\r\n{id}"))
}

//! Test double of a server that answers with scripted bytes, an attempt at a time.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use hibiscus_clients::engine::REQUEST_ID_HEADER;
use hibiscus_clients::engine::RESUME_HEADER;

/// Tokens of a chat's answer.
pub(crate) const ANSWER_TOKENS: usize = 4;
/// Tokens of a prompt, as a server counts them.
const PROMPT_TOKENS: usize = 3;
/// Tokens that a whole chat is charged.
pub(crate) const CHAT_CHARGE: u64 = (PROMPT_TOKENS + ANSWER_TOKENS) as u64;

/// What follows the bytes of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ScriptEnd {
    /// The connection is closed.
    Close,
    /// The connection is reset.
    Reset,
    /// The connection stays open for another request.
    KeepOpen,
    /// After a pause the rest comes, and the connection stays open.
    Late(Duration, Vec<u8>),
}

/// The answer to one attempt.
#[derive(Clone, Debug)]
pub(crate) struct ScriptedAnswer {
    pub(crate) bytes: Vec<u8>,
    pub(crate) end: ScriptEnd,
}

impl ScriptedAnswer {
    /// An answer after which the connection stays open.
    pub(crate) fn kept_open(bytes: Vec<u8>) -> Self {
        let end = ScriptEnd::KeepOpen;
        Self { bytes, end }
    }

    /// An answer after which the connection is closed.
    pub(crate) fn closed(bytes: Vec<u8>) -> Self {
        let end = ScriptEnd::Close;
        Self { bytes, end }
    }
}

/// One attempt, as a server received it.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedAttempt {
    pub(crate) key: String,
    pub(crate) resume_from: usize,
    pub(crate) connection: usize,
}

/// The answers that a group of servers gives, and the attempts it has received.
#[derive(Default)]
pub(crate) struct AnswerScript {
    answers: Mutex<BTreeMap<String, VecDeque<ScriptedAnswer>>>,
    attempts: Mutex<Vec<ReceivedAttempt>>,
    connections: AtomicUsize,
}

impl AnswerScript {
    /// Sets the answers to the attempts of the request `key`. Attempts beyond them
    /// get a complete answer.
    pub(crate) fn set(&self, key: &str, answers: &[ScriptedAnswer]) {
        let answers = answers.iter().cloned().collect();
        lock(&self.answers).insert(key.to_owned(), answers);
    }

    /// The attempts of the request `key`.
    pub(crate) fn attempts(&self, key: &str) -> Vec<ReceivedAttempt> {
        let mut attempts = lock(&self.attempts).clone();
        attempts.retain(|attempt| attempt.key == key);
        attempts
    }

    fn next(&self, request: &ReceivedRequest) -> ScriptedAnswer {
        let scripted = lock(&self.answers)
            .get_mut(&request.key)
            .and_then(VecDeque::pop_front);
        if let Some(answer) = scripted {
            return answer;
        }
        let bytes = if request.is_chat() {
            let body = chat_events(&request.key, request.resume_from) + &chat_end(&request.key);
            chunked(200, &request.key, body.as_bytes())
        } else {
            sized(200, &request.key, plain_body(&request.key).as_bytes())
        };
        ScriptedAnswer::kept_open(bytes)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no other thread panicked")
}

/// A server on a loopback port.
pub(crate) struct ScriptedServer {
    pub(crate) address: SocketAddr,
    stopping: Arc<AtomicBool>,
}

impl ScriptedServer {
    /// Starts a server that answers from `script`.
    pub(crate) fn start(script: &Arc<AnswerScript>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the port opens");
        let address = listener.local_addr().expect("the port has an address");
        let stopping = Arc::new(AtomicBool::new(false));
        let (script, stop) = (Arc::clone(script), Arc::clone(&stopping));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(stream) = stream else {
                    continue;
                };
                let script = Arc::clone(&script);
                // A connection that fails is the router's matter.
                thread::spawn(move || serve(stream, &script));
            }
        });
        Self { address, stopping }
    }
}

impl Drop for ScriptedServer {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        // Wakes the accepting thread, which closes the port.
        let _woken = TcpStream::connect(self.address);
    }
}

/// Head of a request.
struct ReceivedRequest {
    path: String,
    key: String,
    resume_from: usize,
    length: usize,
}

impl ReceivedRequest {
    fn is_chat(&self) -> bool {
        self.path == "/v1/chat/completions"
    }
}

fn serve(mut stream: TcpStream, script: &AnswerScript) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let connection = script.connections.fetch_add(1, Ordering::Relaxed);
    loop {
        let request = receive_head(&mut stream)?;
        if request.path == "/v1/load" {
            let load = br#"{"running":0,"waiting":0,"age_ms":0}"#;
            stream.write_all(&sized(200, "", load))?;
            continue;
        }
        // The last byte is left unread: closing the connection then resets it.
        let mut body = vec![0; request.length.saturating_sub(1)];
        stream.read_exact(&mut body)?;
        stream.peek(&mut [0])?;
        lock(&script.attempts).push(ReceivedAttempt {
            key: request.key.clone(),
            resume_from: request.resume_from,
            connection,
        });
        let answer = script.next(&request);
        stream.write_all(&answer.bytes)?;
        if answer.end == ScriptEnd::Reset {
            return Ok(());
        }
        stream.read_exact(&mut [0])?;
        match answer.end {
            ScriptEnd::Close | ScriptEnd::Reset => return Ok(()),
            ScriptEnd::KeepOpen => {}
            ScriptEnd::Late(pause, rest) => {
                thread::sleep(pause);
                stream.write_all(&rest)?;
            }
        }
    }
}

fn receive_head(stream: &mut TcpStream) -> io::Result<ReceivedRequest> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        head.extend_from_slice(&byte);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let path = head.split(' ').nth(1).unwrap_or("").to_owned();
    let header = |name: &str| {
        head.lines()
            .filter_map(|line| line.split_once(": "))
            .find(|(found, _value)| found.eq_ignore_ascii_case(name))
            .map_or("", |(_name, value)| value)
    };
    Ok(ReceivedRequest {
        path,
        key: header(REQUEST_ID_HEADER).to_owned(),
        resume_from: header(RESUME_HEADER).parse().unwrap_or(0),
        length: header("content-length").parse().unwrap_or(0),
    })
}

/// The text of the token `index` of a chat's answer.
pub(crate) fn token(key: &str, index: usize) -> String {
    format!("{key}.{index} ")
}

/// The event of one token.
pub(crate) fn chat_event(key: &str, index: usize) -> String {
    let text = token(key, index);
    format!(
        "data: {{\"id\":\"{key}\",\"object\":\"chat.completion.chunk\",\"model\":\"stylist\",\
         \"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n"
    )
}

/// The events of the tokens from `first` on.
pub(crate) fn chat_events(key: &str, first: usize) -> String {
    (first..ANSWER_TOKENS)
        .map(|index| chat_event(key, index))
        .collect()
}

/// The last event and the end marker of a chat's answer.
pub(crate) fn chat_end(key: &str) -> String {
    format!(
        "data: {{\"id\":\"{key}\",\"object\":\"chat.completion.chunk\",\"model\":\"stylist\",\
         \"choices\":[{{\"index\":0,\"delta\":{{}},\"finish_reason\":\"stop\"}}],\
         \"usage\":{{\"prompt_tokens\":{PROMPT_TOKENS},\"completion_tokens\":{ANSWER_TOKENS}}}}}\
         \n\ndata: [DONE]\n\n"
    )
}

/// The whole body of a plain service's answer.
pub(crate) fn plain_body(key: &str) -> String {
    format!("{{\"order\":\"{key}\"}}")
}

/// The head of an answer to the request `key`, with `framing` as header lines.
pub(crate) fn head(status: u16, key: &str, framing: &str) -> String {
    format!(
        "HTTP/1.1 {status} FOREIGN\r\n{REQUEST_ID_HEADER}: {key}\r\nx-more: FOREIGN\r\n{framing}\r\n"
    )
}

/// An answer with a length.
pub(crate) fn sized(status: u16, key: &str, body: &[u8]) -> Vec<u8> {
    let framing = format!("content-length: {}\r\n", body.len());
    [head(status, key, &framing).as_bytes(), body].concat()
}

/// An answer in two chunks.
pub(crate) fn chunked(status: u16, key: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = head(status, key, "transfer-encoding: chunked\r\n").into_bytes();
    bytes.extend_from_slice(&in_chunks(body));
    bytes
}

/// `body` in two chunks and the last one.
pub(crate) fn in_chunks(body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (first, second) = body.split_at(body.len() / 2);
    for part in [first, second] {
        if part.is_empty() {
            continue;
        }
        bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        bytes.extend_from_slice(part);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// An answer that ends with its connection.
pub(crate) fn unframed(status: u16, key: &str, body: &[u8]) -> Vec<u8> {
    [head(status, key, "").as_bytes(), body].concat()
}

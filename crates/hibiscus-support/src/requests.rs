//! A fleet of router processes in front of stand-in servers, and callers
//! whose answers tell what was claimed of the execution.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::log::HttpLog;
use hibiscus_clients::log::LogService;
use hibiscus_config::CONFIG_STREAM;
use hibiscus_config::file::OperatorFile;
use hibiscus_config::fold::ConfigFold;
use hibiscus_config::record::ConfigRecord;
use hibiscus_ledger::fold::LedgerFold;
use hibiscus_ledger::fold::RecordVerdict;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::record::RecordBatch;
use hibiscus_ledger::record::SettledEnd;
use hibiscus_ledger::stream_of;
use hibiscus_router::settings::RouterSettings;
use hibiscus_types::codec;
use serde_json::Value;

use crate::fleet::StandinPlatform;
use crate::process::RouterProcess;

/// Time that a fleet may take to answer its first request.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Time after which a caller gives up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between tries of a fleet that starts.
const READY_POLL: Duration = Duration::from_millis(50);
/// Configuration of the fleet: the example of the repository.
const EXAMPLE: &str = include_str!("../../../examples/prairie-seam.jsonc");
/// API key of the example's first team.
const API_KEY: &str = "regina-example-key";
/// Data centres of the example, one instance each in turn.
const DATA_CENTRES: [&str; 3] = ["regina", "saskatoon", "winnipeg"];

/// What a caller got.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerReply {
    /// HTTP status, 0 when the connection broke before it.
    pub status: u16,
    /// What the answer claims of the execution.
    pub outcome: String,
    /// The body as far as it came.
    pub body: String,
    /// Whether the body came to its end.
    pub whole: bool,
}

impl CallerReply {
    /// The code of an error answer, empty for others.
    pub fn code(&self) -> String {
        let error: Value = serde_json::from_str(&self.body).unwrap_or_default();
        error["error"]["code"].as_str().unwrap_or("").to_owned()
    }

    /// The text of a streamed answer.
    pub fn streamed_text(&self) -> String {
        let mut text = String::new();
        for line in self.body.lines() {
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            let event: Value = serde_json::from_str(data).unwrap_or_default();
            text.push_str(
                event["choices"][0]["delta"]["content"]
                    .as_str()
                    .unwrap_or(""),
            );
        }
        text
    }

    /// Whether a streamed answer came with its end marker.
    pub fn has_end(&self) -> bool {
        self.whole && self.body.ends_with("data: [DONE]\n\n")
    }
}

/// Router processes with their platform.
pub struct RequestFleet {
    /// The platform.
    pub platform: StandinPlatform,
    /// The processes, in the order of their names.
    pub routers: Vec<RouterProcess>,
}

impl RequestFleet {
    /// Starts `count` processes whose settings `adjust` may change, with the
    /// example's configuration published, on a list that lags by `lag`.
    ///
    /// # Panics
    ///
    /// Panics when a process does not start.
    pub fn start<F>(count: usize, lag: Duration, adjust: F) -> Self
    where
        F: Fn(&mut RouterSettings),
    {
        let platform = StandinPlatform::start(lag);
        publish_example(&platform);
        let mut routers = Vec::new();
        for index in 0..count {
            let name = format!("router-{}", index + 1);
            let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
            let mut settings = platform.settings(&name, data_centre, "prairie");
            adjust(&mut settings);
            let router = RouterProcess::start(&settings);
            platform.list_process(&name, data_centre, "prairie", &router);
            routers.push(router);
        }
        Self { platform, routers }
    }

    /// Every charge that the log holds, by key, in order.
    ///
    /// # Panics
    ///
    /// Panics when the log cannot be read.
    pub fn charges(&self) -> Vec<(String, u64)> {
        let mut charges = Vec::new();
        self.fold_ledger(|batch, verdicts| charges.extend(accepted_charges(batch, verdicts)));
        charges
    }

    /// The ledger that the log holds.
    ///
    /// # Panics
    ///
    /// Panics when the log cannot be read.
    pub fn ledger(&self) -> LedgerFold {
        self.fold_ledger(|_batch, _verdicts| {})
    }

    /// Folds the ledger, and passes each batch on with its verdicts.
    fn fold_ledger<F>(&self, mut pass: F) -> LedgerFold
    where
        F: FnMut(&RecordBatch, &[RecordVerdict]),
    {
        let log = HttpLog::new(&self.platform.log.url(), Duration::from_secs(2));
        let mut fold = LedgerFold::default();
        loop {
            let next = fold.next_offset();
            let page = log
                .read(&stream_of(0), next, Duration::ZERO)
                .expect("the log answers");
            if page.records.is_empty() {
                return fold;
            }
            for record in page.records {
                let Ok(batch) = codec::decode::<RecordBatch>(&record.data) else {
                    fold.skip(record.offset);
                    continue;
                };
                let verdicts = fold.apply(record.offset, &batch);
                pass(&batch, &verdicts);
            }
        }
    }

    /// The charges of the request `key`.
    pub fn charges_of(&self, key: &str) -> Vec<u64> {
        let mut found = Vec::new();
        for (charged, tokens) in self.charges() {
            if charged == key {
                found.push(tokens);
            }
        }
        found
    }

    /// Starts a further process and lists it.
    ///
    /// # Panics
    ///
    /// Panics when the process does not start.
    pub fn add_router(&mut self, name: &str, data_centre: &str) {
        let settings = self.platform.settings(name, data_centre, "prairie");
        let router = RouterProcess::start(&settings);
        self.platform
            .list_process(name, data_centre, "prairie", &router);
        self.routers.push(router);
    }

    /// The callers' port of the process `index`.
    pub fn address(&self, index: usize) -> SocketAddr {
        self.routers[index].addresses.callers
    }

    /// Waits until every process answers a size lookup.
    ///
    /// # Panics
    ///
    /// Panics when one does not in time.
    pub fn wait_ready(&self) {
        let deadline = Instant::now() + READY_LIMIT;
        for router in &self.routers {
            loop {
                let key = format!("ready-{}", fastrand::u64(..));
                let reply = post(router.addresses.callers, "/tailorbook/sizes", &key, "{}");
                if reply.status == 200 {
                    break;
                }
                assert!(Instant::now() < deadline, "not ready; last: {reply:?}");
                thread::sleep(READY_POLL);
            }
        }
    }
}

/// The charges that took effect among the records of `batch`.
fn accepted_charges(batch: &RecordBatch, verdicts: &[RecordVerdict]) -> Vec<(String, u64)> {
    let mut charges = Vec::new();
    for (record, verdict) in batch.records.iter().zip(verdicts) {
        let LedgerRecord::Settle(settlement) = record else {
            continue;
        };
        if *verdict == RecordVerdict::Accepted && settlement.end == SettledEnd::Ran {
            charges.push((settlement.key.key.clone(), settlement.charge.get()));
        }
    }
    charges
}

/// Publishes the example's configuration.
fn publish_example(platform: &StandinPlatform) {
    let file = OperatorFile::parse(EXAMPLE).expect("the example is correct");
    let record = ConfigRecord {
        publication: 1,
        changes: file.changes(&ConfigFold::default()),
    };
    let log = HttpLog::new(&platform.log.url(), Duration::from_secs(2));
    let data = codec::encode(&record).expect("the record encodes");
    log.append(CONFIG_STREAM, &data).expect("the log takes it");
}

/// Sends `body` to `path` under the idempotency key `key`.
pub fn post(address: SocketAddr, path: &str, key: &str, body: &str) -> CallerReply {
    post_with(address, path, key, body, &[])
}

/// As [`post`], with further headers.
pub fn post_with(
    address: SocketAddr,
    path: &str,
    key: &str,
    body: &str,
    headers: &[(&str, &str)],
) -> CallerReply {
    let mut request = ureq::post(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {API_KEY}"))
        .header("content-type", "application/json")
        .header("idempotency-key", key);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let sent = request
        .config()
        .http_status_as_error(false)
        .timeout_global(Some(CALLER_TIMEOUT))
        .build()
        .send(body);
    let Ok(response) = sent else {
        return CallerReply::default();
    };
    let status = response.status().as_u16();
    let outcome = response
        .headers()
        .get("x-hibiscus-outcome")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .to_owned();
    let mut read = Vec::new();
    let whole = response
        .into_body()
        .into_reader()
        .read_to_end(&mut read)
        .is_ok();
    CallerReply {
        status,
        outcome,
        body: String::from_utf8_lossy(&read).into_owned(),
        whole,
    }
}

/// Sends a streamed chat completion and reads nothing of it: dropping the
/// connection is leaving.
///
/// # Panics
///
/// Panics when the connection fails.
pub fn open_stream(address: SocketAddr, key: &str, prompt: &str) -> TcpStream {
    let body = chat_body(prompt);
    let mut stream = TcpStream::connect(address).expect("the port is open");
    write!(
        stream,
        "POST /v1/chat/completions HTTP/1.1\r\nhost: {address}\r\n\
         authorization: Bearer {API_KEY}\r\nidempotency-key: {key}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("the request is sent");
    stream
}

/// Sends a streamed chat completion with `prompt`.
pub fn stream_chat(address: SocketAddr, key: &str, prompt: &str) -> CallerReply {
    stream_chat_with(address, key, prompt, &[])
}

/// As [`stream_chat`], with further headers.
pub fn stream_chat_with(
    address: SocketAddr,
    key: &str,
    prompt: &str,
    headers: &[(&str, &str)],
) -> CallerReply {
    let body = chat_body(prompt);
    post_with(address, "/v1/chat/completions", key, &body, headers)
}

/// The body of a streamed chat completion.
fn chat_body(prompt: &str) -> String {
    let body = serde_json::json!({
        "model": "stylist",
        "stream": true,
        "max_tokens": 2_000,
        "messages": [{ "role": "user", "content": prompt }],
    });
    body.to_string()
}

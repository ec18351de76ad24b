//! Callers in threads, who retry as ordinary clients do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use hibiscus_types::UnixMillis;
use serde_json::Value;
use serde_json::json;

use crate::caller::CallError;
use crate::caller::FleetCaller;
use crate::commands::faults::plan::DeploymentPlan;
use crate::commands::faults::records::AnswerRecord;
use crate::commands::faults::records::AttemptEnd;
use crate::commands::faults::records::AttemptRecord;
use crate::commands::faults::records::CallKind;
use crate::commands::faults::records::CallRecord;

/// Caller threads.
const CALLERS: u64 = 16;
/// Time between two calls of a caller, at most.
const THINK_MS: u64 = 60;
/// Time after which a call is not sent again.
const CALL_LIMIT: Duration = Duration::from_secs(6);
/// Attempts of one call.
const ATTEMPT_LIMIT: u64 = 5;
/// Delay before the second attempt; it grows by as much with each.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Tokens that a chat may generate.
const MAX_TOKENS: u64 = 512;
/// Tokens of a short answer, at most.
const SHORT_LENGTH: u64 = 40;
/// Marker of the request that stops engines.
const CRASH_MARKER: &str = "mcrash";
/// Tokens of a long answer.
const LONG_LENGTH: u64 = 400;
/// Bytes of prompt that make one token at the engine.
const ENGINE_BYTES_PER_TOKEN: u64 = 4;
/// Bytes of body that make at least one token at the router.
const ROUTER_BYTES_PER_TOKEN: u64 = 3;

/// Where callers reach the instances.
#[derive(Debug, Default)]
pub struct AddressDirectory {
    addresses: Mutex<Vec<Option<SocketAddr>>>,
}

impl AddressDirectory {
    /// Sets the address of the instance at `index`, `None` once callers must
    /// not use it any more.
    pub fn set(&self, index: usize, address: Option<SocketAddr>) {
        let mut addresses = self.lock();
        if addresses.len() <= index {
            addresses.resize(index + 1, None);
        }
        addresses[index] = address;
    }

    /// An instance other than `avoided`, if there is one.
    fn pick(&self, random: &mut Rng, avoided: Option<usize>) -> Option<(usize, SocketAddr)> {
        let addresses = self.lock();
        let mut known = Vec::with_capacity(addresses.len());
        for (index, address) in addresses.iter().enumerate() {
            let Some(address) = address else {
                continue;
            };
            if Some(index) != avoided {
                known.push((index, *address));
            }
        }
        random.choice(known)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Option<SocketAddr>>> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Callers that run until they are stopped.
pub struct CallerLoad {
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<CallRecord>>>,
}

impl CallerLoad {
    /// Starts the callers of `plan`, whose routers reserve `margin` tokens
    /// beyond prompt and answer.
    pub fn start(
        plan: &'static DeploymentPlan,
        directory: &Arc<AddressDirectory>,
        margin: u64,
        seed: u64,
    ) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for index in 0..CALLERS {
            let directory = Arc::clone(directory);
            let stopping = Arc::clone(&stopping);
            let mut caller = LoadCaller::new(plan, directory, margin, seed, index);
            threads.push(thread::spawn(move || {
                let mut records = Vec::new();
                while !stopping.load(Ordering::Relaxed) {
                    records.push(caller.call_next());
                    caller.think();
                }
                records
            }));
        }
        Self { stopping, threads }
    }

    /// Lets every caller end its call and returns all records.
    pub fn finish(self) -> Vec<CallRecord> {
        self.stopping.store(true, Ordering::Relaxed);
        let mut records = Vec::new();
        for thread in self.threads {
            // A caller that panicked must not pass as one without faults.
            records.append(&mut thread.join().expect("the callers do not panic"));
        }
        records
    }
}

/// One caller.
pub struct LoadCaller {
    plan: &'static DeploymentPlan,
    directory: Arc<AddressDirectory>,
    margin: u64,
    random: Rng,
    team: usize,
    client: FleetCaller,
    prefix: String,
    sent: u64,
}

impl LoadCaller {
    /// The caller `index` of a load with `seed`.
    pub fn new(
        plan: &'static DeploymentPlan,
        directory: Arc<AddressDirectory>,
        margin: u64,
        seed: u64,
        index: u64,
    ) -> Self {
        let teams = plan.teams.len() as u64;
        let team = usize::try_from(index % teams).unwrap_or(0);
        Self {
            plan,
            directory,
            margin,
            random: Rng::with_seed(seed.wrapping_mul(1_000).wrapping_add(index)),
            team,
            client: FleetCaller::with_timeout(plan.teams[team].api_key, plan.attempt_timeout),
            prefix: format!("c{index}"),
            sent: 0,
        }
    }

    fn think(&mut self) {
        thread::sleep(Duration::from_millis(self.random.u64(0..THINK_MS)));
    }

    /// Makes the next call up and takes it to its end.
    fn call_next(&mut self) -> CallRecord {
        let kind = match self.random.u32(0..10) {
            0..=6 => CallKind::Chat,
            7 => CallKind::Repeatable,
            _ => CallKind::Exclusive,
        };
        let length = if self.random.u32(0..10) == 0 {
            LONG_LENGTH
        } else {
            self.random.u64(1..=SHORT_LENGTH)
        };
        let key = self.next_key();
        let marker = format!("m{key}");
        let prompt = format!("{marker} len={length} how does it fit?");
        self.call(key, kind, length, marker, &prompt)
    }

    /// Sends the request that stops each engine that runs it: a new key, the
    /// same content each time.
    pub fn call_crashing(&mut self) -> CallRecord {
        let key = self.next_key();
        let prompt = format!("{CRASH_MARKER} len={SHORT_LENGTH} crash");
        let marker = CRASH_MARKER.to_owned();
        self.call(key, CallKind::Chat, SHORT_LENGTH, marker, &prompt)
    }

    fn next_key(&mut self) -> String {
        self.sent += 1;
        format!("{}n{}", self.prefix, self.sent)
    }

    /// Takes a call to its end.
    fn call(
        &mut self,
        key: String,
        kind: CallKind,
        length: u64,
        marker: String,
        prompt: &str,
    ) -> CallRecord {
        let chat_body = json!({
            "model": self.plan.model,
            "stream": true,
            "max_tokens": MAX_TOKENS,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let body_bytes = chat_body.to_string().len() as u64;
        let cost = match kind {
            CallKind::Chat => {
                body_bytes.div_ceil(ROUTER_BYTES_PER_TOKEN) + MAX_TOKENS + self.margin
            }
            CallKind::Repeatable | CallKind::Exclusive => self.plan.plain_cost,
        };
        let mut record = CallRecord {
            key,
            budget: self.plan.teams[self.team].budget.to_owned(),
            kind,
            marker,
            length,
            prompt_tokens: (prompt.len() as u64).div_ceil(ENGINE_BYTES_PER_TOKEN),
            cost,
            attempts: Vec::new(),
            answer: None,
            elapsed_ms: 0.0,
        };
        let started = Instant::now();
        for attempt in 1..=ATTEMPT_LIMIT {
            let avoided = record.attempts.last().map(|attempt| attempt.instance);
            let Some((instance, address)) = self.directory.pick(&mut self.random, avoided) else {
                break;
            };
            self.attempt(&mut record, instance, address, prompt);
            if !may_retry(&record) || started.elapsed() > CALL_LIMIT {
                break;
            }
            thread::sleep(RETRY_DELAY.saturating_mul(u32::try_from(attempt).unwrap_or(1)));
        }
        record.elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
        record
    }

    /// Sends the call once.
    fn attempt(&self, record: &mut CallRecord, instance: usize, address: SocketAddr, prompt: &str) {
        let started = UnixMillis::now();
        let result = match record.kind {
            CallKind::Chat => self
                .client
                .stream_chat(address, &record.key, self.plan.model, prompt, MAX_TOKENS)
                .map(|answer| AnswerRecord {
                    text: answer.text,
                    billed: answer.billed,
                }),
            CallKind::Repeatable => self.post(record, address, self.plan.repeatable_path),
            CallKind::Exclusive => self.post(record, address, self.plan.exclusive_path),
        };
        let end = match result {
            Ok(answer) => {
                record.answer = Some(answer);
                AttemptEnd::Whole
            }
            Err(error) => end_of(error),
        };
        record.attempts.push(AttemptRecord {
            instance,
            started,
            ended: UnixMillis::now(),
            end,
        });
    }

    fn post(
        &self,
        record: &CallRecord,
        address: SocketAddr,
        path: &str,
    ) -> crate::caller::Result<AnswerRecord> {
        let body = format!("{{\"order\":\"{}\"}}", record.key);
        let text = self.client.post(address, path, &record.key, &body)?;
        Ok(AnswerRecord {
            text,
            billed: self.plan.plain_cost,
        })
    }
}

/// The end that an error means.
fn end_of(error: CallError) -> AttemptEnd {
    match error {
        CallError::Transport(_) => AttemptEnd::Lost,
        CallError::Cut => AttemptEnd::Cut,
        CallError::Status {
            status,
            outcome,
            body,
        } => {
            let value: Value = serde_json::from_str(&body).unwrap_or_default();
            AttemptEnd::Refused {
                status,
                outcome,
                code: value["error"]["code"].as_str().unwrap_or("").to_owned(),
            }
        }
    }
}

/// Whether an ordinary client would send the call again.
fn may_retry(record: &CallRecord) -> bool {
    let Some(attempt) = record.attempts.last() else {
        return true;
    };
    match &attempt.end {
        AttemptEnd::Whole => false,
        AttemptEnd::Cut | AttemptEnd::Lost => true,
        AttemptEnd::Refused { status, .. } => matches!(status, 409 | 429 | 502 | 503 | 504),
    }
}

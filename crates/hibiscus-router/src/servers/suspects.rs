//! Requests that stopped a server, shared with all instances.
//!
//! A death is told to every instance before the request is tried or answered
//! again, so that its caller finds it known wherever it sends it next. It is
//! appended to a log stream too, for instances that start later or did not
//! hear of it.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::engine::EngineError;
use hibiscus_clients::log::LogService;
use hibiscus_events::EventCode;
use hibiscus_events::EventFields;
use hibiscus_request::quarantine::BodyFingerprint;
use hibiscus_request::quarantine::RequestSuspicion;
use hibiscus_request::quarantine::ServerCrash;
use hibiscus_request::quarantine::SuspectTable;
use hibiscus_types::UnixMillis;
use hibiscus_types::codec;

use crate::context::SharedContext;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Time that a connection to a server that may have stopped may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time that an instance may take to hear of a death.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// The stream that keeps the deaths.
pub const DEATHS_STREAM: &str = "deaths";
/// Time between looks at deaths to append and at the stop flag.
const APPEND_INTERVAL: Duration = Duration::from_millis(20);
/// Time between looks for deaths to append.
const IDLE_INTERVAL: Duration = Duration::from_millis(60);
/// Longest time that a request waits for its death to be in the log.
const APPEND_WAIT: Duration = Duration::from_secs(2);
/// Time between reads of the stream.
const READ_INTERVAL: Duration = Duration::from_secs(5);
/// Time between reads in the first [`READ_INTERVAL`] of a process, while not
/// all instances may know it yet.
const FIRST_READ_INTERVAL: Duration = Duration::from_millis(200);
/// Deaths that wait for the log at most.
const PENDING_LIMIT: usize = 1_000;

/// The suspects, shared by the duties.
#[derive(Default)]
pub struct SuspectCell {
    table: Mutex<SuspectTable>,
    pending: Mutex<Vec<ServerCrash>>,
    log_fails: AtomicBool,
    /// Offset of the stream to read next.
    next: AtomicU64,
}

impl SuspectCell {
    /// Takes a death over.
    pub fn record(&self, death: &ServerCrash) {
        self.lock().record(death);
    }

    /// How a request may run.
    pub fn suspicion(&self, fingerprint: BodyFingerprint) -> RequestSuspicion {
        self.lock().suspicion(fingerprint, UnixMillis::now())
    }

    /// The request ended whole.
    pub fn clear(&self, fingerprint: BodyFingerprint) {
        self.lock().clear(fingerprint);
    }

    fn lock(&self) -> MutexGuard<'_, SuspectTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pending(&self) -> MutexGuard<'_, Vec<ServerCrash>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether the server at `address` has stopped: its answer broke off, and it
/// takes no connection any more.
pub fn has_stopped(address: SocketAddr, error: &EngineError) -> bool {
    if !matches!(error, EngineError::Broken | EngineError::Truncated) {
        return false;
    }
    TcpStream::connect_timeout(&address, PROBE_TIMEOUT).is_err()
}

/// Tells every instance of a death.
pub fn report(context: &SharedContext, death: &ServerCrash) {
    context.suspects.record(death);
    {
        let mut pending = context.suspects.pending();
        if pending.len() < PENDING_LIMIT {
            pending.push(death.clone());
        }
    }
    let fields = EventFields {
        server: death.server.to_string(),
        detail: format!("fingerprint {:016x}", death.fingerprint.get()),
        ..EventFields::default()
    };
    context.events.record(EventCode::ServerStopped, fields);
    let instances = context.fleet.lock().instances().to_vec();
    let mut pending = Vec::with_capacity(instances.len());
    for instance in &instances {
        if instance.name == context.settings.instance.name {
            continue;
        }
        let request = PeerRequest::ServerCrash(death.clone());
        let Ok(call) = request.start(context, instance.peers, REPORT_TIMEOUT) else {
            continue;
        };
        pending.push(call);
    }
    for call in pending {
        // An instance that does not hear of it now reads it from the stream.
        let _heard = PeerReply::receive(call);
    }
    wait_appended(context, death);
    // Another instance's report may have been lost on its way here.
    read_new(context);
}

/// Waits until the death is in the log, so that an instance that starts now
/// reads it.
fn wait_appended(context: &SharedContext, death: &ServerCrash) {
    let deadline = Instant::now() + APPEND_WAIT;
    while Instant::now() < deadline && context.suspects.pending().contains(death) {
        if context.suspects.log_fails.load(Ordering::Relaxed) {
            return;
        }
        thread::sleep(APPEND_INTERVAL);
    }
}

/// Appends deaths to the stream and reads those of others until the process
/// ends.
pub fn follow(context: &SharedContext) {
    let started = Instant::now();
    let mut last_read: Option<Instant> = None;
    while !context.is_ended() {
        append_pending(context);
        let interval = if started.elapsed() < READ_INTERVAL {
            FIRST_READ_INTERVAL
        } else {
            READ_INTERVAL
        };
        if last_read.is_none_or(|last| last.elapsed() >= interval) {
            last_read = Some(Instant::now());
            read_new(context);
        }
        thread::sleep(IDLE_INTERVAL);
    }
}

/// Appends the deaths that wait; those that fail stay.
fn append_pending(context: &SharedContext) {
    let waiting = context.suspects.pending().clone();
    for death in waiting {
        let Ok(data) = codec::encode(&death) else {
            continue;
        };
        let appended = context.log.append(DEATHS_STREAM, &data).is_ok();
        context
            .suspects
            .log_fails
            .store(!appended, Ordering::Relaxed);
        if appended {
            context.suspects.pending().retain(|held| *held != death);
        }
    }
}

/// Takes the deaths over that the stream holds beyond what was read.
fn read_new(context: &SharedContext) {
    let suspects = &context.suspects;
    let next = suspects.next.load(Ordering::Relaxed);
    let Ok(page) = context.log.read(DEATHS_STREAM, next, Duration::ZERO) else {
        return;
    };
    for record in page.records {
        // A record that two threads read is recorded twice, to no effect.
        suspects
            .next
            .fetch_max(record.offset + 1, Ordering::Relaxed);
        if let Ok(death) = codec::decode::<ServerCrash>(&record.data) {
            suspects.record(&death);
        }
    }
}

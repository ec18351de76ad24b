//! Duty: ends calls whose server fell silent, whose deadline passed, or whose
//! caller left.
//!
//! The HTTP client bounds the time to the head of an answer and the time of
//! the whole body, but not the silence between two events of a stream. One
//! thread looks at all calls in progress and closes the connections of those
//! that must end; their readers then fail at once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::engine::CallAbort;

use crate::context::SharedContext;
use crate::requests::presence::CallerPresence;

/// Time between looks at the calls in progress.
const LOOK_INTERVAL: Duration = Duration::from_millis(25);

/// The same while there is none.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// One call in progress.
struct CallState {
    abort: CallAbort,
    silence: Duration,
    deadline: Instant,
    presence: CallerPresence,
    last_byte: Arc<AtomicU64>,
}

/// The calls in progress.
pub struct CallWatch {
    origin: Instant,
    next: AtomicU64,
    calls: Mutex<BTreeMap<u64, CallState>>,
}

/// A call that is watched until this is dropped.
pub struct WatchedCall<'a> {
    watch: &'a CallWatch,
    id: u64,
    last_byte: Arc<AtomicU64>,
}

impl Default for CallWatch {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            next: AtomicU64::new(0),
            calls: Mutex::default(),
        }
    }
}

impl CallWatch {
    /// Watches a call that starts now.
    pub fn start(
        &self,
        abort: CallAbort,
        silence: Duration,
        deadline: Instant,
        presence: CallerPresence,
    ) -> WatchedCall<'_> {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let last_byte = Arc::new(AtomicU64::new(self.elapsed_ms()));
        let state = CallState {
            abort,
            silence,
            deadline,
            presence,
            last_byte: Arc::clone(&last_byte),
        };
        self.lock().insert(id, state);
        WatchedCall {
            watch: self,
            id,
            last_byte,
        }
    }

    /// Ends the calls that must end at the time `now`.
    fn look(&self, now: Instant) {
        let elapsed = self.elapsed_ms();
        let mut calls = self.lock();
        let mut ending = Vec::new();
        for (id, call) in calls.iter() {
            let last_byte = call.last_byte.load(Ordering::Relaxed);
            let quiet = Duration::from_millis(elapsed.saturating_sub(last_byte));
            if quiet > call.silence || now >= call.deadline || call.presence.has_left() {
                ending.push(*id);
            }
        }
        for id in ending {
            if let Some(call) = calls.remove(&id) {
                call.abort.abort();
            }
        }
    }

    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, CallState>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl WatchedCall<'_> {
    /// The server sent something.
    pub fn note_byte(&self) {
        let elapsed = self.watch.elapsed_ms();
        self.last_byte.store(elapsed, Ordering::Relaxed);
    }
}

impl Drop for WatchedCall<'_> {
    fn drop(&mut self) {
        self.watch.lock().remove(&self.id);
    }
}

/// Watches the calls until the process ends.
pub fn run(context: &SharedContext) {
    while !context.is_ended() {
        let idle = context.watch.lock().is_empty();
        context.watch.look(Instant::now());
        thread::sleep(if idle { IDLE_INTERVAL } else { LOOK_INTERVAL });
    }
}

//! Watches which version is in force at each instance, and since when.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use hibiscus_router::context::SharedContext;

/// Time between two looks, the resolution of the in-force times.
const LOOK_INTERVAL: Duration = Duration::from_micros(200);

/// What was seen of one instance.
#[derive(Debug, Default)]
pub struct SeenVersions {
    /// Versions in the order in which they came into force.
    versions: Vec<(u64, Instant)>,
    /// Looks that found a lower version than the look before.
    pub reverted: u64,
}

impl SeenVersions {
    /// Milliseconds from `accepted` until `version` or a later one was in
    /// force, `None` when it never was.
    pub fn delay_ms(&self, version: u64, accepted: Instant) -> Option<f64> {
        let place = self.versions.partition_point(|(seen, _at)| *seen < version);
        let (_seen, at) = self.versions.get(place)?;
        Some(at.saturating_duration_since(accepted).as_secs_f64() * 1e3)
    }
}

/// A running watch.
pub struct VersionWatch {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<SeenVersions>>,
}

impl VersionWatch {
    /// Watches the instances of `contexts`.
    pub fn start(contexts: Vec<SharedContext>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = thread::spawn(move || {
            let mut seen: Vec<SeenVersions> = Vec::new();
            seen.resize_with(contexts.len(), SeenVersions::default);
            while !stopped.load(Ordering::Relaxed) {
                for (context, seen) in contexts.iter().zip(&mut seen) {
                    look(context, seen);
                }
                thread::sleep(LOOK_INTERVAL);
            }
            seen
        });
        Self { stop, thread }
    }

    /// Ends the watch; what was seen of each instance.
    pub fn end(self) -> Vec<SeenVersions> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

/// One look at one instance.
fn look(context: &SharedContext, seen: &mut SeenVersions) {
    let version = context.config.get().version;
    let last = seen.versions.last().map_or(0, |(last, _at)| *last);
    if version < last {
        seen.reverted += 1;
    }
    if version > last {
        seen.versions.push((version, Instant::now()));
    }
}

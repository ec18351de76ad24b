//! Requests of the traffic thread for reads of the topic of the versions.

use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::Thread;

/// Requests for reads of the topic of the versions.
#[derive(Debug, Default)]
pub struct VersionReads {
    /// Number of the last request.
    requested: AtomicU64,
    reader: OnceLock<Thread>,
}

impl VersionReads {
    /// Sets the thread that reads.
    pub fn set_reader(&self, reader: Thread) {
        // There is only one reading thread, and it is set once.
        let _first = self.reader.set(reader);
    }

    /// Number of the last request. A read that begins afterwards fulfils it.
    pub fn requested(&self) -> u64 {
        self.requested.load(Ordering::Acquire)
    }

    /// Requests a read that begins after this call; returns the number of the request.
    pub(super) fn request(&self) -> u64 {
        let number = self.requested.fetch_add(1, Ordering::AcqRel) + 1;
        if let Some(reader) = self.reader.get() {
            reader.unpark();
        }
        number
    }
}

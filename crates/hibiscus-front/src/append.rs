//! The thread that appends account records.

use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::thread;
use std::time::Duration;

use hibiscus_ledger::account;
use hibiscus_ledger::account::AccountRecord;
use hibiscus_types::codec;
use platform::store::StoreClient;

/// Batches that wait for the thread.
pub(crate) const RING_CAPACITY: usize = 64;
/// Time for which records are gathered into one append, so that a burst of
/// draws costs one call.
const GATHER_TIME: Duration = Duration::from_millis(5);
/// First pause after a failed append.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after failed appends.
const LAST_PAUSE: Duration = Duration::from_millis(400);

/// Appends what comes over `batches` until its sender is dropped. Each append
/// is repeated until the store acknowledges it: copies change nothing.
pub(crate) fn run(store: &StoreClient, batches: &Receiver<Vec<AccountRecord>>) {
    while let Ok(mut records) = batches.recv() {
        loop {
            match batches.recv_timeout(GATHER_TIME) {
                Ok(more) => records.extend(more),
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => break,
            }
        }
        match codec::encode(&records) {
            Ok(record) => append(store, &[record]),
            Err(error) => log::error!("HS3103 account records not encoded cause={error}"),
        }
    }
}

/// Appends `batch`, however often it takes.
fn append(store: &StoreClient, batch: &[Vec<u8>]) {
    let mut pause = FIRST_PAUSE;
    loop {
        match store.append(account::STREAM, batch) {
            Ok(_receipt) => return,
            Err(error) => log::warn!("HS3005 append failed, will be repeated cause={error}"),
        }
        thread::sleep(pause);
        pause = (pause * 2).min(LAST_PAUSE);
    }
}

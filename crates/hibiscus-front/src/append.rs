//! The thread that appends account records.

use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account;
use hibiscus_traffic::budgets::AccountBatch;
use hibiscus_traffic::updates::TrafficUpdate;
use hibiscus_traffic::updates::UpdateSender;
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
///
/// The next append begins only after the one before was acknowledged, so the
/// store shows them in order.
pub(crate) fn run(store: &StoreClient, updates: &UpdateSender, batches: &Receiver<AccountBatch>) {
    while let Ok(mut batch) = batches.recv() {
        thread::sleep(GATHER_TIME);
        while let Ok(more) = batches.try_recv() {
            batch.number = more.number;
            batch.records.extend(more.records);
        }
        let record = match codec::encode(&batch.records) {
            Ok(record) => record,
            Err(error) => {
                event!(EventCode::AccountNotEncoded, "cause={error}");
                continue;
            }
        };
        append(store, &[record]);
        let appended = TrafficUpdate::AccountsAppended(batch.number);
        if updates.blocking_send(appended).is_err() {
            event!(EventCode::AccountTooLate, "");
        }
    }
}

/// Appends `batch`, however often it takes.
fn append(store: &StoreClient, batch: &[Vec<u8>]) {
    let mut pause = FIRST_PAUSE;
    loop {
        match store.append(account::STREAM, batch) {
            Ok(_receipt) => return,
            Err(error) => event!(EventCode::AppendFailed, "cause={error}"),
        }
        thread::sleep(pause);
        pause = (pause * 2).min(LAST_PAUSE);
    }
}

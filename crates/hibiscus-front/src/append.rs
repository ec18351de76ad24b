//! The thread that appends account records.

use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account;
use hibiscus_ledger::account::AccountRecord;
use hibiscus_ledger::account::snapshot::AccountSnapshot;
use hibiscus_ledger::account::snapshot::SNAPSHOT_TOPIC;
use hibiscus_traffic::budgets::AccountBatch;
use hibiscus_traffic::updates::TrafficUpdate;
use hibiscus_traffic::updates::UpdateSender;
use hibiscus_types::codec;
use platform::records;
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

/// Snapshots in one call: a call takes 2 MiB, a snapshot of many holders some
/// 20 KB.
const SNAPSHOTS_A_CALL: usize = 64;

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
            batch.snapshots.extend(more.snapshots);
        }
        let end = append_records(store, &batch.records);
        append_snapshots(store, &batch.snapshots);
        let appended = TrafficUpdate::AccountsAppended {
            number: batch.number,
            end,
        };
        if updates.blocking_send(appended).is_err() {
            event!(EventCode::AccountTooLate, "");
        }
    }
}

/// Appends `records` as one record of the stream, however often it takes;
/// returns the offset after it.
fn append_records(store: &StoreClient, records: &[AccountRecord]) -> Option<u64> {
    if records.is_empty() {
        return None;
    }
    let record = match codec::encode(&records) {
        Ok(record) => record,
        Err(error) => {
            event!(EventCode::AccountNotEncoded, "cause={error}");
            return None;
        }
    };
    let mut pause = FIRST_PAUSE;
    loop {
        match store.append(account::STREAM, std::slice::from_ref(&record)) {
            Ok(receipt) => return Some(receipt.end_offset),
            Err(error) => event!(EventCode::AppendFailed, "cause={error}"),
        }
        thread::sleep(pause);
        pause = (pause * 2).min(LAST_PAUSE);
    }
}

/// Appends `snapshots`, each call once: the next ones come in time, and the
/// account records must not wait for these.
fn append_snapshots(store: &StoreClient, snapshots: &[AccountSnapshot]) {
    for some in snapshots.chunks(SNAPSHOTS_A_CALL) {
        let mut batch = Vec::new();
        for snapshot in some {
            match codec::encode(snapshot) {
                Ok(value) => batch.push(records::encode_keyed(snapshot.budget.as_str(), &value)),
                Err(error) => event!(EventCode::AccountNotEncoded, "cause={error}"),
            }
        }
        if let Err(error) = store.append(SNAPSHOT_TOPIC, &batch) {
            event!(
                EventCode::SnapshotNotWritten,
                "snapshots={} cause={error}",
                batch.len()
            );
        }
    }
}

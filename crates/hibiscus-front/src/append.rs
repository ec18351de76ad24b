//! The thread that appends account records to the metadata store.

use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account;
use hibiscus_ledger::account::AccountRecord;
use hibiscus_ledger::account::batch;
use hibiscus_ledger::account::snapshot::AccountSnapshot;
use hibiscus_ledger::account::snapshot::SNAPSHOT_TOPIC;
use hibiscus_traffic::budgets::AccountBatch;
use hibiscus_traffic::budgets::COMPLETE_ERA_KEY;
use hibiscus_traffic::budgets::COMPLETE_ERA_TOPIC;
use hibiscus_traffic::budgets::StreamPosition;
use hibiscus_traffic::updates::TrafficUpdate;
use hibiscus_traffic::updates::UpdateSender;
use hibiscus_types::StoreEra;
use hibiscus_types::codec;
use platform::records;
use platform::records::StoreLimits;
use platform::store::AppendReceipt;
use platform::store::StoreClient;

/// Capacity of the queue of batches to this thread.
pub(crate) const QUEUE_CAPACITY: usize = 64;
/// Time to collect further records for one append, so that a burst of draws takes
/// one call.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Delay before the first retry of an append.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest delay before a retry of an append.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Appends the received batches until the sender is dropped. Each append of
/// account records is retried until the store acknowledges it; the records are
/// idempotent.
///
/// An append starts only after the previous one was acknowledged, so the store
/// holds the records in order.
pub(crate) fn run(
    store: &StoreClient,
    limits: StoreLimits,
    updates: &UpdateSender,
    batches: &Receiver<AccountBatch>,
) {
    while let Ok(mut batch) = batches.recv() {
        thread::sleep(BATCH_DELAY);
        while let Ok(more) = batches.try_recv() {
            batch.number = more.number;
            batch.encoded.extend(more.encoded);
            batch.records.extend(more.records);
            batch.snapshots.extend(more.snapshots);
            batch.complete_era = more.complete_era.or(batch.complete_era);
        }
        let encoded = std::mem::take(&mut batch.encoded);
        let end = append_records(store, limits, encoded, &batch.records);
        append_snapshots(store, limits, &batch.snapshots);
        if let Some(era) = batch.complete_era {
            append_complete_era(store, era);
        }
        let appended = TrafficUpdate::AccountsAppended {
            number: batch.number,
            end,
        };
        if updates.blocking_send(appended).is_err() {
            event!(EventCode::AccountTooLate, "");
        }
    }
}

/// Appends `encoded` and then `records` to the account stream with retries; returns
/// the position after them.
fn append_records(
    store: &StoreClient,
    limits: StoreLimits,
    mut encoded: Vec<Vec<u8>>,
    records: &[AccountRecord],
) -> Option<StreamPosition> {
    if !records.is_empty() {
        match batch::encode(records, limits.record_bytes) {
            Ok(records) => encoded.extend(records),
            Err(error) => event!(EventCode::AccountNotEncoded, "cause={error}"),
        }
    }
    let mut end = None;
    for call in limits.batches(encoded) {
        end = Some(append_call(store, &call));
    }
    end
}

/// Appends the records of one call with retries; returns the position after them.
fn append_call(store: &StoreClient, records: &[Vec<u8>]) -> StreamPosition {
    let mut pause = MIN_RETRY_DELAY;
    loop {
        match store.append(account::STREAM, records) {
            Ok(receipt) => {
                return StreamPosition {
                    era: store.era(),
                    offset: receipt.end_offset,
                };
            }
            Err(error) => event!(EventCode::AppendFailed, "cause={error}"),
        }
        thread::sleep(pause);
        pause = (pause * 2).min(MAX_RETRY_DELAY);
    }
}

/// Appends `batch` to `topic` if the store is in `era` and nothing was appended since it was
/// asked. Such a record must not reach the store after it came back from a copy.
fn append_in_era(
    store: &StoreClient,
    era: StoreEra,
    topic: &str,
    batch: &[Vec<u8>],
) -> platform::store::Result<Option<AppendReceipt>> {
    let end = store.end(topic)?;
    if store.era() != era {
        return Ok(None);
    }
    store.append_at(topic, batch, end).map(Some)
}

/// Records `era` as the one in which the stream is complete, without retries: the traffic
/// thread repeats it.
fn append_complete_era(store: &StoreClient, era: StoreEra) {
    let record = match codec::encode(&era) {
        Ok(value) => records::encode_keyed(COMPLETE_ERA_KEY, &value),
        Err(error) => {
            event!(EventCode::AccountNotEncoded, "cause={error}");
            return;
        }
    };
    match append_in_era(store, era, COMPLETE_ERA_TOPIC, &[record]) {
        Ok(Some(_receipt)) => event!(EventCode::AccountsComplete, "era={era}"),
        Ok(None) => event!(
            EventCode::AppendFailed,
            "cause=the store is in era {}",
            store.era()
        ),
        Err(error) => event!(EventCode::AppendFailed, "cause={error}"),
    }
}

/// Appends `snapshots` without retries: newer snapshots follow, and account
/// records must not wait for snapshots.
fn append_snapshots(store: &StoreClient, limits: StoreLimits, snapshots: &[AccountSnapshot]) {
    let mut encoded = Vec::with_capacity(snapshots.len());
    for snapshot in snapshots {
        match codec::encode(snapshot) {
            Ok(value) => encoded.push(records::encode_keyed(snapshot.budget.as_str(), &value)),
            Err(error) => event!(EventCode::AccountNotEncoded, "cause={error}"),
        }
    }
    for call in limits.batches(encoded) {
        if let Err(error) = store.append(SNAPSHOT_TOPIC, &call) {
            event!(
                EventCode::SnapshotNotWritten,
                "snapshots={} cause={error}",
                call.len()
            );
        }
    }
}

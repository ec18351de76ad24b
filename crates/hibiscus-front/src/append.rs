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
use platform::store::StoreError;

/// Capacity of the queue of batches to this thread.
pub(crate) const QUEUE_CAPACITY: usize = 64;
/// Time to collect further records for one append, so that a burst of draws takes
/// one call.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Delay before the first retry of an append.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of conditional appends in a row that may fail because others appended.
const MAX_END_ATTEMPTS: u32 = 8;
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
        let mut closes_dropped = false;
        while let Ok(more) = batches.try_recv() {
            if more.era != batch.era {
                closes_dropped |= !take_closes(&mut batch.records).is_empty();
                batch.snapshots.clear();
            }
            batch.number = more.number;
            batch.era = more.era;
            batch.encoded.extend(more.encoded);
            batch.records.extend(more.records);
            batch.snapshots.extend(more.snapshots);
            batch.complete_era = more.complete_era.or(batch.complete_era);
        }
        let encoded = std::mem::take(&mut batch.encoded);
        let closes = take_closes(&mut batch.records);
        let mut end = append_records(store, limits, encoded, &batch.records);
        match append_closes(store, limits, batch.era, &closes) {
            Some(closes_end) => end = closes_end.or(end),
            None => closes_dropped = true,
        }
        append_snapshots(store, limits, batch.era, &batch.snapshots);
        if let Some(era) = batch.complete_era {
            append_complete_era(store, era);
        }
        let appended = TrafficUpdate::AccountsAppended {
            number: batch.number,
            end,
        };
        let dropped = closes_dropped.then_some(TrafficUpdate::AccountClosesDropped);
        for update in dropped.into_iter().chain([appended]) {
            if updates.blocking_send(update).is_err() {
                event!(EventCode::AccountTooLate, "");
            }
        }
    }
}

/// Removes and returns the records that close accounts.
fn take_closes(records: &mut Vec<AccountRecord>) -> Vec<AccountRecord> {
    let is_close = |record: &mut AccountRecord| matches!(record, AccountRecord::Close { .. });
    records.extract_if(.., is_close).collect()
}

/// Appends `closes`, which close accounts, to the account stream with retries, as long as the
/// store is in `era`: a stream that came back from a copy lacks draws of these accounts, and
/// the close would be final. Returns the position after them if there are any; `None` if the
/// era has changed.
fn append_closes(
    store: &StoreClient,
    limits: StoreLimits,
    era: StoreEra,
    closes: &[AccountRecord],
) -> Option<Option<StreamPosition>> {
    if closes.is_empty() {
        return Some(None);
    }
    let encoded = match batch::encode(closes, limits.record_bytes) {
        Ok(encoded) => encoded,
        Err(error) => {
            event!(EventCode::AccountNotEncoded, "cause={error}");
            return Some(None);
        }
    };
    let mut end = None;
    for call in limits.batches(encoded) {
        let mut pause = MIN_RETRY_DELAY;
        loop {
            match append_in_era(store, era, account::STREAM, &call) {
                Ok(Some(receipt)) => {
                    let offset = receipt.end_offset;
                    end = Some(StreamPosition { era, offset });
                    break;
                }
                Ok(None) | Err(StoreError::EraChanged { .. }) => {
                    event!(
                        EventCode::ClosesDropped,
                        "records={} era={era}",
                        closes.len()
                    );
                    return None;
                }
                Err(error) => {
                    event!(EventCode::AppendFailed, "cause={error}");
                    thread::sleep(pause);
                    pause = (pause * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }
    Some(end)
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

/// Appends `batch` to `topic` if the store is in `era`: the append has a condition on the end
/// of the topic that was read in this era, so it has no effect after the store came back from
/// a copy. Returns `None` if the store is in another era.
fn append_in_era(
    store: &StoreClient,
    era: StoreEra,
    topic: &str,
    batch: &[Vec<u8>],
) -> platform::store::Result<Option<AppendReceipt>> {
    let mut end = 0;
    for _attempt in 0..MAX_END_ATTEMPTS {
        end = store.end(topic)?;
        if store.era() != era {
            return Ok(None);
        }
        match store.append_at(topic, batch, end) {
            Err(StoreError::EndMismatch { .. }) => thread::sleep(BATCH_DELAY),
            appended => return appended.map(Some),
        }
    }
    Err(StoreError::EndMismatch { end })
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
fn append_snapshots(
    store: &StoreClient,
    limits: StoreLimits,
    era: StoreEra,
    snapshots: &[AccountSnapshot],
) {
    let mut encoded = Vec::with_capacity(snapshots.len());
    for snapshot in snapshots {
        match codec::encode(snapshot) {
            Ok(value) => encoded.push(records::encode_keyed(snapshot.budget.as_str(), &value)),
            Err(error) => event!(EventCode::AccountNotEncoded, "cause={error}"),
        }
    }
    for call in limits.batches(encoded) {
        let cause = match append_in_era(store, era, SNAPSHOT_TOPIC, &call) {
            Ok(Some(_receipt)) => continue,
            Ok(None) => format!("the store is in era {}", store.era()),
            Err(error) => error.to_string(),
        };
        event!(
            EventCode::SnapshotNotWritten,
            "snapshots={} cause={cause}",
            call.len()
        );
    }
}

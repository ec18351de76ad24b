//! Reads and publishes configuration deltas in the fleet's topic.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_traffic::config_delta::ConfigDelta;
use hibiscus_traffic::config_delta::DeltaAssembler;
use hibiscus_traffic::updates::ConfigArrival;
use hibiscus_traffic::updates::ConfigSource;
use platform::store::StoreClient;
use platform::store::StoreError;
use platform::store::StoreRead;

use crate::config::DELTAS_TOPIC;
use crate::config::SharedConfig;
use crate::follow;
use crate::topic_monitor::RETRY_DELAY;
use crate::topic_monitor::TopicMonitor;

/// Attempts to publish a delta. After them, another instance publishes it or all
/// instances read the version themselves.
const ATTEMPTS: usize = 3;
/// Time to wait for a record that another instance appended.
const READ_TIME: Duration = Duration::from_millis(200);

/// Reads deltas from the last one on and applies them to `shared`. Older deltas are
/// included in the version that this process reads from the operators' topic at its start,
/// but for the evacuations that others retain, which the last one has.
pub(super) fn follow(store: &StoreClient, shared: &SharedConfig) {
    let mut monitor = TopicMonitor::default();
    let mut assembler = DeltaAssembler::default();
    let mut next: Option<u64> = None;
    let mut reads_last = true;
    loop {
        let step = match next {
            None if reads_last => store.end(DELTAS_TOPIC).map(|end| {
                if end == 0 {
                    shared.note_last_delta_read();
                }
                end.saturating_sub(1)
            }),
            None => store.end(DELTAS_TOPIC),
            Some(from) => store.read(DELTAS_TOPIC, from, monitor.wait()).map(|read| {
                let next = apply(&read, from, &mut assembler, shared);
                shared.note_last_delta_read();
                next
            }),
        };
        match step {
            Ok(offset) => {
                monitor.succeeded(DELTAS_TOPIC);
                next = Some(offset);
                shared.set_deltas_end(next);
            }
            Err(StoreError::Expired { from, first }) => {
                follow::log_expired(DELTAS_TOPIC, from, first);
                reads_last = false;
                assembler = DeltaAssembler::default();
                next = None;
                thread::sleep(RETRY_DELAY);
            }
            Err(StoreError::EraChanged { previous, current }) => {
                follow::log_era_change(DELTAS_TOPIC, (previous, current), next.take());
                reads_last = false;
                assembler = DeltaAssembler::default();
                shared.set_deltas_end(None);
            }
            Err(error) => {
                thread::sleep(monitor.failed(DELTAS_TOPIC, &error));
            }
        }
    }
}

/// Applies the deltas of a page that begins at offset `from`; returns the offset
/// after the page.
fn apply(
    read: &StoreRead,
    from: u64,
    assembler: &mut DeltaAssembler,
    shared: &SharedConfig,
) -> u64 {
    let mut next = from;
    for record in &read.page.records {
        next += 1;
        match assembler.take(record) {
            Ok(None) => {}
            Ok(Some(delta)) => {
                let arrival = ConfigArrival {
                    source: ConfigSource::Delta,
                    bytes: read.transfer.bytes,
                    read_time: read.transfer.time,
                    records_behind: read.page.end.saturating_sub(next),
                    decode_time: Duration::ZERO,
                    queued_at: Instant::now(),
                };
                shared.apply(delta, arrival);
            }
            Err(error) => event!(EventCode::ChangeUnreadable, "cause={error}"),
        }
    }
    next
}

/// Publishes a delta, unless another instance publishes it first.
pub(super) fn publish(store: &StoreClient, shared: &SharedConfig, delta: &ConfigDelta) {
    let records = match delta.to_records() {
        Ok(records) => records,
        Err(error) => {
            event!(
                EventCode::ChangeNotPublished,
                "version={} cause={error}",
                delta.version
            );
            return;
        }
    };
    let mut failure = None;
    for _attempt in 0..ATTEMPTS {
        let Some(end) = shared.deltas_end() else {
            break;
        };
        match store.append_at(DELTAS_TOPIC, &records, end) {
            Ok(_receipt) => {
                event!(
                    EventCode::ChangePublished,
                    "version={} base={} next={} read_end={} evacuations={} bytes={}",
                    delta.version,
                    delta.base,
                    delta.next,
                    delta.read_end,
                    delta.evacuations.newest.len(),
                    records.iter().map(Vec::len).sum::<usize>()
                );
                return;
            }
            Err(StoreError::EndMismatch { .. }) => shared.wait_for_deltas_after(end, READ_TIME),
            Err(error) => failure = Some(error),
        }
        if shared.wait_for_delta(delta.read_end, delta.evacuations.next, READ_TIME) {
            return;
        }
    }
    let cause = failure.map_or_else(
        || "other instances append to the topic".to_owned(),
        |error| error.to_string(),
    );
    event!(
        EventCode::ChangeNotPublished,
        "version={} cause={cause}",
        delta.version
    );
}

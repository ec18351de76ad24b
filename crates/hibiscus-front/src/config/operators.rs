//! Reads the operators' topic.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_traffic::config_delta::ConfigDelta;
use hibiscus_traffic::updates::ConfigArrival;
use hibiscus_traffic::updates::ConfigSource;
use platform::config;
use platform::evacuations::PRECEDING_KEY;
use platform::records;
use platform::store::ReplyTransfer;
use platform::store::Result;
use platform::store::StoreClient;
use platform::store::StoreError;
use platform::store::StoreRead;

use crate::config::SharedConfig;
use crate::config::deltas;
use crate::config::evacuations;
use crate::config::shared::PositionedConfig;
use crate::config::shared::ReadState;
use crate::follow;
use crate::topic_monitor::RETRY_DELAY;
use crate::topic_monitor::TopicMonitor;

/// Interval between two checks of the end of the topic: with the wait for a
/// delta and the transfer of a version, a version is in force within 3 s.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time that the first relay waits for a delta of another instance before it
/// reads a version itself, after it has fallen behind.
const DELTA_WAIT: Duration = Duration::from_millis(200);
/// Longest wait of an instance that starts for the last delta, which names the evacuations
/// that the others retain while the store lacks them. It is ready only afterwards.
const LAST_DELTA_WAIT: Duration = Duration::from_millis(500);
/// Additional wait of each further relay, and after them of all other instances.
const RELAY_STAGGER: Duration = Duration::from_millis(200);

/// Records that are read one by one from the end of the topic, to find the newest version:
/// as many evacuations as may begin or end between two versions.
const BACKWARD_RECORDS: u64 = 8;

/// Reads the operators' topic for one instance.
pub(super) struct OperatorsReader<'a> {
    store: &'a StoreClient,
    /// Client for deltas: an era change that it reports must still be reported to the
    /// reads.
    publisher: StoreClient,
    shared: &'a SharedConfig,
    monitor: TopicMonitor,
    /// Whether the last call found no newer record.
    up_to_date: bool,
}

impl<'a> OperatorsReader<'a> {
    pub(super) fn new(store: &'a StoreClient, shared: &'a Arc<SharedConfig>) -> Self {
        Self {
            store,
            publisher: store.clone(),
            shared,
            monitor: TopicMonitor::default(),
            up_to_date: false,
        }
    }

    /// Reads for as long as the process runs.
    pub(super) fn run(&mut self) {
        loop {
            let position = self.shared.position();
            let waits = self.up_to_date && self.shared.is_relay();
            let step = match position.filter(|_position| waits) {
                Some(position) => self.wait_for_record(position),
                None => self.check_end(position),
            };
            match step {
                Ok(()) => {
                    self.monitor.succeeded(config::TOPIC);
                    if self.up_to_date && self.shared.note_up_to_date() {
                        self.publish_retained();
                    }
                }
                Err(StoreError::EraChanged { previous, current }) => {
                    follow::log_era_change(config::TOPIC, (previous, current), position);
                    self.shared.discard_positions();
                    self.up_to_date = false;
                    continue;
                }
                Err(error) => {
                    let delay = self.monitor.failed(config::TOPIC, &error);
                    self.up_to_date = false;
                    thread::sleep(delay);
                    continue;
                }
            }
            if self.up_to_date && !self.shared.is_relay() {
                thread::sleep(POLL_INTERVAL);
            }
        }
    }

    /// Waits for records from offset `position` on.
    fn wait_for_record(&mut self, position: u64) -> Result<()> {
        let wait = self.monitor.wait();
        let before = self.shared.read_state();
        match self.store.read(config::TOPIC, position, wait) {
            Ok(read) => {
                self.take_newest(&read, position);
                self.shared.skip_unreadable(position + record_count(&read));
                self.publish_changes(before);
                Ok(())
            }
            Err(StoreError::Expired { from, first }) => {
                follow::log_expired(config::TOPIC, from, first);
                self.up_to_date = false;
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    /// Checks whether the topic has records after `position`, and reads the newest
    /// version unless a delta leads to it in time.
    fn check_end(&mut self, position: Option<u64>) -> Result<()> {
        let Some(position) = position else {
            let end = self.store.end(config::TOPIC)?;
            return self.read_newest(end);
        };
        let end = self.store.end_after(config::TOPIC, position)?;
        if end < position {
            // The store came back shorter, but named no other era.
            follow::log_expired(config::TOPIC, position, end);
            self.shared.discard_positions();
            self.up_to_date = false;
            thread::sleep(RETRY_DELAY);
            return Ok(());
        }
        self.up_to_date = position >= end;
        if self.up_to_date || self.shared.wait_for_position(end, self.delta_wait()) {
            return Ok(());
        }
        event!(
            EventCode::ConfigBehind,
            "position={position} end={end} waited_ms={}",
            self.delta_wait().as_millis()
        );
        self.read_newest(end)
    }

    /// Returns the time to wait for a delta.
    fn delta_wait(&self) -> Duration {
        DELTA_WAIT + RELAY_STAGGER * self.shared.rank()
    }

    /// Reads the newest version of the topic, whose end offset is `end`, and the
    /// evacuations.
    fn read_newest(&mut self, end: u64) -> Result<()> {
        let Some(last) = end.checked_sub(1) else {
            // The topic is empty.
            thread::sleep(RETRY_DELAY);
            return Ok(());
        };
        let position = self.shared.position();
        let before = self.shared.read_state();
        // Before the version: it may be large, and the relays may be reading it for seconds.
        self.read_evacuations()?;
        self.publish_changes(before.clone());
        if before.is_none() {
            self.shared.wait_for_last_delta(LAST_DELTA_WAIT);
        }
        if !self.read_backwards(position.unwrap_or_default(), last)?
            && !self.read_newest_by_key()?
        {
            // An earlier version may still be newer than the current one.
            self.read_between(position.unwrap_or_default(), last)?;
        }
        self.shared.skip_unreadable(end);
        if before.is_none() && self.shared.has_retained() {
            self.publish_retained();
        }
        self.publish_changes(before);
        Ok(())
    }

    /// Reads the newest record of each evacuation, without the configuration.
    fn read_evacuations(&self) -> Result<()> {
        let newest = self.store.newest_after(config::TOPIC, PRECEDING_KEY)?;
        let changes = evacuations::of_newest(&newest);
        self.shared
            .replace_evacuations(self.store.era(), newest.next, &changes);
        Ok(())
    }

    /// Reads the last few records before and at the offset `last`, back to `position`, until
    /// one is a valid version: records of other keys are small. Returns whether there is no
    /// newer version than the current one.
    fn read_backwards(&mut self, position: u64, last: u64) -> Result<bool> {
        let floor = position.max(last.saturating_sub(BACKWARD_RECORDS - 1));
        for offset in (floor..=last).rev() {
            match self.store.read(config::TOPIC, offset, Duration::ZERO) {
                Ok(read) if self.take_newest(&read, offset) => return Ok(true),
                Ok(_read) => {}
                Err(StoreError::Expired { .. }) => return Ok(false),
                Err(error) => return Err(error),
            }
        }
        Ok(floor == position)
    }

    /// Reads the retained records from `position` to `end`.
    fn read_between(&mut self, mut position: u64, end: u64) -> Result<()> {
        while position < end {
            match self.store.read(config::TOPIC, position, Duration::ZERO) {
                Ok(read) if read.page.records.is_empty() => break,
                Ok(read) => {
                    self.take_newest(&read, position);
                    position += record_count(&read);
                }
                Err(StoreError::Expired { first, .. }) => position = first.max(position + 1),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Reads the newest version by its key, for the case that its record has been
    /// deleted or is followed by records of other keys; returns whether it is
    /// valid.
    fn read_newest_by_key(&mut self) -> Result<bool> {
        let newest = self.store.newest(config::TOPIC)?;
        for newest_record in newest.records {
            let record = newest_record.record;
            if record.key != config::KEY {
                continue;
            }
            let value = record.value.unwrap_or_default();
            if self.decode_and_update(&value, newest_record.offset + 1, newest.transfer, 0) {
                self.shared.skip_unreadable(newest.next);
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Uses the evacuations and the newest valid version of a page that begins at offset
    /// `first`; returns whether the page has a version that is current or newer.
    fn take_newest(&mut self, read: &StoreRead, first: u64) -> bool {
        let next = first + record_count(read);
        // Before the version, which takes long to decode.
        let changes = evacuations::of_page(read, first);
        self.shared.apply_evacuations(first, next, &changes);
        self.up_to_date = next >= read.page.end;
        let mut offset = next;
        for record in read.page.records.iter().rev() {
            let records_behind = read.page.end.saturating_sub(offset);
            let end = offset;
            offset -= 1;
            let Some((key, value)) = records::split_keyed(record) else {
                event!(EventCode::RecordWithoutKey, "topic={}", config::TOPIC);
                continue;
            };
            if key != config::KEY || value.is_empty() {
                continue;
            }
            let is_current = self
                .shared
                .current()
                .is_some_and(|current| current.next >= end);
            if is_current || self.decode_and_update(value, end, read.transfer, records_behind) {
                self.shared.skip_unreadable(next);
                return true;
            }
        }
        false
    }

    /// Decodes a configuration that includes all records before `next`, makes it
    /// the current one and publishes the delta; returns whether it is valid.
    fn decode_and_update(
        &self,
        value: &[u8],
        next: u64,
        transfer: ReplyTransfer,
        records_behind: u64,
    ) -> bool {
        let started = Instant::now();
        let config = match config::decode(value) {
            Ok(config) => Arc::new(config),
            Err(error) => {
                let bytes = value.len();
                event!(EventCode::ConfigUnreadable, "bytes={bytes} cause={error}");
                return false;
            }
        };
        if !config.skipped_routes.is_empty() {
            let (version, routes) = (config.version, config.skipped_routes.join(","));
            event!(EventCode::RouteLeftOut, "version={version} routes={routes}");
        }
        let arrival = ConfigArrival {
            source: ConfigSource::Operators,
            bytes: transfer.bytes,
            read_time: transfer.time,
            records_behind,
            decode_time: started.elapsed(),
            queued_at: Instant::now(),
        };
        let update = PositionedConfig {
            config: Arc::clone(&config),
            era: self.store.era(),
            next,
        };
        self.shared.update(update, arrival);
        true
    }

    /// Publishes the evacuations that the store lacks since it came back from a copy, or that
    /// there are none any more, for instances that start.
    fn publish_retained(&self) {
        let Some(state) = self.shared.read_state().filter(|_| self.shared.is_relay()) else {
            return;
        };
        let stagger = RELAY_STAGGER * self.shared.rank();
        let retained = &state.evacuations.retained;
        if self.shared.wait_for_retained(retained, stagger) {
            return;
        }
        let current = &state.current;
        let delta = ConfigDelta::unchanged(current.next, current.config.version)
            .in_era(current.era)
            .with_evacuations(state.read_end, state.evacuations);
        deltas::publish(&self.publisher, self.shared, &delta);
    }

    /// Publishes what has been read since `before`, unless a relay with a lower rank
    /// publishes it first. A record that changes nothing is published too: without a delta,
    /// every other instance would read it.
    fn publish_changes(&self, before: Option<ReadState>) {
        let (Some(before), Some(after)) = (before, self.shared.read_state()) else {
            return;
        };
        let (old, new) = (&before.current, &after.current);
        let is_evacuated = before.evacuations.newest != after.evacuations.newest;
        if old.era != new.era || (before.read_end >= after.read_end && !is_evacuated) {
            return;
        }
        let evacuations_end = if is_evacuated {
            after.evacuations.next
        } else {
            after.read_end
        };
        let stagger = RELAY_STAGGER * self.shared.rank();
        if self
            .shared
            .wait_for_delta(after.read_end, evacuations_end, stagger)
        {
            return;
        }
        let delta = if old.next == new.next {
            ConfigDelta::unchanged(new.next, new.config.version)
        } else {
            ConfigDelta::between((old.next, &old.config), (new.next, &new.config))
        };
        let delta = delta
            .in_era(new.era)
            .with_evacuations(after.read_end, after.evacuations);
        deltas::publish(&self.publisher, self.shared, &delta);
    }
}

/// Returns the number of records of a read.
fn record_count(read: &StoreRead) -> u64 {
    u64::try_from(read.page.records.len()).unwrap_or(u64::MAX)
}

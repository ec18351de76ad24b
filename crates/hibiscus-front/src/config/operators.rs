//! The operators' topic.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_traffic::config_delta::ConfigDelta;
use hibiscus_traffic::model::FleetConfig;
use hibiscus_traffic::updates::ConfigArrival;
use hibiscus_traffic::updates::ConfigSource;
use platform::config;
use platform::records;
use platform::store::ReplyTransfer;
use platform::store::Result;
use platform::store::StoreClient;
use platform::store::StoreError;
use platform::store::StoreRead;

use crate::config::ConfigBoard;
use crate::config::board::HeldConfig;
use crate::config::changes;
use crate::reach::FAILURE_PAUSE;
use crate::reach::ReachLog;

/// Pause between two looks at the end of the topic: with the time for a change
/// and for the transfer of a version, one is in force within 3 s.
const LOOK_PAUSE: Duration = Duration::from_millis(500);
/// Time that the first relay waits for a change of another instance before it
/// reads a version itself, after it has lost touch.
const CHANGE_WAIT: Duration = Duration::from_millis(200);
/// Time by which each further relay, and then all other instances, wait longer.
const RELAY_STAGGER: Duration = Duration::from_millis(200);

/// Reads the operators' topic for one instance.
pub(super) struct OperatorsReader<'a> {
    store: &'a StoreClient,
    board: &'a ConfigBoard,
    reach: ReachLog,
    /// Whether the last call showed that nothing newer is to be had.
    current: bool,
}

impl<'a> OperatorsReader<'a> {
    pub(super) fn new(store: &'a StoreClient, board: &'a Arc<ConfigBoard>) -> Self {
        Self {
            store,
            board,
            reach: ReachLog::default(),
            current: false,
        }
    }

    /// Reads for as long as the process runs.
    pub(super) fn run(&mut self) {
        loop {
            let position = self.board.position();
            let waits = self.current && self.board.is_relay();
            let step = match position.filter(|_position| waits) {
                Some(position) => self.wait_for_record(position),
                None => self.look(position),
            };
            match step {
                Ok(()) => self.reach.succeeded(config::TOPIC),
                Err(error) => {
                    self.reach.failed(config::TOPIC, &error);
                    self.current = false;
                    thread::sleep(FAILURE_PAUSE);
                    continue;
                }
            }
            if self.current && !self.board.is_relay() {
                thread::sleep(LOOK_PAUSE);
            }
        }
    }

    /// Waits for records from `position` on.
    fn wait_for_record(&mut self, position: u64) -> Result<()> {
        let wait = self.reach.wait();
        match self.store.read(config::TOPIC, position, wait) {
            Ok(read) => {
                self.take(&read, position);
                self.board.note_unreadable(position + count(&read));
                Ok(())
            }
            Err(StoreError::Expired { first }) => {
                event!(
                    EventCode::HistoryDropped,
                    "topic={} first={first}",
                    config::TOPIC
                );
                self.current = false;
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    /// Looks whether the topic goes beyond `position`, and reads the newest
    /// version if no change brings it in time.
    fn look(&mut self, position: Option<u64>) -> Result<()> {
        let end = self.store.end(config::TOPIC)?;
        let Some(position) = position else {
            return self.read_newest(end);
        };
        self.current = position >= end;
        if self.current || self.board.wait_held(end, self.change_wait()) {
            return Ok(());
        }
        event!(
            EventCode::ConfigBehind,
            "position={position} end={end} waited_ms={}",
            self.change_wait().as_millis()
        );
        self.read_newest(end)
    }

    /// Time for which a change is waited for.
    fn change_wait(&self) -> Duration {
        CHANGE_WAIT + RELAY_STAGGER * self.board.place()
    }

    /// Reads the newest version of a topic that ended at `end`.
    fn read_newest(&mut self, end: u64) -> Result<()> {
        let Some(last) = end.checked_sub(1) else {
            // Nothing was published yet.
            thread::sleep(FAILURE_PAUSE);
            return Ok(());
        };
        let position = self.board.position();
        let found = match self.store.read(config::TOPIC, last, Duration::ZERO) {
            Ok(read) => self.take(&read, last),
            Err(StoreError::Expired { .. }) => false,
            Err(error) => return Err(error),
        };
        if !found && !self.read_kept()? {
            // One before the newest may still be newer than the one held.
            self.read_between(position.unwrap_or_default(), last)?;
        }
        self.board.note_unreadable(end);
        Ok(())
    }

    /// Takes the records from `position` to `end`, as far as they are kept.
    fn read_between(&mut self, mut position: u64, end: u64) -> Result<()> {
        while position < end {
            match self.store.read(config::TOPIC, position, Duration::ZERO) {
                Ok(read) if read.page.records.is_empty() => break,
                Ok(read) => {
                    self.take(&read, position);
                    position += count(&read);
                }
                Err(StoreError::Expired { first }) => position = first.max(position + 1),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Reads the newest version when its record has been deleted, or another
    /// key's record follows it; whether it can be read.
    fn read_kept(&mut self) -> Result<bool> {
        let newest = self.store.newest(config::TOPIC)?;
        for kept in newest.records {
            let record = kept.record;
            if record.key != config::KEY {
                continue;
            }
            let value = record.value.unwrap_or_default();
            if self.hold(&value, kept.offset + 1, newest.transfer, 0) {
                self.board.note_unreadable(newest.next);
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Takes the newest version of a page that begins at `first`; whether it
    /// holds one.
    fn take(&mut self, read: &StoreRead, first: u64) -> bool {
        let next = first + count(read);
        self.current = next >= read.page.end;
        let mut offset = next;
        for record in read.page.records.iter().rev() {
            let records_behind = read.page.end.saturating_sub(offset);
            let end = offset;
            offset -= 1;
            let Some(record) = records::decode_keyed(record) else {
                event!(EventCode::RecordWithoutKey, "topic={}", config::TOPIC);
                continue;
            };
            let Some(value) = record.value.filter(|_value| record.key == config::KEY) else {
                continue;
            };
            if self.hold(&value, end, read.transfer, records_behind) {
                self.board.note_unreadable(next);
                return true;
            }
        }
        false
    }

    /// Decodes a configuration that follows from all records before `next`,
    /// holds it and publishes what changed; whether it can be read.
    fn hold(&self, value: &[u8], next: u64, transfer: ReplyTransfer, records_behind: u64) -> bool {
        let begun = Instant::now();
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
            decode_time: begun.elapsed(),
            queued_at: Instant::now(),
        };
        let before = self.board.held();
        self.board.hold(Arc::clone(&config), next, arrival);
        if let Some(before) = before.filter(|before| before.next < next) {
            self.publish(&before, next, &config);
        }
        true
    }

    /// Publishes what makes `config` out of `before`, after the relays that
    /// come before this one had time to do so.
    fn publish(&self, before: &HeldConfig, next: u64, config: &FleetConfig) {
        let stagger = RELAY_STAGGER * self.board.place();
        if self.board.wait_published(next, stagger) {
            return;
        }
        let change = ConfigDelta::between((before.next, &before.config), (next, config));
        changes::publish(self.store, self.board, &change);
    }
}

/// Records of a read.
fn count(read: &StoreRead) -> u64 {
    u64::try_from(read.page.records.len()).unwrap_or(u64::MAX)
}

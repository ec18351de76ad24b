//! The configuration that the two configuration threads share.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_traffic::config_delta::ConfigDelta;
use hibiscus_traffic::evacuations::EvacuationChange;
use hibiscus_traffic::evacuations::EvacuationInForce;
use hibiscus_traffic::evacuations::EvacuationRecords;
use hibiscus_traffic::evacuations::EvacuationTable;
use hibiscus_traffic::evacuations::RETENTION_AFTER_RESTORE;
use hibiscus_traffic::model::FleetConfig;
use hibiscus_traffic::updates::ConfigArrival;
use hibiscus_traffic::updates::TrafficUpdate;
use hibiscus_traffic::updates::UpdateSender;
use hibiscus_types::DataCentre;
use hibiscus_types::StoreEra;

use crate::follow;
use crate::relay::RelayRole;

/// A configuration and its position in the operators' topic.
#[derive(Clone, Debug)]
pub(super) struct PositionedConfig {
    /// The configuration.
    pub(super) config: Arc<FleetConfig>,
    /// Era of the store in which the position was read.
    pub(super) era: StoreEra,
    /// Offset after the last record of the operators' topic that the
    /// configuration includes.
    pub(super) next: u64,
}

/// What this instance has read of the operators' topic.
#[derive(Clone, Debug)]
pub(super) struct ReadState {
    /// The configuration.
    pub(super) current: PositionedConfig,
    /// Offset up to which all records are included.
    pub(super) read_end: u64,
    /// The evacuations.
    pub(super) evacuations: EvacuationRecords,
}

/// State behind the lock of [`SharedConfig`].
#[derive(Debug, Default)]
struct SharedState {
    current: Option<PositionedConfig>,
    /// Offset after the last record that was read without a valid configuration.
    unreadable_end: u64,
    evacuations: EvacuationTable,
    /// The evacuations that the traffic thread knows.
    sent_evacuations: BTreeMap<DataCentre, EvacuationInForce>,
    /// Largest [`ConfigDelta::read_end`] of the deltas that were read.
    published_end: u64,
    /// Offset up to which the deltas that were read include evacuations.
    published_evacuations: u64,
    /// The evacuations that the publisher of the last delta retained.
    published_retained: BTreeMap<DataCentre, u64>,
    /// Offset after the last record that was read of the deltas' topic.
    deltas_end: Option<u64>,
    /// Whether the last delta from before the start was read.
    has_read_last_delta: bool,
}

impl SharedState {
    /// Returns the offset at which to continue reading the operators' topic, before which
    /// neither a configuration nor an evacuation has been missed; `None` if nothing has been
    /// read of it, or not all evacuations.
    fn position(&self) -> Option<u64> {
        let current = self.current.as_ref().map(|current| current.next);
        let read = current.unwrap_or_default().max(self.unreadable_end);
        let read = read.min(self.evacuations.next()?);
        (read > 0).then_some(read)
    }
}

/// The newest configuration and read positions, shared by the threads that
/// follow the operators' topic and the deltas.
pub(crate) struct SharedConfig {
    state: Mutex<SharedState>,
    changed: Condvar,
    role: Arc<RelayRole>,
    updates: UpdateSender,
    started: Instant,
}

impl SharedConfig {
    pub(super) fn new(updates: UpdateSender, role: Arc<RelayRole>) -> Self {
        Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            role,
            updates,
            started: Instant::now(),
        }
    }

    /// Returns the rank of this instance among the relays, at most
    /// [`hibiscus_traffic::relays::RELAY_COUNT`].
    pub(super) fn rank(&self) -> u32 {
        self.role.rank()
    }

    /// Returns whether this instance is a relay.
    pub(super) fn is_relay(&self) -> bool {
        self.role.is_relay()
    }

    /// Returns the newest configuration.
    pub(super) fn current(&self) -> Option<PositionedConfig> {
        self.lock().current.clone()
    }

    /// Returns the offset at which to continue reading the operators' topic;
    /// `None` if nothing has been read of it.
    pub(super) fn position(&self) -> Option<u64> {
        self.lock().position()
    }

    /// Returns what has been read; `None` without a configuration or the evacuations.
    pub(super) fn read_state(&self) -> Option<ReadState> {
        let state = self.lock();
        Some(ReadState {
            current: state.current.clone()?,
            read_end: state.position()?,
            evacuations: state.evacuations.to_publish()?,
        })
    }

    /// Moves the read position to `end`, past records without a valid configuration, but
    /// not past evacuations that were not applied.
    pub(super) fn skip_unreadable(&self, end: u64) {
        let mut state = self.lock();
        state.unreadable_end = state.unreadable_end.max(end);
    }

    /// Discards all positions, because the store came back from a copy. The traffic
    /// thread keeps its configuration until it gets a newer version, and the evacuations
    /// until the records of the copy have been read.
    pub(super) fn discard_positions(&self) {
        let mut state = self.lock();
        let mut evacuations = std::mem::take(&mut state.evacuations);
        evacuations.discard_records();
        *state = SharedState {
            deltas_end: state.deltas_end,
            has_read_last_delta: state.has_read_last_delta,
            evacuations,
            sent_evacuations: std::mem::take(&mut state.sent_evacuations),
            ..SharedState::default()
        };
    }

    /// Replaces the evacuations by `newest`, the newest record of each data centre before
    /// the offset `next` in the era `era`.
    pub(super) fn replace_evacuations(
        &self,
        era: StoreEra,
        next: u64,
        newest: &[EvacuationChange],
    ) {
        let mut state = self.lock();
        let now = self.started.elapsed();
        state.evacuations.replace(era, next, newest, now);
        self.send_evacuations(&mut state);
    }

    /// Applies the `changes` among the records of the operators' topic from offset `first`
    /// to `next`.
    pub(super) fn apply_evacuations(&self, first: u64, next: u64, changes: &[EvacuationChange]) {
        let mut state = self.lock();
        state.evacuations.apply(first, next, changes);
        self.send_evacuations(&mut state);
    }

    /// Records that the operators' topic has just been read to its end; returns whether
    /// retained evacuations have ended by that.
    pub(super) fn note_up_to_date(&self) -> bool {
        let mut state = self.lock();
        let before = state.sent_evacuations.len();
        state.evacuations.expire(self.started.elapsed());
        self.send_evacuations(&mut state);
        state.sent_evacuations.len() < before
    }

    /// Sends the evacuations to the traffic thread if they have changed.
    fn send_evacuations(&self, state: &mut SharedState) {
        let in_force = state.evacuations.in_force();
        if in_force != state.sent_evacuations {
            state.sent_evacuations.clone_from(&in_force);
            let update = TrafficUpdate::Evacuations {
                in_force,
                queued_at: Instant::now(),
            };
            follow::send_update(&self.updates, update);
        }
        self.changed.notify_all();
    }

    /// Replaces the configuration with `update`, unless the current configuration is as
    /// new or newer.
    pub(super) fn update(&self, update: PositionedConfig, arrival: ConfigArrival) {
        let mut state = self.lock();
        if state
            .current
            .as_ref()
            .is_some_and(|current| current.next >= update.next)
        {
            return;
        }
        self.replace(&mut state, update, arrival);
    }

    /// Applies a delta that was read from the fleet's topic: its evacuations if they are
    /// newer, and its configuration if it is based on the current one.
    pub(super) fn apply(&self, mut delta: ConfigDelta, arrival: ConfigArrival) {
        let started = Instant::now();
        let (era, base, next) = (delta.era, delta.base, delta.next);
        let read_end = delta.read_end;
        let evacuations = std::mem::take(&mut delta.evacuations);
        let mut state = self.lock();
        let now = self.started.elapsed();
        let evacuations_end = evacuations.next;
        if now < RETENTION_AFTER_RESTORE {
            state.evacuations.retain(era, &evacuations, now);
        }
        state.published_retained.clone_from(&evacuations.retained);
        state.evacuations.replace_published(era, evacuations, now);
        self.send_evacuations(&mut state);
        let current = state.current.clone();
        let Some(current) = current.filter(|current| current.era == era) else {
            return;
        };
        state.published_end = state.published_end.max(read_end);
        state.published_evacuations = state.published_evacuations.max(evacuations_end);
        if current.next >= next {
            if current.next == next {
                state.unreadable_end = state.unreadable_end.max(read_end);
            }
            return;
        }
        if current.next != base {
            event!(
                EventCode::ChangeNotApplied,
                "base={base} next={next} held={}",
                current.next
            );
            return;
        }
        match delta.apply(&current.config) {
            Ok(config) => {
                let arrival = ConfigArrival {
                    decode_time: started.elapsed(),
                    queued_at: Instant::now(),
                    ..arrival
                };
                let config = Arc::new(config);
                state.unreadable_end = state.unreadable_end.max(read_end);
                self.replace(&mut state, PositionedConfig { config, era, next }, arrival);
            }
            Err(error) => event!(
                EventCode::ChangeNotApplied,
                "base={base} next={next} cause={error}"
            ),
        }
    }

    /// Replaces the configuration, and sends it to the traffic thread before the
    /// lock is released so that versions arrive there in order.
    fn replace(&self, state: &mut SharedState, current: PositionedConfig, arrival: ConfigArrival) {
        let update = TrafficUpdate::Config {
            config: Arc::clone(&current.config),
            arrival,
        };
        state.current = Some(current);
        follow::send_update(&self.updates, update);
        self.changed.notify_all();
    }

    /// Records that the last delta that others published before the start was read, or
    /// that there is none.
    pub(super) fn note_last_delta_read(&self) {
        let mut state = self.lock();
        if !state.has_read_last_delta {
            state.has_read_last_delta = true;
            self.changed.notify_all();
        }
    }

    /// Waits up to `limit` until the last delta that others published before the start
    /// was read.
    pub(super) fn wait_for_last_delta(&self, limit: Duration) {
        self.wait(limit, |state| state.has_read_last_delta);
    }

    /// Sets the offset up to which the deltas were read.
    pub(super) fn set_deltas_end(&self, end: Option<u64>) {
        self.lock().deltas_end = end;
        self.changed.notify_all();
    }

    /// Returns the offset up to which the deltas were read.
    pub(super) fn deltas_end(&self) -> Option<u64> {
        self.lock().deltas_end
    }

    /// Waits up to `limit` until the read position reaches `end`; returns whether
    /// it did.
    pub(super) fn wait_for_position(&self, end: u64, limit: Duration) -> bool {
        self.wait(limit, |state| {
            state.position().is_some_and(|position| position >= end)
        })
    }

    /// Waits up to `limit` for published deltas that include the records up to `end` and
    /// the evacuations up to `evacuations_end`; returns whether there are such.
    pub(super) fn wait_for_delta(&self, end: u64, evacuations_end: u64, limit: Duration) -> bool {
        self.wait(limit, |state| {
            state.published_end >= end && state.published_evacuations >= evacuations_end
        })
    }

    /// Whether this instance retains evacuations that the store lacks.
    pub(super) fn has_retained(&self) -> bool {
        let state = self.lock();
        let mut in_force = state.sent_evacuations.values();
        in_force.any(|evacuation| evacuation.is_retained)
    }

    /// Waits up to `limit` for a delta whose publisher retains just the evacuations
    /// `retained`; returns whether the last one does.
    pub(super) fn wait_for_retained(
        &self,
        retained: &BTreeMap<DataCentre, u64>,
        limit: Duration,
    ) -> bool {
        self.wait(limit, |state| state.published_retained == *retained)
    }

    /// Waits up to `limit` until the deltas were read beyond `end`.
    pub(super) fn wait_for_deltas_after(&self, end: u64, limit: Duration) {
        self.wait(limit, |state| {
            state.deltas_end.is_some_and(|read| read > end)
        });
    }

    fn wait(&self, limit: Duration, done: impl Fn(&SharedState) -> bool) -> bool {
        let state = self.lock();
        let woken = self
            .changed
            .wait_timeout_while(state, limit, |state| !done(state));
        let (state, _late) = woken.unwrap_or_else(PoisonError::into_inner);
        done(&state)
    }

    fn lock(&self) -> MutexGuard<'_, SharedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

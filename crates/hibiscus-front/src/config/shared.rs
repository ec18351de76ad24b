//! The configuration that the two configuration threads share.

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
use hibiscus_traffic::model::FleetConfig;
use hibiscus_traffic::updates::ConfigArrival;
use hibiscus_traffic::updates::TrafficUpdate;
use hibiscus_traffic::updates::UpdateSender;
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

/// State behind the lock of [`SharedConfig`].
#[derive(Debug, Default)]
struct SharedState {
    current: Option<PositionedConfig>,
    /// Offset after the last record that was read without a valid configuration.
    unreadable_end: u64,
    /// Largest [`ConfigDelta::next`] of the deltas that were read.
    published_next: u64,
    /// Offset after the last record that was read of the deltas' topic.
    deltas_end: Option<u64>,
}

impl SharedState {
    /// Returns the offset at which to continue reading the operators' topic;
    /// `None` if nothing has been read of it.
    fn position(&self) -> Option<u64> {
        let current = self.current.as_ref().map(|current| current.next);
        let read = current.unwrap_or_default().max(self.unreadable_end);
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
}

impl SharedConfig {
    pub(super) fn new(updates: UpdateSender, role: Arc<RelayRole>) -> Self {
        Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            role,
            updates,
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

    /// Moves the read position to `end`, past records without a valid
    /// configuration.
    pub(super) fn skip_unreadable(&self, end: u64) {
        let mut state = self.lock();
        state.unreadable_end = state.unreadable_end.max(end);
    }

    /// Discards all positions, because the store came back from a copy. The traffic
    /// thread keeps its configuration until it gets a newer version.
    pub(super) fn discard_positions(&self) {
        let mut state = self.lock();
        *state = SharedState {
            deltas_end: state.deltas_end,
            ..SharedState::default()
        };
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

    /// Applies a delta that was read from the fleet's topic, if it is based on the
    /// current configuration.
    pub(super) fn apply(&self, delta: ConfigDelta, arrival: ConfigArrival) {
        let started = Instant::now();
        let (era, base, next) = (delta.era, delta.base, delta.next);
        let mut state = self.lock();
        let current = state.current.clone();
        let Some(current) = current.filter(|current| current.era == era) else {
            return;
        };
        state.published_next = state.published_next.max(next);
        self.changed.notify_all();
        if current.next >= next {
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

    /// Waits up to `limit` for a published delta that leads to `next` or a later
    /// offset; returns whether there is one.
    pub(super) fn wait_for_delta(&self, next: u64, limit: Duration) -> bool {
        self.wait(limit, |state| state.published_next >= next)
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

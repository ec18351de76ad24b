//! The newest configuration that this instance has.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_traffic::change::ConfigChange;
use hibiscus_traffic::model::FleetConfig;
use hibiscus_traffic::updates::ConfigArrival;
use hibiscus_traffic::updates::TrafficUpdate;
use hibiscus_traffic::updates::UpdateSender;

use crate::follow;
use crate::relay::RelayRole;

/// A configuration and where it stands in the operators' topic.
#[derive(Clone, Debug)]
pub(super) struct CurrentConfig {
    /// The configuration.
    pub(super) config: Arc<FleetConfig>,
    /// Offset after the last record that it follows from.
    pub(super) next: u64,
}

#[derive(Debug, Default)]
struct SharedState {
    current: Option<CurrentConfig>,
    /// Offset up to which records were read that hold no readable
    /// configuration.
    unreadable_end: u64,
    /// Largest [`ConfigChange::next`] that was read.
    published_next: u64,
    /// Offset after the last record of the changes that was read.
    deltas_end: Option<u64>,
}

impl SharedState {
    /// Offset from which on the operators' topic has to be read; `None` before
    /// anything was read of it.
    fn position(&self) -> Option<u64> {
        let current = self.current.as_ref().map(|current| current.next);
        let read = current.unwrap_or_default().max(self.unreadable_end);
        (read > 0).then_some(read)
    }
}

/// What the threads that follow the configuration share.
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

    /// How many instances come before this one as a relay, at most
    /// [`hibiscus_traffic::relays::RELAYS`].
    pub(super) fn rank(&self) -> u32 {
        self.role.rank()
    }

    /// Whether this instance waits for records of the operators.
    pub(super) fn is_relay(&self) -> bool {
        self.role.is_relay()
    }

    /// The configuration that is held.
    pub(super) fn current(&self) -> Option<CurrentConfig> {
        self.lock().current.clone()
    }

    /// Offset from which on the operators' topic has to be read; `None` before
    /// anything was read of it.
    pub(super) fn position(&self) -> Option<u64> {
        self.lock().position()
    }

    /// Notes that the records before the offset `end` which are not held have
    /// no readable configuration.
    pub(super) fn skip_unreadable(&self, end: u64) {
        let mut state = self.lock();
        state.unreadable_end = state.unreadable_end.max(end);
    }

    /// Holds `config`, which follows from all records before `next`, unless a
    /// newer one is held.
    pub(super) fn update(&self, config: Arc<FleetConfig>, next: u64, arrival: ConfigArrival) {
        let mut state = self.lock();
        if state
            .current
            .as_ref()
            .is_some_and(|current| current.next >= next)
        {
            return;
        }
        self.replace(&mut state, config, next, arrival);
    }

    /// Applies `change`, which was read from the fleet's topic, if it is one of
    /// the configuration that is held.
    pub(super) fn apply(&self, change: ConfigChange, arrival: ConfigArrival) {
        let begun = Instant::now();
        let (base, next) = (change.base, change.next);
        let mut state = self.lock();
        state.published_next = state.published_next.max(next);
        self.changed.notify_all();
        let Some(current) = state.current.clone().filter(|current| current.next < next) else {
            return;
        };
        if current.next != base {
            event!(
                EventCode::ChangeNotApplied,
                "base={base} next={next} held={}",
                current.next
            );
            return;
        }
        match change.apply(&current.config) {
            Ok(config) => {
                let arrival = ConfigArrival {
                    decode: begun.elapsed(),
                    told: Instant::now(),
                    ..arrival
                };
                self.replace(&mut state, Arc::new(config), next, arrival);
            }
            Err(error) => event!(
                EventCode::ChangeNotApplied,
                "base={base} next={next} cause={error}"
            ),
        }
    }

    /// Tells the traffic thread of `config` before the lock is released, so
    /// that it learns of versions in their order.
    fn replace(
        &self,
        state: &mut SharedState,
        config: Arc<FleetConfig>,
        next: u64,
        arrival: ConfigArrival,
    ) {
        let told = Arc::clone(&config);
        state.current = Some(CurrentConfig { config, next });
        let update = TrafficUpdate::Config {
            config: told,
            arrival,
        };
        follow::send_update(&self.updates, update);
        self.changed.notify_all();
    }

    /// Notes that the changes were read up to the offset `end`.
    pub(super) fn set_deltas_end(&self, end: Option<u64>) {
        self.lock().deltas_end = end;
        self.changed.notify_all();
    }

    /// Offset after the last record of the changes that was read.
    pub(super) fn deltas_end(&self) -> Option<u64> {
        self.lock().deltas_end
    }

    /// Waits up to `limit` until all records before `end` are held; whether
    /// they are.
    pub(super) fn wait_for_position(&self, end: u64, limit: Duration) -> bool {
        self.wait(limit, |state| {
            state.position().is_some_and(|position| position >= end)
        })
    }

    /// Waits up to `limit` until a change up to the offset `next` is
    /// published; whether it is.
    pub(super) fn wait_for_delta(&self, next: u64, limit: Duration) -> bool {
        self.wait(limit, |state| state.published_next >= next)
    }

    /// Waits up to `limit` until the changes were read beyond `end`.
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

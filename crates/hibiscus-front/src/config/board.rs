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
use hibiscus_traffic::config_delta::ConfigDelta;
use hibiscus_traffic::model::FleetConfig;
use hibiscus_traffic::updates::ConfigArrival;
use hibiscus_traffic::updates::TrafficUpdate;
use hibiscus_traffic::updates::UpdateSender;

use crate::follow;
use crate::relay::RelayDuty;

/// A configuration and where it stands in the operators' topic.
#[derive(Clone, Debug)]
pub(super) struct HeldConfig {
    /// The configuration.
    pub(super) config: Arc<FleetConfig>,
    /// Offset after the last record that it follows from.
    pub(super) next: u64,
}

#[derive(Debug, Default)]
struct BoardState {
    held: Option<HeldConfig>,
    /// Offset up to which records were read that hold no readable
    /// configuration.
    unreadable: u64,
    /// Largest [`ConfigDelta::next`] that was read.
    published: u64,
    /// Offset after the last record of the changes that was read.
    changes_end: Option<u64>,
}

impl BoardState {
    /// Offset from which on the operators' topic has to be read; `None` before
    /// anything was read of it.
    fn position(&self) -> Option<u64> {
        let held = self.held.as_ref().map(|held| held.next);
        let read = held.unwrap_or_default().max(self.unreadable);
        (read > 0).then_some(read)
    }
}

/// What the threads that follow the configuration share.
pub(crate) struct ConfigBoard {
    state: Mutex<BoardState>,
    changed: Condvar,
    duty: Arc<RelayDuty>,
    updates: UpdateSender,
}

impl ConfigBoard {
    pub(super) fn new(updates: UpdateSender, duty: Arc<RelayDuty>) -> Self {
        Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            duty,
            updates,
        }
    }

    /// How many instances come before this one as a relay, at most
    /// [`hibiscus_traffic::relays::RELAY_COUNT`].
    pub(super) fn place(&self) -> u32 {
        self.duty.place()
    }

    /// Whether this instance waits for records of the operators.
    pub(super) fn is_relay(&self) -> bool {
        self.duty.is_relay()
    }

    /// The configuration that is held.
    pub(super) fn held(&self) -> Option<HeldConfig> {
        self.lock().held.clone()
    }

    /// Offset from which on the operators' topic has to be read; `None` before
    /// anything was read of it.
    pub(super) fn position(&self) -> Option<u64> {
        self.lock().position()
    }

    /// Notes that the records before the offset `end` which are not held have
    /// no readable configuration.
    pub(super) fn note_unreadable(&self, end: u64) {
        let mut state = self.lock();
        state.unreadable = state.unreadable.max(end);
    }

    /// Holds `config`, which follows from all records before `next`, unless a
    /// newer one is held.
    pub(super) fn hold(&self, config: Arc<FleetConfig>, next: u64, arrival: ConfigArrival) {
        let mut state = self.lock();
        if state.held.as_ref().is_some_and(|held| held.next >= next) {
            return;
        }
        self.replace(&mut state, config, next, arrival);
    }

    /// Applies `change`, which was read from the fleet's topic, if it is one of
    /// the configuration that is held.
    pub(super) fn apply(&self, change: ConfigDelta, arrival: ConfigArrival) {
        let begun = Instant::now();
        let (base, next) = (change.base, change.next);
        let mut state = self.lock();
        state.published = state.published.max(next);
        self.changed.notify_all();
        let Some(held) = state.held.clone().filter(|held| held.next < next) else {
            return;
        };
        if held.next != base {
            event!(
                EventCode::ChangeNotApplied,
                "base={base} next={next} held={}",
                held.next
            );
            return;
        }
        match change.apply(&held.config) {
            Ok(config) => {
                let arrival = ConfigArrival {
                    decode_time: begun.elapsed(),
                    queued_at: Instant::now(),
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
        state: &mut BoardState,
        config: Arc<FleetConfig>,
        next: u64,
        arrival: ConfigArrival,
    ) {
        let told = Arc::clone(&config);
        state.held = Some(HeldConfig { config, next });
        let update = TrafficUpdate::Config {
            config: told,
            arrival,
        };
        follow::tell(&self.updates, update);
        self.changed.notify_all();
    }

    /// Notes that the changes were read up to the offset `end`.
    pub(super) fn set_changes_end(&self, end: Option<u64>) {
        self.lock().changes_end = end;
        self.changed.notify_all();
    }

    /// Offset after the last record of the changes that was read.
    pub(super) fn changes_end(&self) -> Option<u64> {
        self.lock().changes_end
    }

    /// Waits up to `limit` until all records before `end` are held; whether
    /// they are.
    pub(super) fn wait_held(&self, end: u64, limit: Duration) -> bool {
        self.wait(limit, |state| {
            state.position().is_some_and(|position| position >= end)
        })
    }

    /// Waits up to `limit` until a change up to the offset `next` is
    /// published; whether it is.
    pub(super) fn wait_published(&self, next: u64, limit: Duration) -> bool {
        self.wait(limit, |state| state.published >= next)
    }

    /// Waits up to `limit` until the changes were read beyond `end`.
    pub(super) fn wait_changes(&self, end: u64, limit: Duration) {
        self.wait(limit, |state| {
            state.changes_end.is_some_and(|read| read > end)
        });
    }

    fn wait(&self, limit: Duration, done: impl Fn(&BoardState) -> bool) -> bool {
        let state = self.lock();
        let woken = self
            .changed
            .wait_timeout_while(state, limit, |state| !done(state));
        let (state, _late) = woken.unwrap_or_else(PoisonError::into_inner);
        done(&state)
    }

    fn lock(&self) -> MutexGuard<'_, BoardState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

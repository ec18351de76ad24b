//! The machine's clocks, comparable between its processes.

use std::cell::Cell;
use std::fs;
use std::rc::Rc;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account::limit::MachineTime;
use hibiscus_types::UnixMillis;
use hibiscus_types::hash::stable_hash;
use nix::time::ClockId;

/// File that names the machine's present boot.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";

/// Reads the clocks.
#[derive(Clone, Debug)]
pub struct MachineClock {
    boot: u64,
    source: ClockSource,
}

/// Where the times come from.
#[derive(Clone, Debug)]
enum ClockSource {
    System,
    /// A time that a simulation sets.
    Set(Rc<Cell<MachineTime>>),
}

impl MachineClock {
    /// The clock of the present boot. Without a name of the boot, no two
    /// times compare and nothing is proved by them.
    pub fn of_this_boot() -> Self {
        let boot = match fs::read(BOOT_ID_PATH) {
            Ok(id) => stable_hash(&[&id]).max(1),
            Err(error) => {
                event!(EventCode::BootUnnamed, "cause={error}");
                // Within this process the clock still compares with itself.
                fastrand::u64(1..)
            }
        };
        Self {
            boot,
            source: ClockSource::System,
        }
    }

    /// A clock that shows the time that `now` holds.
    pub fn set_by(now: Rc<Cell<MachineTime>>) -> Self {
        Self {
            boot: now.get().boot,
            source: ClockSource::Set(now),
        }
    }

    /// The present time.
    pub fn now(&self) -> MachineTime {
        if let ClockSource::Set(now) = &self.source {
            return now.get();
        }
        let now = ClockId::CLOCK_MONOTONIC.now().map(Duration::from);
        // The call has no failure for this clock.
        let now = now.unwrap_or_default();
        MachineTime {
            boot: self.boot,
            millis: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            unix_millis: UnixMillis::now().get(),
        }
    }
}

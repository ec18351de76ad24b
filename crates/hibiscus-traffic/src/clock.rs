//! The machine's clocks, whose readings can be compared between processes.

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

/// File with the identifier of the machine's current boot.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";

/// Reads the machine's clocks.
#[derive(Clone, Debug)]
pub struct MachineClock {
    boot: u64,
    source: ClockSource,
}

/// Source of the times.
#[derive(Clone, Debug)]
enum ClockSource {
    System,
    /// A time that a simulation sets.
    Simulated(Rc<Cell<MachineTime>>),
}

impl MachineClock {
    /// Creates a clock of the current boot. If the boot has no identifier,
    /// readings cannot be compared with those of other processes and prove
    /// nothing.
    pub fn of_this_boot() -> Self {
        let boot = match fs::read(BOOT_ID_PATH) {
            Ok(id) => stable_hash(&[&id]).max(1),
            Err(error) => {
                event!(EventCode::BootUnnamed, "cause={error}");
                // Readings of this process can still be compared with each
                // other.
                fastrand::u64(1..)
            }
        };
        Self {
            boot,
            source: ClockSource::System,
        }
    }

    /// Creates a clock that returns the time in `now`.
    pub fn simulated(now: Rc<Cell<MachineTime>>) -> Self {
        Self {
            boot: now.get().boot,
            source: ClockSource::Simulated(now),
        }
    }

    /// The current time.
    pub fn now(&self) -> MachineTime {
        if let ClockSource::Simulated(now) = &self.source {
            return now.get();
        }
        let now = ClockId::CLOCK_MONOTONIC.now().map(Duration::from);
        // The call cannot fail for this clock.
        let now = now.unwrap_or_default();
        MachineTime {
            boot: self.boot,
            millis: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            unix_millis: UnixMillis::now().get(),
        }
    }
}

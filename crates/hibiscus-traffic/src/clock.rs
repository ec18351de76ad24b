//! The machine's clocks, comparable between its processes.

use std::fs;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account::pace::MachineTime;
use hibiscus_types::UnixMillis;
use hibiscus_types::hash::stable_hash;
use nix::time::ClockId;

/// File that names the machine's present boot.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";

/// Reads the clocks.
#[derive(Clone, Copy, Debug)]
pub struct MachineClock {
    boot: u64,
}

impl MachineClock {
    /// The clock of the present boot. Without a name of the boot, no two
    /// times compare and nothing is proved by them.
    pub fn of_this_boot() -> Self {
        match fs::read(BOOT_ID_PATH) {
            Ok(id) => Self {
                boot: stable_hash(&[&id]).max(1),
            },
            Err(error) => {
                event!(EventCode::BootUnnamed, "cause={error}");
                // Within this process the clock still compares with itself.
                Self {
                    boot: fastrand::u64(1..),
                }
            }
        }
    }

    /// The present time.
    pub fn now(&self) -> MachineTime {
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

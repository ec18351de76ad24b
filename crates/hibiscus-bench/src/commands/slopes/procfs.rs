//! What the kernel says of a process.

use std::fs;

/// Clock ticks a second in `/proc/PID/stat`, fixed by the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;
/// Position of the user time behind the program's name in `/proc/PID/stat`.
const USER_TIME_FIELD: usize = 11;

/// One look at a process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProcessLook {
    /// Processor time used, in seconds.
    pub(crate) processor_s: f64,
    /// Resident memory in bytes.
    pub(crate) resident: f64,
    /// Threads.
    pub(crate) threads: f64,
}

/// Looks at process `id`; zeros when it is gone.
pub(crate) fn look(id: u32) -> ProcessLook {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let behind_name = stat.rsplit_once(')').map_or("", |(_name, rest)| rest);
    let ticks: f64 = behind_name
        .split_whitespace()
        .skip(USER_TIME_FIELD)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    ProcessLook {
        processor_s: ticks / TICKS_PER_SECOND,
        resident: field(&status, "VmRSS:") * 1024.0,
        threads: field(&status, "Threads:"),
    }
}

/// The number behind `name`.
fn field(status: &str, name: &str) -> f64 {
    status
        .lines()
        .find_map(|line| line.strip_prefix(name))
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|number| number.parse().ok())
        .unwrap_or(0.0)
}

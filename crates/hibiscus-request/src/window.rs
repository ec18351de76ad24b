//! Age of a time-ordered key.

use std::time::Duration;

use hibiscus_types::UnixMillis;

/// Age up to which the ledger keeps a key.
pub const KEY_WINDOW: Duration = Duration::from_secs(24 * 3_600);
/// How far a caller's clock may run ahead.
const CLOCK_LEEWAY: Duration = Duration::from_secs(3_600);

/// Where a key lies in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAge {
    /// It may be used. Keys that carry no time are here too.
    Valid,
    /// It is older than the window.
    Expired,
    /// It is further in the future than clocks may differ.
    InFuture,
}

/// Places `key` at the time `now`. Only a UUID of version 7 carries a time:
/// its first 48 bits are Unix milliseconds.
pub fn check_key_age(key: &str, now: UnixMillis) -> KeyAge {
    let Some(stamped) = key_time(key) else {
        return KeyAge::Valid;
    };
    if now.since(stamped) > KEY_WINDOW {
        return KeyAge::Expired;
    }
    if stamped.since(now) > CLOCK_LEEWAY {
        return KeyAge::InFuture;
    }
    KeyAge::Valid
}

/// The time that a UUID of version 7 carries.
fn key_time(key: &str) -> Option<UnixMillis> {
    let groups: Vec<&str> = key.split('-').collect();
    let [high, low, version, variant, node] = groups.as_slice() else {
        return None;
    };
    let lengths = [
        high.len(),
        low.len(),
        version.len(),
        variant.len(),
        node.len(),
    ];
    if lengths != [8, 4, 4, 4, 12] || !version.starts_with('7') {
        return None;
    }
    let high = u64::from_str_radix(high, 16).ok()?;
    let low = u64::from_str_radix(low, 16).ok()?;
    Some(UnixMillis::new((high << 16) | low))
}

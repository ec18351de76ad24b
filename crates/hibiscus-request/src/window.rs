//! Checks the age of time-ordered request keys.

use std::time::Duration;

use hibiscus_types::UnixMillis;

/// Age up to which the ledger remembers a key.
pub const KEY_WINDOW: Duration = Duration::from_secs(24 * 3_600);
/// Maximum time by which a caller's clock may be ahead.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(3_600);

/// Age of a key relative to the ledger's window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAge {
    /// The key may be used. Keys without a timestamp are always valid.
    Valid,
    /// The key is older than [`KEY_WINDOW`], so the ledger may have forgotten it.
    Expired,
    /// The key is further in the future than clocks may differ.
    InFuture,
}

/// Checks the age of `key` at the time `now`. Only a UUID of version 7 has a
/// timestamp: its first 48 bits are Unix milliseconds.
pub fn check_key_age(key: &str, now: UnixMillis) -> KeyAge {
    let Some(stamped) = key_time(key) else {
        return KeyAge::Valid;
    };
    if now.since(stamped) > KEY_WINDOW {
        return KeyAge::Expired;
    }
    if stamped.since(now) > MAX_CLOCK_LEAD {
        return KeyAge::InFuture;
    }
    KeyAge::Valid
}

/// Returns the timestamp of a UUID of version 7.
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

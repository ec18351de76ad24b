//! Ranks instance addresses for callers that request one.

use std::net::SocketAddr;
use std::time::Duration;

use hibiscus_types::DataCentre;
use serde::Deserialize;
use serde::Serialize;

use crate::ranking;
use crate::view::FleetInstance;

/// Time for which a caller may cache a response.
pub const ADDRESS_LIFETIME: Duration = Duration::from_secs(30);
/// Requests in progress above the bound for the average load that do not yet
/// lower an instance's rank.
const LOAD_SLACK: u64 = 16;

/// Ranked addresses, best first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressRanking {
    /// Addresses to try in order.
    pub addresses: Vec<SocketAddr>,
    /// Seconds for which the response may be cached.
    pub lifetime_s: u64,
}

/// Ranks the `ready` instances for `caller`: first those in the data centre
/// `nearby`, and within each group by rendezvous hashing, which spreads callers
/// and keeps their addresses stable.
pub fn rank_addresses(
    caller: &str,
    nearby: &DataCentre,
    ready: &[FleetInstance],
) -> AddressRanking {
    rank_addresses_by_load(caller, nearby, ready, |_instance| 0)
}

/// Like [`rank_addresses`], but places instances whose load is well above the
/// average of the data centre `nearby` after the others there. Below that bound
/// the ranking depends only on the membership, so callers keep their address.
pub fn rank_addresses_by_load<F>(
    caller: &str,
    nearby: &DataCentre,
    ready: &[FleetInstance],
    load_of: F,
) -> AddressRanking
where
    F: Fn(&FleetInstance) -> u32,
{
    let near = ready
        .iter()
        .filter(|instance| instance.data_centre == *nearby);
    let bound = load_bound(near.map(&load_of));
    let mut ranked = ranking::rank(caller.as_bytes(), ready);
    ranked.sort_by_key(|instance| {
        let far = instance.data_centre != *nearby;
        (far, !far && u64::from(load_of(instance)) > bound)
    });
    AddressRanking {
        addresses: ranked.iter().map(|instance| instance.callers).collect(),
        lifetime_s: ADDRESS_LIFETIME.as_secs(),
    }
}

/// Returns the load above which an instance ranks lower: a quarter above the
/// average, plus [`LOAD_SLACK`].
fn load_bound(loads: impl Iterator<Item = u32>) -> u64 {
    let mut sum = 0;
    let mut count = 0;
    for load in loads {
        sum += u64::from(load);
        count += 1;
    }
    if count == 0 {
        return 0;
    }
    sum * 5 / (count * 4) + LOAD_SLACK
}

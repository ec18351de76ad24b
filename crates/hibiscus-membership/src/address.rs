//! Answers to callers who ask which address to use.

use std::net::SocketAddr;
use std::time::Duration;

use hibiscus_types::DataCentre;
use serde::Deserialize;
use serde::Serialize;

use crate::ranking;
use crate::view::FleetInstance;

/// Time that a caller may keep an answer.
pub const ADDRESS_LIFETIME: Duration = Duration::from_secs(30);

/// Ranked addresses, best first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// Addresses to try in order.
    pub addresses: Vec<SocketAddr>,
    /// Seconds that the answer may be kept.
    pub lifetime_s: u64,
}

/// Ranks `ready` for `caller`: its own data centre first, and within it by
/// rendezvous hashing, so that callers spread and keep their address.
pub fn answer(caller: &str, nearby: &DataCentre, ready: &[FleetInstance]) -> AddressAnswer {
    let mut ranked = ranking::rank(caller.as_bytes(), ready);
    ranked.sort_by_key(|instance| instance.data_centre != *nearby);
    AddressAnswer {
        addresses: ranked.iter().map(|instance| instance.callers).collect(),
        lifetime_s: ADDRESS_LIFETIME.as_secs(),
    }
}

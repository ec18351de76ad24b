//! Follows the configuration that the operators publish.
//!
//! A few instances ([`hibiscus_traffic::relays`]) wait for records of the
//! operators' topic and read each version whole. They publish what differs from
//! the version before in a topic of the fleet, which all instances follow
//! ([`deltas`]). An instance that finds the operators' topic ahead of what it
//! holds, and gets no change in time, reads the newest version itself
//! ([`operators`]), so nobody depends on another. Both threads put what they
//! have on the [`shared`], which only goes forward.

mod deltas;
mod operators;
mod shared;

use std::sync::Arc;

use hibiscus_traffic::updates::UpdateSender;
use platform::store::StoreClient;

pub(crate) use crate::config::shared::SharedConfig;
use crate::relay::RelayRole;

/// Topic of the changes.
const DELTAS_TOPIC: &str = "config-changes";

/// Follows the operators' topic.
pub(crate) fn follow_operators(store: &StoreClient, shared: &Arc<SharedConfig>) {
    operators::OperatorsReader::new(store, shared).run();
}

/// Follows the changes that other instances publish.
pub(crate) fn follow_deltas(store: &StoreClient, shared: &Arc<SharedConfig>) {
    deltas::follow(store, shared);
}

/// A board that tells `updates` what comes into force.
pub(crate) fn shared(updates: UpdateSender, role: Arc<RelayRole>) -> Arc<SharedConfig> {
    Arc::new(SharedConfig::new(updates, role))
}

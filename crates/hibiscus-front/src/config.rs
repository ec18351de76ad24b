//! Follows the configuration that the operators publish.
//!
//! A few instances, the relays ([`hibiscus_traffic::relays`]), wait for records
//! in the operators' topic and read each version in full. They publish the
//! difference to the previous version as a delta in a topic of the fleet, which
//! all instances follow ([`deltas`]). If the operators' topic is ahead of an
//! instance's configuration and no delta arrives in time, the instance reads the
//! newest version itself ([`operators`]), so no instance depends on another. The
//! two threads share the configuration in [`shared`], which never goes back to
//! an older version.

mod deltas;
mod evacuations;
mod operators;
mod shared;

use std::sync::Arc;

use hibiscus_traffic::updates::UpdateSender;
use platform::store::StoreClient;

pub(crate) use crate::config::shared::SharedConfig;
use crate::relay::RelayRole;

/// Topic of the configuration deltas.
const DELTAS_TOPIC: &str = "config-changes";

/// Follows the operators' topic for as long as the process runs.
pub(crate) fn follow_operators(store: &StoreClient, shared: &Arc<SharedConfig>) {
    operators::OperatorsReader::new(store, shared).run();
}

/// Follows the configuration deltas for as long as the process runs.
pub(crate) fn follow_deltas(store: &StoreClient, shared: &Arc<SharedConfig>) {
    deltas::follow(store, shared);
}

/// Creates the shared configuration, which reports new versions to `updates`.
pub(crate) fn new_shared(updates: UpdateSender, role: Arc<RelayRole>) -> Arc<SharedConfig> {
    Arc::new(SharedConfig::new(updates, role))
}

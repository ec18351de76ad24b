//! Status and readiness of an instance.

use hibiscus_membership::view::InstanceHeartbeat;
use hibiscus_types::DataCentre;
use hibiscus_types::RegionName;
use hibiscus_types::UnixMillis;
use serde::Serialize;

use crate::context::RouterContext;
use crate::context::SharedContext;
use crate::membership;

/// Status of an instance.
#[derive(Clone, Debug, Serialize)]
pub struct InstanceStatus {
    /// What the instance says of itself.
    #[serde(flatten)]
    pub own: InstanceHeartbeat,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: RegionName,
    /// Version of the program.
    pub program: &'static str,
    /// Instances that are ready, as seen from here.
    pub ready_instances: usize,
    /// Whether it takes requests.
    pub ready: bool,
    /// Why it does not.
    pub reasons: Vec<&'static str>,
}

/// The status of this instance.
pub fn status(context: &SharedContext) -> InstanceStatus {
    let own = membership::own_heartbeat(context);
    let ready_instances = context.fleet.lock().ready(UnixMillis::now()).len();
    let reasons = unready_reasons(context);
    InstanceStatus {
        own,
        data_centre: context.settings.instance.data_centre.clone(),
        region: context.settings.instance.region.clone(),
        program: env!("CARGO_PKG_VERSION"),
        ready_instances,
        ready: reasons.is_empty(),
        reasons,
    }
}

/// What keeps this instance from taking requests.
pub fn unready_reasons(context: &RouterContext) -> Vec<&'static str> {
    let mut reasons = Vec::new();
    if context.config.get().version == 0 {
        reasons.push("no configuration is in force");
    }
    if context.config.is_outdated() {
        reasons.push("a newer release changed the configuration");
    }
    if context.is_draining() {
        reasons.push("the instance is stopping");
    }
    reasons
}

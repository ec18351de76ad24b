//! Calls to the brokers of a shard.

use std::time::Duration;

use hibiscus_membership::ranking;
use hibiscus_membership::view::FleetInstance;
use hibiscus_peer::PendingCall;
use hibiscus_types::UnixMillis;

use crate::context::SharedContext;
use crate::ledger::broker::BrokerReply;
use crate::ledger::broker::BrokerRequest;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Instances ranked first for a shard.
pub const BROKERS: usize = 3;

/// The instances to ask for `shard`, best first.
pub fn brokers(context: &SharedContext, shard: u32) -> Vec<FleetInstance> {
    let ready = context.fleet.lock().ready(UnixMillis::now());
    let key = format!("broker/{shard}");
    let chosen = ranking::spread(key.as_bytes(), &ready, BROKERS);
    chosen.into_iter().cloned().collect()
}

/// This instance's rank for `shard`, 0 for the first; `None` when it is not
/// among its brokers.
pub fn own_rank(context: &SharedContext, shard: u32) -> Option<usize> {
    let own = &context.settings.instance.name;
    let chosen = brokers(context, shard);
    chosen.iter().position(|instance| instance.name == *own)
}

/// Asks the brokers of `shard` in order, `timeout` each, until one answers.
pub fn call(
    context: &SharedContext,
    shard: u32,
    request: &BrokerRequest,
    timeout: Duration,
) -> Option<BrokerReply> {
    let request = PeerRequest::Broker(request.clone());
    for broker in brokers(context, shard) {
        let Ok(PeerReply::Broker(reply)) = request.call(context, broker.peers, timeout) else {
            continue;
        };
        if matches!(reply, BrokerReply::Unavailable) {
            continue;
        }
        return Some(reply);
    }
    None
}

/// Asks the first broker of `shard`; the reply is waited for later.
pub fn start_first(
    context: &SharedContext,
    shard: u32,
    request: BrokerRequest,
    timeout: Duration,
) -> Option<PendingCall> {
    let brokers = brokers(context, shard);
    let request = PeerRequest::Broker(request);
    request.start(context, brokers.first()?.peers, timeout).ok()
}

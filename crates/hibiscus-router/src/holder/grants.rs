//! Witnesses of new grants, and the threads that ask brokers for grants.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use hibiscus_ledger::record::AllowanceGrant;
use hibiscus_ledger::record::AllowanceReturn;
use hibiscus_membership::ranking;
use hibiscus_types::BudgetName;
use hibiscus_types::IncarnationId;
use hibiscus_types::UnixMillis;

use crate::context::SharedContext;
use crate::holder::HolderMessage;
use crate::ledger::broker::BrokerRequest;
use crate::ledger::client;

/// Time that a broker may take to answer a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between looks at the stop flag of the grant threads.
const IDLE_WAIT: Duration = Duration::from_millis(100);
/// Witnesses of a grant.
const WITNESSES: usize = 2;

/// A grant to ask a broker for.
#[derive(Clone, Debug)]
pub struct GrantWanted {
    /// The shard of the budget.
    pub shard: u32,
    /// Fragments given back first, so that the grant may join them.
    pub returns: Vec<AllowanceReturn>,
    /// The grant.
    pub grant: AllowanceGrant,
}

/// One witness in the own data centre and one in another, never itself.
pub(super) fn choose_witnesses(context: &SharedContext, budget: &BudgetName) -> Vec<IncarnationId> {
    let fleet = context.fleet.lock();
    let own = &context.settings.instance;
    let mut ready = fleet.ready(UnixMillis::now());
    ready.retain(|instance| instance.name != own.name);
    let key = format!("witness/{}/{budget}", own.name);
    let ranked = ranking::rank(key.as_bytes(), &ready);
    let near = ranked
        .iter()
        .find(|held| held.data_centre == own.data_centre);
    let far = ranked
        .iter()
        .find(|held| held.data_centre != own.data_centre);
    let mut chosen: Vec<_> = near.into_iter().chain(far).collect();
    for instance in &ranked {
        if chosen.len() >= WITNESSES {
            break;
        }
        if !chosen.iter().any(|held| held.name == instance.name) {
            chosen.push(instance);
        }
    }
    let mut witnesses = Vec::with_capacity(WITNESSES);
    for instance in chosen {
        let Some(beat) = fleet.heartbeat_of(&instance.name) else {
            continue;
        };
        witnesses.push(beat.incarnation);
    }
    witnesses
}

/// Asks brokers for grants until the holder ends.
pub fn request_grants(
    context: &SharedContext,
    wanted: &Mutex<Receiver<GrantWanted>>,
    ring: &SyncSender<HolderMessage>,
) {
    while !context.is_ended() {
        let next = wanted
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .recv_timeout(IDLE_WAIT);
        let Ok(want) = next else {
            continue;
        };
        let request = BrokerRequest::Grant {
            shard: want.shard,
            returns: want.returns,
            grant: want.grant.clone(),
        };
        let reply = client::call(context, want.shard, &request, GRANT_TIMEOUT);
        let grant = want.grant;
        if ring.send(HolderMessage::Granted { grant, reply }).is_err() {
            return;
        }
    }
}

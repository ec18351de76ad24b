//! Reclaims the grants of holders that are gone or silent.
//!
//! Silence alone frees nothing: it only lets a broker propose the reclaim and
//! ask the witnesses for their promises. A holder that was merely paused finds
//! its grant sealed and asks for another.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_ledger::fold::GrantState;
use hibiscus_ledger::fold::LedgerFold;
use hibiscus_ledger::record::GrantSeal;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_types::GrantId;
use hibiscus_types::IncarnationId;
use hibiscus_types::UnixMillis;

use crate::context::SharedContext;
use crate::ledger::append::AppendRings;
use crate::ledger::broker;
use crate::peer::PeerRequest;
use crate::witness::WitnessRequest;

/// Time without a sign of a holder before its grants are sealed.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);
/// Time that a witness may take to promise.
const SEAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Holders without a sign of life, and the reclaims proposed from here.
#[derive(Debug, Default)]
pub struct ReclaimWatch {
    missing: BTreeMap<IncarnationId, Instant>,
    proposed: BTreeMap<GrantId, Instant>,
}

impl ReclaimWatch {
    /// Looks at every grant from which tokens are outstanding.
    pub fn step(
        &mut self,
        context: &SharedContext,
        appends: &AppendRings,
        shard: u32,
        fold: &LedgerFold,
    ) {
        for (id, state) in fold.grants() {
            if state.is_closed() || state.reclaimed {
                self.proposed.remove(id);
                continue;
            }
            if state.sealing {
                ask_witnesses(context, shard, state);
                continue;
            }
            if !self.is_gone(context, state) || self.proposed.contains_key(id) {
                continue;
            }
            self.proposed.insert(*id, Instant::now());
            let detail = format!("grant {id} of `{}`", state.grant.instance);
            broker::note_grant(
                context,
                EventCode::GrantReclaimed,
                &state.grant.budget,
                detail,
            );
            appends.push(shard, LedgerRecord::Seal(GrantSeal { grant: *id }));
        }
    }

    /// Whether the holder restarted, or gave no sign for long enough.
    fn is_gone(&mut self, context: &SharedContext, state: &GrantState) -> bool {
        let holder = state.grant.holder;
        match sign_of(context, state) {
            HolderSign::Alive => {
                self.missing.remove(&holder);
                false
            }
            HolderSign::Restarted => true,
            HolderSign::Silent => {
                let since = self.missing.entry(holder).or_insert_with(Instant::now);
                since.elapsed() >= SILENCE_LIMIT
            }
        }
    }
}

/// What the fleet view says of a grant's holder.
enum HolderSign {
    Alive,
    Silent,
    Restarted,
}

/// Looks for the holder under its instance's name.
fn sign_of(context: &SharedContext, state: &GrantState) -> HolderSign {
    let fleet = context.fleet.lock();
    let Some(beat) = fleet.heartbeat_of(&state.grant.instance) else {
        return HolderSign::Silent;
    };
    if beat.incarnation > state.grant.holder {
        return HolderSign::Restarted;
    }
    let ready = fleet.ready(UnixMillis::now());
    let heard = ready.iter().any(|held| held.name == state.grant.instance);
    if heard || beat.stopping {
        HolderSign::Alive
    } else {
        HolderSign::Silent
    }
}

/// Asks the witnesses that have not promised yet. Their promises come through
/// the log, so the replies are not waited for, and a lost call is repeated.
fn ask_witnesses(context: &SharedContext, shard: u32, state: &GrantState) {
    for witness in state.unsealed() {
        let address = context
            .fleet
            .lock()
            .instance_of(witness)
            .map(|instance| instance.peers);
        let Some(address) = address else {
            continue;
        };
        let request = PeerRequest::Witness(WitnessRequest::Seal {
            witness,
            grant: state.grant.id,
            shard,
        });
        let _pending = request.start(context, address, SEAL_TIMEOUT);
    }
}

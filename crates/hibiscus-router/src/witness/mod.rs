//! Duty: acknowledges opens and settlements of other instances and hands
//! them over to the log.

pub mod hand_over;

use std::sync::mpsc::Receiver;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::EventFields;
use hibiscus_ledger::record::AllowanceSplit;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::record::RequestOpen;
use hibiscus_ledger::record::RequestSettlement;
use hibiscus_ledger::shard_of;
use hibiscus_ledger::witness::WitnessAnswer;
use hibiscus_ledger::witness::WitnessBuffer;
use hibiscus_peer::PeerCall;
use hibiscus_types::GrantId;
use hibiscus_types::IncarnationId;
use serde::Deserialize;
use serde::Serialize;

use crate::context::SharedContext;
use crate::ledger::append::AppendRings;
use crate::peer::PeerReply;

/// Time between looks at the stop flag.
const IDLE_WAIT: Duration = Duration::from_millis(100);
/// Entries handed over at once.
const HAND_OVER: usize = 1_024;

/// What a holder or broker asks of a witness.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum WitnessRequest {
    /// Acknowledge an open.
    Open {
        /// The incarnation meant.
        witness: IncarnationId,
        /// The open.
        open: RequestOpen,
    },
    /// Acknowledge a settlement.
    Settle {
        /// The incarnation meant.
        witness: IncarnationId,
        /// The settlement.
        settlement: RequestSettlement,
    },
    /// Acknowledge a split.
    Split {
        /// The incarnation meant.
        witness: IncarnationId,
        /// The shard of the grant's budget.
        shard: u32,
        /// The split.
        split: AllowanceSplit,
    },
    /// Acknowledge no more opens under a grant.
    Seal {
        /// The incarnation meant.
        witness: IncarnationId,
        /// The grant.
        grant: GrantId,
        /// The shard of the grant's budget.
        shard: u32,
    },
    /// Take over what a stopping process could not append.
    HandOver {
        /// The shard of the records.
        shard: u32,
        /// The records, in order.
        records: Vec<LedgerRecord>,
    },
}

/// A witness's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WitnessReply {
    /// What the witness did.
    pub answer: WitnessAnswer,
}

/// A call for the witness duty.
pub struct WitnessMessage {
    /// The request.
    pub request: WitnessRequest,
    /// Where the reply goes.
    pub call: PeerCall,
}

/// Answers calls until the process ends.
pub fn run(context: &SharedContext, ring: &Receiver<WitnessMessage>, appends: &AppendRings) {
    let shards = context.settings.budgets.shards;
    let mut buffer = WitnessBuffer::new(context.incarnation);
    while !context.is_ended() {
        let Ok(message) = ring.recv_timeout(IDLE_WAIT) else {
            continue;
        };
        let (shard, answer) = match &message.request {
            WitnessRequest::Open { witness, open } => {
                let shard = shard_of(&open.key.team, shards);
                (shard, buffer.open(*witness, open))
            }
            WitnessRequest::Settle {
                witness,
                settlement,
            } => {
                let shard = shard_of(&settlement.key.team, shards);
                (shard, buffer.settle(*witness, settlement))
            }
            WitnessRequest::Seal {
                witness,
                grant,
                shard,
            } => (*shard, buffer.seal(*witness, *grant)),
            WitnessRequest::Split {
                witness,
                shard,
                split,
            } => (*shard, buffer.split(*witness, split)),
            WitnessRequest::HandOver { shard, records } => {
                (*shard, take_over(context, *shard, records, appends))
            }
        };
        for record in buffer.take(HAND_OVER) {
            appends.push(shard, record);
        }
        if answer == WitnessAnswer::Acknowledged {
            note(context, &message.request);
        }
        PeerReply::Witness(WitnessReply { answer }).send(message.call);
    }
}

/// Takes the records of a stopping process, unless this one stops too.
fn take_over(
    context: &SharedContext,
    shard: u32,
    records: &[LedgerRecord],
    appends: &AppendRings,
) -> WitnessAnswer {
    if context.is_draining() {
        return WitnessAnswer::Refused;
    }
    for record in records {
        appends.push(shard, record.clone());
    }
    WitnessAnswer::Acknowledged
}

/// Records what was acknowledged, so that a request's life can be read off
/// here when its router is gone.
fn note(context: &SharedContext, request: &WitnessRequest) {
    let (code, key, grant, server) = match request {
        WitnessRequest::Open { open, .. } => (
            EventCode::OpenWitnessed,
            &open.key,
            open.grant,
            open.server.as_str(),
        ),
        WitnessRequest::Settle { settlement, .. } => (
            EventCode::SettlementWitnessed,
            &settlement.key,
            settlement.grant,
            "",
        ),
        WitnessRequest::Seal { .. }
        | WitnessRequest::Split { .. }
        | WitnessRequest::HandOver { .. } => return,
    };
    let fields = EventFields {
        request: key.to_string(),
        team: key.team.to_string(),
        server: server.to_owned(),
        detail: format!("grant {grant}"),
        ..EventFields::default()
    };
    context.events.record(code, fields);
}

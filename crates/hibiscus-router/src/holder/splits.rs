//! Splits of grants between peers, which need no log.
//!
//! The holder takes the tokens out before a witness acknowledges the split,
//! and the peer is told only after that. A repeated question gets the same
//! split, so a lost reply loses no tokens.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use hibiscus_ledger::holder::HeldAllowance;
use hibiscus_ledger::record::AllowanceGrant;
use hibiscus_ledger::record::AllowanceSplit;
use hibiscus_ledger::witness::WitnessAnswer;
use hibiscus_membership::view::FleetInstance;
use hibiscus_peer::PeerCall;
use hibiscus_types::BudgetName;
use hibiscus_types::GrantId;
use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use hibiscus_types::TokenCount;
use hibiscus_types::UnixMillis;
use serde::Deserialize;
use serde::Serialize;

use crate::context::SharedContext;
use crate::holder::message::HolderMessage;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::requests::open;
use crate::witness::WitnessRequest;

/// Time between looks at the stop flag.
const IDLE_WAIT: Duration = Duration::from_millis(100);
/// Time that a peer may take for a split.
const SPLIT_TIMEOUT: Duration = Duration::from_millis(900);
/// Times that one peer is asked for the same split.
const ASK_LIMIT: usize = 2;
/// Splits that are remembered for repeated questions.
const SHELF_LIMIT: usize = 1_000;

/// What a peer asks for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SplitAsk {
    /// The budget.
    pub budget: BudgetName,
    /// Tokens needed at least.
    pub tokens: TokenCount,
    /// Number of the grant to be made.
    pub child: GrantId,
    /// The peer's incarnation.
    pub holder: IncarnationId,
    /// The peer's instance.
    pub instance: InstanceName,
}

/// A split that was taken out here.
#[derive(Clone, Debug)]
pub struct MadeSplit {
    split: AllowanceSplit,
    witnesses: Vec<IncarnationId>,
}

/// Work that waits for peers or witnesses.
pub enum SplitJob {
    /// Ask the peers for a split.
    Gather {
        /// What is asked for.
        ask: SplitAsk,
    },
    /// Have a split acknowledged, then tell the peer.
    Confirm {
        /// The shard of the budget.
        shard: u32,
        /// The split.
        made: MadeSplit,
        /// Where the reply goes.
        call: PeerCall,
    },
}

/// Splits made here, by the number of their child.
#[derive(Debug, Default)]
pub struct SplitShelf {
    made: BTreeMap<GrantId, MadeSplit>,
}

impl SplitShelf {
    /// The split that `ask` names, made now unless it was made before. Takes
    /// half of what is spare beyond `kept`, and nothing when `waits`.
    pub fn make(
        &mut self,
        held: &mut HeldAllowance,
        ask: &SplitAsk,
        kept: TokenCount,
        waits: bool,
    ) -> Option<MadeSplit> {
        if let Some(made) = self.made.get(&ask.child) {
            return Some(made.clone());
        }
        let spare = held.unreserved(&ask.budget).saturating_sub(kept);
        if waits || spare < ask.tokens || !held.fits(&ask.budget, ask.tokens) {
            return None;
        }
        let half = TokenCount::new(spare.get() / 2).max(ask.tokens);
        let child = |parent: &AllowanceGrant, tokens| AllowanceGrant {
            id: ask.child,
            holder: ask.holder,
            instance: ask.instance.clone(),
            witnesses: child_witnesses(parent, ask.holder),
            tokens,
            ..parent.clone()
        };
        let (split, witnesses) = held.split(&ask.budget, half, child)?;
        let made = MadeSplit { split, witnesses };
        self.made.insert(ask.child, made.clone());
        if self.made.len() > SHELF_LIMIT {
            self.made.pop_first();
        }
        Some(made)
    }
}

/// The parent's witnesses, but this process in place of the child's holder,
/// which must not be its own witness.
fn child_witnesses(parent: &AllowanceGrant, holder: IncarnationId) -> Vec<IncarnationId> {
    let mut witnesses = parent.witnesses.clone();
    for witness in &mut witnesses {
        if *witness == holder {
            *witness = parent.holder;
        }
    }
    witnesses
}

/// Does the jobs until the process ends.
pub fn run(
    context: &SharedContext,
    jobs: &Mutex<Receiver<SplitJob>>,
    holder: &SyncSender<HolderMessage>,
) {
    while !context.is_ended() {
        let next = jobs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .recv_timeout(IDLE_WAIT);
        match next {
            Ok(SplitJob::Gather { ask }) => {
                let Some(split) = gather(context, &ask) else {
                    continue;
                };
                // The holder outlives this thread's work.
                let _ended = holder.send(HolderMessage::Obtained { split });
            }
            Ok(SplitJob::Confirm { shard, made, call }) => confirm(context, shard, made, call),
            Err(_) => {}
        }
    }
}

/// Asks the peers in order until one gives a split.
fn gather(context: &SharedContext, ask: &SplitAsk) -> Option<AllowanceSplit> {
    let peers = context.fleet.lock().ready(UnixMillis::now());
    for peer in peers {
        if peer.name == ask.instance {
            continue;
        }
        if let Some(split) = ask_peer(context, &peer, ask) {
            return Some(split);
        }
    }
    None
}

/// Asks one peer, again when its reply is lost.
fn ask_peer(
    context: &SharedContext,
    peer: &FleetInstance,
    ask: &SplitAsk,
) -> Option<AllowanceSplit> {
    let request = PeerRequest::Split(ask.clone());
    for _attempt in 0..ASK_LIMIT {
        let reply = request.call(context, peer.peers, SPLIT_TIMEOUT);
        if let Ok(PeerReply::Split(split)) = reply {
            return split;
        }
    }
    None
}

/// Has the split acknowledged as an open is: by both witnesses while both
/// answer, and by none that has sealed the parent.
fn confirm(context: &SharedContext, shard: u32, made: MadeSplit, call: PeerCall) {
    let ask = |witness| WitnessRequest::Split {
        witness,
        shard,
        split: made.split.clone(),
    };
    let answers = open::ask_witnesses(context, &made.witnesses, ask);
    if answers.contains(&WitnessAnswer::Sealed) {
        context.sealed_grants.add(made.split.parent);
        PeerReply::Split(None).send(call);
        return;
    }
    if answers.contains(&WitnessAnswer::Acknowledged) {
        PeerReply::Split(Some(made.split)).send(call);
    }
    // Without an answer the peer asks again for the same split.
}

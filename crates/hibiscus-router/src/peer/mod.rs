//! Duty: receives the calls of other instances and passes each to the duty
//! that answers it.

use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::time::Duration;
use std::time::Instant;

use hibiscus_ledger::record::AllowanceSplit;
use hibiscus_membership::gossip::GossipMessage;
use hibiscus_peer::LinkError;
use hibiscus_peer::PeerCall;
use hibiscus_peer::PendingCall;
use hibiscus_request::quarantine::ServerCrash;
use hibiscus_types::BudgetName;
use hibiscus_types::codec;
use hibiscus_types::codec::CodecError;
use serde::Deserialize;
use serde::Serialize;

use crate::config::peers;
use crate::config::peers::ConfigReply;
use crate::config::peers::ConfigRequest;
use crate::context::SharedContext;
use crate::holder::HolderMessage;
use crate::holder::splits::SplitAsk;
use crate::ledger::broker::BrokerMessage;
use crate::ledger::broker::BrokerReply;
use crate::ledger::broker::BrokerRequest;
use crate::membership;
use crate::servers::claims::ClaimAnswer;
use crate::servers::claims::ServerClaim;
use crate::witness::WitnessMessage;
use crate::witness::WitnessReply;
use crate::witness::WitnessRequest;

/// Time between looks at the stop flag.
const IDLE_WAIT: Duration = Duration::from_millis(100);

/// Why a call to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The link failed.
    #[error("failed to call a peer")]
    Link(#[from] LinkError),
    /// A message cannot be encoded or decoded.
    #[error("failed to read a peer's message")]
    Codec(#[from] CodecError),
}

/// Result of a call to a peer.
pub type Result<T> = std::result::Result<T, PeerError>;

/// What one instance asks of another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Says that the sender lives, and what it knows of others.
    Heartbeat(GossipMessage),
    /// Asks a witness.
    Witness(WitnessRequest),
    /// Asks a broker.
    Broker(BrokerRequest),
    /// Asks for configuration.
    Config(ConfigRequest),
    /// Tells of a server that stopped while it ran a request.
    ServerCrash(ServerCrash),
    /// Asks to keep requests off a server, for a suspect to run alone there.
    ServerClaim(ServerClaim),
    /// Asks the holder to give back what it does not need soon.
    Recall {
        /// The budget.
        budget: BudgetName,
    },
    /// Asks the holder to split something off.
    Split(SplitAsk),
}

/// What an instance answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// Says that the receiver lives, and what it knows of others.
    Heartbeat(GossipMessage),
    /// A witness's answer.
    Witness(WitnessReply),
    /// A broker's answer.
    Broker(BrokerReply),
    /// Configuration.
    Config(ConfigReply),
    /// The death is known.
    ServerCrash,
    /// The split, when there was something to spare.
    Split(Option<AllowanceSplit>),
    /// Whether the server is kept free.
    ServerClaim(ClaimAnswer),
    /// The holder knows of the recall.
    Recalled,
    /// The duty's ring is full.
    Busy,
}

impl PeerRequest {
    /// Sends the request to `peer`.
    pub fn start(
        &self,
        context: &SharedContext,
        peer: SocketAddr,
        timeout: Duration,
    ) -> Result<PendingCall> {
        let body = codec::encode(self)?;
        Ok(context.link.start_call(peer, body, timeout)?)
    }

    /// Sends the request to `peer` and waits for its reply.
    pub fn call(
        &self,
        context: &SharedContext,
        peer: SocketAddr,
        timeout: Duration,
    ) -> Result<PeerReply> {
        PeerReply::receive(self.start(context, peer, timeout)?)
    }
}

impl PeerReply {
    /// Waits for the reply of a started call.
    pub fn receive(call: PendingCall) -> Result<Self> {
        Ok(codec::decode(&call.wait()?)?)
    }

    /// Sends the reply to the caller.
    pub fn send(&self, call: PeerCall) {
        // A reply that cannot be encoded is a missing reply to the peer.
        if let Ok(body) = codec::encode(self) {
            call.reply(body);
        }
    }
}

/// Rings of the duties that answer calls.
pub struct DutyRings {
    /// The witness duty.
    pub witness: SyncSender<WitnessMessage>,
    /// The broker duty.
    pub broker: SyncSender<BrokerMessage>,
    /// The holder duty.
    pub holder: SyncSender<HolderMessage>,
}

/// Passes calls on until the process ends.
pub fn dispatch(context: &SharedContext, inbox: &Receiver<PeerCall>, rings: &DutyRings) {
    while !context.is_ended() {
        let Ok(call) = inbox.recv_timeout(IDLE_WAIT) else {
            continue;
        };
        let Ok(request) = codec::decode::<PeerRequest>(&call.body) else {
            continue;
        };
        pass_on(context, request, call, rings);
    }
}

/// Passes one call on.
fn pass_on(context: &SharedContext, request: PeerRequest, call: PeerCall, rings: &DutyRings) {
    match request {
        PeerRequest::Heartbeat(message) => {
            PeerReply::Heartbeat(membership::answer(context, message)).send(call);
        }
        PeerRequest::Config(request) => {
            PeerReply::Config(peers::answer(context, &request)).send(call);
        }
        PeerRequest::ServerCrash(death) => {
            context.suspects.record(&death);
            PeerReply::ServerCrash.send(call);
        }
        PeerRequest::ServerClaim(claim) => {
            let answer = context.servers.lend(&claim, Instant::now());
            PeerReply::ServerClaim(answer).send(call);
        }
        PeerRequest::Witness(request) => {
            // A full ring drops the call: its sender sees no acknowledgement.
            let _full = rings.witness.try_send(WitnessMessage { request, call });
        }
        PeerRequest::Broker(request) => {
            let _full = rings.broker.try_send(BrokerMessage::Call { request, call });
        }
        PeerRequest::Recall { budget } => {
            let _full = rings.holder.try_send(HolderMessage::Recall { budget });
            PeerReply::Recalled.send(call);
        }
        PeerRequest::Split(ask) => {
            let _full = rings.holder.try_send(HolderMessage::Share { ask, call });
        }
    }
}

//! Limit on running a charged request again.
//!
//! A key is charged once, so a caller that lost its answer may send again
//! under the same key, and the run is free. The ledger counts such runs; past
//! the limit the key is refused. The brokers are asked while the request is
//! being opened, so the question adds no delay while they answer.

use std::time::Duration;

use hibiscus_ledger::shard_of;
use hibiscus_peer::PendingCall;
use hibiscus_types::RefusalReason;

use crate::callers::answer::RequestFailure;
use crate::context::SharedContext;
use crate::ledger::broker::BrokerReply;
use crate::ledger::broker::BrokerRequest;
use crate::ledger::broker::KeyStatus;
use crate::ledger::client;
use crate::peer::PeerReply;
use crate::requests::CallerRequest;
use crate::requests::open::Result;

/// Free runs of a charged key.
pub const FREE_RERUNS: usize = 8;
/// Time that the broker may take. Without an answer the request goes on: the
/// count limits cost, and no budget depends on it.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(200);

/// A question to a broker on its way.
#[derive(Debug)]
pub struct RerunCheck {
    pending: Option<PendingCall>,
}

impl RerunCheck {
    /// Asks what the ledger holds of the request's key, if its caller named
    /// one: a key made here is new.
    pub fn start(context: &SharedContext, request: &CallerRequest) -> Self {
        if !request.named {
            return Self { pending: None };
        }
        let shard = shard_of(&request.key.team, context.settings.budgets.shards);
        let lookup = BrokerRequest::Lookup {
            key: request.key.clone(),
        };
        Self {
            pending: client::start_first(context, shard, lookup, LOOKUP_TIMEOUT),
        }
    }

    /// Waits for the answer.
    ///
    /// # Errors
    ///
    /// Refuses a key whose free runs are used up.
    pub fn verdict(self) -> Result<()> {
        let Some(Ok(PeerReply::Broker(reply))) = self.pending.map(PeerReply::receive) else {
            return Ok(());
        };
        let BrokerReply::Lookup(KeyStatus::Settled { reruns, .. }) = reply else {
            return Ok(());
        };
        if reruns < FREE_RERUNS {
            return Ok(());
        }
        let message = format!(
            "failed to run the request again: its key was charged and ran {reruns} more times"
        );
        Err(RequestFailure::unknown(RefusalReason::KeySpent, message).proved_ran())
    }
}

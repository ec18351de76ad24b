//! Messages to the holder duty.

use std::sync::mpsc::SyncSender;
use std::time::Instant;

use hibiscus_ledger::holder::TokenReservation;
use hibiscus_ledger::record::AllowanceGrant;
use hibiscus_ledger::record::AllowanceSplit;
use hibiscus_peer::PeerCall;
use hibiscus_types::BudgetName;
use hibiscus_types::TeamName;
use hibiscus_types::TokenCount;

use crate::holder::splits::SplitAsk;
use crate::ledger::broker::BrokerReply;

/// Why a reservation was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveRefusal {
    /// The ledger proves at this offset that the budget does not cover it.
    Exhausted {
        /// The offset.
        offset: u64,
    },
    /// No broker answered in time.
    Unconfirmed,
}

/// Answer to a reservation.
pub type ReserveAnswer = std::result::Result<TokenReservation, ReserveRefusal>;

/// A request that waits for allowance.
pub struct ReserveCall {
    /// The team that pays.
    pub team: TeamName,
    /// The budget drawn on.
    pub budget: BudgetName,
    /// Tokens to set aside.
    pub tokens: TokenCount,
    /// When the wait ends.
    pub deadline: Instant,
    /// Where the answer goes.
    pub reply: SyncSender<ReserveAnswer>,
}

/// Input of the holder duty.
pub enum HolderMessage {
    /// Set tokens aside.
    Reserve(ReserveCall),
    /// End a reservation.
    Settle {
        /// The reservation.
        reservation: TokenReservation,
        /// Tokens used.
        charge: TokenCount,
    },
    /// A broker's answer to a grant.
    Granted {
        /// The grant asked for.
        grant: AllowanceGrant,
        /// The answer, `None` when no broker answered.
        reply: Option<BrokerReply>,
    },
    /// A peer runs dry: give back what is not needed soon.
    Recall {
        /// The budget.
        budget: BudgetName,
    },
    /// A peer runs dry while the log is silent: split something off for it.
    Share {
        /// What the peer asks for.
        ask: SplitAsk,
        /// Where the reply goes.
        call: PeerCall,
    },
    /// A peer split this off for us.
    Obtained {
        /// The split, acknowledged by a witness.
        split: AllowanceSplit,
    },
    /// Give all unreserved tokens back.
    GiveBack {
        /// Told once the returns are on their way to the log.
        done: SyncSender<()>,
    },
}

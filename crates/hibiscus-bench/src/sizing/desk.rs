//! One budget at one holder.

use std::collections::VecDeque;
use std::time::Duration;

use hibiscus_ledger::record::AllowanceGrant;
use hibiscus_ledger::sizing::DemandMeter;
use hibiscus_ledger::sizing::LedgerHeadroom;
use hibiscus_ledger::sizing::SizingView;
use hibiscus_types::TokenCount;

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct SizedRequest {
    /// Number, unique in the run.
    pub number: u64,
    /// The most that it may cost.
    pub reserve: TokenCount,
    /// What it will cost.
    pub cost: TokenCount,
    /// How long it will run.
    pub length: Duration,
    /// When its wait for allowance ends.
    pub deadline: Duration,
}

/// The question to the ledger that has no verdict yet.
#[derive(Clone, Debug)]
pub struct OpenQuestion {
    /// The grant asked for.
    pub grant: AllowanceGrant,
    /// When it was asked.
    pub since: Duration,
}

/// State of the desk.
#[derive(Clone, Debug, Default)]
pub struct SizingDesk {
    /// Requests that wait for allowance.
    pub waiting: VecDeque<SizedRequest>,
    /// Demand of late.
    pub meter: DemandMeter,
    /// Sum of the grants obtained.
    pub obtained: TokenCount,
    /// What the ledger last said.
    pub headroom: Option<LedgerHeadroom>,
    /// The open question.
    pub asked: Option<OpenQuestion>,
}

impl SizingDesk {
    /// What the policy decides on.
    pub fn view(
        &mut self,
        held: TokenCount,
        holders: usize,
        now: Duration,
        log_silence: Duration,
    ) -> SizingView {
        SizingView {
            demand_per_second: self.meter.rate(now),
            typical: self.meter.typical(),
            wanted: self.waiting.iter().map(|request| request.reserve).sum(),
            held,
            obtained: self.obtained,
            ledger: self.headroom,
            holders: u32::try_from(holders).unwrap_or(u32::MAX),
            log_silence,
        }
    }
}

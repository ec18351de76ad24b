//! What the holder knows of one budget.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use hibiscus_ledger::sizing::DemandMeter;
use hibiscus_ledger::sizing::LedgerHeadroom;
use hibiscus_ledger::sizing::SizingView;
use hibiscus_types::TeamName;
use hibiscus_types::TokenCount;

use crate::holder::ReserveCall;
use crate::holder::ReserveRefusal;
use crate::holder::grants::GrantWanted;

/// Delay before an unanswered or refused question is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(80);
/// Time between two questions to the peers.
const GATHER_AGAIN: Duration = Duration::from_millis(150);

/// One budget at its holder.
pub(super) struct BudgetDesk {
    /// The team that pays.
    pub(super) team: TeamName,
    /// Requests that wait for allowance, in order of arrival.
    pub(super) waiting: VecDeque<ReserveCall>,
    /// The question to the ledger that has no verdict yet.
    pub(super) asked: Option<GrantWanted>,
    /// Whether that question is with a grant thread now.
    pub(super) asking: bool,
    /// Demand of late.
    pub(super) meter: DemandMeter,
    /// Sum of the grants obtained.
    pub(super) obtained: TokenCount,
    headroom: Option<LedgerHeadroom>,
    offset: u64,
    asked_since: Option<Instant>,
    next_ask: Instant,
    next_gather: Instant,
    started: Instant,
}

impl BudgetDesk {
    /// A desk of `team` without requests.
    pub(super) fn new(team: TeamName) -> Self {
        let now = Instant::now();
        Self {
            team,
            waiting: VecDeque::new(),
            asked: None,
            asking: false,
            meter: DemandMeter::default(),
            obtained: TokenCount::ZERO,
            headroom: None,
            offset: 0,
            asked_since: None,
            next_ask: now,
            next_gather: now,
            started: now,
        }
    }

    /// Time as the meter counts it.
    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// What the sizing policy decides on.
    pub(super) fn view(
        &mut self,
        held: TokenCount,
        holders: usize,
        log_silence: Duration,
    ) -> SizingView {
        let now = self.now();
        SizingView {
            demand_per_second: self.meter.rate(now),
            typical: self.meter.typical(),
            wanted: self.waiting.iter().map(|call| call.tokens).sum(),
            held,
            obtained: self.obtained,
            ledger: self.headroom,
            holders: u32::try_from(holders).unwrap_or(u32::MAX),
            log_silence,
        }
    }

    /// Age of the open question.
    pub(super) fn log_silence(&self) -> Duration {
        self.asked_since
            .map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Keeps the question open until it has a verdict.
    pub(super) fn ask(&mut self, question: GrantWanted) {
        self.asked = Some(question);
        self.asked_since = Some(Instant::now());
    }

    /// Whether the ledger may be asked now.
    pub(super) fn may_ask(&self) -> bool {
        !self.asking && Instant::now() >= self.next_ask
    }

    /// Whether the peers may be asked now; counts as asking them.
    pub(super) fn may_gather(&mut self) -> bool {
        let now = Instant::now();
        let may = now >= self.next_gather;
        if may {
            self.next_gather = now + GATHER_AGAIN;
        }
        may
    }

    /// No broker answered: the same question is asked again later, since the
    /// ledger may hold its grant.
    pub(super) fn unanswered(&mut self) {
        self.asking = false;
        self.next_ask = Instant::now() + ASK_AGAIN;
    }

    /// The ledger answered the question.
    pub(super) fn answered(&mut self, headroom: LedgerHeadroom, offset: u64, accepted: bool) {
        self.asking = false;
        self.asked = None;
        self.asked_since = None;
        self.headroom = Some(headroom);
        self.offset = offset;
        if !accepted {
            self.next_ask = Instant::now() + ASK_AGAIN;
        }
    }

    /// Whether the ledger covers less than a waiting request needs.
    pub(super) fn is_short(&self) -> bool {
        self.headroom.is_some_and(|headroom| {
            self.waiting
                .iter()
                .any(|call| call.tokens > headroom.remaining)
        })
    }

    /// Refuses the waiting requests that the ledger proves uncovered, once it
    /// holds the `promised` credit of the configuration in force.
    pub(super) fn refuse_exhausted(&mut self, promised: TokenCount) {
        let Some(headroom) = self.headroom else {
            return;
        };
        if headroom.credited < promised {
            return;
        }
        let offset = self.offset;
        self.waiting.retain(|call| {
            let covered = call.tokens <= headroom.remaining;
            if !covered {
                let _gone = call
                    .reply
                    .try_send(Err(ReserveRefusal::Exhausted { offset }));
            }
            covered
        });
        if self.waiting.is_empty() && headroom.remaining.is_zero() {
            // Credits may follow: the next request asks the ledger again.
            self.headroom = None;
        }
    }

    /// Refuses the waiting requests whose wait has ended.
    pub(super) fn refuse_late(&mut self) {
        let now = Instant::now();
        self.waiting.retain(|call| {
            let late = call.deadline <= now;
            if late {
                let _gone = call.reply.try_send(Err(ReserveRefusal::Unconfirmed));
            }
            !late
        });
    }
}

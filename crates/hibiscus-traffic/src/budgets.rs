//! Tokens that this instance holds, and the requests that wait for some.
//!
//! [`BudgetManager`] folds the account stream. What it does with the budgets is in
//! the modules below: reservations in `tokens`, what goes to the store in
//! `review`, what processes leave to each other in `recovery`. The tasks of the
//! traffic thread share it through a [`BudgetHandle`].

mod handle;
mod recovery;
mod review;
mod tokens;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::thread::Thread;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account::AccountFold;
use hibiscus_ledger::account::AccountRecord;
use hibiscus_ledger::account::agreement::ElapsedTime;
use hibiscus_ledger::account::demand::DemandCounter;
use hibiscus_ledger::account::limit::MachineTime;
use hibiscus_ledger::account::policy::DrawMode;
use hibiscus_ledger::account::quota::LocalQuota;
use hibiscus_ledger::account::snapshot::AccountSnapshot;
use hibiscus_types::BudgetName;
use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use hibiscus_types::TokenCount;
use hibiscus_types::codec;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

pub use crate::budgets::handle::BudgetHandle;
pub use crate::budgets::handle::TokenWaiter;
use crate::clock::MachineClock;
use crate::holders;
use crate::model::FleetConfig;
use crate::tally::DrawOutcome;
use crate::tally::WorkTally;

/// Records on their way to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountBatch {
    /// Grows by one a batch.
    pub number: u64,
    /// The records in order.
    pub records: Vec<AccountRecord>,
    /// Snapshots that go to their own topic.
    pub snapshots: Vec<AccountSnapshot>,
}

/// One budget at this holder.
#[derive(Debug, Default)]
struct HeldBudget {
    quota: LocalQuota,
    demand: DemandCounter,
    /// Number of the last draw sent.
    draw_serial: u64,
    /// Tokens that it asked for.
    asked: TokenCount,
    /// Whether that draw has no verdict yet.
    pending: bool,
    /// Number of the last draw whose verdict came: a stream that is read once
    /// more brings verdicts again.
    verdict_serial: u64,
    /// Number of the last report sent.
    report_serial: u64,
    /// When it was made.
    report_made: Duration,
    /// Sums that it told: used and given back.
    reported: (TokenCount, TokenCount),
    /// Tokens that waiting requests need.
    wanted: TokenCount,
    /// When tokens that other holders gave were last used or added.
    given_used: Duration,
    /// Tokens passed on to instances that do not hold the budget, by time: what
    /// their requests leave comes back.
    transferred: VecDeque<(Duration, TokenCount)>,
    /// Wakes the requests that wait.
    changed: Rc<Notify>,
}

impl HeldBudget {
    /// Whether the last report told all that was used and given back.
    fn is_reported(&self) -> bool {
        (self.quota.used(), self.quota.returned()) == self.reported
    }
}

/// A total of the configuration.
#[derive(Clone, Copy, Debug)]
struct BudgetTotal {
    tokens: TokenCount,
    /// Version that brought it.
    version: u64,
    /// When this instance first could have written it, and did last.
    seen: Option<Duration>,
    written: Option<Duration>,
}

impl BudgetTotal {
    fn new(tokens: TokenCount, version: u64) -> Self {
        Self {
            tokens,
            version,
            seen: None,
            written: None,
        }
    }
}

/// Weight of a new measurement of the store's delay.
const DELAY_WEIGHT: f64 = 0.25;

/// Why a request gets no tokens now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenRefusal {
    /// The budget cannot cover the request.
    Spent,
    /// The budget may cover it, but not from here and now.
    Unconfirmed,
    /// It covers it, and will be had here after this many milliseconds if the
    /// store does not answer before.
    Later(u32),
}

impl TokenRefusal {
    /// When there is a chance, if that is known.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Later(millis) => Some(Duration::from_millis(millis.into())),
            Self::Spent | Self::Unconfirmed => None,
        }
    }

    /// The one of two refusals that tells more: an end before a time, and the
    /// sooner of two times.
    pub fn or_sooner(self, other: Self) -> Self {
        match (self, other) {
            (Self::Spent, _) | (_, Self::Spent) => Self::Spent,
            (Self::Later(own), Self::Later(other)) => Self::Later(own.min(other)),
            (Self::Later(_), Self::Unconfirmed) => self,
            (Self::Unconfirmed, _) => other,
        }
    }
}

/// What this instance does for one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetRole {
    /// Instances that draw of the budget.
    pub holders: u32,
    /// Whether this one is among them.
    pub mode: DrawMode,
    /// Whether it writes the budget's snapshots.
    pub writes_snapshots: bool,
}

/// How far the accounts of earlier processes of this machine are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryPhase {
    /// The stream has not been read to its end.
    Reading,
    /// Some accounts are open since the machine's clock proves nothing.
    Unproven,
    /// All were closed.
    Complete,
}

/// The budgets of one instance.
pub struct BudgetManager {
    holder: IncarnationId,
    machine: InstanceName,
    clock: MachineClock,
    fold: AccountFold,
    held: BTreeMap<BudgetName, HeldBudget>,
    /// Budgets that requests wait for.
    waiting: BTreeSet<BudgetName>,
    outbox: SyncSender<AccountBatch>,
    unsent: Vec<AccountRecord>,
    unsent_snapshots: Vec<AccountSnapshot>,
    /// When each budget's snapshot was written, and the offset that it had.
    snapshots: BTreeMap<BudgetName, (Duration, u64)>,
    /// Number of the batch that the unsent records will be.
    batch: u64,
    /// When the oldest batch that is not acknowledged was made.
    unacknowledged: Option<Duration>,
    acknowledged: u64,
    /// Offset after the last record of this holder that the store has.
    appended: u64,
    totals: BTreeMap<BudgetName, BudgetTotal>,
    /// One budget of each group.
    group_samples: Rc<Vec<BudgetName>>,
    /// When the batches that are not acknowledged were sent.
    sent: VecDeque<(u64, Duration)>,
    /// Time that the store takes for an append, of late.
    store_delay: Duration,
    /// The clocks when this process held its ports: those before had ended.
    began: MachineTime,
    recovery: RecoveryPhase,
    /// Time of day that has passed by the machines' records.
    passed: ElapsedTime,
    /// When the last record of the stream came, or it was read to its end.
    heard: Duration,
    /// Whether a planned stop has begun.
    stopping: bool,
    /// Whether the own accounts were closed.
    closed: bool,
    /// The thread that reads the stream, once it runs.
    reader: Option<Thread>,
    /// End of the stream when it was read last.
    stream_end: u64,
    tally: Rc<WorkTally>,
}

impl BudgetManager {
    /// A desk of `holder` on `machine` that appends through `outbox`.
    pub fn new(
        holder: IncarnationId,
        machine: InstanceName,
        clock: MachineClock,
        outbox: SyncSender<AccountBatch>,
    ) -> Self {
        Self {
            holder,
            machine,
            began: clock.now(),
            clock,
            fold: AccountFold::default(),
            held: BTreeMap::new(),
            waiting: BTreeSet::new(),
            outbox,
            unsent: Vec::new(),
            unsent_snapshots: Vec::new(),
            snapshots: BTreeMap::new(),
            batch: 1,
            unacknowledged: None,
            acknowledged: 0,
            appended: 0,
            totals: BTreeMap::new(),
            group_samples: Rc::default(),
            sent: VecDeque::new(),
            store_delay: Duration::ZERO,
            recovery: RecoveryPhase::Reading,
            passed: ElapsedTime::default(),
            heard: Duration::ZERO,
            stopping: false,
            closed: false,
            reader: None,
            stream_end: 0,
            tally: Rc::default(),
        }
    }

    /// This process holds the ports of its instance from now on, so the ones
    /// before have ended.
    pub fn set_start_time(&mut self) {
        self.began = self.clock.now();
    }

    /// This process, the clocks when it held its ports, and the time since.
    pub fn process_start(&self) -> (IncarnationId, MachineTime, Duration) {
        let since = self.clock.now().since_own(self.began);
        (self.holder, self.began, Duration::from_millis(since))
    }

    /// The counts of the work for the fleet.
    pub fn tally(&self) -> &Rc<WorkTally> {
        &self.tally
    }

    /// The stream ended at the offset `end` when it was read last, at `now`.
    pub fn set_stream_end(&mut self, end: u64, now: Duration) {
        self.stream_end = end;
        if self.unread_records() == 0 {
            self.heard = now;
        }
    }

    /// Records of the stream that are not folded yet.
    pub fn unread_records(&self) -> u64 {
        self.stream_end.saturating_sub(self.fold.next_offset())
    }

    /// Accounts over all budgets and holders.
    pub fn account_count(&self) -> usize {
        let budgets = self.fold.budgets().values();
        budgets.map(|account| account.holders.len()).sum()
    }

    /// Names the thread that reads the stream: it pauses between reads, and is
    /// woken when a verdict is to be had.
    pub fn set_reader(&mut self, reader: Thread) {
        self.reader = Some(reader);
    }

    /// Takes the totals of a configuration over.
    pub fn set_totals(&mut self, config: &FleetConfig) {
        for team in &config.teams {
            let Some(prepaid) = team.prepaid else {
                continue;
            };
            let budget = BudgetName::new(team.name.as_str());
            let held = self.totals.get(&budget);
            if held.is_some_and(|held| held.tokens == prepaid) {
                continue;
            }
            let total = BudgetTotal::new(prepaid, config.version);
            self.totals.insert(budget, total);
        }
        let groups = holders::group_count(self.totals.len());
        let mut seen = BTreeSet::new();
        let mut samples: Vec<BudgetName> = self.totals.keys().cloned().collect();
        samples.retain(|budget| seen.insert(holders::group_of(budget, groups)));
        self.group_samples = Rc::new(samples);
    }

    /// One budget of each group that has the same holders.
    pub fn group_samples(&self) -> Rc<Vec<BudgetName>> {
        Rc::clone(&self.group_samples)
    }

    /// Budgets of the configuration.
    pub fn budget_count(&self) -> usize {
        self.totals.len()
    }

    /// Whether something of an own account is not settled in the store.
    pub fn has_unsettled_account(&self) -> bool {
        let mut held = self.held.values();
        !self.has_read_own_records()
            || held.any(|held| {
                held.pending || !held.quota.available().is_zero() || !held.is_reported()
            })
    }

    /// Applies a record of the stream.
    pub fn apply(&mut self, offset: u64, record: &[u8], now: Duration) {
        self.heard = now;
        self.tally.records.add();
        let records: Vec<AccountRecord> = match codec::decode(record) {
            Ok(records) => records,
            Err(error) => {
                event!(
                    EventCode::AccountUnreadable,
                    "offset={offset} cause={error}"
                );
                self.fold.skip(offset);
                return;
            }
        };
        let verdicts = self.fold.apply(offset, &records);
        if let Some(passed) = self.fold.passed() {
            self.passed.observe(passed, self.clock.now());
        }
        for verdict in verdicts {
            if verdict.holder != self.holder {
                continue;
            }
            let held = self.held.entry(verdict.budget.clone()).or_default();
            if verdict.serial <= held.verdict_serial {
                continue;
            }
            held.verdict_serial = verdict.serial;
            held.quota.add(verdict.granted);
            self.tally
                .count_draw(DrawOutcome::of(held.asked, verdict.granted));
            held.pending &= verdict.serial < held.draw_serial;
            held.changed.notify_waiters();
            event!(
                EventCode::TokensDrawn,
                "budget={} serial={} asked={} granted={} offset={offset}",
                verdict.budget,
                verdict.serial,
                held.asked,
                verdict.granted
            );
        }
    }

    /// Measures how long the oldest batch up to `number` took.
    fn note_delay(&mut self, number: u64, now: Duration) {
        let mut oldest = None;
        while let Some((batch, at)) = self.sent.front().copied() {
            if batch > number {
                break;
            }
            oldest.get_or_insert(at);
            self.sent.pop_front();
        }
        if let Some(at) = oldest {
            let taken = now.saturating_sub(at);
            let kept = self.store_delay.mul_f64(1.0 - DELAY_WEIGHT);
            self.store_delay = kept + taken.mul_f64(DELAY_WEIGHT);
        }
    }

    /// The store has all batches up to `number`, the last of which ends before
    /// the offset `end` of the stream.
    pub fn acknowledge(&mut self, number: u64, end: Option<u64>, now: Duration) {
        self.acknowledged = number;
        self.note_delay(number, now);
        self.appended = end.unwrap_or(self.appended);
        self.unacknowledged = (number + 1 < self.batch).then_some(now);
        let mut pending = false;
        for held in self.held.values_mut() {
            held.quota.acknowledge(number);
            held.changed.notify_waiters();
            pending |= held.pending;
        }
        if let Some(reader) = self.reader.as_ref().filter(|_reader| pending) {
            reader.unpark();
        }
    }
}

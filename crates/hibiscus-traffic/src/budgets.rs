//! Token budgets of this instance, and the requests that wait for tokens.
//!
//! [`BudgetManager`] applies the records of the account stream. Its modules add
//! the rest: `tokens` reserves and transfers tokens, `review` decides what is
//! written to the store, `recovery` closes the accounts of earlier processes and writes
//! snapshots for later ones, and `history` handles budgets whose snapshots are outdated. The tasks of the traffic
//! thread share the manager through a [`BudgetHandle`].

mod ahead;
mod completeness;
mod handle;
mod history;
mod recovery;
mod restore;
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
use hibiscus_ledger::account::agreement::TimeLowerBound;
use hibiscus_ledger::account::demand::DemandCounter;
use hibiscus_ledger::account::limit::MachineTime;
use hibiscus_ledger::account::policy::DrawMode;
use hibiscus_ledger::account::quota::LocalQuota;
use hibiscus_ledger::account::snapshot;
use hibiscus_ledger::account::snapshot::AccountSnapshot;
use hibiscus_types::BudgetName;
use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use hibiscus_types::StoreEra;
use hibiscus_types::TokenCount;
use hibiscus_types::codec;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

pub use crate::budgets::completeness::COMPLETE_ERA_KEY;
pub use crate::budgets::completeness::COMPLETE_ERA_TOPIC;
use crate::budgets::completeness::StreamCompleteness;
pub use crate::budgets::handle::BudgetHandle;
pub use crate::budgets::handle::TokenWaiter;
use crate::budgets::history::HistoryState;
use crate::budgets::restore::AccountRestore;
use crate::budgets::restore::RecentRecords;
pub use crate::budgets::restore::StreamPosition;
use crate::clock::MachineClock;
use crate::holders;
use crate::model::FleetConfig;
use crate::tally::DrawOutcome;
use crate::tally::WorkTally;

/// Account records and snapshots to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountBatch {
    /// Increases by one with each batch.
    pub number: u64,
    /// Era of the store in which the fold was read that the records follow from. Records
    /// that close accounts, and snapshots, must not reach the store in another one.
    pub era: StoreEra,
    /// Encoded records that the stream has lost, to be appended first.
    pub encoded: Vec<Vec<u8>>,
    /// Account records, in order.
    pub records: Vec<AccountRecord>,
    /// Snapshots, which go to their own topic.
    pub snapshots: Vec<AccountSnapshot>,
    /// Era of the store in which the stream holds all draws again, to be recorded last.
    pub complete_era: Option<StoreEra>,
}

/// State of one budget at this instance.
#[derive(Debug, Default)]
struct HeldBudget {
    quota: LocalQuota,
    demand: DemandCounter,
    /// Serial number of the last draw.
    draw_serial: u64,
    /// Tokens that the last draw requested.
    requested: TokenCount,
    /// Whether the last draw has no result yet.
    pending: bool,
    /// Serial number of the last draw whose result was applied. When the stream
    /// is read again, it repeats results.
    decided_serial: u64,
    /// Serial number up to which the tokens of undecided draws must not be used.
    void_serial: u64,
    /// Serial number of the last report.
    report_serial: u64,
    /// When the last report was made.
    reported_at: Duration,
    /// Used and returned tokens according to the last report.
    reported_sums: (TokenCount, TokenCount),
    /// Tokens that waiting requests need.
    wanted: TokenCount,
    /// When received tokens were last added or used.
    received_used_at: Duration,
    /// When tokens may next be requested ahead.
    ahead_at: Duration,
    /// Tokens transferred to instances that do not hold the budget, with the
    /// time of the transfer. What their requests leave unused comes back.
    transferred: VecDeque<(Duration, TokenCount)>,
    /// Wakes the waiting requests.
    changed: Rc<Notify>,
}

impl HeldBudget {
    /// Whether the last report covers all used and returned tokens.
    fn is_reported(&self) -> bool {
        (self.quota.used(), self.quota.returned()) == self.reported_sums
    }
}

/// Total of a budget in the configuration.
#[derive(Clone, Copy, Debug)]
struct BudgetTotal {
    tokens: TokenCount,
    /// Version of the configuration that set it.
    version: u64,
    /// When this instance could first have written the total.
    seen: Option<Duration>,
    /// When this instance last wrote the total.
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

/// Time for which the store keeps records, unless the settings say otherwise.
const DEFAULT_HISTORY: Duration = Duration::from_secs(300);
/// Weight of a new sample in the moving average of the store's delay.
const DELAY_WEIGHT: f64 = 0.25;

/// Why a request gets no tokens now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenRefusal {
    /// The budget cannot cover the request.
    Spent,
    /// The budget may cover the request, but this instance cannot confirm it
    /// now.
    Unconfirmed,
    /// The budget covers the request. This instance can reserve the tokens
    /// after this many milliseconds, or earlier if the store responds.
    Later(u32),
}

impl TokenRefusal {
    /// A refusal of tokens that can be reserved after `wait`.
    pub fn later(wait: Duration) -> Self {
        Self::Later(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX))
    }

    /// Time until the tokens can be reserved, if it is known.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Later(millis) => Some(Duration::from_millis(millis.into())),
            Self::Spent | Self::Unconfirmed => None,
        }
    }

    /// The more definite of two refusals: `Spent` before a time, and the
    /// earlier of two times.
    pub fn or_sooner(self, other: Self) -> Self {
        match (self, other) {
            (Self::Spent, _) | (_, Self::Spent) => Self::Spent,
            (Self::Later(own), Self::Later(other)) => Self::Later(own.min(other)),
            (Self::Later(_), Self::Unconfirmed) => self,
            (Self::Unconfirmed, _) => other,
        }
    }
}

/// Role of this instance for one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetRole {
    /// Number of instances that hold the budget.
    pub holders: u32,
    /// When this instance draws tokens of the budget.
    pub mode: DrawMode,
    /// Whether this instance is the first holder, which writes the budget's
    /// snapshots.
    pub is_first_holder: bool,
}

/// Progress in closing the accounts of this machine's earlier processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryPhase {
    /// The stream has not been read to its end.
    Reading,
    /// Some accounts are open, because the machine's clock proves nothing.
    Unproven,
    /// All accounts are closed.
    Complete,
}

/// Whether the return of all tokens must be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RepeatedReturn {
    /// The records were queued.
    NotNeeded,
    /// The store came back from a copy, which may lack the records.
    Needed,
}

/// Manages the budgets of one instance.
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
    unsent_encoded: Vec<Vec<u8>>,
    unsent_snapshots: Vec<AccountSnapshot>,
    unsent_era: Option<StoreEra>,
    /// When each budget's last snapshot was written, and its offset.
    snapshots: BTreeMap<BudgetName, (Duration, u64)>,
    /// Time between two snapshots of a budget.
    snapshot_interval: Duration,
    /// What is known of the history of the budgets.
    history: HistoryState,
    /// Number of the next batch.
    batch: u64,
    /// Since when the oldest unacknowledged batch has been pending. Restarts at
    /// each acknowledgement.
    unacknowledged_since: Option<Duration>,
    acknowledged: u64,
    /// Position after the last record that the store has from this holder.
    appended: StreamPosition,
    /// Era of the store in which the fold was read.
    era: StoreEra,
    /// Records that the store may lose if it comes back from a copy.
    recent: RecentRecords,
    /// The restore of the accounts, while one is in progress.
    restore: Option<AccountRestore>,
    /// Records that close accounts and that the stream lacked after a restore, to be
    /// appended when draws resume.
    late_closes: Vec<Vec<u8>>,
    /// Time until which no new tokens are drawn.
    draws_resume_at: Duration,
    /// Whether the time until draws resume has not passed.
    is_draw_pause: bool,
    /// What is known of the completeness of the stream.
    completeness: StreamCompleteness,
    totals: BTreeMap<BudgetName, BudgetTotal>,
    /// One budget of each group.
    group_samples: Rc<Vec<BudgetName>>,
    /// Numbers of the unacknowledged batches, and when they were sent.
    sent: VecDeque<(u64, Duration)>,
    /// Moving average of the time that the store takes for an append.
    store_delay: Duration,
    /// The machine's clocks when this process got the instance's ports. All
    /// earlier processes had ended by then.
    ports_held_at: MachineTime,
    recovery: RecoveryPhase,
    /// A time of day that has passed according to the account records.
    time_lower_bound: TimeLowerBound,
    /// When the last record was read, or the stream was last read to its end.
    stream_read_at: Duration,
    /// Whether a graceful shutdown has begun.
    shutting_down: bool,
    /// Whether this instance's own accounts are closed.
    closed: bool,
    /// Whether the return of all tokens at the end of a shutdown has begun, and whether it
    /// has to be repeated.
    returning: Option<RepeatedReturn>,
    /// The thread that reads the stream, if it runs.
    reader: Option<Thread>,
    /// End of the stream at the last read.
    stream_end: u64,
    /// Offset of the oldest record at the last read.
    stream_first: u64,
    tally: Rc<WorkTally>,
}

impl BudgetManager {
    /// Creates a manager for the process `holder` on `machine`, whose batches
    /// go to `outbox`.
    pub fn new(
        holder: IncarnationId,
        machine: InstanceName,
        clock: MachineClock,
        outbox: SyncSender<AccountBatch>,
    ) -> Self {
        Self {
            holder,
            machine,
            ports_held_at: clock.now(),
            clock,
            fold: AccountFold::default(),
            held: BTreeMap::new(),
            waiting: BTreeSet::new(),
            outbox,
            unsent: Vec::new(),
            unsent_encoded: Vec::new(),
            unsent_snapshots: Vec::new(),
            unsent_era: None,
            snapshots: BTreeMap::new(),
            snapshot_interval: snapshot::interval_for(DEFAULT_HISTORY),
            history: HistoryState::default(),
            batch: 1,
            unacknowledged_since: None,
            acknowledged: 0,
            appended: StreamPosition::default(),
            era: StoreEra::default(),
            recent: RecentRecords::default(),
            restore: None,
            late_closes: Vec::new(),
            draws_resume_at: Duration::ZERO,
            is_draw_pause: false,
            completeness: StreamCompleteness::default(),
            totals: BTreeMap::new(),
            group_samples: Rc::default(),
            sent: VecDeque::new(),
            store_delay: Duration::ZERO,
            recovery: RecoveryPhase::Reading,
            time_lower_bound: TimeLowerBound::default(),
            stream_read_at: Duration::ZERO,
            shutting_down: false,
            closed: false,
            returning: None,
            reader: None,
            stream_end: 0,
            stream_first: 0,
            tally: Rc::default(),
        }
    }

    /// Records that this process now has the instance's ports, so that all
    /// earlier processes have ended.
    pub fn set_start_time(&mut self) {
        self.ports_held_at = self.clock.now();
    }

    /// The incarnation of this process, the machine's clocks when it got the
    /// instance's ports, and the time since then.
    pub fn process_start(&self) -> (IncarnationId, MachineTime, Duration) {
        let since = self.clock.now().since_same_process(self.ports_held_at);
        (
            self.holder,
            self.ports_held_at,
            Duration::from_millis(since),
        )
    }

    /// Counters of the work that this process does for the fleet.
    pub fn tally(&self) -> &Rc<WorkTally> {
        &self.tally
    }

    /// Sets the time for which the store keeps records.
    pub fn set_history(&mut self, history: Duration) {
        self.snapshot_interval = snapshot::interval_for(history);
    }

    /// Records that the oldest record of the stream is at the offset `first`.
    pub fn set_stream_first(&mut self, first: u64) {
        self.stream_first = first;
    }

    /// Records that the stream ended at `end` when it was read at `now`.
    pub fn set_stream_end(&mut self, end: StreamPosition, now: Duration) {
        self.era = end.era;
        self.stream_end = end.offset;
        if self.unread_records() == 0 {
            self.stream_read_at = now;
        }
    }

    /// Number of records of the stream that are not applied yet.
    pub fn unread_records(&self) -> u64 {
        self.stream_end.saturating_sub(self.fold.next_offset())
    }

    /// Number of accounts over all budgets and holders.
    pub fn account_count(&self) -> usize {
        let budgets = self.fold.budgets().values();
        budgets.map(|account| account.holders.len()).sum()
    }

    /// Sets the thread that reads the stream. The thread pauses between two
    /// reads and is woken when the result of a draw can be read.
    pub fn set_reader(&mut self, reader: Thread) {
        self.reader = Some(reader);
    }

    /// Sets the totals of the budgets from a configuration.
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
        self.count_unproven();
    }

    /// One budget of each group; all budgets of a group have the same holders.
    pub fn group_samples(&self) -> Rc<Vec<BudgetName>> {
        Rc::clone(&self.group_samples)
    }

    /// Number of budgets in the configuration.
    pub fn budget_count(&self) -> usize {
        self.totals.len()
    }

    /// Whether this instance's own accounts have tokens or changes that are not
    /// settled in the store.
    pub fn has_unsettled_account(&self) -> bool {
        let mut held = self.held.values();
        !self.has_read_own_records()
            || held.any(|held| {
                held.pending || !held.quota.available().is_zero() || !held.is_reported()
            })
    }

    /// Applies a record of the stream.
    pub fn apply(&mut self, offset: u64, record: &[u8], now: Duration) {
        self.stream_read_at = now;
        self.tally.records.add();
        self.recent.push(record, now);
        if let Some(restore) = &mut self.restore {
            restore.note_found(record);
        }
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
        let results = self.fold.apply(offset, &records);
        if let Some(time_lower_bound) = self.fold.time_lower_bound() {
            self.time_lower_bound
                .observe(time_lower_bound, self.clock.now());
        }
        for result in results {
            if result.holder != self.holder {
                continue;
            }
            let held = self.held.entry(result.budget.clone()).or_default();
            let account = self.fold.budget(&result.budget);
            let own = account.and_then(|account| account.holders.get(&self.holder));
            let added = held
                .quota
                .raise_drawn(own.map_or(TokenCount::ZERO, |own| own.drawn));
            if result.serial <= held.decided_serial {
                // A draw of before the copy that stands behind a later one.
                held.quota.return_tokens(added);
                continue;
            }
            held.decided_serial = result.serial;
            let usable = if result.serial > held.void_serial {
                result.granted
            } else {
                TokenCount::ZERO
            };
            held.quota.return_tokens(added.saturating_sub(usable));
            self.tally
                .count_draw(DrawOutcome::of(held.requested, result.granted));
            held.pending &= result.serial < held.draw_serial;
            held.changed.notify_waiters();
            event!(
                EventCode::TokensDrawn,
                "budget={} serial={} asked={} granted={} offset={offset}",
                result.budget,
                result.serial,
                held.requested,
                result.granted
            );
        }
    }

    /// Updates the store's delay with the oldest batch up to `number`.
    fn measure_store_delay(&mut self, number: u64, now: Duration) {
        let mut oldest = None;
        while let Some((batch, at)) = self.sent.front().copied() {
            if batch > number {
                break;
            }
            oldest.get_or_insert(at);
            self.sent.pop_front();
        }
        if let Some(at) = oldest {
            let delay = now.saturating_sub(at);
            let kept = self.store_delay.mul_f64(1.0 - DELAY_WEIGHT);
            self.store_delay = kept + delay.mul_f64(DELAY_WEIGHT);
        }
    }

    /// Records that the store has all batches up to `number`, and that the last
    /// of them ends before the position `end` of the stream.
    pub fn acknowledge(&mut self, number: u64, end: Option<StreamPosition>, now: Duration) {
        self.acknowledged = number;
        self.measure_store_delay(number, now);
        self.appended = end.unwrap_or_default().max(self.appended);
        self.unacknowledged_since = (number + 1 < self.batch).then_some(now);
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

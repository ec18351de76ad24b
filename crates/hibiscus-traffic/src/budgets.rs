//! Tokens that this instance holds, and the requests that wait for some.

mod handle;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::thread::Thread;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account::AccountFold;
use hibiscus_ledger::account::AccountRecord;
use hibiscus_ledger::account::BudgetAccount;
use hibiscus_ledger::account::HolderAccount;
use hibiscus_ledger::account::HolderReport;
use hibiscus_ledger::account::agreement::PassedTime;
use hibiscus_ledger::account::demand::DemandCounter;
use hibiscus_ledger::account::pace::SpendPace;
use hibiscus_ledger::account::policy;
use hibiscus_ledger::account::policy::DrawDecision;
use hibiscus_ledger::account::policy::DrawView;
use hibiscus_ledger::account::purse::BudgetPurse;
use hibiscus_ledger::account::purse::HoldFault;
use hibiscus_ledger::account::purse::TokenHold;
use hibiscus_ledger::account::snapshot::AccountSnapshot;
use hibiscus_ledger::account::snapshot::SNAPSHOT_INTERVAL;
use hibiscus_types::BudgetName;
use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use hibiscus_types::TokenCount;
use hibiscus_types::codec;
use tokio::sync::Notify;

pub use crate::budgets::handle::BudgetHandle;
pub use crate::budgets::handle::TokenWant;
use crate::clock::MachineClock;
use crate::model::FleetConfig;

/// Time between two reports of what was spent: a crash loses what a line
/// allows over this time and the restart.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// Age from which on the line of a holder that spends nothing is made anew: a
/// crash loses what the line has come to allow, though nothing was spent.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);
/// Age of an unacknowledged batch from which on the store counts as away, so
/// that nothing waits for it: it usually acknowledges within 10 ms.
const STORE_PATIENCE: Duration = Duration::from_millis(600);

/// Time without a record of the stream after which what is known of a budget
/// is too old to say that it is spent: every instance reports each second.
const PROOF_AGE: Duration = Duration::from_millis(1_500);

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
    purse: BudgetPurse,
    demand: DemandCounter,
    /// Number of the last draw sent.
    draw_serial: u64,
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
    /// Wakes the requests that wait.
    changed: Rc<Notify>,
}

/// Why a request gets no tokens now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenRefusal {
    /// The budget cannot cover the request.
    Spent,
    /// The budget may cover it, but not from here and now.
    Unconfirmed,
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
pub struct BudgetDesk {
    holder: IncarnationId,
    machine: InstanceName,
    clock: MachineClock,
    fold: AccountFold,
    held: BTreeMap<BudgetName, HeldBudget>,
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
    totals: BTreeMap<BudgetName, TokenCount>,
    recovery: RecoveryPhase,
    /// Time of day that has passed by the machines' records.
    passed: PassedTime,
    /// When the last record of the stream came.
    heard: Duration,
    /// Whether a planned stop has begun.
    stopping: bool,
    /// The thread that reads the stream, once it runs.
    reader: Option<Thread>,
}

impl BudgetDesk {
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
            clock,
            fold: AccountFold::default(),
            held: BTreeMap::new(),
            outbox,
            unsent: Vec::new(),
            unsent_snapshots: Vec::new(),
            snapshots: BTreeMap::new(),
            batch: 1,
            unacknowledged: None,
            acknowledged: 0,
            appended: 0,
            totals: BTreeMap::new(),
            recovery: RecoveryPhase::Reading,
            passed: PassedTime::default(),
            heard: Duration::ZERO,
            stopping: false,
            reader: None,
        }
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
            let held = self.totals.insert(budget.clone(), prepaid);
            if held == Some(prepaid) {
                continue;
            }
            let known = self.fold.budget(&budget);
            if known.is_some_and(|known| known.version >= config.version) {
                continue;
            }
            self.unsent.push(AccountRecord::Prepaid {
                budget,
                version: config.version,
                tokens: prepaid,
            });
        }
    }

    /// Applies a record of the stream.
    pub fn apply(&mut self, offset: u64, record: &[u8], now: Duration) {
        self.heard = now;
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
            held.purse.add(verdict.granted);
            held.pending &= verdict.serial < held.draw_serial;
            held.changed.notify_waiters();
            event!(
                EventCode::TokensDrawn,
                "budget={} serial={} granted={} offset={offset}",
                verdict.budget,
                verdict.serial,
                verdict.granted
            );
        }
    }

    /// Begins anew with snapshots, since the records before `first` are gone.
    pub fn resume(&mut self, first: u64, snapshots: Vec<AccountSnapshot>) {
        let (fold, stale) = AccountFold::resume(first, snapshots);
        self.fold = fold;
        for budget in stale {
            event!(EventCode::SnapshotStale, "budget={budget} first={first}");
        }
    }

    /// The store has all batches up to `number`, the last of which ends before
    /// the offset `end` of the stream.
    pub fn acknowledge(&mut self, number: u64, end: Option<u64>, now: Duration) {
        self.acknowledged = number;
        self.appended = end.unwrap_or(self.appended);
        self.unacknowledged = (number + 1 < self.batch).then_some(now);
        let mut pending = false;
        for held in self.held.values_mut() {
            held.purse.acknowledge(number);
            held.changed.notify_waiters();
            pending |= held.pending;
        }
        if let Some(reader) = self.reader.as_ref().filter(|_reader| pending) {
            reader.unpark();
        }
    }

    /// How far the accounts of earlier processes are closed.
    pub fn recovery(&self) -> RecoveryPhase {
        self.recovery
    }

    /// All records of the stream were applied: closes what earlier processes
    /// of this machine left, as far as its clock proves what they spent. They
    /// are known to have ended since their ports are held by this one.
    pub fn recover(&mut self) {
        if self.recovery != RecoveryPhase::Reading {
            return;
        }
        let now = self.clock.now();
        let open = self.close_ended("clock", |held| held.spent_by_clock(now));
        self.recovery = if open == 0 {
            RecoveryPhase::Complete
        } else {
            RecoveryPhase::Unproven
        };
    }

    /// Closes what [`Self::recover`] left open. The processes before had ended
    /// at the time of day `ended`, in milliseconds since the Unix epoch, if
    /// several machines agree on one.
    pub fn close_unproven(&mut self, ended: Option<u64>) {
        if std::mem::replace(&mut self.recovery, RecoveryPhase::Complete) != RecoveryPhase::Unproven
        {
            return;
        }
        self.close_ended("agreement", |held| Some(held.spent_by_agreement(ended)));
    }

    /// Closes the accounts of earlier processes of this machine with what
    /// `spent` says; returns how many it says nothing of.
    fn close_ended(
        &mut self,
        proof: &str,
        spent: impl Fn(&HolderAccount) -> Option<TokenCount>,
    ) -> usize {
        let mut open = 0;
        for (budget, account) in self.fold.budgets() {
            for (holder, held) in &account.holders {
                if held.machine != self.machine || *holder == self.holder {
                    continue;
                }
                let Some(spent) = spent(held) else {
                    open += 1;
                    continue;
                };
                event!(
                    EventCode::AccountClosed,
                    "budget={budget} holder={holder} counted={} spent={spent} reported={} proof={proof}",
                    held.counted(),
                    held.spent
                );
                self.unsent.push(AccountRecord::Close {
                    budget: budget.clone(),
                    holder: *holder,
                    spent,
                });
            }
        }
        open
    }

    /// Sets `tokens` of `budget` aside.
    ///
    /// # Errors
    ///
    /// Fails when they were not drawn, or when no line allows them.
    pub fn reserve(
        &mut self,
        budget: &BudgetName,
        tokens: TokenCount,
    ) -> std::result::Result<TokenHold, HoldFault> {
        let held = self.held.entry(budget.clone()).or_default();
        held.purse.reserve(tokens, self.clock.now())
    }

    /// Counts a request that needs `tokens`.
    pub fn count_demand(&mut self, budget: &BudgetName, tokens: TokenCount, now: Duration) {
        let held = self.held.entry(budget.clone()).or_default();
        held.demand.reserve(tokens, now);
    }

    /// Ends a reservation of which `charge` was used.
    pub fn settle(&mut self, budget: &BudgetName, hold: TokenHold, charge: TokenCount) {
        let held = self.held.entry(budget.clone()).or_default();
        held.purse.settle(hold, charge);
        held.demand.settle(hold.tokens, charge);
        held.changed.notify_waiters();
    }

    /// Why `tokens` of `budget` cannot be had at `now`, or `None` while a
    /// draw or a report on its way may still bring them.
    pub fn refusal(
        &self,
        budget: &BudgetName,
        tokens: TokenCount,
        now: Duration,
    ) -> Option<TokenRefusal> {
        let waiting = self.unacknowledged.map(|since| now.saturating_sub(since));
        if waiting.is_some_and(|waiting| waiting > STORE_PATIENCE) {
            return Some(TokenRefusal::Unconfirmed);
        }
        let held = self.held.get(budget);
        if held.is_some_and(|held| held.pending) {
            return None;
        }
        let account = self.fold.budget(budget)?;
        let here = held.map_or(TokenCount::ZERO, |held| held.purse.available());
        let reachable = here + account.free();
        if tokens <= reachable {
            return None;
        }
        let elsewhere = self.unreported_elsewhere(account);
        let reserved = held.map_or(TokenCount::ZERO, |held| held.purse.reserved());
        let is_fresh = now.saturating_sub(self.heard) <= PROOF_AGE;
        if is_fresh && tokens > reachable + elsewhere + reserved {
            Some(TokenRefusal::Spent)
        } else {
            Some(TokenRefusal::Unconfirmed)
        }
    }

    /// Gives up to `tokens` of `budget` to another instance, half of what is
    /// held here at the most.
    pub fn give(&mut self, budget: &BudgetName, tokens: TokenCount) -> TokenCount {
        let now = self.clock.now();
        let Some(held) = self.held.get_mut(budget) else {
            return TokenCount::ZERO;
        };
        let half = TokenCount::new(held.purse.available().get() / 2);
        held.purse.give(tokens.min(half), now)
    }

    /// Takes tokens over that another instance gave.
    pub fn add_given(&mut self, budget: &BudgetName, tokens: TokenCount) {
        let held = self.held.entry(budget.clone()).or_default();
        held.purse.add_given(tokens);
        held.changed.notify_waiters();
    }

    /// Logs why `tokens` of `budget` could not be had for the request `id`.
    pub fn log_shortage(&self, id: &str, budget: &BudgetName, tokens: TokenCount, now: Duration) {
        let account = self.fold.budget(budget);
        let free = account.map(BudgetAccount::free).unwrap_or_default();
        let prepaid = account.map(|account| account.prepaid).unwrap_or_default();
        let waiting = self.unacknowledged.map(|since| now.saturating_sub(since));
        let Some(held) = self.held.get(budget) else {
            return;
        };
        event!(
            EventCode::TokensShort,
            "request={id} budget={budget} tokens={tokens} available={} used={} allowed={:?} reserved={} free={free} prepaid={prepaid} unacknowledged_ms={:?}",
            held.purse.available(),
            held.purse.used(),
            held.purse.allowed(self.clock.now()).map(TokenCount::get),
            held.purse.reserved(),
            waiting.map(|waiting| waiting.as_millis())
        );
    }

    /// Tokens over all budgets: free to spend here, reserved by requests, and
    /// spent since the start.
    pub fn token_sums(&self) -> (u64, u64, u64) {
        let mut sums = (0, 0, 0);
        for held in self.held.values() {
            sums.0 += held.purse.available().get();
            sums.1 += held.purse.reserved().get();
            sums.2 += held.purse.spent().get();
        }
        sums
    }

    /// Tokens that may still be granted, over all budgets.
    pub fn free_tokens(&self) -> u64 {
        let budgets = self.fold.budgets().values();
        budgets.map(|account| account.free().get()).sum()
    }

    /// Says that a request waits for `tokens`; the returned signal tells of
    /// changes.
    fn want(&mut self, budget: &BudgetName, tokens: TokenCount) -> Rc<Notify> {
        let held = self.held.entry(budget.clone()).or_default();
        held.wanted = held.wanted + tokens;
        Rc::clone(&held.changed)
    }

    /// Ends [`Self::want`].
    fn unwant(&mut self, budget: &BudgetName, tokens: TokenCount) {
        let held = self.held.entry(budget.clone()).or_default();
        held.wanted = held.wanted.saturating_sub(tokens);
    }

    /// Decides on draws, returns and reports, with `holders` live instances,
    /// and hands the records to the thread that appends. `is_keeper` tells
    /// whether this instance writes the snapshots of a budget.
    pub fn review(&mut self, holders: u32, is_keeper: impl Fn(&BudgetName) -> bool, now: Duration) {
        let names: Vec<BudgetName> = self.totals.keys().cloned().collect();
        for budget in names {
            self.review_one(&budget, holders, now);
            if self.is_snapshot_due(&budget, now) && is_keeper(&budget) {
                self.write_snapshot(&budget, now);
            }
        }
        self.send(now);
    }

    /// Whether the snapshot of `budget` is as old as it may be, and not the
    /// present one.
    fn is_snapshot_due(&self, budget: &BudgetName, now: Duration) -> bool {
        if self.recovery == RecoveryPhase::Reading {
            return false;
        }
        let written = self.snapshots.get(budget);
        written.is_none_or(|(at, next)| {
            now.saturating_sub(*at) >= SNAPSHOT_INTERVAL && *next < self.fold.next_offset()
        })
    }

    fn write_snapshot(&mut self, budget: &BudgetName, now: Duration) {
        let Some(snapshot) = self.fold.snapshot(budget) else {
            return;
        };
        self.snapshots.insert(budget.clone(), (now, snapshot.next));
        self.unsent_snapshots.push(snapshot);
    }

    /// A planned stop has begun.
    pub fn begin_stop(&mut self) {
        self.stopping = true;
    }

    /// Whether the store has all that was sent.
    pub fn is_acknowledged(&self) -> bool {
        let is_empty = self.unsent.is_empty() && self.unsent_snapshots.is_empty();
        is_empty && self.acknowledged + 1 >= self.batch
    }

    /// Whether all that the store has of this holder was read back.
    pub fn is_read_back(&self) -> bool {
        self.fold.next_offset() >= self.appended
    }

    /// Writes the snapshots of all budgets, at the end of a planned stop: the
    /// fleet may stay away for longer than records are kept.
    pub fn write_snapshots(&mut self, now: Duration) {
        let names: Vec<BudgetName> = self.totals.keys().cloned().collect();
        for budget in names {
            self.write_snapshot(&budget, now);
        }
        self.send(now);
    }

    /// Gives back all that no request has reserved, at the end of a planned
    /// stop.
    pub fn give_all_back(&mut self, now: Duration) {
        let names: Vec<BudgetName> = self.held.keys().cloned().collect();
        for budget in names {
            if let Some(held) = self.held.get_mut(&budget) {
                let available = held.purse.available();
                held.purse.give_back(available);
            }
            self.report(&budget, &DrawDecision::default(), now);
        }
        self.send(now);
    }

    fn review_one(&mut self, budget: &BudgetName, holders: u32, now: Duration) {
        let held = self.held.entry(budget.clone()).or_default();
        let account = self.fold.budget(budget);
        let total = self.totals.get(budget).copied();
        let prepaid = account.map(|account| account.prepaid).or(total);
        let view = DrawView {
            demand_per_second: held.demand.rate(now),
            typical: held.demand.typical(),
            wanted: held.wanted,
            available: held.purse.available(),
            free: account
                .map(BudgetAccount::free)
                .or(total)
                .unwrap_or_default(),
            prepaid: prepaid.unwrap_or_default(),
            held: account.map(BudgetAccount::held).unwrap_or_default(),
            others_per_second: account
                .map_or(0.0, |account| account.demand_of_others(self.holder) as f64),
            holders,
            stopping: self.stopping,
        };
        let decision = policy::decide(&view);
        if !held.pending && !decision.draw.is_zero() {
            held.draw_serial += 1;
            held.pending = true;
            self.unsent.push(AccountRecord::Draw {
                budget: budget.clone(),
                holder: self.holder,
                machine: self.machine.clone(),
                serial: held.draw_serial,
                tokens: decision.draw,
            });
        }
        if held.purse.has_unacknowledged() {
            return;
        }
        let returns = !decision.give_back.is_zero();
        if returns {
            held.purse.give_back(decision.give_back);
        }
        let sums = (held.purse.used(), held.purse.returned());
        let due = sums != held.reported && now.saturating_sub(held.report_made) >= REPORT_INTERVAL;
        let first = held.report_serial == 0 && held.draw_serial > 0;
        let age = now.saturating_sub(held.report_made);
        let idle = age >= IDLE_INTERVAL && !held.purse.available().is_zero();
        if first || idle || returns || due || !held.wanted.is_zero() {
            self.report(budget, &decision, now);
        }
    }

    /// Queues a report with the line that `decision` allows.
    fn report(&mut self, budget: &BudgetName, decision: &DrawDecision, now: Duration) {
        let Some(held) = self.held.get_mut(budget) else {
            return;
        };
        let pace = SpendPace {
            base: held.purse.used() + held.wanted,
            burst: decision.burst,
            per_second: decision.per_second,
            made: self.clock.now(),
        };
        held.purse.send_pace(self.batch, pace);
        held.report_serial += 1;
        held.report_made = now;
        held.reported = (held.purse.used(), held.purse.returned());
        self.unsent.push(AccountRecord::Report(HolderReport {
            budget: budget.clone(),
            holder: self.holder,
            serial: held.report_serial,
            spent: held.purse.spent(),
            returned: held.purse.returned(),
            pace,
            made_after: self.passed.at(pace.made),
            demand: held.demand.rate(now) as u64,
        }));
    }

    fn send(&mut self, now: Duration) {
        if self.unsent.is_empty() && self.unsent_snapshots.is_empty() {
            return;
        }
        let batch = AccountBatch {
            number: self.batch,
            records: std::mem::take(&mut self.unsent),
            snapshots: std::mem::take(&mut self.unsent_snapshots),
        };
        match self.outbox.try_send(batch) {
            Ok(()) => {
                self.batch += 1;
                self.unacknowledged.get_or_insert(now);
            }
            Err(TrySendError::Full(batch) | TrySendError::Disconnected(batch)) => {
                self.unsent = batch.records;
                self.unsent_snapshots = batch.snapshots;
            }
        }
    }

    /// Tokens that other holders have not reported as spent.
    fn unreported_elsewhere(&self, account: &BudgetAccount) -> TokenCount {
        let others = account.holders.iter();
        let others = others.filter(|(holder, _held)| **holder != self.holder);
        others.map(|(_holder, held)| held.unreported()).sum()
    }
}

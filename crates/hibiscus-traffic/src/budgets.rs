//! Tokens that this instance holds, and the requests that wait for some.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;
use std::time::Instant;

use hibiscus_ledger::account::AccountFold;
use hibiscus_ledger::account::AccountRecord;
use hibiscus_ledger::account::BudgetAccount;
use hibiscus_ledger::account::policy;
use hibiscus_ledger::account::policy::DrawView;
use hibiscus_ledger::account::purse::BudgetPurse;
use hibiscus_ledger::account::purse::TokenHold;
use hibiscus_ledger::sizing::DemandMeter;
use hibiscus_types::BudgetName;
use hibiscus_types::IncarnationId;
use hibiscus_types::TokenCount;
use hibiscus_types::codec;
use tokio::sync::Notify;

use crate::model::FleetConfig;

/// Time between two reports of what was spent.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// One budget at this holder.
#[derive(Debug, Default)]
struct HeldBudget {
    purse: BudgetPurse,
    meter: DemandMeter,
    /// Number of the last draw sent.
    serial: u64,
    /// Whether that draw has no verdict yet.
    pending: bool,
    /// Tokens that waiting requests need.
    wanted: TokenCount,
    /// Sums as last reported.
    reported: (TokenCount, TokenCount),
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

/// The budgets of one instance.
pub struct BudgetDesk {
    holder: IncarnationId,
    fold: AccountFold,
    held: BTreeMap<BudgetName, HeldBudget>,
    outbox: SyncSender<Vec<AccountRecord>>,
    /// Records that found the outbox full.
    unsent: Vec<AccountRecord>,
    reported: Duration,
    totals: BTreeMap<BudgetName, (u64, TokenCount)>,
}

impl BudgetDesk {
    /// A desk of `holder` that appends through `outbox`.
    pub fn new(holder: IncarnationId, outbox: SyncSender<Vec<AccountRecord>>) -> Self {
        Self {
            holder,
            fold: AccountFold::default(),
            held: BTreeMap::new(),
            outbox,
            unsent: Vec::new(),
            reported: Duration::ZERO,
            totals: BTreeMap::new(),
        }
    }

    /// Takes the totals of a configuration over.
    pub fn set_totals(&mut self, config: &FleetConfig) {
        for team in &config.teams {
            let Some(prepaid) = team.prepaid else {
                continue;
            };
            let budget = BudgetName::new(team.name.as_str());
            let total = (config.version, prepaid);
            let held = self.totals.insert(budget.clone(), total);
            if held.is_some_and(|(_version, tokens)| tokens == prepaid) {
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
    pub fn apply(&mut self, offset: u64, record: &[u8]) {
        let records: Vec<AccountRecord> = match codec::decode(record) {
            Ok(records) => records,
            Err(error) => {
                log::warn!("HS3101 account record cannot be read offset={offset} cause={error}");
                self.fold.skip(offset);
                return;
            }
        };
        for verdict in self.fold.apply(offset, &records) {
            if verdict.holder != self.holder {
                continue;
            }
            let held = self.held.entry(verdict.budget.clone()).or_default();
            held.purse.add(verdict.granted);
            held.pending &= verdict.serial < held.serial;
            held.changed.notify_waiters();
            log::info!(
                "HS3102 tokens drawn budget={} serial={} granted={} offset={offset}",
                verdict.budget,
                verdict.serial,
                verdict.granted
            );
        }
    }

    /// Sets `tokens` of `budget` aside.
    pub fn reserve(
        &mut self,
        budget: &BudgetName,
        tokens: TokenCount,
        now: Duration,
    ) -> Option<TokenHold> {
        let held = self.held.entry(budget.clone()).or_default();
        held.meter.reserve(tokens, now);
        held.purse.reserve(tokens)
    }

    /// Ends a reservation of which `charge` was used.
    pub fn settle(
        &mut self,
        budget: &BudgetName,
        hold: TokenHold,
        charge: TokenCount,
        now: Duration,
    ) {
        let held = self.held.entry(budget.clone()).or_default();
        held.purse.settle(hold, charge);
        held.meter.spend(charge, now);
        held.changed.notify_waiters();
    }

    /// Why `tokens` of `budget` cannot be had, or `None` while a draw may
    /// still bring them.
    pub fn refusal(&self, budget: &BudgetName, tokens: TokenCount) -> Option<TokenRefusal> {
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
        if tokens > reachable + elsewhere + reserved {
            Some(TokenRefusal::Spent)
        } else {
            Some(TokenRefusal::Unconfirmed)
        }
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
    /// and hands the records to the thread that appends.
    pub fn review(&mut self, holders: u32, now: Duration) {
        let names: Vec<BudgetName> = self.totals.keys().cloned().collect();
        for budget in names {
            self.review_one(&budget, holders, now);
        }
        if now.saturating_sub(self.reported) >= REPORT_INTERVAL {
            self.reported = now;
            self.report_all();
        }
        self.send();
    }

    /// Queues a report of every sum that changed.
    pub fn report_all(&mut self) {
        for (budget, held) in &mut self.held {
            let sums = (held.purse.spent(), held.purse.returned());
            if sums == held.reported {
                continue;
            }
            held.reported = sums;
            self.unsent.push(AccountRecord::Report {
                budget: budget.clone(),
                holder: self.holder,
                spent: sums.0,
                returned: sums.1,
            });
        }
    }

    /// Gives back all that no request has reserved, at the end of a planned
    /// stop.
    pub fn give_all_back(&mut self) {
        for held in self.held.values_mut() {
            let available = held.purse.available();
            held.purse.give_back(available);
        }
        self.report_all();
        self.send();
    }

    fn review_one(&mut self, budget: &BudgetName, holders: u32, now: Duration) {
        let held = self.held.entry(budget.clone()).or_default();
        if held.pending {
            return;
        }
        let account = self.fold.budget(budget);
        let total = self.totals.get(budget).map(|(_version, tokens)| *tokens);
        let prepaid = account.map(|account| account.prepaid).or(total);
        let available = held.purse.available();
        let view = DrawView {
            demand_per_second: held.meter.rate(now),
            typical: held.meter.typical(),
            wanted: held.wanted.saturating_sub(available),
            available,
            free: account
                .map(BudgetAccount::free)
                .or(total)
                .unwrap_or_default(),
            prepaid: prepaid.unwrap_or_default(),
            holders,
        };
        let decision = policy::decide(&view);
        if !decision.give_back.is_zero() {
            held.purse.give_back(decision.give_back);
            held.reported = (held.purse.spent(), held.purse.returned());
            self.unsent.push(AccountRecord::Report {
                budget: budget.clone(),
                holder: self.holder,
                spent: held.reported.0,
                returned: held.reported.1,
            });
        }
        if decision.draw.is_zero() {
            return;
        }
        held.serial += 1;
        held.pending = true;
        self.unsent.push(AccountRecord::Draw {
            budget: budget.clone(),
            holder: self.holder,
            serial: held.serial,
            tokens: decision.draw,
        });
    }

    fn send(&mut self) {
        if self.unsent.is_empty() {
            return;
        }
        let records = std::mem::take(&mut self.unsent);
        if let Err(error) = self.outbox.try_send(records) {
            let (std::sync::mpsc::TrySendError::Full(records)
            | std::sync::mpsc::TrySendError::Disconnected(records)) = error;
            self.unsent = records;
        }
    }

    /// Tokens that other holders have not reported as spent.
    fn unreported_elsewhere(&self, account: &BudgetAccount) -> TokenCount {
        let others = account.holders.iter();
        let others = others.filter(|(holder, _held)| **holder != self.holder);
        others.map(|(_holder, held)| held.unreported()).sum()
    }
}

/// The desk as the tasks of the traffic thread share it.
#[derive(Clone)]
pub struct BudgetHandle {
    desk: Rc<RefCell<BudgetDesk>>,
    started: Instant,
}

impl BudgetHandle {
    /// Shares `desk`.
    pub fn new(desk: BudgetDesk) -> Self {
        Self {
            desk: Rc::new(RefCell::new(desk)),
            started: Instant::now(),
        }
    }

    /// See [`BudgetDesk::set_totals`].
    pub fn set_totals(&self, config: &FleetConfig) {
        self.desk.borrow_mut().set_totals(config);
    }

    /// See [`BudgetDesk::apply`].
    pub fn apply(&self, offset: u64, record: &[u8]) {
        self.desk.borrow_mut().apply(offset, record);
    }

    /// See [`BudgetDesk::review`].
    pub fn review(&self, holders: u32) {
        let now = self.started.elapsed();
        self.desk.borrow_mut().review(holders, now);
    }

    /// See [`BudgetDesk::reserve`].
    pub fn reserve(&self, budget: &BudgetName, tokens: TokenCount) -> Option<TokenHold> {
        let now = self.started.elapsed();
        self.desk.borrow_mut().reserve(budget, tokens, now)
    }

    /// See [`BudgetDesk::settle`].
    pub fn settle(&self, budget: &BudgetName, hold: TokenHold, charge: TokenCount) {
        let now = self.started.elapsed();
        self.desk.borrow_mut().settle(budget, hold, charge, now);
    }

    /// See [`BudgetDesk::refusal`].
    pub fn refusal(&self, budget: &BudgetName, tokens: TokenCount) -> Option<TokenRefusal> {
        self.desk.borrow().refusal(budget, tokens)
    }

    /// See [`BudgetDesk::give_all_back`].
    pub fn give_all_back(&self) {
        self.desk.borrow_mut().give_all_back();
    }

    /// Says that a request waits for `tokens` while the returned value lives.
    pub fn want(&self, budget: &BudgetName, tokens: TokenCount) -> TokenWant {
        let changed = self.desk.borrow_mut().want(budget, tokens);
        TokenWant {
            handle: self.clone(),
            budget: budget.clone(),
            tokens,
            changed,
        }
    }
}

impl fmt::Debug for BudgetHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BudgetHandle").finish_non_exhaustive()
    }
}

/// A request that waits for tokens.
#[derive(Debug)]
pub struct TokenWant {
    handle: BudgetHandle,
    budget: BudgetName,
    tokens: TokenCount,
    changed: Rc<Notify>,
}

impl TokenWant {
    /// Waits until the budget changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

impl Drop for TokenWant {
    fn drop(&mut self) {
        let mut desk = self.handle.desk.borrow_mut();
        desk.unwant(&self.budget, self.tokens);
    }
}

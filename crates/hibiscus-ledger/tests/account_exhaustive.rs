//! Exhaustive search of a small deployment with the real account fold and local
//! quota. The process of one machine draws, reports and spends; it is killed at
//! any point and succeeded by another. Appends are lost, repeated and late. A
//! second machine immediately spends all tokens that the fold counts as free.

use std::collections::HashSet;
use std::collections::VecDeque;

use hibiscus_ledger::account::AccountFold;
use hibiscus_ledger::account::AccountRecord;
use hibiscus_ledger::account::HolderReport;
use hibiscus_ledger::account::limit::MachineTime;
use hibiscus_ledger::account::limit::SpendingLimit;
use hibiscus_ledger::account::quota::LocalQuota;
use hibiscus_types::BudgetName;
use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use hibiscus_types::TokenCount;
use hibiscus_types::codec;

/// Prepaid tokens.
const PREPAID: u64 = 3;
/// Longest simulated time, in seconds.
const TIME_LIMIT: u64 = 3;
/// Milliseconds until a limit grows: at once, and after the first second.
const GROWS_AFTER: [u64; 2] = [0, 1_000];
/// Largest number of reports of the holder.
const REPORT_LIMIT: u64 = 2;
/// Number of states at which a search fails.
const STATE_LIMIT: usize = 400_000;
/// Number of overspent states at which a search ends.
const OVERSPENT_LIMIT: usize = 10;
/// The processes: the first holder, its successor, and that of the other
/// machine.
const FIRST: u128 = 1;
const SUCCESSOR: u128 = 2;
const OTHER: u128 = 3;

/// How the successor closes the account of the first holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseRule {
    /// By the spending limit and the machine's clock.
    SpentAtMost,
    /// By the sums of the last report only.
    LastReport,
}

/// Which limits the holder respects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LimitRule {
    /// The acknowledged limit and all limits sent since, like [`LocalQuota`].
    AllSent,
    /// Only the newest limit, as soon as it is sent.
    NewestSent,
}

/// State of the deployment.
#[derive(Clone, Debug)]
struct SearchState {
    /// Milliseconds until a limit grows.
    grows_after: u64,
    fold: AccountFold,
    offset: u64,
    millis: u64,
    quota: LocalQuota,
    /// Serial number of the first holder's last report.
    reports: u64,
    drew: bool,
    /// The batch that is being appended, with its number.
    appending: Option<(u64, AccountRecord)>,
    /// Batches that may still arrive late.
    late: Vec<AccountRecord>,
    /// Reserved tokens whose request was not sent yet.
    unsent: u64,
    /// Tokens that the first holder's requests really used.
    used: u64,
    /// The newest limit sent, for [`LimitRule::NewestSent`].
    newest: Option<SpendingLimit>,
    killed: bool,
    closed: bool,
    other_serial: u64,
    other_used: u64,
}

fn budget() -> BudgetName {
    BudgetName::from("team")
}

fn machine() -> InstanceName {
    InstanceName::from("machine")
}

fn process(number: u128) -> IncarnationId {
    IncarnationId::from_u128(number)
}

fn draw(holder: u128, machine: &str, serial: u64, tokens: u64) -> AccountRecord {
    AccountRecord::Draw {
        budget: budget(),
        holder: process(holder),
        machine: InstanceName::from(machine),
        serial,
        tokens: TokenCount::new(tokens),
    }
}

impl SearchState {
    fn start(grows_after: u64) -> Self {
        let mut fold = AccountFold::default();
        let prepaid = AccountRecord::Prepaid {
            budget: budget(),
            version: 1,
            tokens: TokenCount::new(PREPAID),
        };
        fold.apply(0, &[prepaid]);
        Self {
            grows_after,
            fold,
            offset: 1,
            millis: 0,
            quota: LocalQuota::default(),
            reports: 0,
            drew: false,
            appending: None,
            late: Vec::new(),
            unsent: 0,
            used: 0,
            newest: None,
            killed: false,
            closed: false,
            other_serial: 0,
            other_used: 0,
        }
    }

    fn now(&self) -> MachineTime {
        MachineTime {
            boot: 1,
            millis: self.millis,
            unix_millis: self.millis,
        }
    }

    /// Appends `record`. The first holder sees the results of its draws while
    /// it runs.
    fn append(&mut self, record: &AccountRecord) {
        let results = self.fold.apply(self.offset, std::slice::from_ref(record));
        self.offset += 1;
        for result in results {
            if result.holder == process(FIRST) && !self.killed {
                self.quota.raise_drawn(self.quota.drawn() + result.granted);
            }
            if result.holder == process(OTHER) {
                self.other_used += result.granted.get();
            }
        }
    }

    fn key(&self) -> Vec<u8> {
        let late: Vec<Vec<u8>> = self.late.iter().map(encoded).collect();
        let held = (self.quota.spent(), self.quota.returned(), self.quota.used());
        let appending = self
            .appending
            .as_ref()
            .map(|(number, record)| (*number, encoded(record)));
        let flags = (
            self.drew,
            self.killed,
            self.closed,
            self.reports,
            self.unsent,
        );
        let limits = format!("{:?}", self.quota);
        let counts = (self.millis, self.used, self.other_used, self.other_serial);
        // Leaves out the offset, so that repeated appends lead to the same
        // state.
        let state = (
            self.fold.budgets(),
            late,
            held,
            appending,
            flags,
            limits,
            counts,
        );
        codec::encode(&state).expect("the state is encoded")
    }

    /// All states that can follow this one.
    fn steps(&self, close_rule: CloseRule, limit_rule: LimitRule) -> Vec<Self> {
        let mut next = Vec::new();
        self.holder_steps(limit_rule, &mut next);
        self.store_steps(&mut next);
        if self.millis < TIME_LIMIT * 1_000 {
            next.push(self.with(|state| state.millis += 1_000));
        }
        if !self.killed {
            next.push(self.with(|state| {
                state.killed = true;
                state
                    .late
                    .extend(state.appending.take().map(|(_number, record)| record));
            }));
        }
        if self.killed && !self.closed {
            next.push(self.with(|state| state.close(close_rule)));
        }
        let free = self.fold.budget(&budget()).map(|account| account.free());
        if free.is_some_and(|free| !free.is_zero()) {
            next.push(self.with(|state| {
                state.other_serial += 1;
                state.append(&draw(OTHER, "other", state.other_serial, PREPAID));
            }));
        }
        next
    }

    /// Adds the actions of the first holder while it runs.
    fn holder_steps(&self, limit_rule: LimitRule, next: &mut Vec<Self>) {
        if self.killed {
            return;
        }
        if !self.drew && self.appending.is_none() {
            next.push(self.with(|state| {
                state.drew = true;
                state.appending = Some((0, draw(FIRST, "machine", 1, 2)));
            }));
        }
        if self.drew && self.appending.is_none() && self.reports < REPORT_LIMIT {
            next.push(self.with(Self::report));
        }
        let allowed = match limit_rule {
            LimitRule::AllSent => self
                .quota
                .clone()
                .reserve(TokenCount::new(1), self.now())
                .is_ok(),
            LimitRule::NewestSent => self.is_allowed_by_newest(),
        };
        if allowed {
            next.push(self.with(|state| {
                state.unsent += 1;
                let one = TokenCount::new(1);
                if let Ok(reservation) = state.quota.reserve(one, state.now()) {
                    state.quota.settle(reservation, one);
                } else {
                    // [`LimitRule::NewestSent`] spends tokens that the quota
                    // refuses.
                    state.used += 1;
                    state.unsent -= 1;
                }
            }));
        }
        if self.unsent > 0 {
            next.push(self.with(|state| {
                state.unsent -= 1;
                state.used += 1;
            }));
        }
    }

    /// Adds the outcomes of an append: acknowledged, applied with the response
    /// lost, or late.
    fn store_steps(&self, next: &mut Vec<Self>) {
        if let Some((number, record)) = &self.appending {
            next.push(self.with(|state| {
                state.append(record);
                state.quota.acknowledge(*number);
                state.appending = None;
            }));
            next.push(self.with(|state| state.append(record)));
            if self.late.len() < 2 && !self.late.contains(record) {
                next.push(self.with(|state| state.late.push(record.clone())));
            }
        }
        for (index, record) in self.late.iter().enumerate() {
            next.push(self.with(|state| {
                state.late.remove(index);
                state.append(record);
            }));
        }
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut state = self.clone();
        change(&mut state);
        state
    }

    /// Sends a report. The first limit allows one token at once and one per
    /// second.
    fn report(&mut self) {
        self.reports += 1;
        let limit = SpendingLimit {
            base: self.quota.used(),
            burst: TokenCount::new(u64::from(self.reports == 1)),
            per_second: u64::from(self.reports == 1),
            created_at: self.now(),
            grows_after: self.grows_after,
        };
        self.newest = Some(limit);
        self.quota.record_sent_limit(self.reports, limit);
        let record = AccountRecord::Report(HolderReport {
            budget: budget(),
            holder: process(FIRST),
            serial: self.reports,
            spent: self.quota.spent(),
            returned: self.quota.returned(),
            limit,
            created_after: None,
            demand: 0,
            transferred: TokenCount::ZERO,
        });
        self.appending = Some((self.reports, record));
    }

    fn is_allowed_by_newest(&self) -> bool {
        let limit = self.newest.map(|limit| limit.allowed_at(self.now()));
        let used = TokenCount::new(self.used + self.unsent + 1);
        let drawn = self.quota.available() + self.quota.used();
        limit.is_some_and(|limit| used <= limit) && used <= drawn
    }

    /// The successor closes the account of the first holder.
    fn close(&mut self, rule: CloseRule) {
        self.closed = true;
        let Some(account) = self.fold.budget(&budget()) else {
            return;
        };
        let Some(held) = account.holders.get(&process(FIRST)) else {
            return;
        };
        assert_eq!(held.machine, machine());
        assert!(process(SUCCESSOR) > process(FIRST));
        let spent = match rule {
            CloseRule::SpentAtMost => held.spent_by_clock(self.now()).unwrap_or(held.counted()),
            CloseRule::LastReport => held.spent,
        };
        self.append(&AccountRecord::Close {
            budget: budget(),
            holder: process(FIRST),
            spent,
        });
    }
}

fn encoded(record: &AccountRecord) -> Vec<u8> {
    codec::encode(record).expect("a record is encoded")
}

/// Result of a search.
#[derive(Debug, Default)]
struct SearchResult {
    states: usize,
    overspent: usize,
    freed: usize,
}

fn search(close_rule: CloseRule, limit_rule: LimitRule, grows_after: u64) -> SearchResult {
    let mut result = SearchResult::default();
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([SearchState::start(grows_after)]);
    while let Some(state) = queue.pop_front() {
        if !seen.insert(state.key()) {
            continue;
        }
        result.states += 1;
        assert!(result.states < STATE_LIMIT, "the search does not end");
        if state.used + state.other_used > PREPAID {
            result.overspent += 1;
            if result.overspent >= OVERSPENT_LIMIT {
                return result;
            }
            continue;
        }
        // The other machine spent more than the first holder left, so tokens of
        // the closed account were freed.
        result.freed += usize::from(state.closed && state.other_used > PREPAID - 2);
        queue.extend(state.steps(close_rule, limit_rule));
    }
    result
}

#[test]
fn no_order_of_kills_and_late_appends_overspends() {
    for grows_after in GROWS_AFTER {
        let result = search(CloseRule::SpentAtMost, LimitRule::AllSent, grows_after);
        assert_eq!(result.overspent, 0, "{grows_after}: {result:?}");
        assert!(result.states > 1_000, "{grows_after}: {result:?}");
        assert!(result.freed > 0, "{grows_after}: {result:?}");
    }
}

#[test]
fn closing_by_the_last_report_alone_overspends() {
    for grows_after in GROWS_AFTER {
        let result = search(CloseRule::LastReport, LimitRule::AllSent, grows_after);
        assert!(result.overspent > 0, "{grows_after}: {result:?}");
    }
}

#[test]
fn respecting_only_the_newest_limit_overspends() {
    for grows_after in GROWS_AFTER {
        let result = search(CloseRule::SpentAtMost, LimitRule::NewestSent, grows_after);
        assert!(result.overspent > 0, "{grows_after}: {result:?}");
    }
}

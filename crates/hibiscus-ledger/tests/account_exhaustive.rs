//! Exhaustive search of a small deployment over the real account fold and
//! purse: one machine whose process draws, reports and spends, is killed at
//! any point and followed by another, while appends are lost, repeated and
//! late, and a second machine spends at once whatever the fold calls free.

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

/// Tokens prepaid.
const PREPAID: u64 = 3;
/// Seconds that pass at the most.
const TIME_LIMIT: u64 = 3;
/// Milliseconds until a line grows: at once, and with the first second.
const GROWS_AFTER: [u64; 2] = [0, 1_000];
/// Reports that the holder makes at the most.
const REPORT_LIMIT: u64 = 2;
/// States after which a search is given up.
const STATE_LIMIT: usize = 400_000;
/// Overspent states after which a search ends.
const ENOUGH: usize = 10;
/// The processes: the first holder, its successor, and the other machine's.
const FIRST: u128 = 1;
const SUCCESSOR: u128 = 2;
const OTHER: u128 = 3;

/// How the successor closes the account of the first holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseRule {
    /// By the line over the machine's clock.
    SpentAtMost,
    /// By the sums of the last report alone.
    LastReport,
}

/// Which lines the holder keeps to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PaceRule {
    /// The acknowledged one and all sent since, as the purse does.
    AllSent,
    /// The newest one, as soon as it is sent.
    NewestSent,
}

/// The whole deployment.
#[derive(Clone, Debug)]
struct SearchState {
    /// Milliseconds until a line grows.
    grows_after: u64,
    fold: AccountFold,
    offset: u64,
    millis: u64,
    quota: LocalQuota,
    /// Number of the first holder's last report.
    reports: u64,
    drew: bool,
    /// The batch that is being appended, by its number.
    appending: Option<(u64, AccountRecord)>,
    /// Batches that may still arrive late.
    late: Vec<AccountRecord>,
    /// Tokens reserved whose request has not been sent yet.
    checked: u64,
    /// Tokens that the first holder's requests truly used.
    used: u64,
    /// The newest line sent, for the weaker rule.
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
            checked: 0,
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

    /// Appends `record`; the first holder, while it lives, sees its draws.
    fn append(&mut self, record: &AccountRecord) {
        let verdicts = self.fold.apply(self.offset, std::slice::from_ref(record));
        self.offset += 1;
        for verdict in verdicts {
            if verdict.holder == process(FIRST) && !self.killed {
                self.quota.add(verdict.granted);
            }
            if verdict.holder == process(OTHER) {
                self.other_used += verdict.granted.get();
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
            self.checked,
        );
        let paces = format!("{:?}", self.quota);
        let counts = (self.millis, self.used, self.other_used, self.other_serial);
        // Without the offset: copies of an append lead to the same state.
        let state = (
            self.fold.budgets(),
            late,
            held,
            appending,
            flags,
            paces,
            counts,
        );
        codec::encode(&state).expect("the state is encoded")
    }

    /// All states one step on.
    fn steps(&self, close_rule: CloseRule, pace_rule: PaceRule) -> Vec<Self> {
        let mut next = Vec::new();
        self.holder_steps(pace_rule, &mut next);
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

    /// What the first holder does while it lives.
    fn holder_steps(&self, pace_rule: PaceRule, next: &mut Vec<Self>) {
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
        let allowed = match pace_rule {
            PaceRule::AllSent => self
                .quota
                .clone()
                .reserve(TokenCount::new(1), self.now())
                .is_ok(),
            PaceRule::NewestSent => self.is_allowed_by_newest(),
        };
        if allowed {
            next.push(self.with(|state| {
                state.checked += 1;
                let one = TokenCount::new(1);
                if let Ok(hold) = state.quota.reserve(one, state.now()) {
                    state.quota.settle(hold, one);
                } else {
                    // The weaker rule spends what the purse refuses.
                    state.used += 1;
                    state.checked -= 1;
                }
            }));
        }
        if self.checked > 0 {
            next.push(self.with(|state| {
                state.checked -= 1;
                state.used += 1;
            }));
        }
    }

    /// What becomes of appends: done and acknowledged, done with the reply
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

    /// Sends a report with a line of one token at once and one a second.
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
        self.quota.send_pace(self.reports, limit);
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
        let limit = self.newest.map(|limit| limit.limit_at(self.now()));
        let used = TokenCount::new(self.used + self.checked + 1);
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

/// What a search found.
#[derive(Debug, Default)]
struct SearchResult {
    states: usize,
    overspent: usize,
    freed: usize,
}

fn search(close_rule: CloseRule, pace_rule: PaceRule, grows_after: u64) -> SearchResult {
    let mut result = SearchResult::default();
    let mut seen = HashSet::new();
    let mut waiting = VecDeque::from([SearchState::start(grows_after)]);
    while let Some(state) = waiting.pop_front() {
        if !seen.insert(state.key()) {
            continue;
        }
        result.states += 1;
        assert!(result.states < STATE_LIMIT, "the search does not end");
        if state.used + state.other_used > PREPAID {
            result.overspent += 1;
            if result.overspent >= ENOUGH {
                return result;
            }
            continue;
        }
        // More than what the holder left, so some of its rest was freed.
        result.freed += usize::from(state.closed && state.other_used > PREPAID - 2);
        waiting.extend(state.steps(close_rule, pace_rule));
    }
    result
}

#[test]
fn no_order_of_kills_and_late_appends_overspends() {
    for grows_after in GROWS_AFTER {
        let result = search(CloseRule::SpentAtMost, PaceRule::AllSent, grows_after);
        assert_eq!(result.overspent, 0, "{grows_after}: {result:?}");
        assert!(result.states > 1_000, "{grows_after}: {result:?}");
        assert!(result.freed > 0, "{grows_after}: {result:?}");
    }
}

#[test]
fn closing_by_the_last_report_alone_overspends() {
    for grows_after in GROWS_AFTER {
        let result = search(CloseRule::LastReport, PaceRule::AllSent, grows_after);
        assert!(result.overspent > 0, "{grows_after}: {result:?}");
    }
}

#[test]
fn keeping_only_to_the_newest_line_overspends() {
    for grows_after in GROWS_AFTER {
        let result = search(CloseRule::SpentAtMost, PaceRule::NewestSent, grows_after);
        assert!(result.overspent > 0, "{grows_after}: {result:?}");
    }
}

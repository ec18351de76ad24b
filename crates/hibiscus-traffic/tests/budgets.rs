//! One holder's desk: what it reports and when.

mod fixtures;

use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use hibiscus_ledger::account::AccountFold;
use hibiscus_ledger::account::AccountRecord;
use hibiscus_ledger::account::HolderReport;
use hibiscus_ledger::account::limit::SpendingLimit;
use hibiscus_ledger::account::policy::DrawMode;
use hibiscus_ledger::account::quota::ReservationError;
use hibiscus_traffic::budgets::AccountBatch;
use hibiscus_traffic::budgets::BudgetManager;
use hibiscus_traffic::budgets::BudgetRole;
use hibiscus_traffic::budgets::TokenRefusal;
use hibiscus_traffic::clock::MachineClock;
use hibiscus_types::IncarnationId;
use hibiscus_types::TokenCount;
use hibiscus_types::codec;

use crate::fixtures::budget;
use crate::fixtures::config;
use crate::fixtures::instance;

const PREPAID: u64 = 700_000;

/// The role of one of seven holders.
fn role(writes_snapshots: bool) -> BudgetRole {
    BudgetRole {
        holders: 7,
        mode: DrawMode::Prefetch,
        writes_snapshots,
    }
}

/// A desk, and the stream that its batches go to.
struct DeskCase {
    desk: BudgetManager,
    batches: Receiver<AccountBatch>,
    offset: u64,
}

impl DeskCase {
    fn start() -> Self {
        let (outbox, batches) = mpsc::sync_channel(16);
        let clock = MachineClock::of_this_boot();
        let own = instance(0);
        let mut desk = BudgetManager::new(own.incarnation, own.name, clock, outbox);
        desk.set_totals(&config(1, PREPAID));
        desk.recover();
        Self {
            desk,
            batches,
            offset: 0,
        }
    }

    /// Reviews at `now`, and has the store take what is sent; returns the
    /// reports among it.
    fn review(&mut self, now: Duration) -> Vec<HolderReport> {
        self.desk.review(|_budget| role(true), now);
        let mut reports = Vec::new();
        while let Ok(batch) = self.batches.try_recv() {
            let record = codec::encode(&batch.records).expect("records are encoded");
            self.desk.acknowledge(batch.number, None, now);
            self.desk.apply(self.offset, &record, now);
            self.offset += 1;
            for record in batch.records {
                if let AccountRecord::Report(report) = record {
                    reports.push(report);
                }
            }
        }
        reports
    }
}

/// A power cut of all machines: a line that was made long ago allows all that
/// was drawn, so a team without requests lost it (seamline trouble-1).
#[test]
fn a_holder_that_spends_nothing_makes_its_line_anew() {
    let mut case = DeskCase::start();
    assert_eq!(case.review(Duration::ZERO).len(), 1);
    assert!(case.review(Duration::from_millis(1_500)).is_empty());
    let reports = case.review(Duration::from_millis(2_100));
    assert_eq!(reports.len(), 1);
    let line = reports[0].limit;
    assert!(line.base.is_zero());
    // Half of the first draw, a tenth of the total among seven, at the most.
    let most = TokenCount::new(PREPAID / 10 / 7 / 2);
    assert!(line.limit_after(2_000) < most, "{line:?}");
}

#[test]
fn a_keeper_writes_a_snapshot_at_once_and_then_each_minute() {
    let mut case = DeskCase::start();
    let mut written = Vec::new();
    for second in 0..130 {
        let now = Duration::from_secs(second);
        case.desk.review(|_budget| role(true), now);
        while let Ok(batch) = case.batches.try_recv() {
            let record = codec::encode(&batch.records).expect("records are encoded");
            case.desk.acknowledge(batch.number, None, now);
            case.desk.apply(case.offset, &record, now);
            case.offset += 1;
            written.extend(batch.snapshots.iter().map(|_snapshot| second));
        }
    }
    assert_eq!(written, [1, 61, 121]);
}

/// A draw may be granted after the account was closed: the fold has freed it.
#[test]
fn a_holder_that_stops_closes_its_account_and_spends_nothing_after() {
    let mut case = DeskCase::start();
    let budget = budget(0);
    let now = Duration::ZERO;
    // The first draw is on its way when the stop ends.
    case.desk.review(|_budget| role(true), now);
    case.desk.return_all_tokens(now);
    let mut fold = AccountFold::default();
    while let Ok(batch) = case.batches.try_recv() {
        let record = codec::encode(&batch.records).expect("records are encoded");
        fold.apply(case.offset, &batch.records);
        case.desk.acknowledge(batch.number, None, now);
        case.desk.apply(case.offset, &record, now);
        case.offset += 1;
    }
    let account = fold.budget(&budget).expect("the budget is known");
    assert_eq!(account.free(), TokenCount::new(PREPAID));
    assert!(account.holders.is_empty());
    let one = TokenCount::new(1);
    assert!(case.desk.reserve(&budget, one, now).is_err());
}

#[test]
fn a_holder_that_stops_with_a_request_in_progress_keeps_its_account_open() {
    let mut case = DeskCase::start();
    let budget = budget(0);
    case.review(Duration::ZERO);
    let hold = case
        .desk
        .reserve(&budget, TokenCount::new(10), Duration::ZERO);
    assert!(hold.is_ok(), "{hold:?}");
    case.desk.return_all_tokens(Duration::from_secs(1));
    let batch = case.batches.try_recv().expect("a batch");
    let mut records = batch.records.iter();
    assert!(!records.any(|record| matches!(record, AccountRecord::Close { .. })));
}

#[test]
fn records_that_are_read_once_more_bring_no_tokens_twice() {
    let mut case = DeskCase::start();
    case.review(Duration::ZERO);
    case.desk.resume(0, Vec::new());
    let mut other = DeskCase::start();
    other.desk.review(|_budget| role(false), Duration::ZERO);
    let batch = other.batches.try_recv().expect("a first draw");
    let record = codec::encode(&batch.records).expect("records are encoded");
    case.desk.apply(0, &record, Duration::ZERO);
    let budget = budget(0);
    let drawn = batch.records.iter().find_map(|record| match record {
        AccountRecord::Draw { tokens, .. } => Some(*tokens),
        _other => None,
    });
    let more = drawn.expect("a draw") + TokenCount::new(1);
    let reserved = case.desk.reserve(&budget, more, Duration::ZERO);
    assert_eq!(reserved, Err(ReservationError::NotDrawn));
}

/// Guards against a refusal for good while tokens that another holder passed
/// on may still come back (issue 17).
#[test]
fn tokens_that_another_holder_passed_on_are_not_taken_for_spent() {
    let mut case = DeskCase::start();
    case.review(Duration::ZERO);
    let budget = budget(0);
    let other = IncarnationId::from_u128(9);
    let passed = TokenCount::new(PREPAID / 2);
    let records = vec![
        AccountRecord::Draw {
            budget: budget.clone(),
            holder: other,
            machine: "front-9".into(),
            serial: 1,
            tokens: passed,
        },
        AccountRecord::Report(HolderReport {
            budget: budget.clone(),
            holder: other,
            serial: 1,
            spent: passed,
            returned: TokenCount::ZERO,
            limit: SpendingLimit::default(),
            created_after: None,
            demand: 0,
            transferred: passed,
        }),
    ];
    let record = codec::encode(&records).expect("records are encoded");
    let now = Duration::from_millis(100);
    case.desk.apply(case.offset, &record, now);
    let most = TokenCount::new(PREPAID);
    let refusal = case.desk.refusal(&budget, most, now);
    assert_eq!(refusal, Some(TokenRefusal::Unconfirmed));
    let beyond = TokenCount::new(PREPAID + 1);
    let refusal = case.desk.refusal(&budget, beyond, now);
    assert_eq!(refusal, Some(TokenRefusal::Spent));
}

/// Guards against a refusal for good while tokens that this holder gave back
/// are on their way to the store and to be read again (found with issue 20).
#[test]
fn tokens_that_this_holder_gave_back_are_not_taken_for_spent() {
    let mut case = DeskCase::start();
    case.review(Duration::ZERO);
    let budget = budget(0);
    let relieved = BudgetRole {
        mode: DrawMode::Release,
        ..role(false)
    };
    let now = Duration::from_millis(800);
    case.desk.review(|_budget| relieved, now);
    let batch = case.batches.try_recv().expect("a report");
    let all = TokenCount::new(PREPAID);
    assert_eq!(case.desk.refusal(&budget, all, now), None);
    let beyond = TokenCount::new(PREPAID + 1);
    let refusal = case.desk.refusal(&budget, beyond, now);
    assert_eq!(refusal, Some(TokenRefusal::Spent));
    let record = codec::encode(&batch.records).expect("records are encoded");
    case.desk.acknowledge(batch.number, None, now);
    case.desk.apply(case.offset, &record, now);
    assert_eq!(case.desk.refusal(&budget, all, now), None);
}

/// Guards against a draw that the store grants to a process that has closed
/// its accounts (issue 17).
#[test]
fn a_holder_that_has_closed_its_accounts_draws_for_no_request() {
    let mut case = DeskCase::start();
    case.desk.return_all_tokens(Duration::ZERO);
    assert!(case.desk.is_closed());
    let _sent: Vec<AccountBatch> = case.batches.try_iter().collect();
    case.desk
        .review(|_budget| role(false), Duration::from_secs(1));
    assert_eq!(case.batches.try_iter().count(), 0);
}

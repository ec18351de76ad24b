//! Verdicts of single records, and records in any order.

#[allow(dead_code)]
mod common;

use common::batch;
use common::budget;
use common::credit;
use common::grant;
use common::open;
use common::process;
use common::settle;
use hibiscus_ledger::fold::FoldLimits;
use hibiscus_ledger::fold::LedgerFold;
use hibiscus_ledger::fold::RecordVerdict;
use hibiscus_ledger::record::AllowanceReturn;
use hibiscus_ledger::record::AllowanceSplit;
use hibiscus_ledger::record::GrantRelease;
use hibiscus_ledger::record::GrantSeal;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::record::RecordBatch;
use hibiscus_ledger::record::SettledEnd;
use hibiscus_ledger::record::WitnessSeal;
use hibiscus_ledger::recovery;
use hibiscus_ledger::recovery::LedgerReplay;
use hibiscus_types::GrantId;
use hibiscus_types::TokenCount;
use hibiscus_types::codec;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

/// Witnesses of the grants.
const WITNESSES: [u128; 2] = [11, 12];

/// A fold to which records are appended one by one.
struct LedgerDriver {
    fold: LedgerFold,
    sequence: u64,
}

impl LedgerDriver {
    /// A ledger with 100 tokens.
    fn new() -> Self {
        Self::with_limits(FoldLimits::default())
    }

    fn with_limits(limits: FoldLimits) -> Self {
        let mut driver = Self {
            fold: LedgerFold::with_limits(limits),
            sequence: 0,
        };
        driver.append(credit("top-up", 100));
        driver
    }

    fn append(&mut self, record: LedgerRecord) -> RecordVerdict {
        self.sequence += 1;
        let offset = self.fold.next_offset();
        let verdicts = self
            .fold
            .apply(offset, &batch(1, self.sequence, vec![record]));
        verdicts[0]
    }

    fn grant(&mut self, id: u128, tokens: u64) -> RecordVerdict {
        self.append(LedgerRecord::Grant(grant(id, 5, tokens, &WITNESSES)))
    }

    fn seal(&mut self, id: u128) {
        let grant = GrantId::from_u128(id);
        for witness in WITNESSES {
            let witness = process(witness);
            self.append(LedgerRecord::Sealed(WitnessSeal { grant, witness }));
        }
    }

    /// Credited, charged and outstanding tokens.
    fn sums(&self) -> (u64, u64, u64) {
        let state = &self.fold.budgets()[&budget()];
        let numbers = (state.credited, state.charged, state.outstanding);
        (numbers.0.get(), numbers.1.get(), numbers.2.get())
    }
}

fn first() -> GrantId {
    GrantId::from_u128(1)
}

#[test]
fn a_credit_that_overflows_the_sum_is_refused_whole() {
    let mut driver = LedgerDriver::new();
    assert_eq!(driver.append(credit("huge", u64::MAX)), RecordVerdict::Void);
    assert_eq!(driver.sums(), (100, 0, 0));
}

#[test]
fn a_refused_grant_stays_refused_after_a_top_up() {
    let mut driver = LedgerDriver::new();
    assert_eq!(driver.grant(1, 150), RecordVerdict::Uncovered);
    driver.append(credit("second", 100));
    assert_eq!(driver.grant(1, 150), RecordVerdict::Repeated);
    assert_eq!(driver.sums(), (200, 0, 0));
}

#[test]
fn a_return_counts_once_in_any_order() {
    let mut driver = LedgerDriver::new();
    driver.grant(1, 60);
    let back = AllowanceReturn {
        grant: first(),
        total: TokenCount::new(20),
    };
    let mut earlier = back.clone();
    earlier.total = TokenCount::new(15);
    let record = LedgerRecord::Return(back);
    assert_eq!(driver.append(record.clone()), RecordVerdict::Accepted);
    assert_eq!(driver.append(record), RecordVerdict::Repeated);
    let earlier = LedgerRecord::Return(earlier);
    assert_eq!(driver.append(earlier), RecordVerdict::Repeated);
    assert_eq!(driver.sums(), (100, 0, 40));
}

#[test]
fn a_settlement_before_its_open_charges_once() {
    let mut driver = LedgerDriver::new();
    driver.grant(1, 60);
    let open = open(7, first(), 10);
    let settled = LedgerRecord::Settle(settle(&open, 8));
    assert_eq!(driver.append(settled.clone()), RecordVerdict::Accepted);
    assert_eq!(
        driver.append(LedgerRecord::Open(open)),
        RecordVerdict::Preceded
    );
    assert_eq!(driver.append(settled), RecordVerdict::Repeated);
    assert_eq!(driver.sums(), (100, 8, 52));
}

#[test]
fn a_key_under_two_grants_is_charged_once_and_the_second_reservation_is_freed() {
    let mut driver = LedgerDriver::new();
    driver.grant(1, 30);
    driver.grant(2, 30);
    let here = open(7, first(), 10);
    let there = open(7, GrantId::from_u128(2), 10);
    driver.append(LedgerRecord::Open(here.clone()));
    driver.append(LedgerRecord::Open(there));
    driver.append(LedgerRecord::Settle(settle(&here, 8)));
    driver.seal(2);
    assert_eq!(driver.sums(), (100, 8, 22));
}

#[test]
fn a_later_run_that_used_more_raises_the_charge_of_its_key_once() {
    let mut driver = LedgerDriver::new();
    driver.grant(1, 40);
    driver.grant(2, 40);
    let failed = LedgerRecord::Settle(settle(&open(7, first(), 20), 8));
    let whole = LedgerRecord::Settle(settle(&open(7, GrantId::from_u128(2), 20), 13));
    assert_eq!(driver.append(failed.clone()), RecordVerdict::Accepted);
    assert_eq!(driver.append(whole.clone()), RecordVerdict::Repeated);
    driver.append(whole);
    driver.append(failed);
    assert_eq!(driver.sums(), (100, 13, 67));
    assert_eq!(driver.fold.settled_count(), 1);
}

#[test]
fn promises_that_precede_the_proposal_count() {
    let mut driver = LedgerDriver::new();
    driver.grant(1, 60);
    let opened = open(7, first(), 10);
    driver.append(LedgerRecord::Open(opened.clone()));
    driver.seal(1);
    assert_eq!(driver.sums(), (100, 0, 10));
    assert_eq!(
        driver.append(LedgerRecord::Seal(GrantSeal { grant: first() })),
        RecordVerdict::Repeated
    );
    driver.append(LedgerRecord::Settle(settle(&opened, 4)));
    assert_eq!(driver.sums(), (100, 4, 0));
}

#[test]
fn a_settlement_under_a_reclaimed_grant_without_open_goes_to_the_operators() {
    let mut driver = LedgerDriver::new();
    driver.grant(1, 60);
    driver.seal(1);
    let late = settle(&open(7, first(), 10), 8);
    assert_eq!(
        driver.append(LedgerRecord::Settle(late.clone())),
        RecordVerdict::Void
    );
    assert_eq!(driver.fold.late().collect::<Vec<_>>(), vec![&late]);
    assert_eq!(driver.sums(), (100, 0, 0));
}

#[test]
fn a_release_needs_a_proposed_reclaim() {
    let mut driver = LedgerDriver::new();
    driver.grant(1, 60);
    let release = LedgerRecord::Release(GrantRelease { grant: first() });
    assert_eq!(driver.append(release.clone()), RecordVerdict::Void);
    driver.append(LedgerRecord::Seal(GrantSeal { grant: first() }));
    assert_eq!(driver.append(release), RecordVerdict::Accepted);
    assert_eq!(driver.sums(), (100, 0, 0));
}

#[test]
fn a_release_frees_what_requests_without_an_end_keep() {
    let mut driver = LedgerDriver::new();
    driver.grant(1, 60);
    let opened = open(7, first(), 10);
    driver.append(LedgerRecord::Open(opened.clone()));
    driver.seal(1);
    assert_eq!(driver.sums(), (100, 0, 10));
    let release = LedgerRecord::Release(GrantRelease { grant: first() });
    assert_eq!(driver.append(release), RecordVerdict::Accepted);
    assert_eq!(driver.sums(), (100, 0, 0));
    let late = LedgerRecord::Settle(settle(&opened, 4));
    assert_eq!(driver.append(late), RecordVerdict::Void);
    assert_eq!(driver.fold.late().count(), 1);
}

#[test]
fn an_exclusive_open_runs_again_only_after_a_proved_not_run() {
    let mut driver = LedgerDriver::new();
    driver.grant(1, 60);
    let mut attempt = open(7, first(), 10);
    attempt.exclusive = true;
    let mut retry = attempt.clone();
    retry.attempt = 1;
    driver.append(LedgerRecord::Open(attempt.clone()));
    assert_eq!(
        driver.append(LedgerRecord::Open(retry.clone())),
        RecordVerdict::Preceded
    );
    let mut ended = settle(&attempt, 0);
    ended.end = SettledEnd::NotRun;
    driver.append(LedgerRecord::Settle(ended));
    assert_eq!(
        driver.append(LedgerRecord::Open(attempt)),
        RecordVerdict::Repeated
    );
    assert_eq!(
        driver.append(LedgerRecord::Open(retry)),
        RecordVerdict::Accepted
    );
}

#[test]
fn opens_of_a_split_wait_for_its_record() {
    let mut driver = LedgerDriver::new();
    driver.grant(1, 60);
    let child = grant(2, 6, 20, &WITNESSES);
    let opened = open(7, child.id, 10);
    assert_eq!(
        driver.append(LedgerRecord::Open(opened.clone())),
        RecordVerdict::Waiting
    );
    driver.append(LedgerRecord::Settle(settle(&opened, 9)));
    assert_eq!(driver.sums(), (100, 0, 60));
    let parent = first();
    driver.append(LedgerRecord::Split(AllowanceSplit { parent, child }));
    assert_eq!(driver.sums(), (100, 9, 51));
}

#[test]
fn runs_of_a_charged_key_are_counted_once_each() {
    let mut driver = LedgerDriver::new();
    driver.grant(1, 50);
    let opened = open(0, first(), 5);
    driver.append(LedgerRecord::Settle(settle(&opened, 5)));
    driver.append(LedgerRecord::Settle(settle(&opened, 5)));
    assert_eq!(driver.fold.reruns(&opened.key), 0, "a copy is no run");
    for attempt in [1, 2, 2] {
        let mut again = settle(&opened, 5);
        again.attempt = attempt;
        driver.append(LedgerRecord::Settle(again));
    }
    assert_eq!(driver.fold.reruns(&opened.key), 2);
    assert_eq!(driver.sums(), (100, 5, 45));
}

#[test]
fn keys_are_forgotten_only_when_no_open_grant_can_bring_a_copy() {
    let limits = FoldLimits {
        keys: 2,
        keys_bound: 4,
        forget_every: 1,
        ..FoldLimits::default()
    };
    let mut driver = LedgerDriver::with_limits(limits);
    driver.grant(1, 50);
    for number in 0..4 {
        let opened = open(number, first(), 1);
        driver.append(LedgerRecord::Settle(settle(&opened, 1)));
    }
    assert_eq!(driver.fold.settled_count(), 4);
    driver.append(LedgerRecord::Settle(settle(&open(4, first(), 1), 1)));
    assert_eq!(driver.fold.settled_count(), 4, "the bound holds");
    let copy = settle(&open(0, first(), 1), 1);
    let verdict = driver.append(LedgerRecord::Settle(copy.clone()));
    assert_eq!(verdict, RecordVerdict::Frozen);
    assert_eq!(driver.fold.late().collect::<Vec<_>>(), vec![&copy]);
    assert_eq!(driver.sums(), (100, 5, 45));
    driver.seal(1);
    driver.grant(2, 10);
    assert!(
        driver.fold.settled_count() < 4,
        "closed grants bring no copy"
    );
}

#[test]
fn a_reader_starts_from_the_newest_snapshot_and_the_tail() {
    let mut driver = LedgerDriver::new();
    driver.grant(1, 60);
    let snapshot = recovery::snapshot(&driver.fold).expect("the state encodes");
    let mut stream = vec![batch(2, 1, vec![credit("more", 5)])];
    stream.push(batch(2, 2, vec![LedgerRecord::Snapshot(snapshot)]));
    stream.push(batch(2, 3, vec![credit("last", 7)]));
    let first = driver.fold.next_offset();
    let mut replay = LedgerReplay::default();
    replay.skip_to(first);
    assert!(replay.fold().is_none(), "older records are missing");
    for (index, batch) in stream.iter().enumerate() {
        let offset = first + index as u64;
        driver.fold.apply(offset, batch);
        let data = codec::encode(batch).expect("the batch encodes");
        replay.take(offset, &data).expect("the format is known");
    }
    assert_eq!(replay.fold(), Some(&driver.fold));
}

#[test]
fn a_reader_with_a_gap_after_its_snapshot_waits_for_the_next() {
    let driver = LedgerDriver::new();
    let snapshot = recovery::snapshot(&driver.fold).expect("the state encodes");
    let old = batch(2, 1, vec![LedgerRecord::Snapshot(snapshot)]);
    let mut replay = LedgerReplay::default();
    replay.skip_to(driver.fold.next_offset() + 3);
    let data = codec::encode(&old).expect("the batch encodes");
    let offset = replay.expected();
    replay.take(offset, &data).expect("the format is known");
    assert!(replay.fold().is_none(), "three records are missing");
}

#[test]
fn a_damaged_snapshot_is_not_taken() {
    let driver = LedgerDriver::new();
    let mut snapshot = recovery::snapshot(&driver.fold).expect("the state encodes");
    assert_eq!(recovery::restore(&snapshot), Some(driver.fold));
    snapshot.state[3] ^= 1;
    assert_eq!(recovery::restore(&snapshot), None);
}

#[test]
fn a_record_of_a_newer_release_stops_the_reader() {
    let mut replay = LedgerReplay::default();
    let data = codec::encode(&batch(1, 1, vec![credit("top-up", 5)])).expect("it encodes");
    replay.take(0, &data).expect("the format is known");
    let newer = [vec![codec::FORMAT_VERSION as u8 + 1], data[1..].to_vec()].concat();
    let error = replay.take(1, &newer).expect_err("the format is newer");
    assert_eq!(error.to_string(), "failed to fold the ledger at offset 1");
    assert!(replay.fold().is_none());
    assert!(replay.take(2, &data).expect("it is ignored").is_none());
}

/// Records over few keys and grants, so that they meet each other.
fn any_record(kind: u8, a: u8, b: u8) -> LedgerRecord {
    let id = GrantId::from_u128(u128::from(a % 4));
    let mut opened = open(u64::from(b % 5), id, u64::from(b % 30));
    opened.exclusive = a.is_multiple_of(7);
    opened.attempt = u32::from(b % 2);
    let mut settled = settle(&opened, u64::from(a));
    let number = u128::from(b % 4);
    match kind % 10 {
        0 => credit(&format!("top-up-{}", a % 3), u64::from(b)),
        1 => credit("huge", u64::MAX - u64::from(b)),
        2 => LedgerRecord::Grant(grant(number, 5, u64::from(a), &WITNESSES)),
        3 => LedgerRecord::Open(opened),
        4 => LedgerRecord::Settle(settled),
        5 => {
            settled.end = SettledEnd::NotRun;
            LedgerRecord::Settle(settled)
        }
        6 => LedgerRecord::Return(AllowanceReturn {
            grant: id,
            total: TokenCount::new(u64::from(a)),
        }),
        7 => LedgerRecord::Sealed(WitnessSeal {
            grant: id,
            witness: process(WITNESSES[usize::from(b % 2)]),
        }),
        8 => LedgerRecord::Release(GrantRelease { grant: id }),
        _ => LedgerRecord::Split(AllowanceSplit {
            parent: id,
            child: grant(number, 6, u64::from(b), &WITNESSES),
        }),
    }
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[4; 32]);
    TestRunner::new_with_rng(config, rng)
}

#[test]
fn arbitrary_records_in_any_order_never_overspend() {
    let steps = proptest::collection::vec((any::<u8>(), any::<u8>(), any::<u8>()), 0..80);
    let result = runner(3_000).run(&steps, |steps| {
        let mut driver = LedgerDriver::new();
        for (kind, a, b) in steps {
            driver.append(any_record(kind, a, b));
            assert!(driver.fold.overspent().is_empty());
            let held: TokenCount = driver
                .fold
                .grants()
                .values()
                .map(|held| held.outstanding)
                .sum();
            assert_eq!(driver.sums().2, held.get(), "the sum is not the grants'");
        }
        Ok(())
    });
    result.expect("no order overspends");
}

#[test]
fn damaged_bytes_are_errors() {
    let records = (0..10).map(|kind| any_record(kind, 3, 9)).collect();
    let bytes = codec::encode(&batch(1, 1, records)).expect("the batch encodes");
    let damage = (0..bytes.len(), any::<u8>(), 0..bytes.len());
    let result = runner(5_000).run(&damage, |(at, value, end)| {
        let mut damaged = bytes.clone();
        damaged[at] = value;
        damaged.truncate(end.max(1));
        let mut replay = LedgerReplay::default();
        let _verdict = replay.take(0, &damaged);
        let _batch = codec::decode::<RecordBatch>(&damaged);
        Ok(())
    });
    result.expect("no damage panics");
}

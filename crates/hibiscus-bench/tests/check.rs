//! The checker of the fault cases finds each fault in a doctored record.

use hibiscus_bench::commands::faults::check;
use hibiscus_bench::commands::faults::check::FaultCounts;
use hibiscus_bench::commands::faults::records::AnswerRecord;
use hibiscus_bench::commands::faults::records::AttemptEnd;
use hibiscus_bench::commands::faults::records::AttemptRecord;
use hibiscus_bench::commands::faults::records::BudgetTotals;
use hibiscus_bench::commands::faults::records::CallKind;
use hibiscus_bench::commands::faults::records::CallRecord;
use hibiscus_bench::commands::faults::records::CaseRecords;
use hibiscus_bench::commands::faults::records::ChargeRecord;
use hibiscus_bench::commands::faults::records::CreditRecord;
use hibiscus_bench::commands::faults::records::LedgerFacts;
use hibiscus_bench::commands::faults::records::ServerRun;
use hibiscus_bench::commands::faults::records::StopWindow;
use hibiscus_types::UnixMillis;

/// Index of the chat in [`sound`].
const CHAT: usize = 0;
/// Index of the non-idempotent order in [`sound`].
const ORDER: usize = 1;

fn call(key: &str, kind: CallKind, text: &str, billed: u64) -> CallRecord {
    CallRecord {
        key: key.to_owned(),
        budget: "shop".to_owned(),
        kind,
        marker: format!("m{key}"),
        length: 2,
        prompt_tokens: 8,
        cost: 100,
        attempts: vec![AttemptRecord {
            instance: 0,
            started: UnixMillis::new(1_000),
            ended: UnixMillis::new(1_100),
            end: AttemptEnd::Whole,
        }],
        answer: Some(AnswerRecord {
            text: text.to_owned(),
            billed,
        }),
        elapsed_ms: 100.0,
    }
}

fn run(key: &str, number: usize) -> ServerRun {
    ServerRun {
        key: key.to_owned(),
        server: "server-1".to_owned(),
        number,
        started: UnixMillis::new(1_050),
        tokens: 2,
    }
}

fn charge(key: &str, tokens: u64) -> ChargeRecord {
    ChargeRecord {
        key: key.to_owned(),
        budget: "shop".to_owned(),
        tokens,
        appended: UnixMillis::new(1_090),
    }
}

/// A chat and an order without any fault.
fn sound() -> CaseRecords {
    CaseRecords {
        calls: vec![
            call("a", CallKind::Chat, "ma.0 ma.1 ", 10),
            call("b", CallKind::Exclusive, "{\"order\":7}", 100),
        ],
        engine_runs: vec![run("a", 1)],
        plain_runs: vec![run("b", 7)],
        ledger: LedgerFacts {
            charges: vec![charge("a", 10), charge("b", 100)],
            credits: vec![CreditRecord {
                budget: "shop".to_owned(),
                tokens: 500,
                appended: UnixMillis::new(10),
            }],
            budgets: vec![BudgetTotals {
                budget: "shop".to_owned(),
                credited: 500,
                charged: 110,
                outstanding: 300,
            }],
        },
        stops: Vec::new(),
    }
}

fn counts(records: &CaseRecords) -> FaultCounts {
    check::check(records, |_text| {})
}

/// What [`sound`] shows.
fn expected() -> FaultCounts {
    FaultCounts {
        offered: 2,
        answered: 2,
        p50_ms: 100.0,
        p99_ms: 100.0,
        ..FaultCounts::default()
    }
}

fn refuse(records: &mut CaseRecords, index: usize, outcome: &str, code: &str) {
    records.calls[index].attempts[0].end = AttemptEnd::Refused {
        status: 503,
        outcome: outcome.to_owned(),
        code: code.to_owned(),
    };
}

#[test]
fn sound_records_show_no_fault() {
    let counts = counts(&sound());
    assert_eq!(counts, expected());
    assert!(counts.is_safe());
}

#[test]
fn grants_beyond_the_credits_are_overspend() {
    let mut records = sound();
    records.ledger.budgets[0].outstanding = 391;
    let counts = counts(&records);
    assert_eq!(counts.overspend_tokens, 1);
    assert!(!counts.is_safe());
}

#[test]
fn answers_beyond_the_credits_are_overspend_though_uncharged() {
    let mut records = sound();
    records.calls[CHAT].answer = Some(AnswerRecord {
        text: "ma.0 ma.1 ".to_owned(),
        billed: 405,
    });
    let counts = counts(&records);
    assert_eq!(counts.overspend_tokens, 5);
    assert!(!counts.is_safe());
}

#[test]
fn a_whole_answer_without_a_charge_is_unbilled() {
    let mut records = sound();
    records.ledger.charges.remove(0);
    records.ledger.budgets[0].charged = 100;
    let counts = counts(&records);
    assert_eq!(counts.unbilled, 1);
    assert!(!counts.is_safe());
}

#[test]
fn a_key_charged_twice_is_double_billed() {
    let mut records = sound();
    records.ledger.charges[0].tokens = 5;
    records.ledger.charges.push(charge("a", 5));
    let counts = counts(&records);
    assert_eq!(counts.double_billed, 1);
    assert!(!counts.is_safe());
}

#[test]
fn a_key_charged_above_its_use_is_double_billed() {
    let mut records = sound();
    records.ledger.charges[0].tokens = 11;
    records.ledger.budgets[0].charged = 111;
    assert_eq!(counts(&records).double_billed, 1);
}

#[test]
fn a_broken_answer_may_be_charged_for_what_the_server_sent() {
    let mut records = sound();
    records.calls[CHAT].answer = None;
    records.calls[CHAT].attempts[0].end = AttemptEnd::Cut;
    assert_eq!(counts(&records).double_billed, 0);
    records.ledger.charges[0].tokens = 11;
    records.ledger.budgets[0].charged = 111;
    assert_eq!(counts(&records).double_billed, 1);
}

#[test]
fn a_charge_that_no_key_explains_is_double_billed() {
    let mut records = sound();
    records.ledger.budgets[0].charged = 111;
    assert_eq!(counts(&records).double_billed, 1);
}

#[test]
fn an_answer_with_another_marker_is_crossed() {
    let mut records = sound();
    records.calls[CHAT].answer = Some(AnswerRecord {
        text: "ma.0 mb.1 ".to_owned(),
        billed: 10,
    });
    let counts = counts(&records);
    assert_eq!((counts.crossed, counts.cut), (1, 0));
    assert!(!counts.is_safe());
}

#[test]
fn an_order_answered_by_another_run_is_crossed() {
    let mut records = sound();
    records.plain_runs[0].number = 8;
    let counts = counts(&records);
    assert_eq!((counts.crossed, counts.cut), (1, 0));
}

#[test]
fn a_whole_answer_that_lacks_or_repeats_a_token_is_cut() {
    for text in ["ma.0 ", "ma.0 ma.0 ma.1 ", "ma.1 ", ""] {
        let mut records = sound();
        records.calls[CHAT].answer = Some(AnswerRecord {
            text: text.to_owned(),
            billed: 10,
        });
        let counts = counts(&records);
        assert_eq!((counts.crossed, counts.cut), (0, 1), "{text}");
        assert!(!counts.is_safe());
    }
}

#[test]
fn a_call_that_ran_and_is_answered_not_run_is_counted() {
    let mut records = sound();
    refuse(&mut records, ORDER, "not-run", "no_server");
    let found = counts(&records);
    assert_eq!(found.false_not_run, 1);
    assert!(!found.is_safe());
    records.plain_runs[0].started = UnixMillis::new(1_101);
    assert_eq!(counts(&records).false_not_run, 0, "it ran afterwards");
    records.plain_runs[0].started = UnixMillis::new(1_050);
    refuse(&mut records, ORDER, "unknown", "server_failed");
    assert_eq!(counts(&records).false_not_run, 0, "it was answered unknown");
}

#[test]
fn an_order_with_two_runs_ran_twice() {
    let mut records = sound();
    records.plain_runs.push(run("b", 8));
    let counts = counts(&records);
    assert_eq!(counts.ran_twice, 1);
    assert!(!counts.is_safe());
}

#[test]
fn a_chat_may_run_twice() {
    let mut records = sound();
    records.engine_runs.push(run("a", 2));
    assert_eq!(counts(&records), expected());
}

#[test]
fn an_attempt_that_breaks_at_a_stopping_instance_is_cut_by_the_stop() {
    for end in [AttemptEnd::Cut, AttemptEnd::Lost] {
        let mut records = sound();
        records.calls[CHAT].attempts[0].end = end;
        assert_eq!(counts(&records).cut_by_stop, 0);
        records.stops.push(StopWindow {
            instance: 0,
            from: UnixMillis::new(1_090),
            to: UnixMillis::new(2_000),
        });
        let found = counts(&records);
        assert_eq!(found.cut_by_stop, 1);
        assert!(!found.is_safe());
        records.stops[0].instance = 1;
        assert_eq!(counts(&records).cut_by_stop, 0);
    }
}

#[test]
fn a_refusal_for_budget_is_false_while_credits_less_charges_cover_the_call() {
    let mut records = sound();
    refuse(&mut records, CHAT, "not-run", "budget_exhausted");
    records.calls[CHAT].cost = 390;
    assert_eq!(counts(&records).false_refusals, 1);
    records.calls[CHAT].cost = 391;
    assert_eq!(counts(&records).false_refusals, 0);
    records.calls[CHAT].cost = 10;
    refuse(&mut records, CHAT, "not-run", "no_server");
    assert_eq!(counts(&records).false_refusals, 0);
}

#[test]
fn a_percentile_is_the_value_that_so_many_do_not_exceed() {
    let values: Vec<f64> = (1..=200).map(f64::from).collect();
    assert_eq!(check::percentile(&values, 50), 100.0);
    assert_eq!(check::percentile(&values, 99), 198.0);
    assert_eq!(check::percentile(&[], 99), 0.0);
}

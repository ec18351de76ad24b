//! `budgets` and `audit` over a log, word for word.

use std::process::Command;
use std::time::Duration;

use hibiscus_clients::log::HttpLog;
use hibiscus_clients::log::LogService;
use hibiscus_ledger::fold::LedgerFold;
use hibiscus_ledger::record::AllowanceGrant;
use hibiscus_ledger::record::BudgetCredit;
use hibiscus_ledger::record::GrantSeal;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::record::RecordBatch;
use hibiscus_ledger::record::RequestSettlement;
use hibiscus_ledger::record::SettledEnd;
use hibiscus_ledger::record::TopUpId;
use hibiscus_ledger::recovery;
use hibiscus_ledger::stream_of;
use hibiscus_support::LogStandin;
use hibiscus_types::GrantId;
use hibiscus_types::IncarnationId;
use hibiscus_types::RequestKey;
use hibiscus_types::TokenCount;
use hibiscus_types::codec;

/// Time that the log stand-in may take.
const LOG_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the program over `log`: exit code, standard output and error.
fn run(command: &str, log: &LogStandin) -> (i32, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_hibiscusctl"))
        .args([command, "--log", &log.url()])
        .output()
        .expect("the program starts");
    let text = |bytes| String::from_utf8(bytes).expect("the output is text");
    let code = output.status.code().expect("the program ends by itself");
    (code, text(output.stdout), text(output.stderr))
}

fn append(log: &LogStandin, sequence: u64, records: Vec<LedgerRecord>) {
    let batch = RecordBatch {
        incarnation: IncarnationId::from_u128(9),
        sequence,
        records,
    };
    let data = codec::encode(&batch).expect("the batch encodes");
    HttpLog::new(&log.url(), LOG_TIMEOUT)
        .append(&stream_of(0), &data)
        .expect("the log takes it");
}

fn credit() -> LedgerRecord {
    LedgerRecord::Credit(BudgetCredit {
        id: TopUpId("first".to_owned()),
        team: "lab".into(),
        budget: "gold".into(),
        tokens: TokenCount::new(1_000),
    })
}

fn grant() -> LedgerRecord {
    LedgerRecord::Grant(AllowanceGrant {
        id: GrantId::from_u128(1),
        budget: "gold".into(),
        holder: IncarnationId::from_u128(5),
        instance: "router-1".into(),
        tokens: TokenCount::new(600),
        witnesses: vec![IncarnationId::from_u128(7)],
    })
}

fn settlement() -> LedgerRecord {
    LedgerRecord::Settle(RequestSettlement {
        key: RequestKey::new("lab".into(), "plan"),
        grant: GrantId::from_u128(1),
        attempt: 0,
        reserved: TokenCount::new(100),
        charge: TokenCount::new(40),
        end: SettledEnd::Ran,
        answer: None,
    })
}

#[test]
fn budgets_are_shown_with_their_holders_and_why_tokens_are_held() {
    let log = LogStandin::start();
    append(&log, 1, vec![credit(), grant(), settlement()]);
    append(&log, 2, vec![settlement()]);
    let seal = GrantSeal {
        grant: GrantId::from_u128(1),
    };
    append(&log, 3, vec![LedgerRecord::Seal(seal)]);
    let (code, shown, _errors) = run("budgets", &log);
    assert_eq!(
        shown,
        "ledger/0 at offset 3\n\
         gold: team lab, credited 1000, charged 40, outstanding 560, free 400\n  \
         560 outstanding at `router-1`, grant 00000000-0000-0000-0000-000000000001, \
         held: reclaim waits for witness 00000000-0000-0000-0000-000000000007; \
         `releases` frees it once the holder has stopped\n"
    );
    assert_eq!(code, 0);
    let (code, shown, _errors) = run("audit", &log);
    assert_eq!(
        shown,
        "ledger/0: 3 records, 1 budgets, 1 requests charged, 0 faults\n"
    );
    assert_eq!(code, 0);
}

#[test]
fn an_overspent_budget_fails_the_audit() {
    let log = LogStandin::start();
    append(&log, 1, vec![credit()]);
    let mut fold = LedgerFold::default();
    let first = RecordBatch {
        incarnation: IncarnationId::from_u128(9),
        sequence: 1,
        records: vec![credit()],
    };
    fold.apply(0, &first);
    let mut state = serde_json::to_value(&fold).expect("the state serialises");
    state["budgets"]["gold"]["charged"] = 1_001.into();
    let fold: LedgerFold = serde_json::from_value(state).expect("the state is read");
    let snapshot = recovery::snapshot(&fold).expect("the state encodes");
    append(&log, 2, vec![LedgerRecord::Snapshot(snapshot)]);
    log.expire(1);
    let (code, _shown, errors) = run("audit", &log);
    assert_eq!(errors, "error: budget `gold` is overspent at offset 1\n");
    assert_eq!(code, 1);
}

#[test]
fn expired_records_without_a_snapshot_are_an_error() {
    let log = LogStandin::start();
    append(&log, 1, vec![credit()]);
    append(&log, 2, vec![grant()]);
    log.expire(1);
    let (code, _shown, errors) = run("audit", &log);
    assert!(
        errors.starts_with(
            "error: failed to read ledger stream `ledger/0`: \
             no snapshot stands for its expired records\n"
        ),
        "{errors}"
    );
    assert_eq!(code, 2);
}

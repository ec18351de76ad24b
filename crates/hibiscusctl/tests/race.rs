//! Operators who publish at the same moment, over a log that fails.

use std::collections::BTreeSet;
use std::sync::Barrier;
use std::thread;
use std::time::Duration;

use hibiscus_clients::log::HttpLog;
use hibiscus_clients::log::LogService;
use hibiscus_config::CONFIG_STREAM;
use hibiscus_config::file::OperatorFile;
use hibiscus_config::fold::ConfigFold;
use hibiscus_config::load;
use hibiscus_config::record::ConfigRecord;
use hibiscus_support::LogStandin;
use hibiscus_support::log::LogFaults;
use hibiscus_types::codec;
use hibiscusctl::ops::publish;
use hibiscusctl::ops::publish::PublishError;
use hibiscusctl::ops::publish::PublishOptions;
use hibiscusctl::ops::publish::PublishOutcome;

/// Operators who publish at once.
const OPERATORS: usize = 20;
/// Time that a publication may take; far more than it needs.
const LIMIT: Duration = Duration::from_secs(60);

/// A client of `log`.
fn client(log: &LogStandin) -> HttpLog {
    HttpLog::new(&log.url(), Duration::from_secs(5))
}

/// Publishes `text`.
fn publish_text(log: &HttpLog, text: &str) -> PublishOutcome {
    let file = OperatorFile::parse(text).expect("the file is correct");
    let options = PublishOptions {
        removed_by: Some("Ana"),
        limit: LIMIT,
    };
    let report = publish::publish(log, &file, options).expect("the log answers in the end");
    report.outcome
}

/// The file of the operator `number`: `shared` models of one service, and a
/// brand of its own when `own`.
fn text_of(version: u64, number: usize, shared: &str, own: bool) -> String {
    let mut lines = vec![format!(
        r#"{{"version": {version}, "services": [
  {{"name": "llm", "kind": "model", "models": ["{shared}"]}}, // operator {number}
], "brands": ["#
    )];
    if own {
        lines.push(format!(
            r#"  {{"name": "brand-{number}"}}, // operator {number}"#
        ));
    }
    lines.push("]}".to_owned());
    lines.join("\n")
}

/// Publishes all `texts` at the same moment.
fn race(log: &LogStandin, texts: &[String]) -> Vec<PublishOutcome> {
    let barrier = Barrier::new(texts.len());
    thread::scope(|scope| {
        let mut handles = Vec::new();
        for text in texts {
            let log = client(log);
            let barrier = &barrier;
            handles.push(scope.spawn(move || {
                barrier.wait();
                publish_text(&log, text)
            }));
        }
        let join = |handle: thread::ScopedJoinHandle<'_, PublishOutcome>| {
            handle.join().expect("no publisher panics")
        };
        handles.into_iter().map(join).collect()
    })
}

fn load(log: &LogStandin) -> ConfigFold {
    load::load(&client(log)).expect("the log answers")
}

/// The operators whose publication took effect.
fn winners(outcomes: &[PublishOutcome]) -> Vec<usize> {
    let mut winners = Vec::new();
    for (number, outcome) in outcomes.iter().enumerate() {
        if matches!(outcome, PublishOutcome::Accepted { .. }) {
            winners.push(number);
        }
    }
    winners
}

/// One winner, and every loser learns of it, over a log with `faults`.
fn one_winner_under(faults: LogFaults) {
    let log = LogStandin::start();
    publish_text(&client(&log), &text_of(0, 99, "base", false));
    log.set_faults(faults);
    let texts: Vec<String> = (0..OPERATORS)
        .map(|number| text_of(1, number, &format!("model-{number}"), true))
        .collect();
    let outcomes = race(&log, &texts);
    log.set_faults(LogFaults::default());
    let winners = winners(&outcomes);
    assert_eq!(winners.len(), 1, "{outcomes:?}");
    let winner = format!("operator {}", winners[0]);
    for outcome in &outcomes {
        let PublishOutcome::Conflict(conflicts) = outcome else {
            continue;
        };
        assert_eq!(conflicts.len(), 1);
        assert_eq!(conflicts[0].key.to_string(), "services `llm`");
        assert_eq!(conflicts[0].asked_by.as_deref(), Some(winner.as_str()));
    }
    let fold = load(&log);
    let brands: Vec<String> = fold.entries().keys().map(ToString::to_string).collect();
    let own = format!("brands `brand-{}`", winners[0]);
    assert_eq!(brands, [own.as_str(), "services `llm`"]);
}

#[test]
fn one_of_twenty_wins_a_shared_entry_and_the_others_lose_whole() {
    one_winner_under(LogFaults::default());
}

#[test]
fn one_of_twenty_wins_under_lost_replies_and_repeated_reads() {
    one_winner_under(LogFaults {
        lose_every: 2,
        duplicate_reads: true,
        append_delay: Duration::from_millis(3),
        ..LogFaults::default()
    });
}

#[test]
fn twenty_changes_to_different_entries_are_all_in_force() {
    let log = LogStandin::start();
    publish_text(&client(&log), &text_of(0, 99, "base", false));
    log.set_faults(LogFaults {
        lose_every: 3,
        appends_per_second: 50,
        ..LogFaults::default()
    });
    let texts: Vec<String> = (0..OPERATORS)
        .map(|number| text_of(1, number, "base", true))
        .collect();
    let outcomes = race(&log, &texts);
    assert_eq!(winners(&outcomes).len(), OPERATORS, "{outcomes:?}");
    let fold = load(&log);
    assert_eq!(fold.entries().len(), OPERATORS + 1);
    let offsets: BTreeSet<u64> = fold.entries().values().map(|state| state.offset).collect();
    assert_eq!(offsets.len(), OPERATORS + 1);
}

#[test]
fn a_line_that_others_added_is_never_removed_unseen() {
    let log = LogStandin::start();
    publish_text(&client(&log), &text_of(0, 1, "base", true));
    publish_text(&client(&log), &text_of(1, 2, "base", true));
    let outcome = publish_text(&client(&log), &text_of(1, 3, "base", true));
    assert!(matches!(outcome, PublishOutcome::Accepted { .. }));
    let names: Vec<String> = load(&log)
        .entries()
        .keys()
        .map(ToString::to_string)
        .collect();
    // `brand-1` was seen (version 1) and has no line; `brand-2` was not.
    assert_eq!(
        names,
        ["brands `brand-2`", "brands `brand-3`", "services `llm`"]
    );
}

#[test]
fn a_publication_killed_after_its_append_is_found_by_the_next_run() {
    let log = LogStandin::start();
    let text = text_of(0, 1, "base", true);
    let file = OperatorFile::parse(&text).expect("the file is correct");
    let changes = file.plan(&ConfigFold::default()).changes;
    let record = ConfigRecord::proposal(0, changes).expect("it encodes");
    let data = codec::encode(&record).expect("it encodes");
    let client = client(&log);
    client.append(CONFIG_STREAM, &data).expect("it is appended");
    let outcome = publish_text(&client, &text);
    let expected = PublishOutcome::InForce {
        version: 1,
        newest: Some((record.publication, 0)),
    };
    assert_eq!(outcome, expected);
    // The killed publisher's append arrives once more, late.
    client.append(CONFIG_STREAM, &data).expect("it is appended");
    assert_eq!(load(&log).version(), 1);
}

#[test]
fn a_log_that_is_down_leaves_nothing_appended_and_says_so() {
    let log = LogStandin::start();
    log.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    let file = OperatorFile::parse(&text_of(0, 1, "base", true)).expect("the file is correct");
    let options = PublishOptions {
        removed_by: None,
        limit: Duration::from_millis(50),
    };
    let error = publish::publish(&client(&log), &file, options).expect_err("the log is down");
    assert!(matches!(error, PublishError::Load(_)));
    assert_eq!(error.to_string(), "failed to publish: nothing was appended");
    assert_eq!(log.appends(), 0);
}

//! Tests the table of crash reports and the quarantine that follows from them.

use std::collections::BTreeSet;
use std::time::Duration;

use hibiscus_request::fingerprint::RequestFingerprint;
use hibiscus_request::suspects::CrashKey;
use hibiscus_request::suspects::CrashReport;
use hibiscus_request::suspects::CrashTable;
use hibiscus_request::suspects::SUSPECT_LIMIT;
use hibiscus_request::suspects::ServerProcess;
use hibiscus_types::UnixMillis;

/// An arbitrary time.
const NOW: UnixMillis = UnixMillis::new(1_000_000_000);

fn fingerprint(body: &str) -> RequestFingerprint {
    RequestFingerprint::of("team-a", "/often/x", body.as_bytes())
}

/// A report that the server `number` crashed while it ran `body`, whose sender
/// knew of `known_rounds` rounds.
fn crash(body: &str, number: u64, known_rounds: u8, isolated: bool) -> CrashReport {
    CrashReport {
        fingerprint: fingerprint(body),
        server: format!("i-{number}").as_str().into(),
        started: number,
        known_rounds,
        isolated,
        reporter: "front-1".into(),
        seen: NOW.after(Duration::from_millis(u64::from(known_rounds) * 400)),
    }
}

fn at(seconds: u64) -> UnixMillis {
    NOW.after(Duration::from_secs(seconds))
}

fn is_quarantined(table: &CrashTable, body: &str, now: UnixMillis) -> bool {
    let summary = table.summary(&fingerprint(body), now);
    summary.is_some_and(|summary| summary.quarantined_until.is_some())
}

/// Guards against quarantining requests after a single crash of many servers.
#[test]
fn servers_that_crash_at_the_same_moment_make_one_round() {
    let mut table = CrashTable::default();
    for number in 0..12 {
        assert!(table.merge(crash("a", number, 0, true), Duration::ZERO));
    }
    let summary = table.summary(&fingerprint("a"), at(1)).expect("a summary");
    assert_eq!((summary.servers, summary.rounds), (12, 1));
    assert!(!is_quarantined(&table, "a", at(1)));
}

#[test]
fn two_isolated_rounds_quarantine_and_otherwise_three_do() {
    for (alone, rounds) in [(true, 2), (false, 3)] {
        let mut table = CrashTable::default();
        for known_rounds in 0..rounds {
            assert!(
                !is_quarantined(&table, "a", at(3)),
                "{alone} {known_rounds}"
            );
            table.merge(
                crash("a", u64::from(known_rounds), known_rounds, alone),
                Duration::ZERO,
            );
        }
        assert!(is_quarantined(&table, "a", at(3)), "{alone}");
    }
}

#[test]
fn a_crash_is_not_isolated_shortly_after_crashes_of_other_servers() {
    let mut table = CrashTable::default();
    let second = Duration::from_secs(1);
    table.merge(crash("a", 1, 0, true), second);
    let process = |number: u64| ServerProcess::of(&format!("i-{number}").as_str().into(), number);
    assert!(table.is_isolated(&fingerprint("a"), process(2), second * 2));
    table.note_crash(process(7), second * 2);
    assert!(!table.is_isolated(&fingerprint("a"), process(2), second * 3));
    assert!(table.is_isolated(&fingerprint("a"), process(2), second * 13));
}

/// Guards against quarantining a request that got a response.
#[test]
fn a_response_clears_a_request_and_late_copies_of_its_reports_change_nothing() {
    let mut table = CrashTable::default();
    let crashes = [crash("a", 1, 0, true), crash("a", 2, 1, true)];
    for crash in &crashes {
        table.merge(crash.clone(), Duration::ZERO);
    }
    assert!(is_quarantined(&table, "a", at(1)));
    assert_eq!(table.clear(&fingerprint("a")).len(), 2);
    for crash in crashes {
        assert!(!table.merge(crash, Duration::ZERO));
    }
    assert!(table.is_empty());
    assert!(!table.may_contain(fingerprint("a").coarse()));
    // A crash whose sender knew of rounds that were cleared counts as a first one.
    table.merge(crash("a", 3, 1, true), Duration::ZERO);
    assert!(!is_quarantined(&table, "a", at(1)));
}

#[test]
fn a_quarantine_ends_and_another_crash_doubles_its_time() {
    let mut table = CrashTable::default();
    let hour = 3_600;
    table.merge(crash("a", 1, 0, true), Duration::ZERO);
    table.merge(crash("a", 2, 1, true), Duration::ZERO);
    assert!(is_quarantined(&table, "a", at(hour - 10)));
    assert!(!is_quarantined(&table, "a", at(hour + 10)));
    let summary = table
        .summary(&fingerprint("a"), at(hour + 10))
        .expect("a summary");
    assert_eq!(summary.rounds, 2);
    let again = CrashReport {
        seen: at(hour + 10),
        ..crash("a", 3, 2, true)
    };
    table.merge(again, Duration::ZERO);
    assert!(is_quarantined(&table, "a", at(3 * hour)));
    assert!(!is_quarantined(&table, "a", at(3 * hour + 20)));
    assert!(table.expire(at(24 * hour)).is_empty());
    assert_eq!(table.expire(at(26 * hour)).len(), 3);
    assert!(table.is_empty());
}

/// Guards against a team that gets another team's request quarantined.
#[test]
fn the_same_body_from_another_team_or_to_another_path_is_another_request() {
    let mut table = CrashTable::default();
    table.merge(crash("a", 1, 0, true), Duration::ZERO);
    table.merge(crash("a", 2, 1, true), Duration::ZERO);
    for (team, path, body) in [
        ("team-b", "/often/x", "a"),
        ("team-a", "/often/y", "a"),
        ("team-a", "/often/x", "b"),
    ] {
        let other = RequestFingerprint::of(team, path, body.as_bytes());
        assert_eq!(table.summary(&other, at(1)), None);
    }
}

/// Guards against a table that grows without limit, and against evicting
/// quarantined requests in favour of those with fewer rounds.
#[test]
fn a_full_table_evicts_the_requests_with_the_fewest_rounds() {
    let mut table = CrashTable::default();
    table.merge(crash("condemned", 1, 0, true), Duration::ZERO);
    table.merge(crash("condemned", 2, 1, true), Duration::ZERO);
    let surplus = 100;
    for number in 0..SUSPECT_LIMIT + surplus {
        let body = format!("body {number}");
        table.merge(crash(&body, 3, 0, true), Duration::ZERO);
    }
    assert_eq!(table.len(), SUSPECT_LIMIT);
    assert!(is_quarantined(&table, "condemned", at(1)));
    assert_eq!(table.expire(at(1)).len(), surplus + 1);
}

#[test]
fn after_a_gap_reports_missing_in_the_topic_are_removed_and_unstored_ones_stay() {
    let mut table = CrashTable::default();
    let (stored, own) = (crash("a", 1, 0, true), crash("b", 2, 0, true));
    table.merge(stored.clone(), Duration::ZERO);
    table.note_stored(&stored.key());
    table.merge(own.clone(), Duration::ZERO);
    assert_eq!(
        table.not_stored(Duration::from_secs(1)),
        std::slice::from_ref(&own)
    );
    table.retain_stored(&BTreeSet::new());
    assert_eq!(table.summary(&stored.fingerprint, at(1)), None);
    assert!(table.summary(&own.fingerprint, at(1)).is_some());
}

/// Guards against a quarantine that ends because the store lost the reports of it (issue
/// 39).
#[test]
fn reports_that_the_store_may_have_lost_stay_and_are_stored_again() {
    let mut table = CrashTable::default();
    let stored = crash("a", 1, 0, true);
    table.merge(stored.clone(), Duration::ZERO);
    table.note_stored(&stored.key());
    table.forget_stored();
    table.retain_stored(&BTreeSet::new());
    assert_eq!(table.not_stored(Duration::from_secs(1)), [stored]);
}

#[test]
fn a_key_parses_from_its_displayed_text() {
    let key = crash("a", 1, 0, true).key();
    assert_eq!(CrashKey::parse(&key.to_string()), Some(key));
    for text in ["", "12", "/", "zz/1"] {
        assert_eq!(CrashKey::parse(text), None, "{text}");
    }
}

/// Reports may be merged in any order and repeatedly.
#[test]
fn reports_in_any_order_lead_to_the_same_quarantine() {
    let crashes: Vec<CrashReport> = (0..3)
        .map(|known_rounds| crash("a", u64::from(known_rounds), known_rounds, false))
        .collect();
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0], [0, 2, 1]] {
        let mut table = CrashTable::default();
        for index in order.into_iter().chain([0, 2]) {
            table.merge(crashes[index].clone(), Duration::ZERO);
        }
        assert!(is_quarantined(&table, "a", at(2)), "{order:?}");
    }
}

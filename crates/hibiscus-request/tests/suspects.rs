//! Requests under which servers ended.

use std::collections::BTreeSet;
use std::time::Duration;

use hibiscus_request::fingerprint::RequestFingerprint;
use hibiscus_request::suspects::CrashKey;
use hibiscus_request::suspects::CrashReport;
use hibiscus_request::suspects::CrashTable;
use hibiscus_request::suspects::SUSPECT_LIMIT;
use hibiscus_request::suspects::ServerProcess;
use hibiscus_types::UnixMillis;

/// A moment of the day.
const NOW: UnixMillis = UnixMillis::new(1_000_000_000);

fn fingerprint(body: &str) -> RequestFingerprint {
    RequestFingerprint::of("team-a", "/often/x", body.as_bytes())
}

/// The end of the server `number` under `body`, sent by one that knew of
/// `known` rounds.
fn end(body: &str, number: u64, known: u8, alone: bool) -> CrashReport {
    CrashReport {
        fingerprint: fingerprint(body),
        server: format!("i-{number}").as_str().into(),
        started: number,
        known,
        alone,
        reporter: "front-1".into(),
        seen: NOW.after(Duration::from_millis(u64::from(known) * 400)),
    }
}

fn at(seconds: u64) -> UnixMillis {
    NOW.after(Duration::from_secs(seconds))
}

fn is_condemned(book: &CrashTable, body: &str, now: UnixMillis) -> bool {
    let case = book.case(&fingerprint(body), now);
    case.is_some_and(|case| case.released.is_some())
}

/// Guards against condemning requests for one crash of many servers.
#[test]
fn servers_that_end_at_the_same_moment_are_one_round() {
    let mut book = CrashTable::default();
    for number in 0..12 {
        assert!(book.take(end("a", number, 0, true), Duration::ZERO));
    }
    let case = book.case(&fingerprint("a"), at(1)).expect("a case");
    assert_eq!((case.servers, case.rounds), (12, 1));
    assert!(!is_condemned(&book, "a", at(1)));
}

#[test]
fn two_rounds_condemn_when_no_other_server_ended_and_three_do_otherwise() {
    for (alone, rounds) in [(true, 2), (false, 3)] {
        let mut book = CrashTable::default();
        for known in 0..rounds {
            assert!(!is_condemned(&book, "a", at(3)), "{alone} {known}");
            book.take(end("a", u64::from(known), known, alone), Duration::ZERO);
        }
        assert!(is_condemned(&book, "a", at(3)), "{alone}");
    }
}

#[test]
fn ends_of_other_servers_shortly_before_speak_for_a_request() {
    let mut book = CrashTable::default();
    let second = Duration::from_secs(1);
    book.take(end("a", 1, 0, true), second);
    let process = |number: u64| ServerProcess::of(&format!("i-{number}").as_str().into(), number);
    assert!(book.is_alone(&fingerprint("a"), process(2), second * 2));
    book.note_crash(process(7), second * 2);
    assert!(!book.is_alone(&fingerprint("a"), process(2), second * 3));
    assert!(book.is_alone(&fingerprint("a"), process(2), second * 13));
}

/// Guards against a request that is condemned although it is answered.
#[test]
fn an_answer_clears_a_request_and_late_copies_of_its_ends_change_nothing() {
    let mut book = CrashTable::default();
    let ends = [end("a", 1, 0, true), end("a", 2, 1, true)];
    for end in &ends {
        book.take(end.clone(), Duration::ZERO);
    }
    assert!(is_condemned(&book, "a", at(1)));
    assert_eq!(book.clear(&fingerprint("a")).len(), 2);
    for end in ends {
        assert!(!book.take(end, Duration::ZERO));
    }
    assert!(book.is_empty());
    assert!(!book.may_hold(fingerprint("a").coarse()));
    // An end whose sender knew of rounds that were cleared is a first one.
    book.take(end("a", 3, 1, true), Duration::ZERO);
    assert!(!is_condemned(&book, "a", at(1)));
}

#[test]
fn a_condemned_request_is_released_and_another_end_doubles_the_time() {
    let mut book = CrashTable::default();
    let hour = 3_600;
    book.take(end("a", 1, 0, true), Duration::ZERO);
    book.take(end("a", 2, 1, true), Duration::ZERO);
    assert!(is_condemned(&book, "a", at(hour - 10)));
    assert!(!is_condemned(&book, "a", at(hour + 10)));
    let case = book.case(&fingerprint("a"), at(hour + 10)).expect("a case");
    assert_eq!(case.rounds, 2);
    let again = CrashReport {
        seen: at(hour + 10),
        ..end("a", 3, 2, true)
    };
    book.take(again, Duration::ZERO);
    assert!(is_condemned(&book, "a", at(3 * hour)));
    assert!(!is_condemned(&book, "a", at(3 * hour + 20)));
    assert!(book.expire(at(24 * hour)).is_empty());
    assert_eq!(book.expire(at(26 * hour)).len(), 3);
    assert!(book.is_empty());
}

/// Guards against a team that condemns the request of another.
#[test]
fn the_same_body_of_another_team_or_to_another_path_is_another_request() {
    let mut book = CrashTable::default();
    book.take(end("a", 1, 0, true), Duration::ZERO);
    book.take(end("a", 2, 1, true), Duration::ZERO);
    for (team, path, body) in [
        ("team-b", "/often/x", "a"),
        ("team-a", "/often/y", "a"),
        ("team-a", "/often/x", "b"),
    ] {
        let other = RequestFingerprint::of(team, path, body.as_bytes());
        assert_eq!(book.case(&other, at(1)), None);
    }
}

/// Guards against a table that grows, and against losing what is condemned to
/// what proves little.
#[test]
fn a_full_book_drops_the_requests_that_prove_least() {
    let mut book = CrashTable::default();
    book.take(end("condemned", 1, 0, true), Duration::ZERO);
    book.take(end("condemned", 2, 1, true), Duration::ZERO);
    let surplus = 100;
    for number in 0..SUSPECT_LIMIT + surplus {
        let body = format!("body {number}");
        book.take(end(&body, 3, 0, true), Duration::ZERO);
    }
    assert_eq!(book.len(), SUSPECT_LIMIT);
    assert!(is_condemned(&book, "condemned", at(1)));
    assert_eq!(book.expire(at(1)).len(), surplus + 1);
}

#[test]
fn after_a_gap_what_the_topic_no_longer_holds_is_dropped_and_own_news_stay() {
    let mut book = CrashTable::default();
    let (stored, own) = (end("a", 1, 0, true), end("b", 2, 0, true));
    book.take(stored.clone(), Duration::ZERO);
    book.note_stored(&stored.key());
    book.take(own.clone(), Duration::ZERO);
    assert_eq!(
        book.not_stored(Duration::from_secs(1)),
        std::slice::from_ref(&own)
    );
    book.keep_stored(&BTreeSet::new());
    assert_eq!(book.case(&stored.fingerprint, at(1)), None);
    assert!(book.case(&own.fingerprint, at(1)).is_some());
}

#[test]
fn a_key_reads_back_as_it_was_written() {
    let key = end("a", 1, 0, true).key();
    assert_eq!(CrashKey::parse(&key.to_string()), Some(key));
    for text in ["", "12", "/", "zz/1"] {
        assert_eq!(CrashKey::parse(text), None, "{text}");
    }
}

/// Merging is independent of order and of repeats.
#[test]
fn evidence_in_any_order_leads_to_the_same_verdict() {
    let ends: Vec<CrashReport> = (0..3)
        .map(|known| end("a", u64::from(known), known, false))
        .collect();
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0], [0, 2, 1]] {
        let mut book = CrashTable::default();
        for index in order.into_iter().chain([0, 2]) {
            book.take(ends[index].clone(), Duration::ZERO);
        }
        assert!(is_condemned(&book, "a", at(2)), "{order:?}");
    }
}

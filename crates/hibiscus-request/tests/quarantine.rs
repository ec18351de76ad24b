//! Which requests are suspects and which are quarantined.

use std::time::Duration;

use hibiscus_request::quarantine::BodyFingerprint;
use hibiscus_request::quarantine::CRASH_LIFETIME;
use hibiscus_request::quarantine::RequestSuspicion;
use hibiscus_request::quarantine::ServerCrash;
use hibiscus_request::quarantine::SuspectTable;
use hibiscus_types::UnixMillis;

/// When the deaths of these tests are seen.
const SEEN: UnixMillis = UnixMillis::new(1_000_000);

fn fingerprint(body: &str) -> BodyFingerprint {
    BodyFingerprint::of(&"team".into(), "/path", body.as_bytes())
}

fn death(body: &str, server: &str, alone: bool) -> ServerCrash {
    ServerCrash {
        fingerprint: fingerprint(body),
        server: server.into(),
        alone,
        seen: SEEN,
    }
}

#[test]
fn a_second_server_lost_alone_quarantines() {
    let mut table = SuspectTable::default();
    table.record(&death("crash", "server-1", false));
    let once = table.suspicion(fingerprint("crash"), SEEN);
    assert_eq!(once, RequestSuspicion::Suspect);
    table.record(&death("crash", "server-2", true));
    let twice = table.suspicion(fingerprint("crash"), SEEN);
    assert_eq!(twice, RequestSuspicion::Quarantined);
    let other = table.suspicion(fingerprint("other"), SEEN);
    assert_eq!(other, RequestSuspicion::Clear);
}

#[test]
fn repeats_of_one_death_do_not_quarantine() {
    let mut table = SuspectTable::default();
    for _repeat in 0..5 {
        table.record(&death("crash", "server-1", true));
    }
    let state = table.suspicion(fingerprint("crash"), SEEN);
    assert_eq!(state, RequestSuspicion::Suspect);
}

#[test]
fn a_request_that_only_ran_beside_others_is_not_quarantined() {
    let mut table = SuspectTable::default();
    for server in ["server-1", "server-2", "server-3"] {
        table.record(&death("innocent", server, false));
    }
    let state = table.suspicion(fingerprint("innocent"), SEEN);
    assert_eq!(state, RequestSuspicion::Suspect);
    table.clear(fingerprint("innocent"));
    let state = table.suspicion(fingerprint("innocent"), SEEN);
    assert_eq!(state, RequestSuspicion::Clear);
}

#[test]
fn deaths_are_forgotten_after_their_lifetime() {
    let mut table = SuspectTable::default();
    table.record(&death("crash", "server-1", true));
    table.record(&death("crash", "server-2", true));
    let later = SEEN.after(CRASH_LIFETIME + Duration::from_millis(1));
    let state = table.suspicion(fingerprint("crash"), later);
    assert_eq!(state, RequestSuspicion::Clear);
}

#[test]
fn the_table_stays_bounded() {
    let mut table = SuspectTable::default();
    for index in 0..10_500 {
        table.record(&death(&format!("body-{index}"), "server-1", false));
    }
    assert_eq!(table.len(), 10_000);
}

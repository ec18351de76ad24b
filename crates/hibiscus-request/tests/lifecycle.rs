//! Tests which requests can be proved not to have run.

use hibiscus_request::lifecycle::AdmittedRequest;
use hibiscus_request::lifecycle::NotBegunEvidence;
use hibiscus_types::GrantId;
use hibiscus_types::RequestKey;
use hibiscus_types::ServerName;
use hibiscus_types::TokenCount;

#[test]
fn only_statuses_that_refuse_a_request_are_evidence_that_it_did_not_begin() {
    for status in 100..=599 {
        let evidence = NotBegunEvidence::engine_refused(status);
        assert_eq!(evidence.is_some(), matches!(status, 429 | 503), "{status}");
    }
}

#[test]
fn a_request_whose_connection_was_refused_is_proved_not_run() {
    let key = RequestKey::new("team".into(), "key");
    let admitted = AdmittedRequest::new(key.clone());
    let opened = admitted.opened(GrantId::generate(), TokenCount::new(5), 3);
    let dispatched = opened.dispatch(ServerName::from("server"));
    let opened = dispatched
        .not_begun(NotBegunEvidence::connection_refused())
        .expect("no earlier attempt may have run it");
    assert_eq!(opened.attempt(), 3);
    assert_eq!(*opened.refuse().key(), key);
}

/// Guards against a request that a server began being refused as not run because the
/// next server refused it (issue 48).
#[test]
fn a_request_that_may_have_run_is_not_proved_not_run_by_a_later_attempt() {
    let evidence = [
        NotBegunEvidence::engine_refused(503).expect("503 is evidence"),
        NotBegunEvidence::connection_refused(),
    ];
    let key = RequestKey::new("team".into(), "key");
    let opened = AdmittedRequest::new(key).opened(GrantId::generate(), TokenCount::new(5), 3);
    let mut failed = opened.dispatch(ServerName::from("first")).failed();
    for evidence in evidence {
        let dispatched = failed.dispatch_again(ServerName::from("next"));
        failed = dispatched
            .not_begun(evidence)
            .expect_err("the first server may have run it");
    }
}

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
    let opened = dispatched.not_begun(NotBegunEvidence::connection_refused());
    assert_eq!(opened.attempt(), 3);
    assert_eq!(*opened.refuse().key(), key);
}

//! Evidence and proof that a request did not run.

use hibiscus_request::lifecycle::AdmittedRequest;
use hibiscus_request::lifecycle::NotBegunEvidence;
use hibiscus_types::GrantId;
use hibiscus_types::RequestKey;
use hibiscus_types::ServerName;
use hibiscus_types::TokenCount;

#[test]
fn only_the_refusing_statuses_of_an_engine_are_evidence() {
    for status in 100..=599 {
        let evidence = NotBegunEvidence::engine_refused(status);
        assert_eq!(evidence.is_some(), matches!(status, 429 | 503), "{status}");
    }
}

#[test]
fn a_request_whose_connection_was_refused_can_be_proved_not_run() {
    let key = RequestKey::new("team".into(), "key");
    let admitted = AdmittedRequest::new(key.clone());
    let opened = admitted.opened(GrantId::generate(), TokenCount::new(5), 3);
    let dispatched = opened.dispatch(ServerName::from("server"));
    let opened = dispatched.not_begun(NotBegunEvidence::connection_refused());
    assert_eq!(opened.attempt(), 3);
    assert_eq!(*opened.refuse().key(), key);
}

//! Heads of answers to callers.

use hibiscus_router::callers::answer;
use hibiscus_router::callers::answer::AnswerHead;
use hibiscus_router::callers::body::AnswerBody;
use hibiscus_types::RequestOutcome;

/// Guards against an empty 200 in place of an answer whose head cannot be sent
/// (issue 48).
#[test]
fn an_answer_whose_head_cannot_be_sent_is_no_success() {
    for (status, content_type) in [(200, "text\n"), (1_000, "text/plain")] {
        let head = AnswerHead {
            status,
            content_type: content_type.to_owned(),
            outcome: RequestOutcome::Ran,
            key: String::new(),
        };
        let response = answer::respond(&head, AnswerBody::whole("fit well"));
        assert_eq!(response.status(), 502, "{status} {content_type:?}");
    }
}

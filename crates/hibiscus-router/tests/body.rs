//! The body of an answer: whole only when its request said so.

use std::future::Future;

use hibiscus_router::callers::body;
use hibiscus_router::callers::body::AnswerBody;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Bytes;
use tokio::runtime::Builder;

/// Runs `future` to its end.
fn block_on<F: Future>(future: F) -> F::Output {
    Builder::new_current_thread()
        .build()
        .expect("the runtime starts")
        .block_on(future)
}

#[test]
fn a_finished_answer_is_whole() {
    let (sender, answer) = body::channel();
    assert!(sender.send("fit "));
    assert!(sender.send("well"));
    assert!(sender.finish());
    let collected = block_on(answer.collect());
    let bytes = collected.map(|whole| whole.to_bytes());
    assert_eq!(bytes.ok(), Some(Bytes::from("fit well")));
}

#[test]
fn an_answer_whose_sender_is_dropped_breaks_off() {
    let (sender, answer) = body::channel();
    assert!(sender.send("fit "));
    drop(sender);
    assert!(block_on(answer.collect()).is_err());
}

#[test]
fn a_sender_learns_that_its_caller_has_left() {
    let (sender, answer) = body::channel();
    drop(answer);
    assert!(sender.is_closed());
    assert!(!sender.send("late"));
}

#[test]
fn an_answer_sent_at_once_names_its_length() {
    let answer = AnswerBody::whole("fit well");
    assert_eq!(answer.size_hint().exact(), Some(8));
    let collected = block_on(answer.collect());
    let bytes = collected.map(|whole| whole.to_bytes());
    assert_eq!(bytes.ok(), Some(Bytes::from("fit well")));
}

//! Model engines and plain services: whole, resumed and broken answers.

use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::engine::CallHeaders;
use hibiscus_clients::engine::EngineClient;
use hibiscus_clients::engine::EngineError;
use hibiscus_clients::engine::PlainAnswer;
use hibiscus_clients::engine::Result;
use hibiscus_clients::engine::StreamStep;
use hibiscus_support::EngineStandin;
use hibiscus_support::PlainStandin;
use hibiscus_support::engine::EngineBehaviour;
use hibiscus_support::plain::PlainFaults;

use crate::contracts::ContractRow;
use crate::contracts::run_table;

/// Silence after which the client gives a server up.
const SILENCE: Duration = Duration::from_secs(2);
/// Time that a wait may take before the test gives up.
const STEP_LIMIT: Duration = Duration::from_secs(20);

/// What travels beside a call of request `id`.
fn headers<'a>(id: &'a str, fencing: &'a str, resume_from: u64) -> CallHeaders<'a> {
    CallHeaders {
        request_id: id,
        fencing,
        priority: 5,
        remaining: Duration::from_secs(30),
        resume_from,
    }
}

/// Reads a chat to its end; the text and whether the end marker came.
fn chat(engine: &EngineStandin, prompt: &str, fencing: &str, from: u64) -> (String, Result<()>) {
    let body = format!(
        r#"{{"model":"stylist","stream":true,"max_tokens":64,"messages":[{{"role":"user","content":"{prompt}"}}]}}"#
    );
    let client = EngineClient::new(SILENCE);
    let mut text = String::new();
    let started = client.start_chat(
        engine.address(),
        body.as_bytes(),
        &headers("r1", fencing, from),
    );
    let mut stream = match started {
        Ok(stream) => stream,
        Err(error) => return (text, Err(error)),
    };
    loop {
        match stream.next_step() {
            Ok(StreamStep::End) => return (text, Ok(())),
            Ok(StreamStep::Chunk(chunk)) => {
                let choice = chunk.choices.first();
                let content = choice.and_then(|choice| choice.delta.content.as_deref());
                text.push_str(content.unwrap_or(""));
            }
            Err(error) => return (text, Err(error)),
        }
    }
}

fn start_engine() -> EngineStandin {
    EngineStandin::start(EngineBehaviour::default())
}

fn behave<F: FnOnce(&mut EngineBehaviour)>(engine: &EngineStandin, edit: F) {
    let mut behaviour = EngineBehaviour::default();
    edit(&mut behaviour);
    engine.set_behaviour(behaviour);
}

#[test]
fn the_engine_and_its_client_keep_one_contract() {
    let rows: [ContractRow<EngineStandin>; 10] = [
        ContractRow {
            name: "a whole answer has every token and the end marker",
            check: |engine| {
                let (text, end) = chat(engine, "fit len=3", "", 0);
                assert!(end.is_ok());
                assert_eq!(text, "fit.0 fit.1 fit.2 ");
                assert!(engine.runs()[0].whole);
                assert_eq!(engine.runs()[0].request_id, "r1");
            },
        },
        ContractRow {
            name: "a resumed answer goes on with the token asked for",
            check: |engine| {
                let (text, end) = chat(engine, "fit len=4", "", 2);
                assert!(end.is_ok());
                assert_eq!(text, "fit.2 fit.3 ");
                assert_eq!(engine.runs()[0].resumed_from, 2);
            },
        },
        ContractRow {
            name: "an answer with another request's id is crossed",
            check: |engine| {
                behave(engine, |behaviour| behaviour.crossed = true);
                let (text, end) = chat(engine, "fit", "", 0);
                assert!(matches!(end, Err(EngineError::Crossed)), "{end:?}");
                assert_eq!(text, "");
            },
        },
        ContractRow {
            name: "an answer without its end marker is truncated",
            check: |engine| {
                behave(engine, |behaviour| behaviour.truncate_after = Some(2));
                let (text, end) = chat(engine, "fit len=5", "", 0);
                assert!(matches!(end, Err(EngineError::Truncated)), "{end:?}");
                assert_eq!(text, "fit.0 fit.1 ");
                assert!(!engine.runs()[0].whole);
            },
        },
        ContractRow {
            name: "a refusal runs nothing",
            check: |engine| {
                behave(engine, |behaviour| behaviour.refusing = true);
                let (_text, end) = chat(engine, "fit", "", 0);
                let refused = matches!(end, Err(EngineError::Refused { status: 503 }));
                assert!(refused, "{end:?}");
                assert!(engine.runs().is_empty());
            },
        },
        ContractRow {
            name: "a silent engine is given up as broken, and it may have run",
            check: |engine| {
                behave(engine, |behaviour| behaviour.hanging = true);
                let (_text, end) = chat(engine, "fit", "", 0);
                assert!(matches!(end, Err(EngineError::Broken)), "{end:?}");
                assert_eq!(engine.runs().len(), 1);
            },
        },
        ContractRow {
            name: "an old fencing number is refused where numbers are checked",
            check: |engine| {
                behave(engine, |behaviour| behaviour.checks_fencing = true);
                assert!(chat(engine, "fit", "0a", 0).1.is_ok());
                let (_text, end) = chat(engine, "fit", "09", 0);
                assert!(matches!(end, Err(EngineError::Refused { .. })), "{end:?}");
                assert_eq!(engine.runs().len(), 1);
            },
        },
        ContractRow {
            name: "an old fencing number is ignored elsewhere",
            check: |engine| {
                assert!(chat(engine, "fit", "0a", 0).1.is_ok());
                assert!(chat(engine, "fit", "09", 0).1.is_ok());
            },
        },
        ContractRow {
            name: "a crashing request stops the engine, which then refuses connections",
            check: |engine| {
                let (_text, end) = chat(engine, "fit crash", "", 0);
                assert!(end.is_err());
                assert!(engine.is_stopped());
                let deadline = Instant::now() + STEP_LIMIT;
                loop {
                    let (_text, end) = chat(engine, "fit", "", 0);
                    if matches!(end, Err(EngineError::NotConnected(_))) {
                        break;
                    }
                    assert!(Instant::now() < deadline, "{end:?}");
                }
            },
        },
        ContractRow {
            name: "dropping the stream cancels the run",
            check: |engine| {
                let client = EngineClient::new(SILENCE);
                let body = br#"{"model":"stylist","messages":[{"content":"fit len=100000"}]}"#;
                let started = client.start_chat(engine.address(), body, &headers("r1", "", 0));
                drop(started.expect("the engine answers"));
                let deadline = Instant::now() + STEP_LIMIT;
                while engine.running() > 0 {
                    assert!(Instant::now() < deadline, "the run goes on");
                }
                assert!(engine.runs()[0].cancelled);
            },
        },
    ];
    run_table(&rows, start_engine);
}

/// Calls the plain service as request `id`.
fn call(plain: &PlainStandin, id: &str) -> Result<PlainAnswer> {
    let client = EngineClient::new(SILENCE);
    client.call_plain(plain.address(), "/orders", b"hem", &headers(id, "", 0))
}

#[test]
fn the_plain_service_and_its_client_keep_one_contract() {
    let rows: [ContractRow<PlainStandin>; 4] = [
        ContractRow {
            name: "a call is answered and recorded",
            check: |plain| {
                let answer = call(plain, "r1").expect("the service answers");
                assert_eq!(
                    (answer.status, answer.body),
                    (200, b"{\"order\":1}".to_vec())
                );
                assert_eq!(answer.content_type, "application/json");
                let run = &plain.runs()[0];
                assert_eq!(run.request_id, "r1");
                assert_eq!(run.path, "/orders");
                assert_eq!(run.body, "hem");
            },
        },
        ContractRow {
            name: "a failed call is answered with its status, and it ran",
            check: |plain| {
                plain.set_faults(PlainFaults {
                    failing: true,
                    ..PlainFaults::default()
                });
                let answer = call(plain, "r1").expect("the service answers");
                assert_eq!(answer.status, 500);
                assert_eq!(plain.runs().len(), 1);
            },
        },
        ContractRow {
            name: "an answer with another request's id is crossed, and it ran",
            check: |plain| {
                plain.set_faults(PlainFaults {
                    crossed: true,
                    ..PlainFaults::default()
                });
                assert!(matches!(call(plain, "r1"), Err(EngineError::Crossed)));
                assert_eq!(plain.runs().len(), 1);
            },
        },
        ContractRow {
            name: "a slow call is given up as broken, and it ran",
            check: |plain| {
                plain.set_faults(PlainFaults {
                    delay: SILENCE * 2,
                    ..PlainFaults::default()
                });
                assert!(matches!(call(plain, "r1"), Err(EngineError::Broken)));
                assert_eq!(plain.runs().len(), 1);
            },
        },
    ];
    run_table(&rows, PlainStandin::start);
}

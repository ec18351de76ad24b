//! Faults of one engine beside two sound ones, a case a file in
//! `cases/servers`: every caller gets its own whole answer, and the faulty
//! engine's runs end.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_support::EngineStandin;
use hibiscus_support::PlainStandin;
use hibiscus_support::engine::EngineBehaviour;
use hibiscus_support::requests;
use hibiscus_support::requests::RequestFleet;
use serde_json::Value;

/// Callers at once.
const CALLERS: usize = 6;
/// Time without a byte after which an engine is given up, in milliseconds.
const SILENCE_MS: u64 = 1_000;
/// Give-up limit of waits.
const LIMIT: Duration = Duration::from_secs(20);
/// Time between looks of a wait.
const POLL: Duration = Duration::from_millis(20);

/// The behaviour that a case describes.
fn behaviour(fault: &Value) -> EngineBehaviour {
    let fields = fault.as_object().expect("a fault is an object");
    let mut behaviour = EngineBehaviour::default();
    for (name, value) in fields {
        match name.as_str() {
            "truncate_after" => behaviour.truncate_after = value.as_u64(),
            "crossed" => behaviour.crossed = value == true,
            "hanging" => behaviour.hanging = value == true,
            "refusing" => behaviour.refusing = value == true,
            other => panic!("unknown fault `{other}`"),
        }
    }
    behaviour
}

/// The whole answer to `marker`.
fn whole_text(marker: &str) -> String {
    let mut text = String::new();
    for index in 0..20 {
        text.push_str(&format!("{marker}.{index} "));
    }
    text
}

fn check(path: &Path) -> datatest_stable::Result<()> {
    let case: Value = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let engines = [
        EngineStandin::start(behaviour(&case["fault"])),
        EngineStandin::start(EngineBehaviour::default()),
        EngineStandin::start(EngineBehaviour::default()),
    ];
    let service = PlainStandin::start();
    let fleet = RequestFleet::start(3, Duration::ZERO, |settings| {
        settings.limits.server_silence_ms = SILENCE_MS;
    });
    let platform = &fleet.platform;
    platform.list_server("book-1", "tailorbook", "regina", service.address());
    for (index, engine) in engines.iter().enumerate() {
        let name = format!("engine-{index}");
        platform.list_server(&name, "stylist-llm", "regina", engine.address());
    }
    fleet.wait_ready();
    let mut callers = Vec::new();
    for index in 0..CALLERS {
        let address = fleet.address(0);
        callers.push(thread::spawn(move || {
            let marker = format!("piece{index}");
            let prompt = format!("{marker} len=20");
            let reply = requests::stream_chat(address, &format!("chat-{index}"), &prompt);
            assert!(reply.has_end(), "{reply:?}");
            assert_eq!(reply.streamed_text(), whole_text(&marker));
        }));
    }
    for caller in callers {
        caller.join().expect("the answer is whole");
    }
    check_end(&engines[0], case["cancelled"] == true);
    Ok(())
}

/// Waits until `engine` runs nothing, and compares how its runs ended.
fn check_end(engine: &EngineStandin, cancelled: bool) {
    let deadline = Instant::now() + LIMIT;
    while engine.running() > 0 {
        assert!(Instant::now() < deadline, "gave up waiting for the runs");
        thread::sleep(POLL);
    }
    for run in engine.runs() {
        assert_eq!(run.cancelled, cancelled, "{run:?}");
        assert!(!run.whole, "{run:?}");
    }
}

datatest_stable::harness! {
    { test = check, root = "cases/servers", pattern = r"\.json$" },
}

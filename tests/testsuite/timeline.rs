//! One request's life on the time line of a fleet of processes.

use std::collections::BTreeSet;
use std::process::Command;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_support::EngineStandin;
use hibiscus_support::engine::EngineBehaviour;
use hibiscus_support::fleet::StandinPlatform;
use hibiscus_support::process;
use hibiscus_support::process::RouterProcess;

/// Time that a step may take before the test gives up.
const STEP_LIMIT: Duration = Duration::from_secs(20);
/// Time between looks.
const POLL: Duration = Duration::from_millis(50);
/// Instances and their data centres.
const INSTANCES: [(&str, &str); 3] = [
    ("router-1", "regina"),
    ("router-2", "saskatoon"),
    ("router-3", "winnipeg"),
];

/// Tokens of the answer that a router's death cuts off.
const LOST_LENGTH: u64 = 100;

/// A fleet, its platform and one slow engine.
struct TestFleet {
    routers: Vec<RouterProcess>,
    engine: EngineStandin,
    _platform: StandinPlatform,
}

fn start() -> TestFleet {
    let platform = StandinPlatform::start(Duration::ZERO);
    let engine = EngineStandin::start(EngineBehaviour {
        token_interval: Duration::from_millis(20),
        ..EngineBehaviour::default()
    });
    platform.list_server("engine-1", "stylist-llm", "regina", engine.address());
    platform.publish(include_str!("../../examples/prairie-seam.jsonc"));
    let mut routers = Vec::new();
    for (name, data_centre) in INSTANCES {
        let router = RouterProcess::start(&platform.settings(name, data_centre, "prairie"));
        platform.list_process(name, data_centre, "prairie", &router);
        routers.push(router);
    }
    TestFleet {
        routers,
        engine,
        _platform: platform,
    }
}

fn chat_url(router: &RouterProcess) -> String {
    format!("http://{}/v1/chat/completions", router.addresses.callers)
}

/// Sends a streamed chat of `length` tokens; true when it came whole.
fn chat(url: &str, key: &str, length: u64) -> bool {
    let body = format!(
        r#"{{"model":"stylist","stream":true,"max_tokens":{length},"messages":[{{"role":"user","content":"fit len={length}"}}]}}"#
    );
    let sent = ureq::post(url)
        .header("authorization", "Bearer regina-example-key")
        .header("idempotency-key", key)
        .config()
        .http_status_as_error(false)
        .build()
        .send(body);
    let Ok(mut response) = sent else {
        return false;
    };
    let text = response.body_mut().read_to_string().unwrap_or_default();
    response.status().as_u16() == 200 && text.contains("data: [DONE]")
}

/// Sends chats under new keys until one comes whole; returns its key.
fn first_whole_chat(router: &RouterProcess, prefix: &str, length: u64) -> String {
    let deadline = Instant::now() + STEP_LIMIT;
    let mut attempt = 0;
    while Instant::now() < deadline {
        attempt += 1;
        let key = format!("{prefix}-{attempt}");
        if chat(&chat_url(router), &key, length) {
            return key;
        }
        thread::sleep(POLL);
    }
    panic!("no whole answer within the limit");
}

/// Output of the time line program.
fn timeline(arguments: &[String]) -> String {
    let output = Command::new(process::program("hibiscus-timeline"))
        .args(arguments)
        .output()
        .expect("the program starts");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8(output.stdout).expect("the output is text")
}

fn operators(router: &RouterProcess) -> String {
    router.addresses.operators.to_string()
}

/// Index of the first line with both `instance` and `code`.
fn line_of(shown: &str, instance: &str, code: &str) -> usize {
    shown
        .lines()
        .position(|line| line.contains(instance) && line.contains(code))
        .unwrap_or_else(|| panic!("no {code} of {instance} in:\n{shown}"))
}

#[test]
fn no_effect_stands_before_its_cause_in_another_process() {
    let fleet = start();
    let key = first_whole_chat(&fleet.routers[0], "whole", 4);
    let mut arguments = vec!["--request".to_owned(), key];
    arguments.extend(fleet.routers.iter().map(operators));
    let shown = timeline(&arguments);
    let witnessed = line_of(&shown, "router-", "HS4101");
    let opened = line_of(&shown, "router-1", "HS4002");
    let dispatched = line_of(&shown, "router-1", "HS4003");
    let settled_there = line_of(&shown, "router-", "HS4102");
    let settled = line_of(&shown, "router-1", "HS4004");
    assert!(witnessed < opened, "{shown}");
    assert!(opened < dispatched, "{shown}");
    assert!(dispatched < settled_there, "{shown}");
    assert!(settled_there < settled, "{shown}");
}

#[test]
fn a_request_can_be_read_off_after_its_router_died() {
    let mut fleet = start();
    first_whole_chat(&fleet.routers[0], "ready", 2);
    first_whole_chat(&fleet.routers[1], "ready", 2);
    let url = chat_url(&fleet.routers[0]);
    let cut = thread::spawn(move || chat(&url, "lost", LOST_LENGTH));
    let deadline = Instant::now() + STEP_LIMIT;
    while !fleet
        .engine
        .runs()
        .iter()
        .any(|run| run.request_id == "lost")
    {
        assert!(Instant::now() < deadline, "the request did not start");
        thread::sleep(POLL);
    }
    let dead = operators(&fleet.routers[0]);
    fleet.routers[0].kill();
    assert!(
        !cut.join().expect("the caller ends"),
        "the answer was whole"
    );
    let mut sources = vec![dead.clone()];
    sources.push(operators(&fleet.routers[1]));
    sources.push(operators(&fleet.routers[2]));
    let mut shown = String::new();
    while !shown.contains("HS1004 instance is silent detail=router-1") {
        assert!(
            Instant::now() < deadline,
            "nobody missed router-1:\n{shown}"
        );
        shown = timeline(&sources);
    }
    let mut arguments = vec!["--request".to_owned(), "lost".to_owned()];
    arguments.append(&mut sources);
    shown = timeline(&arguments);
    while !shown.contains("HS4102") {
        assert!(Instant::now() < deadline, "no settlement in:\n{shown}");
        let _whole = chat(&chat_url(&fleet.routers[1]), "lost", LOST_LENGTH);
        shown = timeline(&arguments);
    }
    assert!(
        shown.contains(&format!("# {dead}: failed to read the events of {dead}")),
        "{shown}"
    );
    let witnessed = line_of(&shown, "router-", "HS4101");
    let silent = line_of(
        &shown,
        "router-",
        "HS1004 instance is silent detail=router-1",
    );
    assert!(witnessed < silent, "{shown}");
    check_page(&arguments);
}

/// The page of the same saved events has a lane for each process in the text.
fn check_page(arguments: &[String]) {
    let folder = std::env::temp_dir();
    let saved = folder.join(format!("hibiscus-saved-{}.jsonl", std::process::id()));
    let page = folder.join(format!("hibiscus-page-{}.html", std::process::id()));
    let mut live = arguments.to_vec();
    live.push("--save".to_owned());
    live.push(saved.display().to_string());
    let _shown = timeline(&live);
    let mut offline = vec!["--request".to_owned(), "lost".to_owned()];
    offline.push(saved.display().to_string());
    let shown = timeline(&offline);
    let mut lanes = BTreeSet::new();
    for line in shown.lines().filter(|line| !line.starts_with('#')) {
        lanes.extend(line.split_whitespace().nth(1));
    }
    assert!(!lanes.is_empty(), "no events in:\n{shown}");
    let mut header = "<tr><th>ms</th>".to_owned();
    for lane in lanes {
        header.push_str(&format!("<th>{lane}</th>"));
    }
    offline.push("--html".to_owned());
    offline.push(page.display().to_string());
    assert_eq!(timeline(&offline), "");
    let written = std::fs::read_to_string(&page).expect("the page is written");
    for file in [&saved, &page] {
        std::fs::remove_file(file).expect("the file is there");
    }
    assert!(written.contains(&format!("{header}</tr>")), "{header}");
    assert!(written.contains("HS1004 instance is silent"));
}

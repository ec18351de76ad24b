//! The daemon on the users' platform, as a process before stand-ins.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Command;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_support::metadata::BackendBehaviour;
use hibiscus_support::metadata::BackendStandin;
use hibiscus_support::metadata::FrontProcess;
use hibiscus_support::metadata::StoreFaults;
use hibiscus_support::metadata::StoreStandin;
use hibiscus_support::metadata::front::FrontPorts;
use hibiscus_support::metadata::front::exchange;
use hibiscus_support::process;
use nix::sys::signal::Signal;

/// Tokens prepaid in these tests.
const PREPAID: u64 = 100_000;
/// Time for news to be in force.
const NEWS_LIMIT: Duration = Duration::from_secs(2);
/// Give-up limit of waits.
const LIMIT: Duration = Duration::from_secs(20);
/// Time between looks of a wait.
const POLL: Duration = Duration::from_millis(25);

/// A daemon before a store and one server for each service.
struct Platform {
    store: StoreStandin,
    engine: BackendStandin,
    plain: BackendStandin,
    second: BackendStandin,
    front: FrontProcess,
}

/// The configuration `version`, with the routes of `extra` besides.
fn config(version: u64, prepaid: u64, extra: &str) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, more: &str| {
        format!(
            r#"{{"name":"{name}","hostname":"h.example","path-prefix":"/{prefix}/","route-type":"{kind}","timeout-ms":3000,"target-latency-ms":500,"priority":1,"service":"{service}","allow-anonymous":false{more}}}"#
        )
    };
    let routes = [
        route(
            "r-s",
            "stream",
            "streaming",
            "engine",
            r#","max-attempts":1"#,
        ),
        route(
            "r-o",
            "once",
            "non_idempotent",
            "plain",
            r#","max-attempts":1"#,
        ),
        route(
            "r-i",
            "often",
            "idempotent",
            "plain",
            r#","max-attempts":2"#,
        ),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}{extra}],"services":[{{"name":"engine","max-connections":100,"engine":{{"slots":8,"kv-capacity-tokens":100000,"stride":3}}}},{{"name":"plain","max-connections":100}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":100000,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"team-a","api-keys":["key-a"],"prepaid":{prepaid}}}]}}"#,
        routes.join(",")
    )
}

fn write_server(
    store: &StoreStandin,
    name: &str,
    service: &str,
    server: &BackendStandin,
    state: &str,
) {
    let entry = format!(
        r#"{{"service":"{service}","address":"{}","zone":"a","version":"v1","slots":8,"state":"{state}","cold-remaining-ms":0,"sequence":1,"born":5}}"#,
        server.address()
    );
    store.write("keyed.servers", name, entry.as_bytes());
}

impl Platform {
    fn start() -> Self {
        let store = StoreStandin::start();
        let engine = BackendStandin::start(BackendBehaviour::Events { count: 5 });
        let plain = BackendStandin::start(BackendBehaviour::Answer);
        let second = BackendStandin::start(BackendBehaviour::Answer);
        store.write("keyed.op", "config", config(1, PREPAID, "").as_bytes());
        write_server(&store, "i-engine", "engine", &engine, "ready");
        write_server(&store, "i-plain", "plain", &plain, "ready");
        store.write("keyed.servers", "i-broken", b"{\"service\":7}");
        let front = FrontProcess::start("front-1", FrontPorts::find(), store.address());
        front.wait_ready();
        Self {
            store,
            engine,
            plain,
            second,
            front,
        }
    }

    fn add_second(&self) {
        write_server(&self.store, "i-second", "plain", &self.second, "ready");
        thread::sleep(Duration::from_millis(700));
    }

    /// Sends a request to `path` with the headers `more`.
    fn call(&self, path: &str, id: &str, more: &str) -> String {
        self.front.call(&request(path, id, more))
    }

    /// Sends a streamed request of `prompt` tokens and up to `most` more.
    fn stream(&self, id: &str, prompt: u64, most: u64) -> String {
        self.call(
            "/stream/x",
            id,
            &format!("Token-Counts: {prompt},{most}\r\n"),
        )
    }
}

fn request(path: &str, id: &str, more: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer key-a\r\nConnection: close\r\nContent-Length: 4\r\n{more}\r\nbody"
    )
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

fn wait_for(what: &str, mut check: impl FnMut() -> bool) {
    let deadline = Instant::now() + LIMIT;
    while !check() {
        assert!(Instant::now() < deadline, "gave up waiting for {what}");
        thread::sleep(POLL);
    }
}

#[test]
fn an_answer_passes_unchanged_and_the_server_is_told_what_it_needs() {
    let platform = Platform::start();
    let answer = platform.call("/once/x?q=1", "id-1", "Tenant: forged\r\nX-Own: kept\r\n");
    assert_eq!(status(&answer), "200", "{answer}");
    assert!(
        answer.to_lowercase().contains("response-seal: seal-id-1"),
        "{answer}"
    );
    assert!(answer.ends_with("done"), "{answer}");
    let requests = platform.plain.requests();
    assert_eq!(requests.len(), 1);
    let seen = &requests[0];
    assert_eq!(seen.line, "POST /once/x?q=1 HTTP/1.1");
    assert_eq!(seen.body, b"body");
    assert_eq!(seen.header("tenant"), Some("team-a"));
    assert_eq!(seen.header("expect-instance"), Some("i-plain"));
    assert_eq!(seen.header("x-own"), Some("kept"));
    assert_eq!(seen.header("authorization"), None);
    let left: u64 = seen
        .header("deadline-ms")
        .and_then(|text| text.parse().ok())
        .expect("a deadline");
    assert!((1_000..=2_500).contains(&left), "{left}");
}

#[test]
fn a_stream_passes_whole_and_a_broken_one_is_not_shown_as_whole() {
    let platform = Platform::start();
    let whole = platform.stream("id-1", 100, 30);
    assert_eq!(status(&whole), "200", "{whole}");
    for number in 0..5 {
        assert!(whole.contains(&format!("id: {number}\n")), "{whole}");
    }
    assert!(whole.ends_with("0\r\n\r\n"), "{whole}");
    for behaviour in [BackendBehaviour::CutEvents, BackendBehaviour::GapInEvents] {
        platform.engine.set_behaviour(behaviour);
        let cut = platform.stream("id-2", 100, 30);
        assert!(cut.contains("id: 1\n"), "{behaviour:?}: {cut}");
        assert!(!cut.ends_with("0\r\n\r\n"), "{behaviour:?}: {cut}");
    }
}

#[test]
fn what_no_configuration_allows_is_refused_and_reaches_no_server() {
    let platform = Platform::start();
    assert_eq!(status(&platform.call("/nowhere/x", "id-1", "")), "404");
    let unknown = request("/once/x", "id-2", "").replace("key-a", "key-b");
    assert_eq!(status(&platform.front.call(&unknown)), "401");
    let counts = platform.call("/stream/x", "id-4", "Token-Counts: many\r\n");
    assert_eq!(status(&counts), "400");
    assert!(platform.plain.requests().is_empty());
    assert!(platform.engine.requests().is_empty());
}

#[test]
fn an_instance_without_a_configuration_says_that_the_request_did_not_run() {
    let store = StoreStandin::start();
    store.set_faults(StoreFaults {
        refuse: Some(503),
        ..StoreFaults::default()
    });
    let front = FrontProcess::start("front-1", FrontPorts::find(), store.address());
    wait_for("the port", || {
        !front.call(&request("/once/x", "id-1", "")).is_empty()
    });
    let answer = front.call(&request("/once/x", "id-1", ""));
    assert_eq!(status(&answer), "503", "{answer}");
    assert!(answer.to_lowercase().contains("retry-after: "), "{answer}");
    assert!(!front.is_ready());
}

/// A request that is framed by a length and by chunks is read by its chunks
/// alone, and the bytes within it are no request of their own.
#[test]
fn a_request_that_is_framed_twice_reaches_the_server_framed_once() {
    let platform = Platform::start();
    let inner = request("/once/inner", "id-inner", "");
    let text = request("/once/x", "id-1", "Transfer-Encoding: chunked\r\n").replace(
        "\r\n\r\nbody",
        &format!("\r\n\r\n{:x}\r\n{inner}\r\n0\r\n\r\n", inner.len()),
    );
    assert_eq!(status(&platform.front.call(&text)), "200");
    let requests = platform.plain.requests();
    assert_eq!(requests.len(), 1);
    assert_eq!(requests[0].header("request-id"), Some("id-1"));
    assert_eq!(requests[0].header("transfer-encoding"), None);
    assert_eq!(requests[0].body, inner.as_bytes());
}

/// How servers answer, and what the caller of a call that may run once and of
/// one that may be repeated gets.
#[test]
fn a_promise_that_a_request_did_not_run_needs_the_servers_proof() {
    let rows = [
        (BackendBehaviour::Answer, "200", "200"),
        (BackendBehaviour::Refuse, "503", "503"),
        (BackendBehaviour::RefuseWithoutProof, "502", "502"),
        (BackendBehaviour::Crossed, "502", "502"),
        (BackendBehaviour::Unsigned, "502", "502"),
        (BackendBehaviour::Reset, "502", "502"),
        (BackendBehaviour::Fail, "500", "500"),
        (BackendBehaviour::Unframed, "200", "200"),
    ];
    for (behaviour, once, often) in rows {
        let platform = Platform::start();
        platform.plain.set_behaviour(behaviour);
        let answer = platform.call("/once/x", "id-1", "");
        assert_eq!(status(&answer), once, "{behaviour:?}: {answer}");
        let runs = platform.plain.requests().len();
        assert_eq!(
            runs, 1,
            "{behaviour:?}: a call that may run once was sent {runs} times"
        );
        let answer = platform.call("/often/x", "id-2", "");
        assert_eq!(status(&answer), often, "{behaviour:?}: {answer}");
        assert!(
            !answer.contains("theirs") && !answer.contains("unsigned"),
            "{answer}"
        );
    }
}

#[test]
fn a_call_that_may_be_repeated_goes_to_another_server() {
    let platform = Platform::start();
    platform.add_second();
    for behaviour in [
        BackendBehaviour::Refuse,
        BackendBehaviour::Reset,
        BackendBehaviour::Fail,
        BackendBehaviour::Crossed,
    ] {
        platform.plain.set_behaviour(behaviour);
        for number in 0..4 {
            let answer = platform.call("/often/x", &format!("id-{number}"), "");
            assert_eq!(status(&answer), "200", "{behaviour:?}: {answer}");
        }
    }
}

#[test]
fn bytes_after_an_answer_belong_to_no_request() {
    let platform = Platform::start();
    platform.plain.set_behaviour(BackendBehaviour::Extra);
    for number in 0..6 {
        let answer = platform.call("/once/x", &format!("id-{number}"), "");
        assert!(!answer.contains("theirs"), "{answer}");
    }
}

#[test]
fn connections_to_servers_are_kept() {
    let platform = Platform::start();
    for number in 0..10 {
        let answer = platform.call("/once/x", &format!("id-{number}"), "");
        assert_eq!(status(&answer), "200", "{answer}");
        thread::sleep(POLL);
    }
    assert!(
        platform.plain.connections() <= 2,
        "{}",
        platform.plain.connections()
    );
}

#[test]
fn a_spent_budget_is_refused_and_never_overspent_over_kills() {
    let mut platform = Platform::start();
    let mut prompts = 0;
    let mut refused = false;
    for round in 0..3 {
        for number in 0..40 {
            let id = format!("id-{round}-{number}");
            let answer = platform.stream(&id, 2_500, 15);
            match status(&answer) {
                "200" => prompts += 2_500 + 15,
                "402" | "503" => refused = true,
                other => panic!("{other}: {answer}"),
            }
        }
        platform.front.kill();
        let ports = platform.front.ports;
        platform.front = FrontProcess::start("front-1", ports, platform.store.address());
        platform.front.wait_ready();
    }
    assert!(refused, "{prompts} tokens were never refused");
    assert!(prompts <= PREPAID, "{prompts} tokens of {PREPAID}");
    // What a kill takes along is bounded: most of the budget was served.
    assert!(prompts >= PREPAID * 6 / 10, "{prompts} tokens of {PREPAID}");
}

/// Spends all that `platform` lets a team spend; returns how much.
fn spend_all(platform: &Platform, round: usize) -> u64 {
    let mut spent = 0;
    for number in 0..60 {
        let answer = platform.stream(&format!("id-{round}-{number}"), 2_500, 15);
        spent += if status(&answer) == "200" { 2_515 } else { 0 };
    }
    spent
}

#[test]
fn a_fleet_that_was_away_for_longer_than_records_are_kept_goes_on_with_its_snapshots() {
    let mut platform = Platform::start();
    let mut spent = 0;
    for number in 0..4 {
        let answer = platform.stream(&format!("id-{number}"), 2_500, 15);
        spent += if status(&answer) == "200" { 2_515 } else { 0 };
    }
    assert!(spent > 0);
    platform.front.signal(Signal::SIGTERM);
    assert!(platform.front.wait(Duration::from_secs(10)).is_some());
    platform.store.forget_history("accounts");
    let ports = platform.front.ports;
    platform.front = FrontProcess::start("front-1", ports, platform.store.address());
    platform.front.wait_ready();
    spent += spend_all(&platform, 1);
    assert!(spent <= PREPAID, "{spent} tokens of {PREPAID}");
    assert!(spent >= PREPAID * 9 / 10, "{spent} tokens of {PREPAID}");
}

#[test]
fn draws_that_were_lost_with_the_history_are_never_spent_again() {
    let mut platform = Platform::start();
    let mut spent = spend_all(&platform, 0);
    assert!(spent > 0);
    platform.front.kill();
    platform.store.forget_history("accounts");
    let ports = platform.front.ports;
    platform.front = FrontProcess::start("front-1", ports, platform.store.address());
    platform.front.wait_ready();
    spent += spend_all(&platform, 1);
    assert!(spent <= PREPAID, "{spent} tokens of {PREPAID}");
}

#[test]
fn metrics_tell_requests_times_levels_and_store_calls() {
    let platform = Platform::start();
    assert_eq!(status(&platform.stream("id-1", 50, 15)), "200");
    assert_eq!(status(&platform.call("/often/x", "id-2", "")), "200");
    assert_eq!(status(&platform.call("/nowhere/x", "id-3", "")), "404");
    thread::sleep(Duration::from_millis(2_300));
    let address = SocketAddr::from(([127, 0, 0, 1], platform.front.ports.internal));
    let request = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let metrics = exchange(address, request).expect("an answer");
    for line in [
        "hibiscus_requests_total{kind=\"stream\",outcome=\"passed\"} 1\n",
        "hibiscus_requests_total{kind=\"idempotent\",outcome=\"passed\"} 1\n",
        "hibiscus_requests_total{kind=\"unknown\",outcome=\"own_answer\"} 1\n",
        "hibiscus_own_answers_total{reason=\"unknown_route\"} 1\n",
        "hibiscus_first_event_seconds_bucket{kind=\"stream\",le=\"+Inf\"} 1\n",
        "hibiscus_event_gap_seconds_count ",
        "hibiscus_request_seconds_count{kind=\"stream\"} 1\n",
        "hibiscus_config_version 1\n",
        "hibiscus_servers{state=\"serving\"} 2\n",
        "hibiscus_requests_in_progress 0\n",
        "hibiscus_ready 1\n",
        "hibiscus_tokens_held ",
        "hibiscus_retries_left ",
        "hibiscus_store_calls_total{call=\"append\",verdict=\"done\"} ",
        "hibiscus_store_call_seconds_bucket{call=\"newest\",le=\"0.5\"} ",
    ] {
        assert!(metrics.contains(line), "{line} is missing in\n{metrics}");
    }
    let spent = metrics
        .lines()
        .find_map(|line| line.strip_prefix("hibiscus_tokens_spent "));
    assert_eq!(spent, Some("65"));
}

/// What `hibiscus-timeline` shows with `arguments` of the daemon's log.
fn timeline(platform: &Platform, arguments: &[&str]) -> String {
    // Lines are gathered for 100 ms before they are written.
    thread::sleep(Duration::from_millis(300));
    let output = Command::new(process::program("hibiscus-timeline"))
        .args(arguments)
        .arg(platform.front.log_file())
        .output()
        .expect("the program starts");
    String::from_utf8(output.stdout).expect("text")
}

/// The three ways of docs/OPERATIONS.md, each with the cause injected.
#[test]
fn the_log_of_a_fault_leads_from_a_request_to_its_cause() {
    let platform = Platform::start();
    // A refusal for the budget: the store goes away, then more is asked for
    // than is held.
    platform.store.set_faults(StoreFaults {
        refuse: Some(503),
        ..StoreFaults::default()
    });
    thread::sleep(Duration::from_millis(1_500));
    let refused = (0..20).find_map(|number| {
        let id = format!("id-refused-{number}");
        let answer = platform.stream(&id, 9_000, 15);
        (status(&answer) == "503").then_some(id)
    });
    let refused = refused.expect("the holding ends");
    let shown = timeline(&platform, &["--request", &refused]);
    assert!(shown.contains("HS3107 tokens are short"), "{shown}");
    assert!(shown.contains("reason=budget_unconfirmed"), "{shown}");
    let all = timeline(&platform, &[]);
    let lost = "HS3005 append failed and will be repeated detail=cause=failed to call the store: it refused with status 503";
    assert!(all.contains(lost), "{all}");
    // A stream broken midway: its server breaks off.
    platform.store.set_faults(StoreFaults::default());
    platform.engine.set_behaviour(BackendBehaviour::CutEvents);
    thread::sleep(Duration::from_millis(1_500));
    platform.stream("id-broken", 50, 15);
    let shown = timeline(&platform, &["--request", "id-broken"]);
    assert!(shown.contains("HS4201 answer broken off"), "{shown}");
    assert!(shown.contains("server=i-engine"), "{shown}");
    // A late answer: the first server that was tried broke off.
    platform.add_second();
    platform.plain.set_behaviour(BackendBehaviour::Reset);
    let late = (0..20).find_map(|number| {
        let id = format!("id-late-{number}");
        assert_eq!(status(&platform.call("/often/x", &id, "")), "200");
        let shown = timeline(&platform, &["--request", &id]);
        shown.contains("HS4206 server failed").then_some(shown)
    });
    let shown = late.expect("a request meets the failing server first");
    assert!(shown.contains("server=i-plain"), "{shown}");
}

/// Callers may stay idle between requests for longer than a head may take.
#[test]
fn a_head_that_takes_too_long_ends_its_connection_and_an_idle_one_stays() {
    let platform = Platform::start();
    let callers = platform.front.ports.callers;
    let open = || {
        let stream = TcpStream::connect(callers).expect("a connection");
        let limit = Some(Duration::from_secs(6));
        stream.set_read_timeout(limit).expect("a time-out");
        stream
    };
    let mut idle = open();
    let mut slow = open();
    let begun = Instant::now();
    slow.write_all(b"GET /often/x HTTP/1.1\r\nHost: ")
        .expect("bytes are sent");
    let mut rest = Vec::new();
    let ended = slow.read_to_end(&mut rest);
    assert!(ended.is_ok(), "{ended:?}");
    // The configuration allows 3 s.
    let taken = begun.elapsed();
    assert!(taken >= Duration::from_millis(2_900), "{taken:?}");
    assert!(taken < Duration::from_millis(4_500), "{taken:?}");
    let request = request("/often/x", "id-idle", "");
    idle.write_all(request.as_bytes()).expect("bytes are sent");
    let mut answer = String::new();
    idle.read_to_string(&mut answer).expect("an answer");
    assert_eq!(status(&answer), "200", "{answer}");
}

#[test]
fn spending_goes_on_while_the_store_is_away() {
    let platform = Platform::start();
    assert_eq!(status(&platform.stream("id-0", 50, 15)), "200");
    thread::sleep(Duration::from_millis(500));
    platform.store.set_faults(StoreFaults {
        refuse: Some(503),
        ..StoreFaults::default()
    });
    for number in 1..10 {
        let answer = platform.stream(&format!("id-{number}"), 50, 15);
        assert_eq!(status(&answer), "200", "{answer}");
    }
    assert!(platform.front.is_ready());
}

#[test]
fn a_lost_reply_of_the_store_draws_nothing_twice() {
    let platform = Platform::start();
    platform.store.set_faults(StoreFaults {
        lose_replies: true,
        ..StoreFaults::default()
    });
    thread::sleep(Duration::from_secs(2));
    platform.store.set_faults(StoreFaults::default());
    thread::sleep(Duration::from_secs(1));
    let mut spent = 0;
    for number in 0..60 {
        let answer = platform.stream(&format!("id-{number}"), 2_500, 15);
        spent += if status(&answer) == "200" { 2_515 } else { 0 };
    }
    assert!(spent <= PREPAID, "{spent} tokens of {PREPAID}");
    assert!(spent >= PREPAID * 9 / 10, "{spent} tokens of {PREPAID}");
}

#[test]
fn a_configuration_is_in_force_within_its_bound_and_survives_lost_history() {
    let platform = Platform::start();
    let extra = r#",{"name":"r-n","hostname":"h.example","path-prefix":"/new/","route-type":"idempotent","timeout-ms":3000,"target-latency-ms":500,"priority":1,"service":"plain","max-attempts":1}"#;
    let written = Instant::now();
    platform
        .store
        .write("keyed.op", "config", config(2, PREPAID, extra).as_bytes());
    wait_for("version 2", || {
        status(&platform.call("/new/x", "id-1", "")) == "200"
    });
    assert!(written.elapsed() < NEWS_LIMIT, "{:?}", written.elapsed());
    platform.store.forget_history("keyed.op");
    platform
        .store
        .write("keyed.op", "config", config(3, PREPAID, "").as_bytes());
    wait_for("version 3", || {
        status(&platform.call("/new/x", "id-2", "")) == "404"
    });
    // An older version and bytes that cannot be read change nothing.
    platform
        .store
        .write("keyed.op", "config", config(2, PREPAID, extra).as_bytes());
    platform.store.write("keyed.op", "config", b"{broken");
    thread::sleep(Duration::from_secs(1));
    assert_eq!(status(&platform.call("/new/x", "id-3", "")), "404");
    assert_eq!(status(&platform.call("/once/x", "id-4", "")), "200");
}

#[test]
fn a_server_that_leaves_gets_nothing_new() {
    let platform = Platform::start();
    platform.add_second();
    write_server(
        &platform.store,
        "i-plain",
        "plain",
        &platform.plain,
        "draining",
    );
    thread::sleep(NEWS_LIMIT);
    let before = platform.plain.requests().len();
    for number in 0..8 {
        let answer = platform.call("/once/x", &format!("id-{number}"), "");
        assert_eq!(status(&answer), "200", "{answer}");
    }
    assert_eq!(platform.plain.requests().len(), before);
    platform.store.write("keyed.servers", "i-second", b"");
    thread::sleep(NEWS_LIMIT);
    assert_eq!(status(&platform.call("/once/x", "id-9", "")), "503");
}

#[test]
fn a_planned_stop_finishes_what_is_in_progress() {
    let mut platform = Platform::start();
    platform
        .engine
        .set_behaviour(BackendBehaviour::Events { count: 120 });
    let callers = platform.front.ports.callers;
    let streams: Vec<_> = (0..10)
        .map(|number| {
            let text = request(
                "/stream/x",
                &format!("id-{number}"),
                "Token-Counts: 10,360\r\n",
            );
            thread::spawn(move || exchange(callers, &text).unwrap_or_default())
        })
        .collect();
    wait_for("the streams", || platform.engine.requests().len() == 10);
    platform.front.signal(Signal::SIGTERM);
    wait_for("the end of readiness", || !platform.front.is_ready());
    for stream in streams {
        let answer = stream.join().expect("the caller ends");
        assert!(
            answer.contains("id: 119\n") && answer.ends_with("0\r\n\r\n"),
            "{answer}"
        );
    }
    let ended = platform
        .front
        .wait(Duration::from_secs(8))
        .expect("the process ends");
    assert_eq!(ended.code(), Some(0));
}

#[test]
fn a_directory_names_instances_that_serve_and_forgets_a_dead_one() {
    let platform = Platform::start();
    let mut other = FrontProcess::start("front-2", FrontPorts::find(), platform.store.address());
    other.wait_ready();
    let directory = platform.front.ports.directory;
    let addresses = || {
        let text = "GET /hibiscusswitch/resolve?name=h.example&region=r&zone=a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        exchange(directory, text).unwrap_or_default()
    };
    let second = other.ports.callers.to_string();
    wait_for("the second instance", || addresses().contains(&second));
    assert!(addresses().contains(&platform.front.ports.callers.to_string()));
    other.kill();
    let killed = Instant::now();
    wait_for("its end", || !addresses().contains(&second));
    assert!(killed.elapsed() < NEWS_LIMIT, "{:?}", killed.elapsed());
}

//! Metrics and logs for on-call engineers.

use std::net::SocketAddr;
use std::process::Command;
use std::thread;
use std::time::Duration;

use hibiscus_support::process;
use platform_standins::BackendBehaviour;
use platform_standins::StoreFaults;
use platform_standins::front::exchange;

use crate::front::Platform;
use crate::front::status;

/// Returns the output of `hibiscus-timeline` with `arguments` for the daemon's log.
fn timeline(platform: &Platform, arguments: &[&str]) -> String {
    // Log lines are buffered for up to 100 ms.
    thread::sleep(Duration::from_millis(300));
    let output = Command::new(process::program("hibiscus-timeline"))
        .args(arguments)
        .arg(platform.front.log_file())
        .output()
        .expect("the program starts");
    String::from_utf8(output.stdout).expect("text")
}

#[test]
fn metrics_show_requests_durations_levels_and_store_calls() {
    let platform = Platform::start();
    assert_eq!(status(&platform.stream("id-1", 50, 15)), "200");
    assert_eq!(status(&platform.call("/often/x", "id-2", "")), "200");
    assert_eq!(status(&platform.call("/nowhere/x", "id-3", "")), "404");
    thread::sleep(Duration::from_millis(2_300));
    let address = SocketAddr::from(([127, 0, 0, 1], platform.front.ports.internal));
    let request = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let metrics = exchange(address, request).expect("a response");
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
        "hibiscus_resident_bytes ",
        "hibiscus_processor_seconds ",
        "hibiscus_accounts ",
        "hibiscus_account_lag_records 0\n",
        "hibiscus_account_records_total ",
        "hibiscus_budget_reviews_total ",
        "hibiscus_draws_total{verdict=\"whole\"} ",
        "hibiscus_questions_total{subject=\"link\",outcome=\"unanswered\"} 0\n",
        "hibiscus_questions_received_total{subject=\"readiness\"} ",
        "hibiscus_caller_connections_closed_total{reason=\"slow_head\"} 0\n",
        "hibiscus_server_connections_total{outcome=\"opened\"} ",
        "hibiscus_server_connections_idle ",
        "hibiscus_timer_lateness_seconds_count ",
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

/// Injects the cause of each of the three procedures in docs/OPERATIONS.md.
#[test]
fn the_log_leads_from_a_failed_request_to_the_cause() {
    let platform = Platform::start();
    // A refusal for lack of tokens: the store becomes unreachable, then callers
    // request more tokens than the instance holds.
    platform.store.set_faults(StoreFaults {
        refuse: Some(503),
        ..StoreFaults::default()
    });
    thread::sleep(Duration::from_millis(1_500));
    let refused = (0..20).find_map(|number| {
        let id = format!("id-refused-{number}");
        let response = platform.stream(&id, 9_000, 15);
        (status(&response) == "503").then_some(id)
    });
    let refused = refused.expect("the held tokens run out");
    let shown = timeline(&platform, &["--request", &refused]);
    assert!(
        shown.contains("HS3107 available tokens do not cover the request"),
        "{shown}"
    );
    assert!(shown.contains("reason=budget_unconfirmed"), "{shown}");
    let all = timeline(&platform, &[]);
    let lost = "HS3005 append failed and will be repeated detail=cause=failed to call the store: it refused with status 503";
    assert!(all.contains(lost), "{all}");
    // A truncated stream: its server resets the connection.
    platform.store.set_faults(StoreFaults::default());
    platform
        .engine
        .set_behaviour(BackendBehaviour::TruncatedEvents);
    thread::sleep(Duration::from_millis(1_500));
    platform.stream("id-broken", 50, 15);
    let shown = timeline(&platform, &["--request", "id-broken"]);
    assert!(shown.contains("HS4201 answer broken off"), "{shown}");
    assert!(shown.contains("server=i-engine"), "{shown}");
    // A delayed response: the first server resets the connection.
    platform.add_second_server();
    platform.plain.set_behaviour(BackendBehaviour::Reset);
    let late = (0..20).find_map(|number| {
        let id = format!("id-late-{number}");
        assert_eq!(status(&platform.call("/often/x", &id, "")), "200");
        let shown = timeline(&platform, &["--request", &id]);
        shown
            .contains("HS4206 server failed while it processed the request")
            .then_some(shown)
    });
    let shown = late.expect("a request meets the failing server first");
    assert!(shown.contains("server=i-plain"), "{shown}");
}

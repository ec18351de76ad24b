//! Saved log lines.

use hibiscus_timeline::log;

const LINES: &str = "\
   8.0154 front-b-1 INFO HS3107 available tokens do not cover the request request=6694 budget=jede tokens=13451 allowed=Some(48940)
built in 3 s
   8.0155 front-b-1 INFO HS4202 request answered locally without forwarding request=6694 reason=budget_unconfirmed total_ms=12
   7.9000 front-a-1 WARN HS3005 append failed and will be repeated cause=failed to call the store: it refused with status 503
   9.1 front-a-1 note HS3005 is no event
";

#[test]
fn lines_of_the_platform_become_events_with_their_fields() {
    let events = log::parse("day.log", LINES);
    assert_eq!(events.len(), 3);
    let short = &events[0];
    assert_eq!(short.instance, "front-b-1");
    assert_eq!(short.time_ns, 8_015_400_000);
    assert_eq!(short.code, "HS3107");
    assert_eq!(short.text, "available tokens do not cover the request");
    assert_eq!(short.fields.request, "6694");
    assert_eq!(short.fields.budget, "jede");
    assert_eq!(short.fields.detail, "tokens=13451 allowed=Some(48940)");
    let cause = "cause=failed to call the store: it refused with status 503";
    assert_eq!(events[2].fields.detail, cause);
}

#[test]
fn lines_of_a_process_alone_keep_their_order_and_take_its_name() {
    let text = "INFO HS4202 request answered locally without forwarding request=5\nINFO HS1001 instance started instance=a\nINFO HS4202 request answered locally without forwarding request=6";
    let events = log::parse("front-1", text);
    let names: Vec<&str> = events.iter().map(|event| event.instance.as_str()).collect();
    assert_eq!(names, ["front-1", "a", "a"]);
    assert!(events[0].sequence < events[1].sequence);
}

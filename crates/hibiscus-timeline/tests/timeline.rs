//! Merge, filter and rendering of events.

use hibiscus_events::EventFields;
use hibiscus_events::EventRecord;
use hibiscus_events::recorder::EventPage;
use hibiscus_timeline::filter::EventFilter;
use hibiscus_timeline::html;
use hibiscus_timeline::merge;
use hibiscus_timeline::merge::MergedTimeline;
use hibiscus_timeline::source;
use hibiscus_timeline::source::EventSource;
use hibiscus_timeline::source::SourcePage;
use hibiscus_timeline::text;

fn event(stamp: u64, instance: &str, code: &str, request: &str) -> EventRecord {
    EventRecord {
        stamp,
        time_ns: 1_796_000_000_000_000_000 + stamp * 1_000,
        sequence: stamp,
        instance: instance.to_owned(),
        code: code.to_owned(),
        text: "something happened".to_owned(),
        fields: EventFields {
            request: request.to_owned(),
            server: "engine-1".to_owned(),
            ..EventFields::default()
        },
    }
}

fn page(source: &str, dropped: u64, events: Vec<EventRecord>) -> SourcePage {
    SourcePage {
        source: source.to_owned(),
        failure: String::new(),
        page: EventPage { dropped, events },
    }
}

fn two_pages() -> Vec<SourcePage> {
    vec![
        page(
            "router-1",
            0,
            vec![event(10, "router-1", "HS4002", "shop/k1")],
        ),
        page(
            "router-2",
            7,
            vec![
                event(5, "router-2", "HS4101", "shop/k1"),
                event(7, "router-2", "HS1004", ""),
                event(8, "router-2", "HS4101", "shop/k2"),
                event(20, "router-2", "HS1004", ""),
            ],
        ),
    ]
}

#[test]
fn events_of_all_processes_are_ordered_by_their_hybrid_time() {
    let timeline = merge::merge(two_pages());
    let stamps: Vec<u64> = timeline.events.iter().map(|event| event.stamp).collect();
    assert_eq!(stamps, [5, 7, 8, 10, 20]);
}

#[test]
fn an_event_in_two_pages_stands_once() {
    let mut pages = two_pages();
    pages.extend(two_pages());
    assert_eq!(merge::merge(pages).events.len(), 5);
}

#[test]
fn dropped_events_and_silent_processes_are_shown() {
    let mut pages = two_pages();
    pages.push(SourcePage {
        source: "127.0.0.1:9".to_owned(),
        failure: "failed to read the events of 127.0.0.1:9".to_owned(),
        page: EventPage::default(),
    });
    let shown = text::render(&merge::merge(pages));
    let lines: Vec<&str> = shown.lines().collect();
    assert_eq!(
        lines[..3],
        [
            "# router-2: 7 older events were dropped from the ring",
            "# 127.0.0.1:9: failed to read the events of 127.0.0.1:9",
            "# starts at 1796000000000 ms after the epoch",
        ]
    );
    assert_eq!(
        lines[3],
        "       0.000 router-2     HS4101 something happened request=shop/k1 server=engine-1"
    );
}

#[test]
fn a_request_filter_keeps_the_instance_events_within_its_life() {
    let timeline = merge::merge(two_pages());
    for request in ["k1", "shop/k1"] {
        let filter = EventFilter {
            request: Some(request.to_owned()),
            ..EventFilter::default()
        };
        let kept = filter.keep(timeline.events.clone());
        let stamps: Vec<u64> = kept.iter().map(|event| event.stamp).collect();
        assert_eq!(stamps, [5, 7, 10]);
    }
}

#[test]
fn each_filter_keeps_only_what_matches() {
    let events = merge::merge(two_pages()).events;
    let by_instance = EventFilter {
        instance: Some("router-1".to_owned()),
        ..EventFilter::default()
    };
    assert_eq!(by_instance.keep(events.clone()).len(), 1);
    let by_server = EventFilter {
        server: Some("engine-1".to_owned()),
        ..EventFilter::default()
    };
    assert_eq!(by_server.keep(events.clone()).len(), 5);
    for filter in [
        EventFilter {
            team: Some("shop".to_owned()),
            ..EventFilter::default()
        },
        EventFilter {
            budget: Some("shop-tokens".to_owned()),
            ..EventFilter::default()
        },
    ] {
        assert!(filter.keep(events.clone()).is_empty());
    }
}

#[test]
fn a_page_has_a_lane_for_each_process_and_escapes_what_callers_chose() {
    let mut pages = two_pages();
    pages[0].page.events[0].fields.request = "shop/<script>".to_owned();
    let page = html::render(&merge::merge(pages));
    assert!(page.contains("<th>router-1</th><th>router-2</th>"));
    assert!(page.contains("request=shop/&lt;script&gt;"));
    assert!(!page.contains("<script"));
    assert!(!page.contains("http"), "the page loads nothing");
}

#[test]
fn saved_pages_are_read_as_they_were() {
    let path = std::env::temp_dir().join(format!("hibiscus-timeline-{}", std::process::id()));
    source::save(&path, &two_pages()).expect("the pages are saved");
    let source: EventSource = path
        .to_str()
        .expect("the path is text")
        .parse()
        .expect("any text names a source");
    let pages = source.read().expect("the pages are read");
    std::fs::remove_file(&path).expect("the file is there");
    let MergedTimeline { events, gaps } = merge::merge(pages);
    let expected = merge::merge(two_pages());
    assert_eq!(events, expected.events);
    assert_eq!(gaps, expected.gaps);
}

//! The catalogue of events and its page.

use hibiscus_events::EventCode;

/// The page that lists the events.
const PAGE: &str = include_str!("../../docs/events.md");

#[test]
fn the_page_lists_every_event_with_its_level_and_text() {
    let mut expected = Vec::new();
    for code in EventCode::ALL {
        let level = code.level().as_str().to_lowercase();
        expected.push(format!("| {} | {level} | {} |", code.number(), code.text()));
    }
    let listed: Vec<&str> = PAGE
        .lines()
        .filter(|line| line.starts_with("| HS"))
        .collect();
    assert_eq!(listed, expected);
}

//! Saved log lines of processes, as events.
//!
//! A line is what a process wrote, `LEVEL NUMBER text name=value ...`, either
//! alone or behind the time in seconds and the process's name that the platform
//! puts in front. Lines that are no events are passed over.

use hibiscus_events::EventFields;
use hibiscus_events::EventRecord;

/// Nanoseconds of a second.
const SECOND_NANOS: f64 = 1e9;
/// Start of the numbers of all events.
const NUMBER_START: &str = "HS";
/// Levels as lines show them.
const LEVELS: [&str; 5] = ["ERROR", "WARN", "INFO", "DEBUG", "TRACE"];

/// Number of the event that names the instance.
const STARTED: &str = "HS1001";

/// The events among the lines of `text`. A line without a process's name is
/// one of the instance that started last in the file, or of `source`; without
/// a time it keeps its place in the file.
pub fn parse(source: &str, text: &str) -> Vec<EventRecord> {
    let mut events: Vec<EventRecord> = Vec::new();
    let mut name = source.to_owned();
    for (index, line) in text.lines().enumerate() {
        let Some(mut event) = parse_line(line) else {
            continue;
        };
        if event.instance.is_empty() {
            if event.code == STARTED {
                name = started_name(&event).unwrap_or(name);
            }
            event.instance.clone_from(&name);
            event.time_ns = events.last().map_or(0, |before| before.time_ns);
            event.stamp = event.time_ns;
        }
        event.sequence = index as u64;
        events.push(event);
    }
    events
}

/// The instance that a start names.
fn started_name(event: &EventRecord) -> Option<String> {
    let mut words = event.fields.detail.split(' ');
    let name = words.find_map(|word| word.strip_prefix("instance="))?;
    Some(name.to_owned())
}

/// The event of one line.
fn parse_line(line: &str) -> Option<EventRecord> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let level = words
        .iter()
        .take(3)
        .position(|word| LEVELS.contains(word))?;
    let code = words.get(level + 1)?;
    if !code.starts_with(NUMBER_START) {
        return None;
    }
    let (time_ns, instance) = match words[..level] {
        [] => (0, ""),
        [time, instance] => (nanos(time)?, instance),
        _ => return None,
    };
    let rest = &words[level + 2..];
    let named = rest.iter().position(|word| word.contains('='));
    let (text, fields) = rest.split_at(named.unwrap_or(rest.len()));
    Some(EventRecord {
        stamp: time_ns,
        time_ns,
        sequence: 0,
        instance: instance.to_owned(),
        code: (*code).to_owned(),
        text: text.join(" "),
        fields: parse_fields(fields),
    })
}

/// Nanoseconds of a time in seconds.
fn nanos(seconds: &str) -> Option<u64> {
    let seconds: f64 = seconds.parse().ok()?;
    (seconds >= 0.0).then_some((seconds * SECOND_NANOS) as u64)
}

/// The fields that are asked about, and the others as they stand.
fn parse_fields(words: &[&str]) -> EventFields {
    let mut fields = EventFields::default();
    let mut detail: Vec<&str> = Vec::new();
    for word in words {
        let place = match word.split_once('=') {
            Some(("request", value)) => Some((&mut fields.request, value)),
            Some(("team", value)) => Some((&mut fields.team, value)),
            Some(("budget", value)) => Some((&mut fields.budget, value)),
            Some(("server", value)) => Some((&mut fields.server, value)),
            _ => None,
        };
        match place {
            Some((field, value)) => value.clone_into(field),
            None => detail.push(word),
        }
    }
    fields.detail = detail.join(" ");
    fields
}

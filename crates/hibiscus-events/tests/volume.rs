//! Tests of the limit on log lines per second.

use std::sync::Mutex;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;

/// Logger that keeps the lines in memory.
struct LineKeeper {
    lines: Mutex<Vec<String>>,
}

impl Log for LineKeeper {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut lines = self.lines.lock().expect("no holder panics");
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

static KEEPER: LineKeeper = LineKeeper {
    lines: Mutex::new(Vec::new()),
};

// Guards against a log that lacks the gauges of just the seconds in which too
// many lines were logged.
#[test]
fn gauges_are_logged_when_the_limit_of_routine_lines_is_reached() {
    log::set_logger(&KEEPER).expect("no logger is installed yet");
    log::set_max_level(LevelFilter::Info);
    for number in 0..300 {
        event!(EventCode::OwnAnswer, "request={number}");
    }
    event!(EventCode::LevelsShown, "resident_bytes=1");
    let lines = KEEPER.lines.lock().expect("no holder panics");
    let levels = EventCode::LevelsShown.number();
    assert!(lines.iter().any(|line| line.starts_with(levels)));
    assert!(lines.len() < 300);
}

//! Which lines are written when there are more than a second may have.

use std::sync::Mutex;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;

/// Keeps the lines.
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

// Guards against a log without levels in the very seconds that are too full.
#[test]
fn levels_are_written_though_the_routine_lines_of_the_second_are_used_up() {
    log::set_logger(&KEEPER).expect("the first logger");
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

//! Tells in the log how much of the machine the process uses.
//!
//! The volume is bounded: a line of levels every few seconds, and one line
//! each time that memory or lateness has risen to its mark.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;

use crate::machine::MachineLimits;
use crate::machine::ThresholdTrigger;
use crate::tally::DrawOutcome;
use crate::tally::PeerRequestKind;
use crate::tally::PeerRequestOutcome;
use crate::tally::WorkTally;
use crate::traffic_metrics::TrafficGauges;

/// Part of the memory at which it nears the limit.
const MEMORY_HIGH: f64 = 0.75;
/// Part of the memory below which the next rise is told again.
const MEMORY_LOW: f64 = 0.65;
/// Lateness of the timer that is told, in seconds: half of what an answer to
/// another instance may take.
const LATE_HIGH: f64 = 0.3;
/// Lateness below which the next rise is told again, in seconds.
const LATE_LOW: f64 = 0.05;
/// Looks at the levels for one line of them.
const LOOKS_A_LINE: u32 = 3;

/// Follows what the process uses of its machine.
#[derive(Debug)]
pub struct UsageLogger {
    limits: MachineLimits,
    memory: RefCell<ThresholdTrigger>,
    lateness: RefCell<ThresholdTrigger>,
    /// Worst lateness since the last line of levels.
    latest: Cell<Duration>,
    looks: Cell<u32>,
}

impl UsageLogger {
    /// Follows a process that has `limits`.
    pub fn new(limits: MachineLimits) -> Self {
        Self {
            limits,
            memory: RefCell::new(ThresholdTrigger::new(MEMORY_HIGH, MEMORY_LOW)),
            lateness: RefCell::new(ThresholdTrigger::new(LATE_HIGH, LATE_LOW)),
            latest: Cell::default(),
            looks: Cell::default(),
        }
    }

    /// The timer was late by `delay`.
    pub fn note_lateness(&self, delay: Duration) {
        self.latest.set(self.latest.get().max(delay));
        if self.lateness.borrow_mut().fires(delay.as_secs_f64()) {
            event!(EventCode::ThreadLate, "late_ms={}", delay.as_millis());
        }
    }

    /// Takes the present levels; whether they were told.
    pub fn note_levels(&self, levels: &TrafficGauges, tally: &WorkTally) -> bool {
        let memory = self.limits.memory_bytes.max(1) as f64;
        let part = levels.used.resident_bytes as f64 / memory;
        if self.memory.borrow_mut().fires(part) {
            event!(
                EventCode::MemoryNearLimit,
                "resident_bytes={} limit_bytes={} caller_connections={} requests={} body_bytes={} idle_links={} accounts={} account_lag={}",
                levels.used.resident_bytes,
                self.limits.memory_bytes,
                levels.connections,
                levels.in_progress,
                levels.body_bytes,
                levels.idle_links,
                levels.accounts,
                levels.account_lag
            );
        }
        self.looks.set(self.looks.get() + 1);
        let is_due = self.looks.get() >= LOOKS_A_LINE;
        if is_due {
            self.looks.set(0);
            self.tell(levels, tally);
        }
        is_due
    }

    fn tell(&self, levels: &TrafficGauges, tally: &WorkTally) {
        let readiness = |outcome| tally.asked(PeerRequestKind::Readiness, outcome);
        let link = |outcome| tally.asked(PeerRequestKind::Link, outcome);
        event!(
            EventCode::LevelsShown,
            "resident_bytes={} processor_ms={} late_ms={} caller_connections={} requests={} idle_links={} instances={} accounts={} account_lag={} records={} reviews={} draws={}/{}/{} readiness={}/{}/{} link={}/{}/{} asked={}/{} retries_left={:.1}",
            levels.used.resident_bytes,
            levels.used.processor.as_millis(),
            self.latest.take().as_millis(),
            levels.connections,
            levels.in_progress,
            levels.idle_links,
            levels.instances,
            levels.accounts,
            levels.account_lag,
            tally.records.get(),
            tally.reviews.get(),
            tally.draws(DrawOutcome::Whole),
            tally.draws(DrawOutcome::Part),
            tally.draws(DrawOutcome::Nothing),
            readiness(PeerRequestOutcome::Answered),
            readiness(PeerRequestOutcome::Refused),
            readiness(PeerRequestOutcome::Unanswered),
            link(PeerRequestOutcome::Answered),
            link(PeerRequestOutcome::Refused),
            link(PeerRequestOutcome::Unanswered),
            tally.readiness_requests.get(),
            tally.link_requests.get(),
            levels.retries_left
        );
    }
}

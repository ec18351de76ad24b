//! Logs how much of the machine the process uses.
//!
//! The volume is bounded: one line with all levels every few seconds, and one
//! line each time the memory use or the timer lateness rises above its
//! threshold.

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

/// Fraction of the memory at which use is logged as near the limit.
const MEMORY_HIGH: f64 = 0.75;
/// Fraction of the memory below which the next rise is logged again.
const MEMORY_LOW: f64 = 0.65;
/// Timer lateness that is logged, in seconds: half of the longest time for a
/// response to another instance.
const LATE_HIGH: f64 = 0.3;
/// Timer lateness below which the next rise is logged again, in seconds.
const LATE_LOW: f64 = 0.05;
/// Checks of the levels for each line that is logged.
const CHECKS_PER_LINE: u32 = 3;

/// Logs the resource use of the process.
#[derive(Debug)]
pub struct UsageLogger {
    limits: MachineLimits,
    memory: RefCell<ThresholdTrigger>,
    lateness: RefCell<ThresholdTrigger>,
    /// Largest lateness since the last line of levels.
    max_lateness: Cell<Duration>,
    checks: Cell<u32>,
}

impl UsageLogger {
    /// Creates a logger for a process with these `limits`.
    pub fn new(limits: MachineLimits) -> Self {
        Self {
            limits,
            memory: RefCell::new(ThresholdTrigger::new(MEMORY_HIGH, MEMORY_LOW)),
            lateness: RefCell::new(ThresholdTrigger::new(LATE_HIGH, LATE_LOW)),
            max_lateness: Cell::default(),
            checks: Cell::default(),
        }
    }

    /// Records that the timer was late by `delay`.
    pub fn note_lateness(&self, delay: Duration) {
        self.max_lateness.set(self.max_lateness.get().max(delay));
        if self.lateness.borrow_mut().fires(delay.as_secs_f64()) {
            event!(EventCode::ThreadLate, "late_ms={}", delay.as_millis());
        }
    }

    /// Records the present levels. Returns whether they were logged.
    pub fn note_levels(&self, levels: &TrafficGauges, tally: &WorkTally) -> bool {
        let memory = self.limits.memory_bytes.max(1) as f64;
        let ratio = levels.used.resident_bytes as f64 / memory;
        if self.memory.borrow_mut().fires(ratio) {
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
        self.checks.set(self.checks.get() + 1);
        let is_due = self.checks.get() >= CHECKS_PER_LINE;
        if is_due {
            self.checks.set(0);
            self.log_levels(levels, tally);
        }
        is_due
    }

    fn log_levels(&self, levels: &TrafficGauges, tally: &WorkTally) {
        let readiness = |outcome| tally.peer_requests(PeerRequestKind::Readiness, outcome);
        let link = |outcome| tally.peer_requests(PeerRequestKind::Link, outcome);
        event!(
            EventCode::LevelsShown,
            "resident_bytes={} processor_ms={} late_ms={} caller_connections={} requests={} idle_links={} instances={} accounts={} account_lag={} records={} reviews={} draws={}/{}/{} readiness={}/{}/{} link={}/{}/{} asked={}/{} retries_left={:.1}",
            levels.used.resident_bytes,
            levels.used.processor.as_millis(),
            self.max_lateness.take().as_millis(),
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

//! Measures the headroom of an instance.
//!
//! The load is the largest of several ratios, each 1.0 where responses begin to be late.
//! While it is high, the headroom falls step by step, since callers change instances only
//! when they renew their lists; when it is low, it rises again. The load of an instance
//! follows its share of the lists, so the steps end where the load is between the two
//! thresholds.

use std::time::Duration;

use crate::headroom::Headroom;

/// Load at which the headroom falls. Bursts above it still fit.
const HIGH_LOAD: f64 = 0.75;
/// Load below which the headroom rises. A step up multiplies the share of the lists by
/// at most 5/3, which leaves the load below [`HIGH_LOAD`].
const LOW_LOAD: f64 = 0.42;
/// Load at which an instance is full.
const FULL_LOAD: f64 = 0.95;
/// Load below which an instance is not full any more.
const FULL_EXIT_LOAD: f64 = 0.7;
/// Time for which the load must be high before a step down, and between two: within it
/// half of the callers renew their lists.
const STEP_DOWN_TIME: Duration = Duration::from_secs(2);
/// Time for which the load must be low before a step up, and between two: within it
/// most callers renew their lists.
const STEP_UP_TIME: Duration = Duration::from_secs(4);
/// Longest time between two steps up. The time doubles when the load is high again soon
/// after a step up: callers behind one address come and go together, and their load may
/// be too much for the instance.
const STEP_UP_LIMIT: Duration = Duration::from_secs(64);
/// Time after a step up in which a high load is put down to the callers that returned.
const RETURN_TIME: Duration = Duration::from_secs(12);
/// Time for which the load must be at [`FULL_LOAD`] before an instance is full.
const FULL_ENTRY_TIME: Duration = Duration::from_secs(1);
/// Time for which the load must be below [`FULL_EXIT_LOAD`] before an instance that was
/// full is listed again.
const FULL_EXIT_TIME: Duration = Duration::from_secs(3);
/// Shares of the lists, in percent, each about 0.6 of the one before.
const STEPS: [u8; 4] = [100, 60, 36, 22];
/// Time constant of the averages of the link's rate and the timer's lateness.
const AVERAGE_TIME: Duration = Duration::from_secs(1);
/// Average lateness of the timer at which responses are late. The quota of a small
/// machine stops its process for up to 0.09 s at a time.
const LATENESS_LIMIT: Duration = Duration::from_millis(300);
/// Time to send what is queued at which responses are late.
const QUEUE_LIMIT: Duration = Duration::from_millis(500);
/// Most of what is counted as queued, as the time to send it. Callers leave at their
/// deadlines, and what was queued for them goes with their connections.
const BACKLOG_LIMIT: Duration = Duration::from_secs(2);
/// Share of the memory from which it counts as load, and at which it counts as full.
const MEMORY_RANGE: (f64, f64) = (0.80, 0.88);
/// Longest time between two samples that counts; after a pause of the process the
/// averages start from the new sample.
const SAMPLE_LIMIT: Duration = Duration::from_secs(5);

/// What an instance can take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeadroomLimits {
    /// Bandwidth of the link in bytes per second, if it is known.
    pub link: Option<f64>,
    /// Most connections of callers, and so most requests at once.
    pub connections: usize,
}

/// What an instance measures.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HeadroomSample {
    /// Bytes sent to callers and servers since the last sample.
    pub sent: u64,
    /// Bytes of responses that wait for callers' connections to take them.
    pub queued: u64,
    /// How late the timer was.
    pub lateness: Duration,
    /// Open connections of callers.
    pub connections: usize,
    /// Requests in progress.
    pub requests: usize,
    /// Share of the memory that is in use.
    pub memory: f64,
}

/// How much room an instance has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum HeadroomLevel {
    /// There is room.
    #[default]
    Normal,
    /// The instance should get a smaller share of the callers.
    Busy,
    /// Responses are about to be late.
    Full,
}

impl HeadroomLevel {
    /// Name for logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Normal => "normal",
            Self::Busy => "busy",
            Self::Full => "full",
        }
    }
}

/// Since when a condition holds.
#[derive(Clone, Copy, Debug, Default)]
struct Holding(Option<Duration>);

impl Holding {
    /// Records whether the condition holds at `now`.
    fn note(&mut self, holds: bool, now: Duration) {
        self.0 = if holds { self.0.or(Some(now)) } else { None };
    }

    /// Whether the condition has held for `time`, and since `start` too.
    fn has_held(self, time: Duration, start: Duration, now: Duration) -> bool {
        self.0
            .is_some_and(|since| now.saturating_sub(since.max(start)) >= time)
    }
}

/// Determines the headroom from samples.
#[derive(Clone, Debug)]
pub struct HeadroomGauge {
    limits: HeadroomLimits,
    sampled_at: Option<Duration>,
    /// Average bytes per second.
    rate: f64,
    /// Average lateness of the timer in seconds.
    lateness: f64,
    /// Bytes that were sent beyond the link's bandwidth and wait in the system.
    backlog: f64,
    delay: Duration,
    load: f64,
    step: usize,
    full: bool,
    changed_at: Duration,
    /// Time of the last step up.
    raised_at: Option<Duration>,
    /// Time for which the load must be low before a step up.
    step_up_time: Duration,
    high: Holding,
    low: Holding,
    full_load: Holding,
    exit_load: Holding,
}

impl HeadroomGauge {
    /// Creates the gauge of an instance that can take `limits`.
    pub fn new(limits: HeadroomLimits) -> Self {
        Self {
            limits,
            sampled_at: None,
            rate: 0.0,
            lateness: 0.0,
            backlog: 0.0,
            delay: Duration::ZERO,
            load: 0.0,
            step: 0,
            full: false,
            changed_at: Duration::ZERO,
            raised_at: None,
            step_up_time: STEP_UP_TIME,
            high: Holding::default(),
            low: Holding::default(),
            full_load: Holding::default(),
            exit_load: Holding::default(),
        }
    }

    /// The headroom at the last sample.
    pub fn headroom(&self) -> Headroom {
        if self.full {
            return Headroom::NONE;
        }
        Headroom(STEPS[self.step])
    }

    /// The level at the last sample.
    pub fn level(&self) -> HeadroomLevel {
        match (self.full, self.step) {
            (true, _) => HeadroomLevel::Full,
            (false, 0) => HeadroomLevel::Normal,
            (false, _) => HeadroomLevel::Busy,
        }
    }

    /// The load at the last sample; 1.0 is where responses begin to be late.
    pub fn load(&self) -> f64 {
        self.load
    }

    /// Time that a response which is ready now waits, as far as it is known.
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Records a sample at `now`; returns whether the headroom changed.
    pub fn observe(&mut self, sample: &HeadroomSample, now: Duration) -> bool {
        let before = (self.step, self.full);
        let elapsed = self.sampled_at.map(|at| now.saturating_sub(at));
        self.sampled_at = Some(now);
        // The first sample has no time that its bytes were sent in.
        let Some(elapsed) = elapsed.filter(|elapsed| !elapsed.is_zero()) else {
            return false;
        };
        self.load = self.measure(sample, elapsed);
        self.high.note(self.load >= HIGH_LOAD, now);
        self.low.note(self.load < LOW_LOAD, now);
        self.full_load.note(self.load >= FULL_LOAD, now);
        self.exit_load.note(self.load < FULL_EXIT_LOAD, now);
        let start = self.changed_at;
        if self.full {
            if self.exit_load.has_held(FULL_EXIT_TIME, start, now) {
                self.full = false;
                self.step = STEPS.len() - 1;
                self.raised_at = Some(now);
            }
        } else if self
            .full_load
            .has_held(FULL_ENTRY_TIME, Duration::ZERO, now)
        {
            self.full = true;
            self.note_fall(now);
        } else if self.step + 1 < STEPS.len() && self.high.has_held(STEP_DOWN_TIME, start, now) {
            self.step += 1;
            self.note_fall(now);
        } else if self.step > 0 && self.low.has_held(self.step_up_time, start, now) {
            self.step -= 1;
            self.raised_at = Some(now);
        }
        let changed = before != (self.step, self.full);
        if changed {
            self.changed_at = now;
        }
        changed
    }

    /// Records that the headroom falls, perhaps due to callers that returned.
    fn note_fall(&mut self, now: Duration) {
        let raised_at = self.raised_at.take();
        let is_early = raised_at.is_some_and(|at| now.saturating_sub(at) < RETURN_TIME);
        self.step_up_time = if is_early {
            (self.step_up_time * 2).min(STEP_UP_LIMIT)
        } else {
            STEP_UP_TIME
        };
    }

    /// Updates the averages and returns the load.
    fn measure(&mut self, sample: &HeadroomSample, elapsed: Duration) -> f64 {
        let seconds = elapsed.as_secs_f64();
        let rate = sample.sent as f64 / seconds;
        let lateness = sample.lateness.as_secs_f64();
        if elapsed > SAMPLE_LIMIT {
            (self.rate, self.lateness, self.backlog) = (rate, 0.0, 0.0);
        } else {
            let weight = 1.0 - (-seconds / AVERAGE_TIME.as_secs_f64()).exp();
            self.rate += (rate - self.rate) * weight;
            self.lateness += (lateness - self.lateness) * weight;
        }
        let mut load = self.lateness / LATENESS_LIMIT.as_secs_f64();
        let mut delay = if elapsed > SAMPLE_LIMIT {
            0.0
        } else {
            lateness
        };
        if let Some(link) = self.limits.link.filter(|link| *link > 0.0) {
            let most = link * BACKLOG_LIMIT.as_secs_f64();
            let backlog = self.backlog + sample.sent as f64 - link * seconds;
            self.backlog = backlog.max(0.0).min(most);
            let queue = (self.backlog + sample.queued as f64) / link;
            load = load.max(self.rate / link);
            load = load.max(queue / QUEUE_LIMIT.as_secs_f64());
            delay = delay.max(queue);
        }
        let connections = self.limits.connections.max(1) as f64;
        load = load.max(sample.connections as f64 / connections);
        load = load.max(sample.requests as f64 / connections);
        let (memory_low, memory_full) = MEMORY_RANGE;
        load = load.max((sample.memory - memory_low) / (memory_full - memory_low));
        self.delay = Duration::try_from_secs_f64(delay).unwrap_or_default();
        if load.is_finite() { load } else { 0.0 }
    }
}

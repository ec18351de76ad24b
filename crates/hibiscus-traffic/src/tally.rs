//! Counters of the work that a process does for the fleet rather than for a
//! request.
//!
//! Counting costs no more than an addition; the sums are published as metrics
//! together with the levels.

use std::cell::Cell;

use hibiscus_types::TokenCount;
use metrics::counter;

/// Kind of a request to another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerRequestKind {
    /// Whether the instance serves.
    Readiness,
    /// A request over the peer link: tokens, or the time of day.
    Link,
}

/// Outcome of a request to another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerRequestOutcome {
    /// The instance responded.
    Answered,
    /// The instance responded that it does not serve, or has no tokens.
    Refused,
    /// No response came in time.
    Unanswered,
}

/// How much of a draw was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrawOutcome {
    /// All requested tokens.
    Whole,
    /// Some of the requested tokens.
    Part,
    /// No tokens.
    Nothing,
}

impl DrawOutcome {
    /// The outcome of a draw of `requested` tokens that was granted `granted`.
    pub fn of(requested: TokenCount, granted: TokenCount) -> Self {
        if granted.is_zero() {
            Self::Nothing
        } else if granted < requested {
            Self::Part
        } else {
            Self::Whole
        }
    }
}

/// Why this instance closed a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The connection was idle, and a new one needed its place.
    Room,
    /// The request's head took too long to arrive.
    SlowHead,
    /// The instance had no place for the connection.
    Full,
    /// The instance shuts down.
    Stopping,
}

impl CloseReason {
    /// Name of the reason in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Room => "room",
            Self::SlowHead => "slow_head",
            Self::Full => "full",
            Self::Stopping => "stopping",
        }
    }
}

/// A counter of events.
#[derive(Debug, Default)]
pub struct EventCount(Cell<u64>);

impl EventCount {
    /// Adds one.
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The current count.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub struct WorkTally {
    /// Account records that were applied.
    pub records: EventCount,
    /// Budget reviews.
    pub reviews: EventCount,
    /// Readiness requests received from other instances and from the platform.
    pub readiness_requests: EventCount,
    /// Requests received from other instances over the peer link.
    pub link_requests: EventCount,
    /// Requests for tokens of which only a part was transferred.
    pub parts_passed_on: EventCount,
    /// Callers' requests for which no holder was asked, because none could have enough
    /// tokens.
    pub holders_not_asked: EventCount,
    draws: [EventCount; 3],
    readiness: [EventCount; 3],
    link: [EventCount; 3],
    closes: [EventCount; 4],
}

impl WorkTally {
    /// Counts a draw.
    pub fn count_draw(&self, outcome: DrawOutcome) {
        self.draws[outcome as usize].add();
    }

    /// Number of draws with this outcome.
    pub fn draws(&self, outcome: DrawOutcome) -> u64 {
        self.draws[outcome as usize].get()
    }

    /// Counts a request to another instance.
    pub fn count_peer_request(&self, subject: PeerRequestKind, outcome: PeerRequestOutcome) {
        self.peer_request_counts(subject)[outcome as usize].add();
    }

    /// Number of requests of the kind `subject` with this outcome.
    pub fn peer_requests(&self, subject: PeerRequestKind, outcome: PeerRequestOutcome) -> u64 {
        self.peer_request_counts(subject)[outcome as usize].get()
    }

    /// Counts a caller's connection that this instance closed.
    pub fn count_close(&self, reason: CloseReason) {
        self.closes[reason as usize].add();
    }

    fn peer_request_counts(&self, subject: PeerRequestKind) -> &[EventCount; 3] {
        match subject {
            PeerRequestKind::Readiness => &self.readiness,
            PeerRequestKind::Link => &self.link,
        }
    }

    /// Publishes the counters as metrics.
    pub fn publish(&self) {
        counter!("hibiscus_account_records_total").absolute(self.records.get());
        counter!("hibiscus_budget_reviews_total").absolute(self.reviews.get());
        counter!("hibiscus_token_parts_total").absolute(self.parts_passed_on.get());
        counter!("hibiscus_holders_not_asked_total").absolute(self.holders_not_asked.get());
        for (verdict, count) in ["whole", "part", "nothing"].into_iter().zip(&self.draws) {
            counter!("hibiscus_draws_total", "verdict" => verdict).absolute(count.get());
        }
        let subjects = [
            ("readiness", &self.readiness, &self.readiness_requests),
            ("link", &self.link, &self.link_requests),
        ];
        let outcomes = ["answered", "refused", "unanswered"];
        for (subject, counts, received) in subjects {
            for (outcome, count) in outcomes.into_iter().zip(counts) {
                counter!("hibiscus_questions_total", "subject" => subject, "outcome" => outcome)
                    .absolute(count.get());
            }
            counter!("hibiscus_questions_received_total", "subject" => subject)
                .absolute(received.get());
        }
        let reasons = [
            CloseReason::Room,
            CloseReason::SlowHead,
            CloseReason::Full,
            CloseReason::Stopping,
        ];
        for reason in reasons {
            counter!("hibiscus_caller_connections_closed_total", "reason" => reason.label())
                .absolute(self.closes[reason as usize].get());
        }
    }
}

//! Counts of the work that a process does for the fleet, not for a request.
//!
//! A count costs no more than an addition; the sums reach the metrics with the
//! levels.

use std::cell::Cell;

use hibiscus_types::TokenCount;
use metrics::counter;

/// What a question to another instance is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerRequestKind {
    /// Whether it serves.
    Readiness,
    /// Tokens, or the time of day.
    Link,
}

/// How a question to another instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerRequestOutcome {
    /// It was answered.
    Answered,
    /// The answer is that it does not serve, or gives nothing.
    Refused,
    /// No answer came in time.
    Unanswered,
}

/// How much of a draw was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrawOutcome {
    /// All that was asked for.
    Whole,
    /// Some of it.
    Part,
    /// Nothing.
    Nothing,
}

impl DrawOutcome {
    /// The outcome when `granted` of `asked` tokens came.
    pub fn of(asked: TokenCount, granted: TokenCount) -> Self {
        if granted.is_zero() {
            Self::Nothing
        } else if granted < asked {
            Self::Part
        } else {
            Self::Whole
        }
    }
}

/// Why this instance closed a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It was idle, and a new one needed its room.
    Room,
    /// Its head took too long.
    SlowHead,
    /// There was no room for it.
    Full,
    /// The instance stops.
    Stopping,
}

impl CloseReason {
    /// The word for logs and metrics.
    pub fn word(self) -> &'static str {
        match self {
            Self::Room => "room",
            Self::SlowHead => "slow_head",
            Self::Full => "full",
            Self::Stopping => "stopping",
        }
    }
}

/// One count.
#[derive(Debug, Default)]
pub struct EventCount(Cell<u64>);

impl EventCount {
    /// Counts one more.
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The count.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub struct WorkTally {
    /// Account records that were folded.
    pub records: EventCount,
    /// Looks at a budget, each time counted.
    pub reviews: EventCount,
    /// Readiness questions of other instances, and of the platform.
    pub readiness_requests: EventCount,
    /// Questions of other instances over the link.
    pub link_requests: EventCount,
    draws: [EventCount; 3],
    readiness: [EventCount; 3],
    link: [EventCount; 3],
    closes: [EventCount; 4],
}

impl WorkTally {
    /// Counts the verdict of a draw.
    pub fn count_draw(&self, outcome: DrawOutcome) {
        self.draws[outcome as usize].add();
    }

    /// Draws with that verdict.
    pub fn draws(&self, outcome: DrawOutcome) -> u64 {
        self.draws[outcome as usize].get()
    }

    /// Counts the end of a question to another instance.
    pub fn count_peer_request(&self, subject: PeerRequestKind, outcome: PeerRequestOutcome) {
        self.questions(subject)[outcome as usize].add();
    }

    /// Questions about `subject` that ended so.
    pub fn asked(&self, subject: PeerRequestKind, outcome: PeerRequestOutcome) -> u64 {
        self.questions(subject)[outcome as usize].get()
    }

    /// Counts a caller's connection that this instance closed.
    pub fn count_close(&self, reason: CloseReason) {
        self.closes[reason as usize].add();
    }

    fn questions(&self, subject: PeerRequestKind) -> &[EventCount; 3] {
        match subject {
            PeerRequestKind::Readiness => &self.readiness,
            PeerRequestKind::Link => &self.link,
        }
    }

    /// Shows the counts on the metrics' address.
    pub fn show(&self) {
        counter!("hibiscus_account_records_total").absolute(self.records.get());
        counter!("hibiscus_budget_reviews_total").absolute(self.reviews.get());
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
            counter!("hibiscus_caller_connections_closed_total", "reason" => reason.word())
                .absolute(self.closes[reason as usize].get());
        }
    }
}

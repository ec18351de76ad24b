//! Limits on requests that servers name in their responses.
//!
//! A server that is short of resources names the number of requests per second
//! that it accepts from all instances together. The limit holds until a later
//! response names another one or none, or the server restarts.
//!
//! Responses may arrive in another order than the server sent them. A response
//! to a request that was sent before the known limit was observed may be older
//! than it, so it can only lower the limit. Instances exchange [`LimitRecord`]s,
//! whose versions order what different instances have observed.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// A number of requests per second; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

/// Error for a number that is not a [`RequestRate`].
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("{0} is not a number of requests per second")]
pub struct RateError(f64);

/// Result of converting a number.
pub type Result<T> = std::result::Result<T, RateError>;

impl RequestRate {
    /// Creates a rate; `None` if `per_second` is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        let valid = per_second.is_finite() && per_second >= 0.0;
        valid.then_some(Self(per_second))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

// The number is finite, so equality is reflexive.
impl Eq for RequestRate {}

impl TryFrom<f64> for RequestRate {
    type Error = RateError;

    fn try_from(per_second: f64) -> Result<Self> {
        Self::new(per_second).ok_or(RateError(per_second))
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

/// What an instance knows of the limit of one server process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRecord {
    /// Number of changes that led to this record.
    pub version: u64,
    /// The limit; `None` if the server names none.
    pub limit: Option<RequestRate>,
}

impl LimitRecord {
    /// Whether this record replaces `other`. Of two records with the same version
    /// the lower limit is kept.
    pub fn replaces(&self, other: &Self) -> bool {
        if self.version != other.version {
            return self.version > other.version;
        }
        is_lower(self.limit, other.limit)
    }
}

/// The limit of one server process.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitTracker {
    record: LimitRecord,
    /// When the limit was last observed; `None` before the first time.
    observed_at: Option<Instant>,
}

impl LimitTracker {
    /// The limit in force.
    pub fn limit(&self) -> Option<RequestRate> {
        self.record.limit
    }

    /// What other instances are told.
    pub fn record(&self) -> LimitRecord {
        self.record
    }

    /// Records the limit in a response that arrived at `now`, to a request that
    /// was sent at `sent_at`; returns whether the limit has changed.
    pub fn note_response(
        &mut self,
        limit: Option<RequestRate>,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let is_later = self
            .observed_at
            .is_none_or(|observed_at| sent_at >= observed_at);
        let changed = limit != self.record.limit;
        if changed && !is_later && !is_lower(limit, self.record.limit) {
            return false;
        }
        self.observed_at = Some(now);
        if changed {
            self.record = LimitRecord {
                version: self.record.version + 1,
                limit,
            };
        }
        changed
    }

    /// Merges what another instance has observed, received at `now`; returns
    /// whether the record was replaced.
    pub fn merge(&mut self, record: LimitRecord, now: Instant) -> bool {
        if !record.replaces(&self.record) {
            return false;
        }
        self.record = record;
        self.observed_at = Some(now);
        true
    }
}

/// Whether `limit` is lower than `other`, where `None` is no limit.
fn is_lower(limit: Option<RequestRate>, other: Option<RequestRate>) -> bool {
    match (limit, other) {
        (Some(limit), Some(other)) => limit < other,
        (Some(_), None) => true,
        (None, _) => false,
    }
}

//! Decides which requests of a service are refused when it cannot serve all in time.
//!
//! A request is refused only if no server is predicted to complete it before its
//! deadline, and never while the service has room or the prediction rests on too few
//! observations. Servers run urgent requests first, so an urgent request waits for less
//! than the whole queue, and a less urgent one for more, as others overtake it: less
//! urgent requests yield first. A team that takes more than its fair share is
//! granted less. [`shares`] counts what is served, so that nobody is starved, and
//! [`returns`] spreads the times at which refused callers return.

pub mod returns;
pub mod shares;

use std::time::Duration;
use std::time::Instant;

use crate::admission::returns::ReturnSchedule;
use crate::admission::shares::ServedShares;
use crate::admission::shares::ShareTable;

/// Recent observations that a prediction must rest on for a refusal.
const MIN_OBSERVATIONS: f64 = 8.0;
/// Part of the service's places below which no request is refused while none waits.
const MIN_OCCUPIED: f64 = 0.5;
/// Expected number of waiting requests from which requests wait.
const MIN_WAITING: f64 = 0.5;
/// Multiple of the time to its deadline that a request must be predicted to take for a
/// refusal: a late response still earns half, and predictions err.
const REFUSAL_MARGIN: f64 = 1.25;
/// The same for a team that takes more than its fair share.
const OVER_SHARE_MARGIN: f64 = 1.0;
/// Multiple of its fair share from which a team yields.
const FAIR_SHARE_SLACK: f64 = 1.25;
/// Share of the average rate of service below which a kind, a team or a session is
/// served whatever is predicted; a quarter must be reached.
const STARVATION_FLOOR: f64 = 0.4;
/// Least part of the capacity that is left for a level when more urgent work takes all.
const MIN_CAPACITY_LEFT: f64 = 0.05;
/// Number of urgency levels.
const LEVELS: usize = 10;

const KIND_LIMIT: usize = 64;
const TEAM_LIMIT: usize = 256;
const SESSION_LIMIT: usize = 1_024;

/// A request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Urgency at the server; 0 is the most urgent.
    pub urgency: u8,
    /// Kind of the request: a hash of its route.
    pub kind: u64,
    /// Urgency of the kind.
    pub kind_urgency: u8,
    /// The team that the request is billed to.
    pub team: Option<u64>,
    /// The session that the request belongs to, as far as known.
    pub session: Option<u64>,
    /// Predicted work of the request, in milliseconds.
    pub work_ms: f64,
    /// Time to the request's deadline.
    pub time_left: Duration,
}

/// What is predicted for a request at the server that would complete it first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outlook {
    /// Milliseconds to the end of the response.
    pub total_ms: f64,
    /// Part of `total_ms` for which the request waits for others.
    pub wait_ms: f64,
    /// Number of recent observations that the prediction rests on.
    pub observations: f64,
}

/// How full a service is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Occupancy {
    /// Requests expected to be in progress.
    pub taken: f64,
    /// Places of the servers.
    pub places: f64,
    /// Requests expected to wait for a place.
    pub waiting: f64,
}

impl Occupancy {
    /// Whether under half of the places are taken and nothing waits.
    fn has_room(&self) -> bool {
        self.taken < self.places * MIN_OCCUPIED && self.waiting < MIN_WAITING
    }

    /// Part of the places that are taken, all if requests wait.
    fn utilization(&self) -> f64 {
        if self.waiting >= MIN_WAITING {
            return 1.0;
        }
        (self.taken / self.places.max(1.0)).min(1.0)
    }
}

/// Why a request that is predicted to be late is admitted all the same, or why it is
/// admitted or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A server is predicted to complete the request in time.
    InTime,
    /// The service has room, so the prediction is not relied on.
    HasRoom,
    /// The prediction rests on too few observations.
    Unknown,
    /// The request's kind, team or session is served too rarely.
    Underserved,
    /// The request is refused, as no server can complete it in time.
    TooLate,
    /// The request is refused, as its team takes more than its fair share.
    OverShare,
}

impl Verdict {
    /// Whether the request is sent.
    pub fn is_admitted(self) -> bool {
        !matches!(self, Self::TooLate | Self::OverShare)
    }

    /// Name for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::HasRoom => "has_room",
            Self::Unknown => "unknown",
            Self::Underserved => "underserved",
            Self::TooLate => "too_late",
            Self::OverShare => "over_share",
        }
    }
}

/// Admission to one service, by the requests of one instance.
#[derive(Debug)]
pub struct AdmissionControl {
    all: ServedShares,
    kinds: ShareTable,
    teams: ShareTable,
    sessions: ShareTable,
    /// Work admitted at each level of urgency.
    levels: [ServedShares; LEVELS],
    returns: ReturnSchedule,
}

impl Default for AdmissionControl {
    fn default() -> Self {
        Self {
            all: ServedShares::default(),
            kinds: ShareTable::new(KIND_LIMIT),
            teams: ShareTable::new(TEAM_LIMIT),
            sessions: ShareTable::new(SESSION_LIMIT),
            levels: [ServedShares::default(); LEVELS],
            returns: ReturnSchedule::default(),
        }
    }
}

impl AdmissionControl {
    /// Decides on a request; `occupancy` is computed only if the request is predicted to
    /// be late.
    pub fn decide(
        &mut self,
        request: &AdmissionRequest,
        outlook: &Outlook,
        occupancy: impl FnOnce() -> Occupancy,
        now: Instant,
    ) -> Verdict {
        let verdict = self.verdict(request, outlook, occupancy, now);
        self.count(request, verdict.is_admitted(), now);
        verdict
    }

    /// Time after which a refused request has a chance, different for each.
    pub fn retry_after(
        &mut self,
        request: &AdmissionRequest,
        outlook: &Outlook,
        now: Instant,
    ) -> Duration {
        let time_left = milliseconds(request.time_left);
        let predicted = self.predicted_ms(request, outlook, 1.0, now);
        let excess_ms = (predicted - time_left).max(0.0);
        let served_per_second = self.all.served_per_second(now);
        self.returns.next(excess_ms, served_per_second, now)
    }

    /// Multiple of the predicted wait that a request of `urgency` waits. Servers run the
    /// work that is as urgent or more before it, and meanwhile more urgent work arrives
    /// and overtakes it, the more the higher the `utilization` of the servers, from 0
    /// to 1.
    pub fn wait_factor(&self, urgency: u8, utilization: f64, now: Instant) -> f64 {
        let level = usize::from(urgency).min(LEVELS - 1);
        let work =
            |levels: &[ServedShares]| levels.iter().map(|level| level.served(now)).sum::<f64>();
        let all = work(&self.levels);
        if all <= 0.0 {
            return 1.0;
        }
        let ahead = work(&self.levels[..=level]) / all;
        let overtaking = work(&self.levels[..level]) / all;
        ahead / (1.0 - overtaking * utilization).max(MIN_CAPACITY_LEFT)
    }

    /// The most urgent level of which there was work recently. A request of an
    /// underserved kind, team or session is sent with it: at its own level, the server
    /// would let it wait behind all others.
    pub fn most_urgent(&self, now: Instant) -> u8 {
        let used = |level: &ServedShares| level.served(now) > 0.0;
        let level = self.levels.iter().position(used).unwrap_or(0);
        u8::try_from(level).unwrap_or(0)
    }

    fn verdict(
        &self,
        request: &AdmissionRequest,
        outlook: &Outlook,
        occupancy: impl FnOnce() -> Occupancy,
        now: Instant,
    ) -> Verdict {
        let time_left = milliseconds(request.time_left);
        let predicted = |utilization| self.predicted_ms(request, outlook, utilization, now);
        if predicted(1.0) <= time_left {
            return Verdict::InTime;
        }
        if outlook.observations < MIN_OBSERVATIONS {
            return Verdict::Unknown;
        }
        let occupancy = occupancy();
        if occupancy.has_room() {
            return Verdict::HasRoom;
        }
        let over_share = self.is_over_share(request, now);
        let margin = if over_share {
            OVER_SHARE_MARGIN
        } else {
            REFUSAL_MARGIN
        };
        if predicted(occupancy.utilization()) <= time_left * margin {
            return Verdict::InTime;
        }
        if self.is_underserved(request, now) {
            return Verdict::Underserved;
        }
        if over_share {
            Verdict::OverShare
        } else {
            Verdict::TooLate
        }
    }

    /// Milliseconds to the end of the response, with the wait that the request's urgency
    /// leaves it.
    fn predicted_ms(
        &self,
        request: &AdmissionRequest,
        outlook: &Outlook,
        utilization: f64,
        now: Instant,
    ) -> f64 {
        let factor = self.wait_factor(request.urgency, utilization, now);
        outlook.total_ms + outlook.wait_ms * (factor - 1.0)
    }

    fn is_over_share(&self, request: &AdmissionRequest, now: Instant) -> bool {
        let Some(team) = request.team else {
            return false;
        };
        self.teams.exceeds_fair_share(team, FAIR_SHARE_SLACK, now)
    }

    /// Whether the request's kind, team or session is served much less often than
    /// requests on average, or its kind less often than a less urgent one.
    fn is_underserved(&self, request: &AdmissionRequest, now: Instant) -> bool {
        let average = self.all.rate(1.0, now);
        let floor = average * STARVATION_FLOOR;
        let keys = [
            (&self.kinds, Some(request.kind)),
            (&self.teams, request.team),
            (&self.sessions, request.session),
        ];
        let mut keys = keys.into_iter();
        if keys.any(|(table, key)| key.is_some_and(|key| table.rate(key, average, now) < floor)) {
            return true;
        }
        let own = self.kinds.rate(request.kind, average, now);
        let less_urgent = self
            .kinds
            .best_rate_above(request.kind_urgency, average, now);
        less_urgent.is_some_and(|rate| rate > own)
    }

    fn count(&mut self, request: &AdmissionRequest, served: bool, now: Instant) {
        self.all.count(1.0, served, now);
        let level = usize::from(request.urgency).min(LEVELS - 1);
        self.levels[level].count(request.work_ms, served, now);
        self.kinds
            .count(request.kind, request.kind_urgency, 1.0, served, now);
        if let Some(team) = request.team {
            self.teams.count(team, 0, 1.0, served, now);
        }
        if let Some(session) = request.session {
            self.sessions.count(session, 0, 1.0, served, now);
        }
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

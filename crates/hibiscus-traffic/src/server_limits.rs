//! The request limits that servers name, as this instance knows them.
//!
//! An instance learns of a limit by the responses of the server and from other
//! instances ([`crate::limit_exchange`]). A request to such a server needs a permit
//! ([`crate::permits`]).

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_routing::permits::PermitStock;
use hibiscus_routing::permits::SendPermit;
use hibiscus_routing::request_limit::LimitRecord;
use hibiscus_routing::request_limit::LimitTracker;
use hibiscus_routing::request_limit::RequestRate;
use hibiscus_types::ServiceName;
use metrics::counter;
use metrics::gauge;

use crate::cold::servers::COLD_SERVER_REQUESTS;
use crate::cold::servers::ColdState;
use crate::model::ServerIncarnation;
use crate::servers::ServerHandle;
use crate::servers::ServerPool;

/// Number of servers that name a limit.
pub const LIMITED_SERVERS: &str = "hibiscus_limited_servers";
/// Counts requests sent to servers that name a limit, by service.
pub const LIMITED_SERVER_REQUESTS: &str = "hibiscus_limited_server_requests_total";
/// Counts requests refused because all servers were at their limits, by service.
pub const REQUESTS_HELD_BACK: &str = "hibiscus_requests_held_back_total";

/// Factor by which a limit changes at least for the other instances to be notified
/// at once. Smaller changes reach the lenders with the permit requests.
const MATERIAL_FACTOR: f64 = 2.0;

/// The limit of one server process, shared by the tasks that use it.
pub type SharedLimit = Rc<RefCell<ServerLimit>>;

/// What a response says about the limit of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitObservation {
    /// The limit; `None` if the server names none.
    pub limit: Option<RequestRate>,
    /// When the request was sent.
    pub sent_at: Instant,
}

/// How this instance learned of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitSource {
    /// A response to this instance.
    Response,
    /// Another instance.
    Instance,
}

impl LimitSource {
    /// Name for logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Response => "answer",
            Self::Instance => "instance",
        }
    }
}

/// The limit of one server process, and this instance's permits under it.
#[derive(Debug, Default)]
pub struct ServerLimit {
    tracker: LimitTracker,
    /// This instance's permits.
    pub permits: PermitStock,
    /// The cold time of the process, and the permits meanwhile.
    pub cold: ColdState,
    /// How and when this instance learned of the newest change.
    learned: Option<(LimitSource, Instant)>,
    /// Requests sent since the last log of the levels.
    sent: u64,
}

impl ServerLimit {
    /// The limit in force.
    pub fn limit(&self) -> Option<RequestRate> {
        self.tracker.limit()
    }

    /// The limit in force at `now`: the lower of the one that the server names and the
    /// one while it is cold.
    pub fn limit_in_force(&self, now: Instant) -> Option<RequestRate> {
        let limits = self.limit().into_iter().chain(self.cold.limit(now));
        limits.min_by(|one, other| one.per_second().total_cmp(&other.per_second()))
    }

    /// The permits that requests need at `now` if a limit is in force: a cold server has
    /// a lender of its own.
    pub fn stock(&self, now: Instant) -> &PermitStock {
        if self.cold.limit(now).is_some() {
            &self.cold.permits
        } else {
            &self.permits
        }
    }

    /// Like [`Self::stock`].
    pub fn stock_mut(&mut self, now: Instant) -> &mut PermitStock {
        if self.cold.limit(now).is_some() {
            &mut self.cold.permits
        } else {
            &mut self.permits
        }
    }

    /// What other instances are told.
    pub fn record(&self) -> LimitRecord {
        self.tracker.record()
    }

    /// Whether the limit has ended less than `time` ago.
    pub fn has_ended_within(&self, time: Duration) -> bool {
        let learned = self.learned.filter(|_learned| self.limit().is_none());
        learned.is_some_and(|(_source, at)| at.elapsed() < time)
    }

    /// Records the limit in a response to this instance.
    pub fn note_response(&mut self, observation: LimitObservation, now: Instant) -> LimitChange {
        let before = self.limit();
        let LimitObservation { limit, sent_at } = observation;
        if !self.tracker.note_response(limit, sent_at, now) {
            return LimitChange::None;
        }
        self.note_change(before, LimitSource::Response, now)
    }

    /// Merges what another instance has observed.
    pub fn merge(&mut self, record: LimitRecord, now: Instant) -> LimitChange {
        let before = self.limit();
        if !self.tracker.merge(record, now) || before == self.limit() {
            return LimitChange::None;
        }
        self.note_change(before, LimitSource::Instance, now)
    }

    fn note_change(
        &mut self,
        before: Option<RequestRate>,
        source: LimitSource,
        now: Instant,
    ) -> LimitChange {
        self.learned = Some((source, now));
        self.permits.note_limit(before, self.limit());
        if is_material(before, self.limit()) {
            LimitChange::Material
        } else {
            LimitChange::Minor
        }
    }

    /// Whether a request that is sent at `now` needs a permit and there is none.
    pub fn lacks_permit(&self, now: Instant) -> bool {
        self.limit_in_force(now).is_some() && !self.stock(now).is_available(now)
    }

    /// Whether a request with `permit` may be sent at `now`. A request without one
    /// takes one from the stock.
    pub fn admits(&mut self, permit: Option<SendPermit>, now: Instant) -> bool {
        let is_limited = self.limit_in_force(now).is_some();
        if !is_limited || permit.is_some_and(|permit| permit.is_valid(now)) {
            return true;
        }
        self.stock_mut(now).take(now).is_some()
    }

    /// Takes a permit if a limit is in force.
    pub fn take_permit(&mut self, now: Instant) -> Option<SendPermit> {
        self.limit_in_force(now)?;
        self.stock_mut(now).take(now)
    }

    /// Counts a request that is being sent; returns whether a limit is in force.
    pub fn note_sent(&mut self) -> bool {
        if self.limit().is_none() {
            return false;
        }
        self.sent += 1;
        true
    }

    /// Source and age of the newest change, for logs.
    fn describe_source(&self) -> (&'static str, u128) {
        match self.learned {
            Some((source, at)) => (source.label(), at.elapsed().as_millis()),
            None => ("none", 0),
        }
    }
}

/// How a limit has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The limit is the same.
    None,
    /// The limit has changed by less than the factor for which others are notified.
    Minor,
    /// The limit began, ended or changed so much that others are notified.
    Material,
}

fn is_material(before: Option<RequestRate>, after: Option<RequestRate>) -> bool {
    let (Some(before), Some(after)) = (before, after) else {
        return true;
    };
    let (before, after) = (before.per_second(), after.per_second());
    let (lower, higher) = (before.min(after), before.max(after));
    higher >= lower * MATERIAL_FACTOR
}

impl ServerHandle {
    /// Counts a request that is being sent.
    pub fn count_limited(&self) {
        let mut limit = self.limit().borrow_mut();
        if limit.note_sent() {
            let service = self.entry.service.to_string();
            counter!(LIMITED_SERVER_REQUESTS, "service" => service).increment(1);
        }
        if limit.cold.note_sent(Instant::now()) {
            let service = self.entry.service.to_string();
            counter!(COLD_SERVER_REQUESTS, "service" => service).increment(1);
        }
    }
}

impl ServerPool {
    /// Publishes the limits in force, and the requests sent under them since the
    /// last call.
    pub fn show_limits(&self) {
        let mut count = 0;
        for server in self.servers() {
            let mut limit = server.limit().borrow_mut();
            let Some(rate) = limit.limit() else {
                continue;
            };
            count += 1;
            let (source, age_ms) = limit.describe_source();
            event!(
                EventCode::LimitLevels,
                "server={} limit={} version={} source={source} age_ms={age_ms} sent={}",
                server.entry.name,
                rate.per_second(),
                limit.record().version,
                std::mem::take(&mut limit.sent)
            );
        }
        gauge!(LIMITED_SERVERS).set(f64::from(count));
    }

    /// Logs and counts a request that was refused because the servers of `service`
    /// were at their limits, with the limit that allows the next request.
    pub fn log_held_back(&self, id: &str, service: &ServiceName) {
        counter!(REQUESTS_HELD_BACK, "service" => service.to_string()).increment(1);
        let now = Instant::now();
        let limited = self.servers().filter(|server| {
            server.entry.service == *service
                && server.limit().borrow().limit_in_force(now).is_some()
        });
        let next = limited.min_by_key(|server| server.limit().borrow().stock(now).next_chance(now));
        let Some(server) = next else {
            return;
        };
        let limit = server.limit().borrow();
        let (source, age_ms) = limit.describe_source();
        event!(
            EventCode::RequestHeldBack,
            "request={id} server={} limit={} version={} source={source} age_ms={age_ms} next_ms={}",
            server.entry.name,
            limit
                .limit_in_force(now)
                .map_or(f64::INFINITY, RequestRate::per_second),
            limit.record().version,
            limit
                .stock(now)
                .next_chance(now)
                .saturating_duration_since(now)
                .as_millis()
        );
    }
}

/// Logs that the limit of the process `start` has changed.
pub fn log_change(start: &ServerIncarnation, limit: &ServerLimit) {
    let (source, _age) = limit.describe_source();
    let version = limit.record().version;
    match limit.limit() {
        Some(rate) => event!(
            EventCode::ServerLimited,
            "server={} started={} limit={} version={version} source={source}",
            start.server,
            start.started,
            rate.per_second()
        ),
        None => event!(
            EventCode::ServerUnlimited,
            "server={} started={} version={version} source={source}",
            start.server,
            start.started
        ),
    }
}

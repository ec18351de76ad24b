//! Permits for requests to servers that name a limit.
//!
//! For each such server a few instances are lenders; they schedule the requests of
//! all instances ([`hibiscus_routing::permits`]). A request that could use a permit
//! makes its instance send a permit request to its lender, one at a time for each server. Each side
//! of a network partition uses its part of the limit, in proportion to its
//! instances. An instance whose lender does not respond gets no permits until
//! another instance is the lender.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_routing::permits;
use hibiscus_routing::permits::PermitGrant;
use hibiscus_routing::permits::PermitRole;
use hibiscus_routing::permits::PermitSchedule;
use hibiscus_routing::permits::TRIAL_RATE;
use hibiscus_routing::request_limit::LimitRecord;
use hibiscus_routing::request_limit::RequestRate;
use hibiscus_types::InstanceName;
use metrics::counter;
use serde::Deserialize;
use serde::Serialize;

use crate::model::InstanceEntry;
use crate::model::ServerIncarnation;
use crate::peers;
use crate::servers::ServerHandle;
use crate::state::TrafficState;
use crate::wire_format::WireFormat;

/// Counts permit requests by outcome.
pub const PERMIT_REQUESTS: &str = "hibiscus_permit_requests_total";
/// Counts permits that this instance granted as a lender.
pub const PERMITS_GRANTED: &str = "hibiscus_permits_granted_total";

/// Time after which an unused schedule is dropped.
const SCHEDULE_RETENTION: Duration = Duration::from_secs(60);
/// Number of schedules from which unused ones are looked for.
const SCHEDULE_CHECK_SIZE: usize = 64;

/// A request for permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The instance that gets the permits.
    pub instance: InstanceName,
    /// The server process.
    pub server: ServerIncarnation,
    /// What the instance knows of the server's limit.
    pub record: LimitRecord,
    /// Number of permits that the instance can use.
    pub wanted: u16,
}

/// The response to a [`PermitRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitResponse {
    /// What the responding instance knows of the server's limit.
    pub record: LimitRecord,
    /// The permits; `None` if the responding instance is no lender of the server or
    /// knows of no limit.
    pub grant: Option<PermitGrant>,
}

/// The schedules of the servers of which this instance is a lender.
#[derive(Debug, Default)]
pub struct PermitDesk {
    schedules: HashMap<ServerIncarnation, PermitSchedule>,
}

impl PermitDesk {
    fn schedule(&mut self, server: &ServerIncarnation, now: Instant) -> &mut PermitSchedule {
        if self.schedules.len() >= SCHEDULE_CHECK_SIZE
            && let Some(before) = now.checked_sub(SCHEDULE_RETENTION)
        {
            self.schedules
                .retain(|_server, schedule| !schedule.is_unused_since(before));
        }
        let schedule = self.schedules.entry(server.clone());
        schedule.or_insert_with(|| PermitSchedule::new(now))
    }
}

/// Part of this instance in the permits for one server.
enum OwnRole {
    /// Grants permits at this rate.
    Lender(f64),
    /// Requests permits from the lender at this address.
    Borrower(SocketAddr),
    /// Gets no permits.
    Excluded,
}

impl<D: WireFormat> TrafficState<D> {
    /// Requests permits for `server`, unless a permit request is in progress or none is
    /// due. If this instance is the lender, the permits are granted at once.
    pub fn request_permits(self: &Rc<Self>, server: &Rc<ServerHandle>) {
        let now = Instant::now();
        if server.has_cold_limit(now) {
            return self.request_cold_permits(server);
        }
        let mut limit = server.limit().borrow_mut();
        limit.permits.note_wanted();
        let Some(rate) = limit.limit() else {
            return;
        };
        let Some(wanted) = limit.permits.begin_request(now) else {
            return;
        };
        let start = server.entry.incarnation();
        match self.permit_role(&start, rate) {
            OwnRole::Lender(rate) => {
                let own = self.directory.borrow().own().name.clone();
                let grant = self.lend(&own, &start, rate, wanted);
                limit.permits.end_request(Some(&grant), now);
            }
            OwnRole::Borrower(lender) => {
                let request = PermitRequest {
                    instance: self.directory.borrow().own().name.clone(),
                    server: start,
                    record: limit.record(),
                    wanted,
                };
                drop(limit);
                let (state, server) = (Rc::clone(self), Rc::clone(server));
                tokio::task::spawn_local(send_permit_request(state, server, lender, request));
            }
            OwnRole::Excluded => limit.permits.end_without_lender(now),
        }
    }

    /// Responds to a permit request of another instance.
    pub fn answer_permit_request(&self, request: &PermitRequest) -> PermitResponse {
        let record = self.merge_limit(&request.server, request.record);
        let grant = record.limit.and_then(|limit| {
            let OwnRole::Lender(rate) = self.permit_role(&request.server, limit) else {
                return None;
            };
            Some(self.lend(&request.instance, &request.server, rate, request.wanted))
        });
        PermitResponse { record, grant }
    }

    /// Grants permits for `server` to `instance` at `rate`.
    fn lend(
        &self,
        instance: &InstanceName,
        server: &ServerIncarnation,
        rate: f64,
        wanted: u16,
    ) -> PermitGrant {
        let now = Instant::now();
        let mut desk = self.permit_desk.borrow_mut();
        let grant = desk
            .schedule(server, now)
            .grant(instance, rate, wanted, now);
        counter!(PERMITS_GRANTED).increment(u64::from(grant.count));
        grant
    }

    /// Part of this instance in the permits for `server`, which names `limit`.
    fn permit_role(&self, server: &ServerIncarnation, limit: RequestRate) -> OwnRole {
        let directory = self.directory.borrow();
        let own = &directory.own().name;
        let lending = || directory.responding().filter(|entry| entry.lends_permits);
        // An instance that is leaving lends only if it is the last one.
        let leaving = self.shutdown_start().is_some() && lending().any(|entry| entry.name != *own);
        let instances = lending().filter(|entry| !leaving || entry.name != *own);
        let subject = format!("limit/{}/{}", server.server, server.started);
        let lenders = permits::lenders(&subject, limit, instances.map(entry_name));
        let role = if leaving {
            lenders.any_lender(own)
        } else {
            lenders.role_of(own)
        };
        match role {
            PermitRole::Lender => {
                let rate = limit.per_second().max(TRIAL_RATE) * directory.live_share();
                OwnRole::Lender(rate / lenders.count() as f64)
            }
            PermitRole::Borrower(lender) => directory
                .find(lender)
                .map_or(OwnRole::Excluded, |entry| OwnRole::Borrower(entry.peers)),
            PermitRole::Excluded => OwnRole::Excluded,
        }
    }
}

fn entry_name(entry: &InstanceEntry) -> &InstanceName {
    &entry.name
}

/// Requests permits from `lender`, and wakes the requests that wait for them.
async fn send_permit_request<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    server: Rc<ServerHandle>,
    lender: SocketAddr,
    request: PermitRequest,
) {
    let link = state.link.borrow().clone();
    let response = match link {
        Some(link) => peers::request_permits(&link, lender, &request).await,
        None => None,
    };
    let outcome = match &response {
        None => "unanswered",
        Some(response) => match response.grant {
            None => "not_lender",
            Some(grant) if grant.count == 0 => "denied",
            Some(_) => "granted",
        },
    };
    counter!(PERMIT_REQUESTS, "outcome" => outcome).increment(1);
    if response.is_none() {
        event!(
            EventCode::PermitsNotAnswered,
            "server={} lender={lender}",
            request.server.server
        );
    }
    if let Some(response) = &response {
        state.merge_limit(&request.server, response.record);
    }
    let grant = response.and_then(|response| response.grant);
    let mut limit = server.limit().borrow_mut();
    limit.permits.end_request(grant.as_ref(), Instant::now());
    drop(limit);
    server.permits_changed().notify_waiters();
}

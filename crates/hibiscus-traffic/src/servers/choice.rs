//! The choice of a server for a request.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hibiscus_request::stream_versions::VersionStanding;
use hibiscus_routing::admission::Outlook;
use hibiscus_routing::availability::ServerEligibility;
use hibiscus_routing::cost::memory::MemoryStanding;
use hibiscus_routing::cost::service::CostRates;
use hibiscus_routing::cost::service::SentWork;
use hibiscus_routing::permits::SendPermit;
use hibiscus_routing::placement;
use hibiscus_routing::placement::Placement;
use hibiscus_routing::placement::PlacementRequest;
use hibiscus_types::DataCentre;
use hibiscus_types::ServerName;
use hibiscus_types::ServiceName;

use crate::regions::RegionRule;
use crate::servers::ServerHandle;
use crate::servers::ServerPool;
use crate::stream_versions::VersionRule;

/// The server chosen for a request.
#[derive(Debug)]
pub struct ChosenServer {
    /// The server.
    pub server: Rc<ServerHandle>,
    /// Prompt tokens that the server has to prefill.
    pub prefill_tokens: u64,
    /// Predicted work of the request.
    pub work: SentWork,
    /// What is predicted for the request at the server that would begin its response
    /// first.
    pub outlook: Outlook,
    /// Permit for the request if the server names a limit.
    pub permit: Option<SendPermit>,
    /// Urgency at the server if it was decided; else that of the request.
    pub urgency: Option<u8>,
}

impl ChosenServer {
    fn new(
        server: &Rc<ServerHandle>,
        placement: &Placement,
        rates: &CostRates,
        view: &PlacementView<'_>,
    ) -> Self {
        let work = server.work(placement, rates, view);
        Self {
            server: Rc::clone(server),
            prefill_tokens: work.prefill_tokens.unwrap_or(0.0) as u64,
            work,
            outlook: server.outlook(placement, rates, view),
            permit: None,
            urgency: None,
        }
    }

    /// Takes the permit for the request, which is sent there now.
    pub fn take_permit(mut self) -> Self {
        let limit = self.server.limit();
        let permit = limit.borrow_mut().take_permit(Instant::now());
        self.permit = permit;
        self
    }
}

/// The choice of a server for a request.
#[derive(Debug)]
pub struct ServerChoice {
    /// The server, or why there is none.
    pub outcome: Result<ChosenServer, NoServer>,
    /// A server at its limit that suits the request better, for which a permit may
    /// be had.
    pub wanted: Option<Rc<ServerHandle>>,
}

/// Why no server of a service can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoServer {
    /// No server is left that serves requests.
    Missing,
    /// All serving servers are paused. Holds the time until the first one
    /// resumes, if known.
    Pausing(Option<Duration>),
    /// The servers that are not paused are at the limits that they name. Holds the
    /// time until one of them may be used.
    Limited(Duration),
    /// All serving servers are in evacuated data centres.
    Evacuated,
    /// The servers that could be used have no memory left for the request's tokens.
    MemoryFull,
    /// No server can complete the request before its deadline. Holds the time until
    /// another request may succeed.
    TooLate(Duration),
}

/// What the cost of a server for a request depends on.
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'a> {
    /// Current time.
    pub now: Instant,
    /// Data centre of this instance.
    pub data_centre: &'a DataCentre,
    /// Number of other instances.
    pub others: u32,
    /// The prompt to place.
    pub request: &'a PlacementRequest<'a>,
    /// Software versions of the servers that may get the request.
    pub versions: &'a VersionRule,
    /// Data centres that the request may reach.
    pub regions: &'a RegionRule,
    /// Tokens that fit in a server's memory; `None` if it is not limited by them.
    pub memory_limit: Option<u64>,
}

impl PlacementView<'_> {
    /// Returns the placement with the lowest cost; `None` if there are no servers.
    fn choose(&self, servers: &[&Rc<ServerHandle>]) -> Option<(Placement, CostRates)> {
        let rates = servers.first()?.rates(self);
        let prefills: Vec<_> = servers
            .iter()
            .map(|server| server.prefill.borrow())
            .collect();
        let mut candidates = Vec::with_capacity(servers.len());
        for (server, prefill) in servers.iter().zip(&prefills) {
            candidates.push(server.candidate(prefill, &rates, self));
        }
        let placement = placement::choose_by_cost(&candidates, self.request, &rates)?;
        Some((placement, rates))
    }
}

/// The servers of a service, by how they may be used.
struct Candidates<'a> {
    /// Servers to choose from.
    usable: Vec<&'a Rc<ServerHandle>>,
    /// Servers at their limits, for which a permit may be had.
    limited: Vec<&'a Rc<ServerHandle>>,
    /// Reason for the refusal if there is no server.
    none: NoServer,
}

impl NoServer {
    /// Combines the reason with a further server that is paused until `until`.
    fn with_pause_until(self, until: Option<Instant>, now: Instant) -> Self {
        let remaining = until.map(|until| until.saturating_duration_since(now));
        match self {
            Self::Limited(first) => {
                Self::Limited(remaining.map_or(first, |remaining| remaining.min(first)))
            }
            Self::Pausing(Some(first)) => Self::Pausing(Some(
                remaining.map_or(first, |remaining| remaining.min(first)),
            )),
            Self::Missing
            | Self::Pausing(None)
            | Self::Evacuated
            | Self::MemoryFull
            | Self::TooLate(_) => Self::Pausing(remaining),
        }
    }

    /// Combines the reason with a further server that is at its limit until `until`.
    fn with_limit_until(self, until: Instant, now: Instant) -> Self {
        let remaining = until.saturating_duration_since(now);
        match self {
            Self::Missing
            | Self::Pausing(None)
            | Self::Evacuated
            | Self::MemoryFull
            | Self::TooLate(_) => Self::Limited(remaining),
            Self::Pausing(Some(first)) | Self::Limited(first) => {
                Self::Limited(remaining.min(first))
            }
        }
    }
}

impl ServerPool {
    /// Chooses a server of `service` that is not in `tried`. Servers that failed,
    /// refused a request or were found closed recently are used only if there is
    /// no other, and those at their limits not at all.
    ///
    /// The choice has no server if none of the service is serving, or all of them
    /// are paused or at their limits. It takes no permit, as the caller may choose
    /// again.
    pub fn choose(
        &self,
        service: &ServiceName,
        tried: &[ServerName],
        view: &PlacementView<'_>,
    ) -> ServerChoice {
        let Candidates {
            usable,
            limited,
            none,
        } = self.candidates(service, tried, view);
        let wanted = if limited.is_empty() {
            None
        } else {
            let all = [&usable[..], &limited[..]].concat();
            let best = view.choose(&all).map(|(placement, _rates)| placement.index);
            best.filter(|index| *index >= usable.len())
                .map(|index| Rc::clone(all[index]))
        };
        let chosen = view.choose(&usable).map(|(placement, rates)| {
            ChosenServer::new(usable[placement.index], &placement, &rates, view)
        });
        ServerChoice {
            outcome: chosen.ok_or(none),
            wanted,
        }
    }

    /// The servers of `service` that `regions` and `versions` allow and that are not in
    /// evacuated data centres, of the versions that most
    /// instances know: settled ones if these have half of the serving servers, young
    /// ones only if there are no others.
    fn allowed(
        &self,
        service: &ServiceName,
        versions: &VersionRule,
        regions: &RegionRule,
    ) -> Vec<&Rc<ServerHandle>> {
        let servers = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let mut allowed: Vec<_> = servers.iter().collect();
        allowed.retain(|server| regions.allows(&server.entry.data_centre));
        allowed.retain(|server| versions.allows(&server.entry) && !server.is_evacuated());
        let serving_from = |least: VersionStanding| {
            let serving = allowed.iter().filter(|server| server.is_serving());
            serving
                .filter(|server| versions.standing(&server.entry) >= least)
                .count()
        };
        let settled = serving_from(VersionStanding::Settled);
        let least = if settled * 2 >= serving_from(VersionStanding::Young) {
            VersionStanding::Settled
        } else if serving_from(VersionStanding::Known) > 0 {
            VersionStanding::Known
        } else {
            VersionStanding::Young
        };
        allowed.retain(|server| versions.standing(&server.entry) >= least);
        allowed
    }

    /// Why none of the servers of `service` that `versions` and `regions` allow can be used,
    /// if none of them is paused or at its limit.
    fn without_servers(
        &self,
        service: &ServiceName,
        versions: &VersionRule,
        regions: &RegionRule,
    ) -> NoServer {
        let mut servers = self.by_service.get(service).into_iter().flatten();
        let is_left_out = servers.any(|server| {
            server.is_evacuated()
                && server.is_serving()
                && versions.allows(&server.entry)
                && regions.allows(&server.entry.data_centre)
        });
        if is_left_out {
            NoServer::Evacuated
        } else {
            NoServer::Missing
        }
    }

    /// Whether servers of `service` serve that `regions` allows, and `versions` allows
    /// none of them. Servers in evacuated data centres do not count.
    pub fn awaits_version(
        &self,
        service: &ServiceName,
        versions: &VersionRule,
        regions: &RegionRule,
    ) -> bool {
        let servers = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let mut serving = servers.iter().filter(|server| {
            server.is_serving()
                && !server.is_evacuated()
                && regions.allows(&server.entry.data_centre)
        });
        let has_serving = serving.clone().next().is_some();
        has_serving && !serving.any(|server| versions.allows(&server.entry))
    }

    /// Whether servers of `service` serve, and `regions` allows none of them.
    pub fn serves_only_outside(&self, service: &ServiceName, regions: &RegionRule) -> bool {
        if *regions == RegionRule::Any {
            return false;
        }
        let servers = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let mut serving = servers.iter().filter(|server| server.is_serving());
        let has_serving = serving.clone().next().is_some();
        has_serving && !serving.any(|server| regions.allows(&server.entry.data_centre))
    }

    /// The servers of `service` that are not in `tried`, by how they may be used.
    fn candidates(
        &self,
        service: &ServiceName,
        tried: &[ServerName],
        view: &PlacementView<'_>,
    ) -> Candidates<'_> {
        let now = view.now;
        let servers = self.allowed(service, view.versions, view.regions);
        let mut usable = Vec::with_capacity(servers.len());
        let mut avoided = Vec::new();
        let mut limited = Vec::new();
        let mut closed = Vec::new();
        let mut none = NoServer::Missing;
        let rates = servers.first().map(|server| server.rates(view));
        let memory = |server: &ServerHandle| {
            let rates = rates.as_ref();
            rates.map_or(MemoryStanding::Free, |rates| {
                server.memory_standing(rates, view)
            })
        };
        let mut is_memory_full = false;
        let mut uncertain = Vec::new();
        for server in servers {
            if !server.is_serving() || tried.contains(&server.entry.name) {
                continue;
            }
            let eligibility = server.process.availability.borrow().eligibility(now);
            let is_avoided = match eligibility {
                ServerEligibility::Open => false,
                ServerEligibility::LastResort => true,
                ServerEligibility::Paused(until) => {
                    none = none.with_pause_until(until, now);
                    continue;
                }
                ServerEligibility::Draining => continue,
            };
            if server.lacks_permit(now) {
                let limit = server.limit().borrow();
                let permits = limit.stock(now);
                none = none.with_limit_until(permits.next_chance(now), now);
                let may_come = permits.may_come(now) && !is_avoided;
                if may_come && server.is_healthy(now) {
                    limited.push(server);
                } else if may_come && server.is_closed() && limit.cold.is_cold(now) {
                    closed.push(server);
                }
                continue;
            }
            let standing = memory(server);
            if standing == MemoryStanding::Full {
                is_memory_full = true;
                continue;
            }
            if is_avoided {
                avoided.push(server);
            } else if standing == MemoryStanding::Uncertain {
                uncertain.push(server);
            } else {
                usable.push(server);
            }
        }
        if is_memory_full && none == NoServer::Missing {
            none = NoServer::MemoryFull;
        }
        let healthy = |server: &&Rc<ServerHandle>| server.is_healthy(now);
        if !usable.iter().any(healthy) {
            usable.append(&mut uncertain);
        }
        if usable.iter().any(healthy) {
            usable.retain(healthy);
        } else {
            usable.append(&mut avoided);
        }
        // Only a request can find out that a server that was closed is back.
        if usable.is_empty() && limited.is_empty() {
            limited = closed;
        }
        if usable.is_empty() && none == NoServer::Missing {
            none = self.without_servers(service, view.versions, view.regions);
        }
        Candidates {
            usable,
            limited,
            none,
        }
    }

    /// Takes the next permit of a server of `service` that is not in `tried`, for a
    /// request that may wait up to `wait` for it.
    pub fn reserve(
        &self,
        service: &ServiceName,
        tried: &[ServerName],
        wait: Duration,
        view: &PlacementView<'_>,
    ) -> Option<ChosenServer> {
        let (now, request) = (view.now, view.request);
        let servers = self.allowed(service, view.versions, view.regions);
        let servers = servers.into_iter();
        let servers = servers.filter(|server| {
            let is_usable = server.is_eligible(now) && server.is_healthy(now);
            let fits = server.memory_standing(&server.rates(view), view) != MemoryStanding::Full;
            server.is_serving() && is_usable && fits && !tried.contains(&server.entry.name)
        });
        let delay = |server: &Rc<ServerHandle>| server.limit().borrow().stock(now).next_delay(now);
        let limited = servers.filter_map(|server| Some((delay(server)?, server)));
        let (_delay, server) = limited.min_by_key(|(delay, _server)| *delay)?;
        let permit = server
            .limit()
            .borrow_mut()
            .stock_mut(now)
            .reserve(wait, now)?;
        let rates = server.rates(view);
        let prefill = server.prefill.borrow();
        let uncached_tokens = prefill.uncached_tokens(request.shared, false, request.now);
        let candidate = server.candidate(&prefill, &rates, view);
        let placement = Placement::at(&candidate, uncached_tokens, request, &rates);
        Some(ChosenServer {
            permit: Some(permit),
            ..ChosenServer::new(server, &placement, &rates, view)
        })
    }

    /// Whether a healthy server of `service` that is not in `tried` and that `versions`
    /// and `regions` allow accepts requests.
    pub fn has_other(
        &self,
        service: &ServiceName,
        tried: &[ServerName],
        versions: &VersionRule,
        regions: &RegionRule,
    ) -> bool {
        let now = Instant::now();
        let servers = self.allowed(service, versions, regions).into_iter();
        let mut others = servers.filter(|server| !tried.contains(&server.entry.name));
        others.any(|server| {
            server.is_serving()
                && server.is_eligible(now)
                && !server.lacks_permit(now)
                && server.is_healthy(now)
        })
    }
}

//! Regions that the requests of routes and teams are restricted to.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_types::DataCentre;
use hibiscus_types::RegionName;

use crate::model::FleetConfig;
use crate::state::TrafficState;
use crate::wire_format::WireFormat;

/// The regions of the data centres.
#[derive(Clone, Debug, Default)]
pub struct RegionMap {
    data_centres: BTreeMap<DataCentre, RegionName>,
}

impl RegionMap {
    /// The regions that the settings give, and that of this instance's own data centre
    /// if they omit it.
    pub fn new(
        data_centres: &BTreeMap<DataCentre, RegionName>,
        own: &DataCentre,
        own_region: &RegionName,
    ) -> Self {
        let mut data_centres = data_centres.clone();
        data_centres
            .entry(own.clone())
            .or_insert_with(|| own_region.clone());
        Self { data_centres }
    }

    /// The region of `data_centre` if it is known.
    pub fn region_of(&self, data_centre: &DataCentre) -> Option<&RegionName> {
        self.data_centres.get(data_centre)
    }

    /// The data centres that a request may reach whose route and team allow the regions
    /// in `lists`. An empty list allows all regions; otherwise each list applies.
    pub fn rule(&self, lists: &[&[RegionName]]) -> RegionRule {
        let lists = lists.iter().filter(|list| !list.is_empty());
        let lists: Vec<_> = lists.collect();
        if lists.is_empty() {
            return RegionRule::Any;
        }
        let known = self.data_centres.iter();
        let allowed =
            known.filter(|(_name, region)| lists.iter().all(|list| list.contains(region)));
        RegionRule::Only(allowed.map(|(name, _region)| name.clone()).collect())
    }

    /// Logs the regions that `config` allows and no data centre is in: a route or team
    /// that allows only these has no server.
    pub fn log_unknown(&self, config: &FleetConfig) {
        let routes = config
            .routes
            .iter()
            .flat_map(|route| &route.allowed_regions);
        let teams = config.teams.iter().flat_map(|team| &team.allowed_regions);
        let named: BTreeSet<_> = routes.chain(teams).collect();
        let known: BTreeSet<_> = self.data_centres.values().collect();
        for region in named.difference(&known) {
            event!(
                EventCode::AllowedRegionUnknown,
                "region={region} version={}",
                config.version
            );
        }
    }
}

/// The data centres that a request may reach.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RegionRule {
    /// All data centres, also those whose region is not known.
    #[default]
    Any,
    /// These data centres.
    Only(BTreeSet<DataCentre>),
}

impl RegionRule {
    /// Whether the request may reach a server in `data_centre`.
    pub fn allows(&self, data_centre: &DataCentre) -> bool {
        match self {
            Self::Any => true,
            Self::Only(allowed) => allowed.contains(data_centre),
        }
    }
}

impl<D: WireFormat> TrafficState<D> {
    /// Addresses of instances for a caller of `host` in `data_centre` and `region`. The
    /// caller's region is that of its data centre if it names none.
    pub fn addresses_for(
        &self,
        host: &str,
        data_centre: &Option<DataCentre>,
        region: &Option<RegionName>,
        caller: Option<IpAddr>,
    ) -> Vec<SocketAddr> {
        let near = data_centre.as_ref();
        let directory = self.directory.borrow();
        let table = self.table();
        let allowed = table.as_ref().and_then(|table| table.host_regions(host));
        let Some(allowed) = allowed else {
            return directory.addresses_for(near, caller);
        };
        let own = near.and_then(|near| self.regions.region_of(near));
        let region = region.as_ref().or(own);
        directory.addresses_within(near, caller, |data_centre| {
            allowed.allows(self.regions.region_of(data_centre), region)
        })
    }
}

/// Regions whose instances may be named to callers of a host: those that each route of
/// the host allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostRegions {
    regions: Vec<RegionName>,
}

impl HostRegions {
    /// Adds a route that allows `list` to the routes of `host`.
    pub(crate) fn restrict(host: &mut Option<Self>, list: &[RegionName]) {
        if list.is_empty() {
            return;
        }
        match host {
            None => {
                *host = Some(Self {
                    regions: list.to_vec(),
                });
            }
            Some(host) => host.regions.retain(|region| list.contains(region)),
        }
    }

    /// Whether an instance in `region` may be named to a caller in `caller`.
    pub fn allows(&self, region: Option<&RegionName>, caller: Option<&RegionName>) -> bool {
        region.is_some_and(|region| Some(region) == caller || self.regions.contains(region))
    }
}

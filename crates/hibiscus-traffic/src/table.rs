//! Looks up the route and the team of a request.

use std::collections::HashMap;
use std::sync::Arc;

use hibiscus_types::ServiceName;

use crate::model::EngineShape;
use crate::model::FleetConfig;
use crate::model::RouteRule;
use crate::model::TeamRule;
use crate::regions::HostRegions;

/// Index of one version of the configuration.
#[derive(Clone, Debug)]
pub struct RouteTable {
    config: Arc<FleetConfig>,
    /// Indices of each host's routes, longest path prefix first.
    hosts: HashMap<String, Vec<usize>>,
    /// Regions that the routes of each host allow, of hosts that have such routes.
    host_regions: HashMap<String, HostRegions>,
    /// Indices of the teams by key.
    keys: HashMap<String, usize>,
}

impl RouteTable {
    /// Indexes `config`.
    pub fn new(config: Arc<FleetConfig>) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for indices in hosts.values_mut() {
            indices.sort_by_key(|index| std::cmp::Reverse(config.routes[*index].path_prefix.len()));
        }
        let mut host_regions = HashMap::new();
        for (host, indices) in &hosts {
            let mut regions = None;
            for index in indices {
                HostRegions::restrict(&mut regions, &config.routes[*index].allowed_regions);
            }
            if let Some(regions) = regions {
                host_regions.insert(host.clone(), regions);
            }
        }
        let mut keys = HashMap::new();
        for (index, team) in config.teams.iter().enumerate() {
            for key in &team.keys {
                keys.insert(key.clone(), index);
            }
        }
        Self {
            config,
            hosts,
            host_regions,
            keys,
        }
    }

    /// The indexed configuration.
    pub fn config(&self) -> &Arc<FleetConfig> {
        &self.config
    }

    /// Finds the route of `host` whose path prefix is the longest that matches
    /// `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = host.split(':').next().unwrap_or(host);
        for index in self.hosts.get(host)? {
            let route = &self.config.routes[*index];
            if path.starts_with(&route.path_prefix) {
                return Some(route);
            }
        }
        None
    }

    /// The regions that the routes of `host` allow; `None` if they allow all.
    pub fn host_regions(&self, host: &str) -> Option<&HostRegions> {
        let host = host.split(':').next().unwrap_or(host);
        self.host_regions.get(host)
    }

    /// Finds the team that owns `key`.
    pub fn team(&self, key: &str) -> Option<&Arc<TeamRule>> {
        let index = self.keys.get(key)?;
        self.config.teams.get(*index)
    }

    /// The engine parameters of `service`, if it runs on engines.
    pub fn engine(&self, service: &ServiceName) -> Option<&EngineShape> {
        self.config.engines.get(service)
    }
}

/// Selects a service of `route` by weight; `pick` is a random number.
pub fn pick_service(route: &RouteRule, pick: u32) -> Option<&ServiceName> {
    let total: u32 = route.services.iter().map(|share| share.weight).sum();
    if total == 0 {
        return route.services.first().map(|share| &share.service);
    }
    let mut remainder = pick % total;
    for share in &route.services {
        if remainder < share.weight {
            return Some(&share.service);
        }
        remainder -= share.weight;
    }
    None
}

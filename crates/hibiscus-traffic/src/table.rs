//! Finds a request's route and team.

use std::collections::HashMap;
use std::sync::Arc;

use hibiscus_types::ServiceName;

use crate::model::EngineShape;
use crate::model::FleetConfig;
use crate::model::RouteRule;
use crate::model::TeamRule;

/// One version of the configuration, indexed.
#[derive(Clone, Debug)]
pub struct RouteTable {
    config: Arc<FleetConfig>,
    /// Positions of each host's routes, longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    /// Positions of the teams by key.
    keys: HashMap<String, usize>,
}

impl RouteTable {
    /// Indexes `config`.
    pub fn new(config: Arc<FleetConfig>) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for positions in hosts.values_mut() {
            positions
                .sort_by_key(|index| std::cmp::Reverse(config.routes[*index].path_prefix.len()));
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
            keys,
        }
    }

    /// The configuration.
    pub fn config(&self) -> &Arc<FleetConfig> {
        &self.config
    }

    /// The route with the longest prefix of `path` at `host`.
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

    /// The team that holds `key`.
    pub fn team(&self, key: &str) -> Option<&Arc<TeamRule>> {
        let index = self.keys.get(key)?;
        self.config.teams.get(*index)
    }

    /// The engines of `service`, when it has any.
    pub fn engine(&self, service: &ServiceName) -> Option<&EngineShape> {
        self.config.engines.get(service)
    }
}

/// The service of `route` that the number `pick` falls to.
pub fn pick_service(route: &RouteRule, pick: u32) -> Option<&ServiceName> {
    let total: u32 = route.services.iter().map(|share| share.weight).sum();
    if total == 0 {
        return route.services.first().map(|share| &share.service);
    }
    let mut left = pick % total;
    for share in &route.services {
        if left < share.weight {
            return Some(&share.service);
        }
        left -= share.weight;
    }
    None
}

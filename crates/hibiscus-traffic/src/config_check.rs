//! Checks a configuration before it is sent to the fleet, and compares it with the version
//! in force.
//!
//! Errors are entries with which requests would fail or could not be routed; such a
//! configuration must not be sent. Warnings are entries that never match, or limits of
//! which one makes the other void. The checks need no service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use hibiscus_types::ServiceName;

use crate::model::FleetConfig;
use crate::model::RequestKind;
use crate::model::RouteRule;
use crate::model::TeamRule;

/// Largest priority number; it is the least urgent.
const MAX_PRIORITY: u8 = 9;

/// Whether a configuration with a finding may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FindingSeverity {
    /// It must not be sent.
    Error,
    /// It may be sent.
    Warning,
}

/// What is wrong with an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigFinding {
    /// Whether the configuration may be sent.
    pub severity: FindingSeverity,
    /// The entry, such as "route r-1".
    pub entry: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub advice: &'static str,
}

impl fmt::Display for ConfigFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            FindingSeverity::Error => "error",
            FindingSeverity::Warning => "warning",
        };
        let Self {
            entry,
            problem,
            advice,
            ..
        } = self;
        write!(formatter, "{severity}: {entry}: {problem}; {advice}")
    }
}

/// Collects findings about one entry after the other.
#[derive(Default)]
struct FindingList {
    findings: Vec<ConfigFinding>,
}

impl FindingList {
    fn error(&mut self, entry: &str, problem: impl Into<String>, advice: &'static str) {
        self.push(FindingSeverity::Error, entry, problem.into(), advice);
    }

    fn warning(&mut self, entry: &str, problem: impl Into<String>, advice: &'static str) {
        self.push(FindingSeverity::Warning, entry, problem.into(), advice);
    }

    fn push(
        &mut self,
        severity: FindingSeverity,
        entry: &str,
        problem: String,
        advice: &'static str,
    ) {
        self.findings.push(ConfigFinding {
            severity,
            entry: entry.to_owned(),
            problem,
            advice,
        });
    }
}

/// Returns the findings about `config`, errors first.
pub fn check(config: &FleetConfig) -> Vec<ConfigFinding> {
    let mut list = FindingList::default();
    for name in &config.skipped_routes {
        let advice = "use a kind that this release knows, or update the fleet first";
        list.error(&format!("route {name}"), "its kind is unknown", advice);
    }
    check_routes(config, &mut list);
    check_teams(config, &mut list);
    check_services(config, &mut list);
    check_limits(config, &mut list);
    list.findings.sort();
    list.findings
}

fn check_routes(config: &FleetConfig, list: &mut FindingList) {
    let mut names = BTreeSet::new();
    let mut matches = BTreeMap::new();
    for route in &config.routes {
        let entry = format!("route {}", route.name);
        if !names.insert(&route.name) {
            list.error(&entry, "its name is used twice", "rename one of the routes");
        }
        let prefix = &route.path_prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            let problem = format!("the path prefix {prefix:?} does not begin and end with a slash");
            list.error(&entry, problem, "add the slashes, as no path matches it");
        }
        let first = *matches.entry((&route.host, prefix)).or_insert(&route.name);
        if *first != route.name {
            let problem = format!("route {first} has the same host and path prefix");
            list.error(&entry, problem, "remove one of them, as only one can match");
        }
        check_route_services(config, route, &entry, list);
        check_route_limits(route, &entry, list);
    }
}

/// Checks where a route sends its requests.
fn check_route_services(
    config: &FleetConfig,
    route: &RouteRule,
    entry: &str,
    list: &mut FindingList,
) {
    let total: u64 = route
        .services
        .iter()
        .map(|share| u64::from(share.weight))
        .sum();
    if total == 0 {
        let advice = "name a service with a weight above 0";
        list.error(entry, "no service gets its requests", advice);
    }
    for share in &route.services {
        let service = &share.service;
        if !config.connections.contains_key(service) {
            let problem = format!("service {service} is not configured");
            list.error(entry, problem, "add the service or correct its name");
        }
        if share.weight == 0 && total > 0 {
            let problem = format!("service {service} has the weight 0 and gets no requests");
            list.warning(entry, problem, "remove it or raise its weight");
        }
    }
}

/// Checks limits of a route that contradict each other.
fn check_route_limits(route: &RouteRule, entry: &str, list: &mut FindingList) {
    if route.timeout.is_zero() {
        list.error(entry, "its timeout is 0", "give its requests time");
    } else if route.target_latency > route.timeout {
        let problem = format!(
            "its target latency of {} ms is beyond its timeout of {} ms",
            route.target_latency.as_millis(),
            route.timeout.as_millis()
        );
        list.warning(entry, problem, "lower the target or raise the timeout");
    }
    if route.attempts == 0 {
        let advice = "allow at least one server";
        list.error(entry, "its requests may be sent to no server", advice);
    }
    let runs_once = matches!(route.kind, RequestKind::Once | RequestKind::Stream);
    if runs_once && route.attempts > 1 {
        let problem = format!(
            "{} servers are allowed for requests that may run only once",
            route.attempts
        );
        let advice = "allow one, as a second is used only if the first did not run the request";
        list.warning(entry, problem, advice);
    }
    check_priority(Some(route.priority), entry, list);
}

fn check_priority(priority: Option<u8>, entry: &str, list: &mut FindingList) {
    if let Some(priority) = priority.filter(|priority| *priority > MAX_PRIORITY) {
        let problem = format!("its priority {priority} is beyond {MAX_PRIORITY}");
        list.warning(entry, problem, "use 0 (most urgent) to 9; it counts as 9");
    }
}

fn check_teams(config: &FleetConfig, list: &mut FindingList) {
    let mut names = BTreeSet::new();
    let mut keys = BTreeMap::new();
    for team in &config.teams {
        let entry = format!("team {}", team.name);
        if !names.insert(&team.name) {
            list.error(&entry, "its name is used twice", "rename one of the teams");
        }
        if team.keys.is_empty() {
            let advice = "add a key or remove the team";
            list.warning(&entry, "it has no key, so no request is its own", advice);
        }
        for key in &team.keys {
            let first = *keys.entry(key).or_insert(&team.name);
            if *first != team.name {
                let problem = format!("team {first} has one of its keys");
                list.error(&entry, problem, "give each team keys of its own");
            }
        }
        if team.prepaid.is_some_and(|total| total.is_zero()) {
            let advice = "raise the total or remove the keys";
            list.warning(&entry, "its total of 0 refuses every request", advice);
        }
        check_priority(team.priority, &entry, list);
        check_regions(config, team, &entry, list);
    }
    if config.needs_key && config.teams.is_empty() {
        let open = config.routes.iter().filter(|route| route.anonymous).count();
        if open < config.routes.len() {
            let advice = "add a team or allow requests without a key";
            list.error("teams", "requests need a key and no team has one", advice);
        }
    }
}

/// Checks for routes that a team can never use, since no region is allowed by both.
fn check_regions(config: &FleetConfig, team: &TeamRule, entry: &str, list: &mut FindingList) {
    if team.allowed_regions.is_empty() {
        return;
    }
    for route in &config.routes {
        let regions = &route.allowed_regions;
        let shares_one = regions
            .iter()
            .any(|region| team.allowed_regions.contains(region));
        if !regions.is_empty() && !shares_one {
            let problem = format!("no region is allowed by it and by route {}", route.name);
            list.warning(entry, problem, "allow a common region, or expect refusals");
        }
    }
}

fn check_services(config: &FleetConfig, list: &mut FindingList) {
    let mut used: BTreeSet<&ServiceName> = BTreeSet::new();
    for route in &config.routes {
        used.extend(route.services.iter().map(|share| &share.service));
    }
    for (service, connections) in &config.connections {
        let entry = format!("service {service}");
        if *connections == 0 {
            let advice = "allow connections or remove its routes";
            list.error(&entry, "its servers accept no connections", advice);
        }
        if !used.contains(service) {
            let advice = "remove it unless a later version routes to it";
            list.warning(&entry, "no route sends requests to it", advice);
        }
        let engine = config.engines.get(service);
        if engine.is_some_and(|engine| engine.slots == 0 || engine.memory_tokens == 0) {
            let advice = "correct the engine's slots and memory";
            list.error(&entry, "its engines have no room for a request", advice);
        }
    }
}

fn check_limits(config: &FleetConfig, list: &mut FindingList) {
    let limits = &config.limits;
    if limits.header_bytes == 0 || limits.header_timeout.is_zero() {
        let advice = "raise the size and the time of a request's head";
        list.error("limits", "no request head fits", advice);
    }
    if limits.idle_timeout < limits.header_timeout {
        let problem = format!(
            "connections may be idle for {} ms, less than the {} ms of a request's head",
            limits.idle_timeout.as_millis(),
            limits.header_timeout.as_millis()
        );
        list.warning("limits", problem, "raise the idle time or lower the other");
    }
}

/// Returns a line for each entry that differs between the version in force, `before`, and
/// `after`: `+` is new, `~` changed, `-` removed, `!` an older or equal version.
pub fn differences(before: &FleetConfig, after: &FleetConfig) -> Vec<String> {
    let mut lines = Vec::new();
    if after.version <= before.version {
        let versions = (after.version, before.version);
        lines.push(format!(
            "! version {} is not newer than {}, which is in force",
            versions.0, versions.1
        ));
    }
    let routes = |config: &FleetConfig| by_name(&config.routes, |route| route.name.clone());
    compare("route", &routes(before), &routes(after), &mut lines);
    let teams = |config: &FleetConfig| by_name(&config.teams, |team| team.name.to_string());
    compare("team", &teams(before), &teams(after), &mut lines);
    let services = |config: &FleetConfig| {
        let names = config.connections.iter();
        let entries = names.map(|(name, connections)| {
            let shape = config.engines.get(name).copied();
            let cold_start = config.cold_starts.get(name).copied();
            (name.to_string(), (*connections, shape, cold_start))
        });
        entries.collect::<BTreeMap<_, _>>()
    };
    compare("service", &services(before), &services(after), &mut lines);
    if before.limits != after.limits {
        lines.push("~ limits".to_owned());
    }
    if before.needs_key != after.needs_key {
        lines.push("~ whether requests need a key".to_owned());
    }
    lines
}

fn by_name<T>(entries: &[Arc<T>], name: impl Fn(&T) -> String) -> BTreeMap<String, Arc<T>> {
    let entries = entries.iter();
    entries
        .map(|entry| (name(entry), Arc::clone(entry)))
        .collect()
}

/// Appends a line for each entry that differs.
fn compare<T: PartialEq>(
    kind: &str,
    before: &BTreeMap<String, T>,
    after: &BTreeMap<String, T>,
    lines: &mut Vec<String>,
) {
    for (name, entry) in after {
        match before.get(name) {
            None => lines.push(format!("+ {kind} {name}")),
            Some(earlier) if earlier != entry => lines.push(format!("~ {kind} {name}")),
            Some(_) => {}
        }
    }
    for name in before.keys() {
        if !after.contains_key(name) {
            lines.push(format!("- {kind} {name}"));
        }
    }
}

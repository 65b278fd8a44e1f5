//! What in a configuration has no effect, or contradicts itself.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::pool;

use crate::draft::{Draft, Place, Placed};
use crate::route::Route;
use crate::service::{Engine, Service};

/// How bad a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Entries do not adopt the part.
    Error,
    /// Entries adopt the part, but it has no effect or contradicts another one.
    Warning,
}

impl Severity {
    /// Returns the name.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warning => "warning",
        }
    }
}

/// A fault of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// How bad it is.
    pub severity: Severity,
    /// Where it is.
    pub place: Place,
    /// What is wrong, and what is expected.
    pub reason: Arc<str>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.reason)
    }
}

/// What a configuration has to fit besides itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct Context {
    /// How long an entry that shuts down lets requests run, if it is known.
    pub drain_limit: Option<Duration>,
    /// The memory of an entry for what callers send, in bytes, if it is known.
    pub caller_memory_bytes: Option<u64>,
}

/// Collects findings.
#[derive(Debug, Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn warn(&mut self, place: &Place, field: &str, reason: impl Into<Arc<str>>) {
        let path = match (place.path.is_empty(), field.is_empty()) {
            (_, true) => place.path.clone(),
            (true, false) => field.into(),
            (false, false) => format!("{}.{field}", place.path).into(),
        };
        self.0.push(Finding {
            severity: Severity::Warning,
            place: Place {
                path,
                ..place.clone()
            },
            reason: reason.into(),
        });
    }
}

impl Draft {
    /// Returns what has no effect or contradicts itself, in the order of the text.
    pub fn warnings(&self, context: &Context) -> Vec<Finding> {
        let mut findings = Findings::default();
        self.check_limits(context, &mut findings);
        self.check_routes(context, &mut findings);
        self.check_services(&mut findings);
        self.check_teams(&mut findings);
        let mut findings = findings.0;
        findings.sort_by_key(|finding| (finding.place.line, finding.place.column));
        findings
    }

    fn check_limits(&self, context: &Context, findings: &mut Findings) {
        let place = Place {
            path: "limits".into(),
            line: 1,
            column: 1,
        };
        if self.limits.head_bytes == 0 {
            findings.warn(&place, "", "no request head is within a limit of 0 bytes");
        }
        let memory = context.caller_memory_bytes;
        if memory.is_some_and(|memory| self.limits.body_bytes > memory) {
            let reason = "a request body may be larger than the memory of an entry for them";
            findings.warn(&place, "", reason);
        }
    }

    fn check_routes(&self, context: &Context, findings: &mut Findings) {
        let services: BTreeMap<&pool::Service, &Service> = self.services_by_name();
        let mut names = HashMap::new();
        let mut last = HashMap::new();
        for route in &self.routes {
            let key = (&route.value.host, &route.value.prefix);
            last.insert(key, &route.place.path);
        }
        for Placed {
            place,
            value: route,
        } in &self.routes
        {
            if let Some(other) = names.insert(&route.name, &place.path) {
                findings.warn(place, "name", format!("also stands at {other}"));
            }
            let winner = last.get(&(&route.host, &route.prefix));
            if let Some(winner) = winner.filter(|winner| **winner != &place.path) {
                let reason = format!("never matches: {winner} has the same host and prefix");
                findings.warn(place, "", reason);
            }
            check_match(place, route, findings);
            check_targets(place, route, &services, findings);
            check_times(place, route, context, findings);
        }
    }

    fn services_by_name(&self) -> BTreeMap<&pool::Service, &Service> {
        let services = self.services.iter().map(|service| &service.value);
        services.map(|service| (&service.name, service)).collect()
    }

    fn check_services(&self, findings: &mut Findings) {
        let routes = self.routes.iter().flat_map(|route| &route.value.targets);
        let used: HashSet<&pool::Service> = routes.map(|target| &target.service).collect();
        let mut names = HashMap::new();
        for Placed { place, value } in &self.services {
            if let Some(other) = names.insert(&value.name, &place.path) {
                findings.warn(place, "name", format!("replaces the service at {other}"));
            }
            // A route that cannot be read may lead to it.
            if !self.is_partial && !used.contains(&value.name) {
                findings.warn(place, "", "gets no requests: no route leads to it");
            }
            if let Some(engine) = &value.engine {
                check_engine(place, engine, findings);
            }
        }
    }

    fn check_teams(&self, findings: &mut Findings) {
        let mut names = HashMap::new();
        let mut holders = HashMap::new();
        for Placed { place, value } in &self.teams {
            let name = &value.team.name;
            if let Some(other) = names.insert(name, &place.path) {
                findings.warn(place, "name", format!("also stands at {other}"));
            }
            if value.keys.is_empty() {
                findings.warn(place, "", "no caller belongs to it: it has no keys");
            }
            for key in &value.keys {
                match holders.insert(key, name) {
                    Some(holder) if holder == name => {
                        findings.warn(place, "", "holds the same key twice");
                    }
                    Some(holder) => {
                        let reason = format!("takes over a key of team {holder}");
                        findings.warn(place, "", reason);
                    }
                    None => {}
                }
            }
        }
    }
}

/// Checks whether a request can match a route.
fn check_match(place: &Place, route: &Route, findings: &mut Findings) {
    let prefix = &route.prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        let reason = "never matches: a prefix begins and ends with a slash";
        findings.warn(place, "prefix", reason);
    }
    if route.host.is_empty() || route.host.contains(':') {
        findings.warn(place, "host", "never matches: a host has no port");
    }
}

/// Checks where the requests of a route go.
fn check_targets(
    place: &Place,
    route: &Route,
    services: &BTreeMap<&pool::Service, &Service>,
    findings: &mut Findings,
) {
    if route.targets.is_empty() {
        findings.warn(place, "", "serves nothing: it leads to no service");
    }
    for target in &route.targets {
        if !services.contains_key(&target.service) {
            let reason = format!("leads to {}, which is no service", target.service);
            findings.warn(place, "", reason);
        }
    }
    let weights = route.targets.iter().map(|target| u64::from(target.weight));
    if route.targets.len() > 1 && weights.sum::<u64>() == 0 {
        findings.warn(
            place,
            "",
            "its weights add up to zero: the last service gets all",
        );
    }
}

/// Checks whether the times of a route fit each other.
fn check_times(place: &Place, route: &Route, context: &Context, findings: &mut Findings) {
    if route.timeout.is_zero() {
        findings.warn(
            place,
            "",
            "no request can be answered within a timeout of 0 ms",
        );
    } else if route.goal > route.timeout {
        let reason = format!(
            "its latency goal of {} ms is beyond its timeout of {} ms",
            route.goal.as_millis(),
            route.timeout.as_millis()
        );
        findings.warn(place, "", reason);
    } else if route.attempts > 1 && route.goal * route.attempts > route.timeout {
        let reason = format!(
            "{} attempts of {} ms each do not fit its timeout of {} ms",
            route.attempts,
            route.goal.as_millis(),
            route.timeout.as_millis()
        );
        findings.warn(place, "attempts", reason);
    }
    if route.attempts == 0 {
        findings.warn(place, "attempts", "requests may be sent to no endpoint");
    }
    let limit = context.drain_limit;
    if let Some(limit) = limit.filter(|limit| route.timeout > *limit) {
        let reason = format!(
            "its timeout of {} ms is beyond the drain limit of {} ms: a shutdown may cut requests",
            route.timeout.as_millis(),
            limit.as_millis()
        );
        findings.warn(place, "", reason);
    }
}

/// Checks whether the models of a service can be served.
fn check_engine(place: &Place, engine: &Engine, findings: &mut Findings) {
    if engine.models.is_empty() {
        findings.warn(place, "engine", "serves nothing: it has no models");
    }
    if engine.slots == 0 {
        findings.warn(place, "engine", "serves nothing: its groups have no slots");
    }
    for model in &engine.models {
        if model.size == 0 {
            let reason = format!(
                "model {} is never served: its groups have no members",
                model.name
            );
            findings.warn(place, "engine", reason);
        }
    }
    let shares = engine.models.iter().map(|model| model.share);
    if !engine.models.is_empty() && shares.sum::<f64>() <= 0.0 {
        findings.warn(place, "engine", "the shares of its models add up to zero");
    }
}

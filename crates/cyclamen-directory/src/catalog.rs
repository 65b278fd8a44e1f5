//! One version of the operators' configuration.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::pool;

use crate::route::Route;
use crate::service::Service;
use crate::team::{Key, Team};

/// The version of a configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Limits on caller requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The largest request head, in bytes.
    pub head_bytes: u64,
    /// The largest request body, in bytes.
    pub body_bytes: u64,
    /// How long the head of a request may take.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Whether callers need an API key on routes that are not anonymous.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Access {
    /// Each request needs the key of a team; no request is admitted while no team holds a key.
    #[default]
    ByKey,
    /// Requests need no key, since the configuration has no list of teams.
    Open,
}

/// One version of the operators' configuration.
#[derive(Debug, Default)]
pub struct Catalog {
    version: Version,
    access: Access,
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    services: BTreeMap<pool::Service, Arc<Service>>,
    teams: HashMap<Key, Arc<Team>>,
    limits: Limits,
}

impl Catalog {
    /// Creates an empty configuration with the given version, to which access is by key.
    pub fn new(version: Version, limits: Limits) -> Self {
        Self {
            version,
            limits,
            ..Self::default()
        }
    }

    /// Sets whether callers need an API key.
    pub fn set_access(&mut self, access: Access) {
        self.access = access;
    }

    /// Adds a route, replacing one with the same host and prefix.
    pub fn add_route(&mut self, route: Route) {
        let prefixes = self.hosts.entry(route.host.clone()).or_default();
        prefixes.insert(route.prefix.clone(), Arc::new(route));
    }

    /// Adds a service, replacing one with the same name.
    pub fn add_service(&mut self, service: Service) {
        self.services
            .insert(service.name.clone(), Arc::new(service));
    }

    /// Adds a team with its API keys.
    pub fn add_team(&mut self, team: Team, keys: impl IntoIterator<Item = Key>) {
        let team = Arc::new(team);
        for key in keys {
            self.teams.insert(key, team.clone());
        }
    }

    /// Returns the version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits on caller requests.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the route of the host with the longest prefix that matches the path.
    ///
    /// The cost is linear in the number of slashes in the path and independent of the number of
    /// routes.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(host)?;
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.filter_map(|end| prefixes.get(&path[..end])).next()
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(HashMap::values)
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &pool::Service) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the team that an API key belongs to.
    pub fn team(&self, key: &Key) -> Option<&Arc<Team>> {
        self.teams.get(key)
    }

    /// Returns the number of API keys of all teams.
    pub fn key_count(&self) -> usize {
        self.teams.len()
    }

    /// Returns whether callers need an API key.
    pub fn access(&self) -> Access {
        self.access
    }

    /// Returns whether a route admits requests that belong to no team.
    pub fn admits_without_team(&self, route: &Route) -> bool {
        route.anonymous || self.access == Access::Open
    }
}

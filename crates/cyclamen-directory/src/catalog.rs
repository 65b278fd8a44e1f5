//! One version of the operators' configuration.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

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

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The largest request body, in bytes.
    pub body_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
        }
    }
}

/// One version of the operators' configuration.
#[derive(Debug, Default)]
pub struct Catalog {
    version: Version,
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    services: BTreeMap<pool::Service, Arc<Service>>,
    teams: HashMap<Key, Arc<Team>>,
    limits: Limits,
}

impl Catalog {
    /// An empty configuration of a version.
    pub fn new(version: Version, limits: Limits) -> Self {
        Self {
            version,
            limits,
            ..Self::default()
        }
    }

    /// Adds a route; one with the same host and prefix is replaced.
    pub fn add_route(&mut self, route: Route) {
        let prefixes = self.hosts.entry(route.host.clone()).or_default();
        prefixes.insert(route.prefix.clone(), Arc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: Service) {
        self.services
            .insert(service.name.clone(), Arc::new(service));
    }

    /// Adds a team with its keys.
    pub fn add_team(&mut self, team: Team, keys: impl IntoIterator<Item = Key>) {
        let team = Arc::new(team);
        for key in keys {
            self.teams.insert(key, team.clone());
        }
    }

    /// The version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Bounds on what callers may send.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// The route of a path: among those of the host, the one with the longest prefix.
    ///
    /// The cost grows with the slashes in the path, not with the routes.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(host)?;
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.filter_map(|end| prefixes.get(&path[..end])).next()
    }

    /// The service of that name.
    pub fn service(&self, name: &pool::Service) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// The team that holds a key.
    pub fn team(&self, key: &Key) -> Option<&Arc<Team>> {
        self.teams.get(key)
    }

    /// Whether keys are checked at all.
    pub fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }
}

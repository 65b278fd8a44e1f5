//! A configuration as its text has it, before parts of the same name are merged.
//!
//! Entries turn a draft into their [`Catalog`]; operators can have it checked before it is sent.

mod difference;
mod findings;

use std::fmt;
use std::sync::Arc;

use crate::catalog::{Access, Catalog, Limits, Version};
use crate::route::Route;
use crate::service::Service;
use crate::team::{Key, Team};

pub use difference::{Change, Kind};
pub use findings::{Context, Finding, Severity};

/// Where a part of a configuration stands in its text.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The path of the part, such as `routes[2].timeout_ms`; empty for the whole text.
    pub path: Arc<str>,
    /// The line, from 1 on; zero if it is not known.
    pub line: usize,
    /// The column, in bytes from 1 on.
    pub column: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { path, line, column } = self;
        match (path.is_empty(), *line) {
            (_, 0) => f.write_str(path),
            (true, _) => write!(f, "line {line}, column {column}"),
            (false, _) => write!(f, "{path} (line {line}, column {column})"),
        }
    }
}

/// A part of a configuration, and where it stands.
#[derive(Debug, Clone)]
pub struct Placed<T> {
    /// Where it stands.
    pub place: Place,
    /// The part.
    pub value: T,
}

/// A team with its API keys.
#[derive(Debug, Clone)]
pub struct Membership {
    /// The team.
    pub team: Team,
    /// The keys of its callers.
    pub keys: Vec<Key>,
}

/// A configuration as its text has it; parts that cannot be read are missing.
#[derive(Debug, Clone, Default)]
pub struct Draft {
    /// Whether parts are missing that cannot be read.
    pub is_partial: bool,
    /// The version.
    pub version: Version,
    /// Whether callers need an API key.
    pub access: Access,
    /// The limits on caller requests.
    pub limits: Limits,
    /// The routes, in the order of the text.
    pub routes: Vec<Placed<Route>>,
    /// The services, in the order of the text.
    pub services: Vec<Placed<Service>>,
    /// The teams, in the order of the text.
    pub teams: Vec<Placed<Membership>>,
}

impl Draft {
    /// Returns the configuration that entries adopt; of parts of the same name, the last one counts.
    pub fn into_catalog(self) -> Catalog {
        let mut catalog = Catalog::new(self.version, self.limits);
        catalog.set_access(self.access);
        for route in self.routes {
            catalog.add_route(route.value);
        }
        for service in self.services {
            catalog.add_service(service.value);
        }
        for Membership { team, keys } in self.teams.into_iter().map(|team| team.value) {
            catalog.add_team(team, keys);
        }
        catalog
    }
}

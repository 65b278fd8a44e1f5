//! The routes table: the pools that serve requests, and the teams that may send them.

use std::time::Duration;

use cyclamen_types::{pool, route, team};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::key;

/// The routes table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Routes {
    /// The routes, with unique names.
    pub routes: Vec<Route>,
    /// The teams, with unique names.
    pub teams: Vec<Team>,
}

impl Routes {
    /// Returns the route with the given name.
    pub fn get(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|r| r.name.as_str() == name)
    }

    /// Returns the team that an API key belongs to.
    ///
    /// Compares the keys of every team, each in constant time.
    pub fn team_of_key(&self, presented: &str) -> Option<&Team> {
        let digest = key::Digest::of(presented);
        self.teams.iter().fold(None, |found, team| {
            let matches = team
                .keys
                .iter()
                .fold(false, |any, k| any | digest.matches(k));
            if matches { Some(team) } else { found }
        })
    }
}

/// A route: the pool that serves the requests for one name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The model name, or the first path segment for plain services.
    pub name: route::Name,
    /// The pool that serves the route.
    pub pool: pool::Name,
    /// Whether a request may run more than once.
    #[serde(default)]
    pub repeat: Repeat,
    /// The priority of the route's requests.
    #[serde(default)]
    pub priority: Priority,
    /// The longest time that a request may wait for its first byte, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

impl Route {
    /// Returns the longest time that a request may wait for its first byte.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

fn default_deadline_ms() -> u64 {
    30_000
}

/// Whether the requests of a route may run more than once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Requests are idempotent and may be retried.
    #[default]
    Idempotent,
    /// Requests with a method other than GET, HEAD and OPTIONS are not retried once they may
    /// have run; callers can send them again safely with an `Idempotency-Key`.
    Once,
}

/// The priority of a request; requests with a higher priority are admitted first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Work that can wait.
    Batch,
    /// Work that a person waits for.
    #[default]
    Interactive,
}

/// A team: its keys and its contract.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The name of the team.
    pub name: team::Name,
    /// SHA-256 digests of the team's API keys, in hexadecimal.
    pub keys: Vec<key::Digest>,
    /// The contract of the team.
    #[serde(default)]
    pub contract: Contract,
}

/// The limits and the queueing weight of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Contract {
    /// The maximum rate over all entry instances together, in requests per second.
    pub rate: u32,
    /// The maximum number of requests in progress over all entry instances together.
    pub concurrency: u32,
    /// The weight of the team when requests have to queue.
    pub share: u32,
}

impl Default for Contract {
    fn default() -> Self {
        Self {
            rate: 600,
            concurrency: 600,
            share: 1,
        }
    }
}

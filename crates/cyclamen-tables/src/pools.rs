//! The pools table: which instances serve, and the zones taken out.

use std::collections::BTreeSet;
use std::time::Duration;

use cyclamen_types::{pool, zone};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The pools table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pools {
    /// The pools, each name once.
    pub pools: Vec<Pool>,
    /// Availability zones that get no new work.
    #[serde(default)]
    pub zones_out: BTreeSet<zone::Name>,
}

impl Pools {
    /// The pool of that name.
    pub fn get(&self, name: &pool::Name) -> Option<&Pool> {
        self.pools.iter().find(|p| p.name == *name)
    }

    /// The pool that the instances of a service belong to.
    pub fn of_service(&self, service: &pool::Service) -> Option<&Pool> {
        self.pools.iter().find(|p| p.service == *service)
    }
}

/// A pool: the instances of one service, in replica groups of one size.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The name that routes refer to.
    pub name: pool::Name,
    /// The platform's label of the instances.
    pub service: pool::Service,
    /// What the instances run.
    pub kind: Kind,
    /// Instances in a replica group.
    pub group_size: u32,
    /// Whether the workers refuse orders with an obsolete fencing number.
    #[serde(default)]
    pub fencing: Fencing,
    /// How much work one replica group bears.
    #[serde(default)]
    pub limits: Limits,
}

/// What the instances of a pool run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine that takes orders to load and join a group.
    Model,
    /// A plain service that takes no orders; each instance is a group of one.
    Plain,
}

/// Whether workers check the fencing number of an order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The worker refuses an obsolete order.
    #[default]
    Checked,
    /// The worker follows any order; its state is read back before it serves.
    Ignored,
}

/// How much work one replica group bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests in progress on a warm group.
    pub warm: u32,
    /// Requests in progress on a cold group.
    pub cold: u32,
    /// Milliseconds between two doublings of the limit after a cold start.
    pub ramp_ms: u64,
    /// Milliseconds to the first token beyond which a group counts as cold again.
    pub slow_start_ms: u64,
}

impl Limits {
    /// The time between two doublings of the limit after a cold start.
    pub fn ramp(&self) -> Duration {
        Duration::from_millis(self.ramp_ms)
    }

    /// The time to the first token beyond which a group counts as cold again.
    pub fn slow_start(&self) -> Duration {
        Duration::from_millis(self.slow_start_ms)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            warm: 32,
            cold: 2,
            ramp_ms: 2_000,
            slow_start_ms: 6_000,
        }
    }
}

//! The pools table: the instances that serve, and the zones taken out of service.

use std::collections::BTreeSet;
use std::time::Duration;

use cyclamen_types::{pool, zone};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The pools table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pools {
    /// The pools, with unique names.
    pub pools: Vec<Pool>,
    /// Availability zones that receive no new work.
    #[serde(default)]
    pub zones_out: BTreeSet<zone::Name>,
}

impl Pools {
    /// Returns the pool with the given name.
    pub fn get(&self, name: &pool::Name) -> Option<&Pool> {
        self.pools.iter().find(|p| p.name == *name)
    }

    /// Returns the pool that the instances of a service belong to.
    pub fn of_service(&self, service: &pool::Service) -> Option<&Pool> {
        self.pools.iter().find(|p| p.service == *service)
    }
}

/// A pool: the instances of one service, in replica groups of equal size.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The name that routes refer to.
    pub name: pool::Name,
    /// The label that the platform gives to the instances.
    pub service: pool::Service,
    /// What the instances run.
    pub kind: Kind,
    /// The number of instances in a replica group.
    pub group_size: u32,
    /// Whether the workers refuse orders with an obsolete fencing token.
    #[serde(default)]
    pub fencing: Fencing,
    /// The load limits of one replica group.
    #[serde(default)]
    pub limits: Limits,
}

/// What the instances of a pool run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine, which receives orders to load a model and join a group.
    Model,
    /// A plain service, which receives no orders; each instance is a group of one.
    Plain,
}

/// Whether workers check the fencing token of an order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The worker refuses obsolete orders.
    #[default]
    Checked,
    /// The worker executes every order; its state is read back before it serves.
    Ignored,
}

/// The load limits of one replica group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum number of requests in progress on a warm group.
    pub warm: u32,
    /// The maximum number of requests in progress on a cold group.
    pub cold: u32,
    /// The interval at which the limit doubles after a cold start, in milliseconds.
    pub ramp_ms: u64,
    /// The time to first token above which a group counts as cold again, in milliseconds.
    pub slow_start_ms: u64,
}

impl Limits {
    /// Returns the interval at which the limit doubles after a cold start.
    pub fn ramp(&self) -> Duration {
        Duration::from_millis(self.ramp_ms)
    }

    /// Returns the time to first token above which a group counts as cold again.
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

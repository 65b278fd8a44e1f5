//! The platform's list of instances, which lags behind.

use std::net::SocketAddr;

use cyclamen_types::{domain, instance, pool, zone};
use serde::{Deserialize, Serialize};

/// One instance on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The instance.
    pub instance: instance::Id,
    /// The service whose worker it hosts.
    pub service: pool::Service,
    /// Its availability zone.
    pub zone: zone::Name,
    /// Its fabric domain.
    pub domain: domain::Name,
    /// Where the worker listens.
    pub address: SocketAddr,
    /// Whether the instance is about to leave.
    pub status: Status,
}

/// Whether an instance is about to leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// The instance stays.
    Live,
    /// The instance finishes what it has and leaves.
    Leaving,
}

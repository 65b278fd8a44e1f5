//! The platform's list of instances, which may be out of date.

use std::net::SocketAddr;

use cyclamen_types::{domain, instance, pool, zone};
use serde::{Deserialize, Serialize};

/// One instance on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The instance.
    pub instance: instance::Id,
    /// The service whose worker the instance hosts.
    pub service: pool::Service,
    /// Its availability zone.
    pub zone: zone::Name,
    /// Its fabric domain.
    pub domain: domain::Name,
    /// The address that the worker listens on.
    pub address: SocketAddr,
    /// Whether the instance is shutting down.
    pub status: Status,
}

/// Whether an instance is shutting down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// The instance is not shutting down.
    Live,
    /// The instance completes its requests in progress and shuts down.
    Leaving,
}

//! The row of an entry in the table service.

use std::net::SocketAddr;

use cyclamen_types::zone;
use serde::{Deserialize, Serialize};

/// The row of one start of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    /// Its availability zone.
    pub(crate) zone: zone::Name,
    /// Where other entries connect.
    pub(crate) peer: SocketAddr,
    /// Whether the entry shuts down and takes no domains.
    #[serde(default)]
    pub(crate) draining: bool,
}

/// The row of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Lease {
    /// How often the lease has been renewed.
    pub(crate) renewals: u64,
}

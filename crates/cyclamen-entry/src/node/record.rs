//! The rows of an entry in the table service.

use std::net::SocketAddr;

use cyclamen_types::zone;
use serde::{Deserialize, Serialize};

/// The row of one incarnation of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    /// The availability zone of the entry.
    pub(crate) zone: zone::Name,
    /// The address on which the entry listens for its peers.
    pub(crate) peer: SocketAddr,
    /// Whether the entry is shutting down and takes no domains.
    #[serde(default)]
    pub(crate) draining: bool,
}

/// The row of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Lease {
    /// The revision of the lease's previous write, or zero in the first write, so that every
    /// renewal changes the row.
    pub(crate) renewals: u64,
}

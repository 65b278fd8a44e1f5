//! The other entries.

use std::net::SocketAddr;

use cyclamen_cache::Revision;
use cyclamen_directory::catalog::Version;
use cyclamen_types::{Time, entry};

/// Another entry.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// Its incarnation, from its lease row or its gossip.
    pub(crate) incarnation: entry::Incarnation,
    /// The address on which it listens for other entries.
    pub(crate) address: SocketAddr,
    /// Whether it is in the availability zone of this entry.
    pub(crate) same_zone: bool,
    /// When gossip of its current incarnation first arrived.
    pub(crate) incarnation_seen_at: Option<Time>,
    /// When its gossip last arrived.
    pub(crate) last_heard: Option<Time>,
    /// The version of the operators' configuration that was in force there at its last gossip.
    pub(crate) catalog_version: Version,
    /// The revision up to which its list of instances was complete at its last gossip.
    pub(crate) as_of: Revision,
    /// The revision up to which it had the operators' rows at its last gossip.
    pub(crate) operators_as_of: Revision,
    /// Whether this entry has a gossip call to it in progress.
    pub(crate) call_in_progress: bool,
}

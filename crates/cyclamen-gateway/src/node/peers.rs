//! Other entries as this one knows them.

use std::net::SocketAddr;

use cyclamen_cache::Revision;
use cyclamen_types::{Time, entry};

/// Another entry.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// Its start, as its lease row or its news say.
    pub(crate) incarnation: entry::Incarnation,
    /// Where it listens for other entries.
    pub(crate) address: SocketAddr,
    /// Whether it is in the availability zone of this entry.
    pub(crate) near: bool,
    /// When its present start was first heard of.
    pub(crate) since: Option<Time>,
    /// When it was last heard of.
    pub(crate) heard: Option<Time>,
    /// Up to which revision it knew the list of instances when it was last heard of.
    pub(crate) as_of: Revision,
    /// Up to which revision it knew what operators wrote.
    pub(crate) operators_as_of: Revision,
    /// Whether a call to it is under way.
    pub(crate) calling: bool,
}

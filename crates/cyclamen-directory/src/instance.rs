//! Instances as the platform lists them.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_types::{domain, group, instance, model, pool, zone};

/// One start of a worker, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Its id.
    pub id: instance::Id,
    /// Its start; a worker that starts again under its id has another one.
    pub incarnation: instance::Incarnation,
    /// The service that it belongs to.
    pub service: pool::Service,
    /// Where it takes requests and orders.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: zone::Name,
    /// Its fabric domain, if it has one.
    pub domain: Option<domain::Name>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub status: Status,
    /// How much longer it stays cold, as of the listing.
    pub cold: Duration,
    /// The models whose weights its host holds.
    pub staged: Vec<model::Name>,
    /// The model that it runs at present, if any.
    pub model: Option<model::Name>,
    /// The replica group that it is a member of.
    pub membership: Option<Membership>,
}

/// Whether an instance takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It takes new work.
    Ready,
    /// It is about to leave.
    Leaving,
}

/// An instance's place in a replica group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Membership {
    /// The group.
    pub group: group::Id,
    /// The fencing number of the membership.
    pub fence: group::Fence,
    /// Its place among the members; zero is the head, which takes requests.
    pub rank: usize,
    /// How far it is.
    pub phase: Phase,
}

/// How far a member of a replica group is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It loads its part of the model.
    Joining,
    /// It has its part of the model.
    Ready,
    /// It is the head and serves.
    Open,
    /// It is the head and ends its work.
    Closing,
    /// It is the head and has lost a member.
    Broken,
}

//! Instances as listed by the platform.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_types::{domain, group, instance, model, pool, zone};

/// One incarnation of a worker, as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// The id, which is kept across restarts.
    pub id: instance::Id,
    /// The incarnation, which changes when the worker restarts under the same id.
    pub incarnation: instance::Incarnation,
    /// The service that it belongs to.
    pub service: pool::Service,
    /// The address on which it accepts requests and orders.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: zone::Name,
    /// Its fabric domain, if it has one.
    pub domain: Option<domain::Name>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub status: Status,
    /// The remaining time for which it stays cold, as of the listing.
    pub cold: Duration,
    /// The models whose weights are stored on its host.
    pub staged: Vec<model::Name>,
    /// The model that it currently runs, if any.
    pub model: Option<model::Name>,
    /// Its membership in a replica group, if any.
    pub membership: Option<Membership>,
}

/// Whether an instance accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It accepts new work.
    Ready,
    /// It accepts no new work and is about to leave.
    Leaving,
}

/// An instance's membership in a replica group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Membership {
    /// The group.
    pub group: group::Id,
    /// The fencing token of the membership.
    pub fence: group::Fence,
    /// Its rank among the members; zero is the head, which accepts requests.
    pub rank: usize,
    /// The lifecycle phase of the member.
    pub phase: Phase,
}

/// The lifecycle phase of a member of a replica group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It is loading its part of the model.
    Joining,
    /// It has loaded its part of the model.
    Ready,
    /// It is the head and accepts requests.
    Open,
    /// It is the head and finishes its requests in progress.
    Closing,
    /// It is the head and has lost a member.
    Broken,
}

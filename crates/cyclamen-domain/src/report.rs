//! What a worker reports of itself when it is asked.

use cyclamen_types::{group, instance};
use serde::{Deserialize, Serialize};

/// The state of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The worker's start.
    pub incarnation: instance::Incarnation,
    /// The group that the worker has joined.
    pub assignment: Option<Assignment>,
    /// Whether the worker has loaded its part of the model.
    pub ready: bool,
    /// Whether the worker bears only a little work for now.
    #[serde(default)]
    pub cold: bool,
    /// Requests in progress, as of some moments ago.
    #[serde(default)]
    pub running: u32,
}

/// The order that a worker follows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The group to be a member of.
    pub group: group::Id,
    /// The fencing number of the order.
    pub fence: group::Fence,
}

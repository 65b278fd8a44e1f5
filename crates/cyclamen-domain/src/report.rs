//! Reports that workers send in answer to a probe.

use cyclamen_types::{group, instance};
use serde::{Deserialize, Serialize};

/// The state of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The incarnation of the worker process.
    pub incarnation: instance::Incarnation,
    /// The group that the worker has joined.
    pub assignment: Option<Assignment>,
    /// Whether the worker has loaded its part of the model.
    pub ready: bool,
    /// Whether the worker is cold and can take only a small load.
    #[serde(default)]
    pub cold: bool,
    /// Number of requests in progress; may lag slightly behind.
    #[serde(default)]
    pub running: u32,
}

/// The group membership that a worker was ordered to take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The group to join.
    pub group: group::Id,
    /// The fencing token of the order.
    pub fence: group::Fence,
}

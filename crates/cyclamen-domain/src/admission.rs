//! Requests for admission and their answers.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_tables::routes::Priority;
use cyclamen_types::{Time, group, instance, pool, team};

use crate::queue::QueueId;
use crate::row::Owner;

/// A request for admission.
#[derive(Debug, Clone)]
pub struct Request {
    /// The ticket to issue, a random number drawn by the holder.
    ///
    /// The holder can give it back even if it never learns that it was issued.
    pub ticket: group::Ticket,
    /// The pool to be served by.
    pub pool: pool::Name,
    /// The caller's team.
    pub team: team::Name,
    /// The team's weight when work has to wait.
    pub share: u32,
    /// The priority of the request.
    pub priority: Priority,
    /// The moment after which an answer has no use.
    pub deadline: Time,
    /// Whether the request ran on a group that crashed.
    pub suspect: bool,
    /// Whether the request may wait for a place.
    pub may_queue: bool,
    /// The entry that holds the request.
    pub holder: Owner,
}

/// The answer to a request for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent to a group.
    Granted(Grant),
    /// The request waits; its answer follows.
    Queued(QueueId),
    /// The request may not be sent.
    Refused(Refusal),
}

/// The permission to send one request to a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The ticket that was asked for.
    pub ticket: group::Ticket,
    /// The group.
    pub group: group::Id,
    /// The fencing number of the group's membership.
    pub fence: group::Fence,
    /// The instance that takes the request.
    pub instance: instance::Id,
    /// Where that instance listens.
    pub address: SocketAddr,
    /// The time within which the request must be sent.
    pub start_within: Duration,
}

/// Why a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No group of the pool serves here.
    NotServing,
    /// Every place is taken; the duration says when to come back.
    Busy(Duration),
    /// The deadline cannot be met; the duration says when to come back.
    Late(Duration),
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The answer was whole; the time to its first byte.
    Complete(Duration),
    /// The request was not sent, or was given up by its caller.
    Unused,
    /// The group failed to answer.
    Failed,
}

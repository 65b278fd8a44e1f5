//! Admission requests and decisions.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_tables::routes::Priority;
use cyclamen_types::{Time, group, instance, pool, team};

use crate::queue::QueueId;
use crate::row::Owner;

/// A request for admission.
#[derive(Debug, Clone)]
pub struct Request {
    /// The ticket to issue, a random number chosen by the holder.
    ///
    /// The holder can therefore release the ticket even if the decision that
    /// issued it was lost.
    pub ticket: group::Ticket,
    /// The pool to run the request on.
    pub pool: pool::Name,
    /// The caller's team.
    pub team: team::Name,
    /// The team's weight in the queue.
    pub share: u32,
    /// The priority of the request.
    pub priority: Priority,
    /// The time after which a response is of no use to the caller.
    pub deadline: Time,
    /// Whether the request ran on a group that crashed.
    pub suspect: bool,
    /// Whether the request may wait in the queue.
    pub may_queue: bool,
    /// The entry that holds the request.
    pub holder: Owner,
}

/// The decision on a request for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent to a group.
    Granted(Grant),
    /// The request is queued; [`Domain::poll_queue`](crate::Domain::poll_queue) returns
    /// the final decision.
    Queued(QueueId),
    /// The request may not be sent.
    Refused(Refusal),
}

/// The permission to send one request to a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The issued ticket, as chosen in the admission request.
    pub ticket: group::Ticket,
    /// The group.
    pub group: group::Id,
    /// The fencing token of the group's membership.
    pub fence: group::Fence,
    /// The instance to send the request to.
    pub instance: instance::Id,
    /// The address that the instance listens on.
    pub address: SocketAddr,
    /// The time within which the request must be sent.
    pub start_within: Duration,
}

/// The reason why a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The domain has no serving group of the pool.
    NotServing,
    /// No group can take the request now, and it cannot be queued; holds the time after which to
    /// retry.
    Busy(Duration),
    /// The deadline cannot be met; holds the time after which to retry.
    Late(Duration),
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The response was complete; holds the time to its first byte.
    Complete(Duration),
    /// The request was not sent, or its caller cancelled it.
    Unused,
    /// The group failed to respond.
    Failed,
}

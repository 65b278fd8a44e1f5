//! Messages between entries.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_cache::{Delta, Revision};
use cyclamen_dispatch::Load;
use cyclamen_domain::{Ending, Grant, Owner};
use cyclamen_replica::Start;
use cyclamen_route::balancer::Summary;
use cyclamen_route::containment::Strike;
use cyclamen_tables::routes::Priority;
use cyclamen_types::{domain, group, pool, team};

/// What entries tell each other from time to time.
#[derive(Debug, Clone, PartialEq)]
pub struct News {
    /// The entry that tells.
    pub sender: Owner,
    /// The revision up to which its cache is complete.
    pub as_of: Revision,
    /// The revision up to which it knows what operators wrote.
    pub operators_as_of: Revision,
    /// The pools in domains that it owns, and some that it heard of.
    pub summaries: Vec<Notice>,
    /// The strikes that it knows of.
    pub strikes: Vec<Strike>,
    /// Rows that the receiver may lack.
    pub delta: Delta,
    /// The sender's requests in progress on each worker.
    pub loads: Vec<Load>,
    /// Starts of workers that do not answer the sender.
    pub suspected: Vec<Start>,
}

/// The state of one pool in one domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notice {
    /// The pool.
    pub pool: pool::Name,
    /// The domain.
    pub domain: domain::Name,
    /// Its state.
    pub summary: Summary,
}

/// A request for admission to a domain of the receiver.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The ticket to issue, a random number drawn by the holder.
    pub ticket: group::Ticket,
    /// The domain.
    pub domain: domain::Name,
    /// The pool to be served by.
    pub pool: pool::Name,
    /// The caller's team.
    pub team: team::Name,
    /// The team's weight when work has to wait.
    pub share: u32,
    /// The priority of the request.
    pub priority: Priority,
    /// The time left to the request.
    pub time_left: Duration,
    /// Whether the request ran on a group that crashed.
    pub suspect: bool,
    /// Whether the request may wait for a place.
    pub patient: bool,
    /// The entry that holds the request.
    pub holder: Owner,
    /// The trace context of the request.
    pub traceparent: Arc<str>,
}

/// The answer to a request for admission, with the pool's state after it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Whether the request may be sent.
    pub admission: Admission,
    /// The state of the pool in that domain.
    pub summary: Option<Notice>,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent.
    Granted(Grant),
    /// No group of the pool serves in that domain.
    NotServing,
    /// The receiver does not own the domain.
    NotOwner,
    /// Every place is taken; the duration says when to come back.
    Busy(Duration),
    /// The deadline cannot be met; the duration says when to come back.
    Late(Duration),
}

/// A ticket given back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// The domain that issued it.
    pub domain: domain::Name,
    /// The ticket.
    pub ticket: group::Ticket,
    /// How the request ended.
    pub ending: Ending,
}

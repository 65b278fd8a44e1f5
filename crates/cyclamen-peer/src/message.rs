//! Messages between entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_cache::{Delta, Era, Revision};
use cyclamen_directory::catalog::Version;
use cyclamen_dispatch::{Load, Observation, TeamWork};
use cyclamen_domain::{Ending, Grant, Owner};
use cyclamen_quota::{Ask, Decision, Report};
use cyclamen_replica::{Demand, Start};
use cyclamen_route::balancer::Summary;
use cyclamen_route::containment::{Answer, Strike};
use cyclamen_tables::routes::Priority;
use cyclamen_types::{domain, group, model, pool, team};

/// The state that entries exchange periodically.
#[derive(Debug, Clone, PartialEq)]
pub struct Gossip {
    /// The entry that sends the message.
    pub sender: Owner,
    /// The highest era of the store that the sender knows.
    pub era: Era,
    /// The revision up to which the sender's cache is complete.
    pub as_of: Revision,
    /// The revision up to which the sender has received the operators' writes.
    pub operators_as_of: Revision,
    /// The version of the operators' configuration that is in force at the sender.
    pub catalog_version: Version,
    /// The state of pools in the sender's own domains.
    pub summaries: Vec<PoolSummary>,
    /// The strikes recorded by the sender.
    pub strikes: Vec<Strike>,
    /// When requests with the parts of these strikes were last answered, as far as the sender knows.
    pub answers: Vec<Answer>,
    /// Rows that the receiver may lack.
    pub delta: Delta,
    /// The sender's requests in progress on each worker.
    pub loads: Vec<Load>,
    /// Incarnations of workers that do not respond to the sender.
    pub suspected: Vec<Start>,
    /// Incarnations of workers that other entries suspect and that responded to the sender lately.
    pub reached: Vec<Start>,
    /// Incarnations of workers that said lately that they are leaving.
    pub leaving: Vec<Start>,
    /// The address on which the sender takes requests that other entries hand over; `None` if it
    /// takes none.
    pub handover: Option<SocketAddr>,
    /// What the sender has no worker for, of the configured services and models.
    pub unserved: Vec<Capability>,
    /// The services whose workers the sender does not reach.
    pub cut_off: Vec<pool::Service>,
    /// Rate limits of workers that the sender knows of.
    pub limits: Vec<Report>,
    /// The scopes for whose workers the sender issues permits.
    pub issues: Vec<domain::Name>,
    /// Whether the sender sends to a limited worker only with a permit; builds without permits do
    /// not say so.
    pub uses_permits: bool,
    /// Whether the sender is draining.
    pub is_draining: bool,
    /// The time since the store last answered the sender.
    pub store_age: Duration,
    /// The work that callers lately asked of the sender for each model.
    pub demands: Vec<Demand>,
    /// What is known of workers' loads and speeds, observed by any entry.
    pub observations: Vec<Observation>,
    /// The work that the sender lately admitted for each team.
    pub team_work: Vec<TeamWork>,
}

/// A request for a permit to send one request to a limited worker.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitRequest {
    /// The fabric domain of the worker, or the scope of its service without domains.
    pub scope: domain::Name,
    /// What is asked for.
    pub ask: Ask,
}

/// The response to a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitResponse {
    /// The receiver issues no permits for the scope.
    NotIssuer,
    /// The decision.
    Decided(Decision),
}

/// A service, or a model of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Capability {
    /// The service.
    pub service: pool::Service,
    /// The model, if the service runs models.
    pub model: Option<model::Name>,
}

/// The state of one pool in one domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSummary {
    /// The pool.
    pub pool: pool::Name,
    /// The domain.
    pub domain: domain::Name,
    /// The state of the pool in the domain.
    pub summary: Summary,
}

/// A request for admission to a domain that the receiver owns.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// The ticket to issue, a random number chosen by the holder.
    pub ticket: group::Ticket,
    /// The domain.
    pub domain: domain::Name,
    /// The pool to run the request on.
    pub pool: pool::Name,
    /// The caller's team.
    pub team: team::Name,
    /// The team's weight in the queue.
    pub share: u32,
    /// The priority of the request.
    pub priority: Priority,
    /// The time left until the deadline of the request.
    pub remaining: Duration,
    /// Whether the request ran on a group that crashed.
    pub suspect: bool,
    /// Whether the request may wait in the queue.
    pub may_queue: bool,
    /// The entry that holds the request.
    pub holder: Owner,
    /// The trace context of the request.
    pub traceparent: Arc<str>,
}

/// The response to an admission request, with the pool's state after the decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionResponse {
    /// The decision on the request.
    pub admission: Admission,
    /// The state of the pool in that domain.
    pub summary: Option<PoolSummary>,
}

/// The decision on an admission request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent to a group.
    Granted(Grant),
    /// The domain has no serving group of the pool.
    NotServing,
    /// The receiver does not own the domain.
    NotOwner,
    /// Every slot is in use; holds the time after which to retry.
    Busy(Duration),
    /// The deadline cannot be met; holds the time after which to retry.
    Late(Duration),
}

/// The release of a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// The domain that issued the ticket.
    pub domain: domain::Name,
    /// The ticket.
    pub ticket: group::Ticket,
    /// How the request ended.
    pub ending: Ending,
}

//! Requests on their way to workers, and the workers that take them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_types::{Time, domain, group, instance, model, pool, zone};

use crate::forecast::Forecast;
use crate::limiter::Share;

/// A worker that takes requests: the head of a replica group, or one of a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// The worker.
    pub instance: instance::Id,
    /// Its start.
    pub incarnation: instance::Incarnation,
    /// The fencing number of its membership; zero for a plain service.
    pub fence: group::Fence,
    /// Its service.
    pub service: pool::Service,
    /// The model that it serves, if any.
    pub model: Option<model::Name>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: zone::Name,
    /// Its fabric domain, if it has one.
    pub domain: Option<domain::Name>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Until when it is cold, and what it bears in a second until then.
    pub cold: Option<(Time, f64)>,
    /// How fast it works, if it runs a model.
    pub forecast: Option<Forecast>,
}

/// A request that looks for a worker.
#[derive(Debug, Clone)]
pub struct Want<'a> {
    /// The service.
    pub service: &'a pool::Service,
    /// The model, if the service runs models.
    pub model: Option<&'a model::Name>,
    /// The zone of this entry.
    pub zone: &'a zone::Name,
    /// The fabric domains of this entry's cell.
    pub domains: &'a BTreeSet<domain::Name>,
    /// Workers that the request was sent to before.
    pub avoid: &'a [instance::Id],
    /// The time within which an answer should begin.
    pub goal: Duration,
    /// The time left until the deadline.
    pub left: Duration,
    /// Whether the goal cannot be met any more, so that the request gives way to others.
    pub late: bool,
    /// Tokens of its prompt.
    pub tokens: u64,
    /// This entry's place among those that share what is divided.
    pub share: Share,
}

/// A request on its way to a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Sent {
    /// The worker.
    pub target: Target,
    /// When it was chosen.
    pub at: Time,
    /// Requests on it beside this one, of all entries.
    pub running: u32,
    /// Prompt tokens ahead of this one, of all entries.
    pub backlog: u64,
    /// Tokens of its own prompt.
    pub tokens: u64,
    /// The forecast wait for the first part of its answer.
    pub forecast: Duration,
}

/// How a request on a worker ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Its answer was whole.
    Whole,
    /// The worker did not run it for now.
    Shed,
    /// The worker failed it.
    Failed,
    /// The caller or its deadline ended it.
    Cancelled,
}

/// Why no worker takes a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// When to come back.
    pub retry_after: Duration,
    /// Workers that serve this and were not tried yet.
    pub workers: usize,
    /// The least forecast wait among those that are overloaded.
    pub least_wait: Option<Duration>,
}

/// The reason of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No worker serves this.
    NoWorker,
    /// Every worker has as much as it can do in time.
    Overloaded,
    /// Every worker is cold and has what it bears.
    Cold,
}

impl Reason {
    /// The reason's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoWorker => "no_worker",
            Self::Overloaded => "overloaded",
            Self::Cold => "cold",
        }
    }
}

/// Requests in progress on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    /// The worker.
    pub instance: instance::Id,
    /// The fencing number of its membership; zero for a plain service.
    pub fence: group::Fence,
    /// Requests in progress.
    pub running: u32,
    /// Prompt tokens of those that have not begun to answer.
    pub backlog: u64,
}

//! Dispatched requests, and the workers that accept them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_quota::Rate;
use cyclamen_types::{Time, domain, group, instance, model, pool, team, zone};

use crate::forecast::Forecast;

/// A worker that accepts requests: the head of a replica group, or a worker of a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// The worker.
    pub instance: instance::Id,
    /// The incarnation of the worker, which changes when it restarts.
    pub incarnation: instance::Incarnation,
    /// The fencing token of its group membership; zero for a plain service.
    pub fence: group::Fence,
    /// Its service.
    pub service: pool::Service,
    /// The model that it serves, if any.
    pub model: Option<model::Name>,
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: zone::Name,
    /// Its fabric domain, if it has one.
    pub domain: Option<domain::Name>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// When it stops being cold, and the requests per second that it can handle until then.
    pub cold: Option<(Time, Rate)>,
    /// The rate limit that it names, if it is in need.
    pub limit: Option<Rate>,
    /// Its speed, if it runs a model.
    pub forecast: Option<Forecast>,
    /// Whether it may have failed, so that others are preferred.
    pub doubtful: bool,
}

impl Target {
    /// Returns the rate limit of the worker while it is cold, if it is.
    pub fn cold_limit(&self, now: Time) -> Option<Rate> {
        let (until, rate) = self.cold?;
        (now < until).then_some(rate)
    }

    /// Returns the worker's rate limit over all entries, if it has one now.
    pub fn rate_limit(&self, now: Time) -> Option<Rate> {
        match (self.cold_limit(now), self.limit) {
            (Some(cold), Some(named)) => Some(cold.min(named)),
            (cold, named) => cold.or(named),
        }
    }
}

/// Selection criteria of a request.
#[derive(Debug, Clone)]
pub struct Criteria<'a> {
    /// The service.
    pub service: &'a pool::Service,
    /// The model, if the service runs models.
    pub model: Option<&'a model::Name>,
    /// The zone of this entry.
    pub zone: &'a zone::Name,
    /// The fabric domains of this entry's cell.
    pub domains: &'a BTreeSet<domain::Name>,
    /// Workers to which the request was sent before.
    pub exclude: &'a [instance::Id],
    /// The latency goal: the time within which a response should begin.
    pub goal: Duration,
    /// The time left until the deadline.
    pub remaining: Duration,
    /// Whether the goal can no longer be met, so that a wait of up to half the remaining time is
    /// accepted.
    pub late: bool,
    /// Tokens of its prompt.
    pub tokens: u64,
    /// The priority; zero is the most urgent.
    pub priority: u8,
    /// What is known of the caller; it counts under overload only.
    pub caller: Caller<'a>,
}

/// What is known of the caller of a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Caller<'a> {
    /// Its team, if it is known.
    pub team: Option<&'a team::Name>,
    /// The time since the request arrived.
    pub waited: Duration,
    /// The longest time that the route lets a request take.
    pub timeout: Duration,
}

/// A request that was assigned to a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Dispatch {
    /// The worker.
    pub target: Target,
    /// When the worker was chosen.
    pub chosen_at: Time,
    /// Other requests in progress on the worker, from all entries.
    pub running: u32,
    /// Prompt tokens queued ahead of this request, from all entries.
    pub backlog: u64,
    /// Tokens of its own prompt.
    pub tokens: u64,
    /// The forecast wait for the first part of its response.
    pub forecast: Duration,
    /// The worker's pace in the forecast, as a multiple of that of a sound worker.
    pub pace: f64,
    /// The age of the observation of the worker, if there was one.
    pub observed: Option<Duration>,
}

/// How a request on a worker ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The response was complete.
    Complete,
    /// The worker rejected it temporarily without running it.
    Shed,
    /// The worker failed it.
    Failed,
    /// The caller cancelled it, or its deadline passed.
    Cancelled,
}

/// The refusal of a request that no worker can accept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// The time after which the caller may retry.
    pub retry_after: Duration,
    /// Number of matching workers that the request was not sent to before.
    pub workers: usize,
    /// The shortest forecast wait among the overloaded workers.
    pub least_wait: Option<Duration>,
}

/// The reason for a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No worker serves the service and model, apart from excluded ones.
    NoWorker,
    /// No worker can accept it, and at least one is overloaded.
    Overloaded,
    /// The same, and its goal can no longer be met.
    Late,
    /// No worker has room to spare, and its team has more than its fair share.
    OverShare,
    /// All workers are cold and no permit to send to one is to be had now.
    Cold,
    /// The same, and at least one of the workers is in need.
    Limited,
    /// All workers want no requests from this entry for a while.
    Paused,
}

impl Reason {
    /// Returns the reason's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoWorker => "no_worker",
            Self::Overloaded => "overloaded",
            Self::Late => "late",
            Self::OverShare => "over_share",
            Self::Cold => "cold",
            Self::Limited => "limited",
            Self::Paused => "paused",
        }
    }
}

/// Requests of one entry in progress on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    /// The worker.
    pub instance: instance::Id,
    /// The fencing token of its group membership; zero for a plain service.
    pub fence: group::Fence,
    /// Number of requests in progress.
    pub running: u32,
    /// Prompt tokens of the requests whose responses have not begun.
    pub backlog: u64,
}

/// What is known of the load and speed of a worker, from its reports and responses.
#[derive(Debug, Clone, PartialEq)]
pub struct Observation {
    /// The worker.
    pub instance: instance::Id,
    /// The fencing token of its group membership; zero for a plain service.
    pub fence: group::Fence,
    /// Number of requests that it runs, from all entries.
    pub running: u32,
    /// Number of requests in its queue, from all entries.
    pub queued: u32,
    /// The time that it takes, as a multiple of the forecast; zero if it is not known.
    pub pace: f64,
    /// The time since the worker was observed.
    pub age: Duration,
}

/// The work that an entry lately admitted for a team.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamWork {
    /// The service.
    pub service: pool::Service,
    /// The model, if the service runs models.
    pub model: Option<model::Name>,
    /// The team.
    pub team: team::Name,
    /// Tokens a second, or requests a second of a service without models.
    pub tokens: f64,
}

//! Routes by host and path prefix.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::{pool, route};

/// Routing of the requests for one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The name of the route.
    pub name: route::Name,
    /// The host that callers request, without a port.
    pub host: Arc<str>,
    /// The path prefix, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Whether and how a request whose response was lost may be retried.
    pub repeat: Repeat,
    /// Whether responses are streams of events.
    pub streaming: bool,
    /// The longest time that a request may take until its response is complete.
    pub timeout: Duration,
    /// The latency goal: the time within which a response, or the first event of a stream,
    /// should arrive.
    pub goal: Duration,
    /// The default priority of its requests; zero is the most urgent.
    pub priority: Priority,
    /// The maximum number of endpoints to which one request may be sent.
    pub attempts: u32,
    /// Whether callers may send requests without an API key.
    pub anonymous: bool,
    /// The services that share its requests.
    pub targets: Vec<Target>,
}

/// Whether and how a request whose response was lost may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// It may be sent again.
    Idempotent,
    /// It may run at most once.
    Never,
    /// Its stream may be resumed at another endpoint after the last event that was delivered.
    Resume,
}

/// The priority of a request; zero is the most urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority(pub u8);

/// One service of a route, with its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: pool::Service,
    /// Its share of the requests, relative to the sum of all weights.
    pub weight: u32,
}

impl Route {
    /// Returns the service for a request by weighted choice; `draw` is a random number of at
    /// least 0 and less than 1.
    pub fn target(&self, draw: f64) -> Option<&pool::Service> {
        let weights = self.targets.iter().map(|t| f64::from(t.weight));
        let mut remaining = draw * weights.sum::<f64>();
        for target in &self.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|t| &t.service)
    }
}

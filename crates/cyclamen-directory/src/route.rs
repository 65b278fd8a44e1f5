//! Routes by host and path prefix.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::{pool, route};

/// Where the requests of one host and path prefix go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The name of the route.
    pub name: route::Name,
    /// The host that callers name, without a port.
    pub host: Arc<str>,
    /// The beginning of the path, with a slash at both ends.
    pub prefix: Arc<str>,
    /// What may be done with a request whose answer was lost.
    pub repeat: Repeat,
    /// Whether answers are streams of events.
    pub streaming: bool,
    /// The longest time that a request may be kept waiting for its whole answer.
    pub timeout: Duration,
    /// The time within which an answer, or the first event of a stream, should come.
    pub goal: Duration,
    /// The rank of its requests; zero is the most urgent.
    pub priority: Priority,
    /// The most endpoints to which one request may be sent.
    pub attempts: u32,
    /// Whether callers need no key.
    pub anonymous: bool,
    /// The services that share its requests.
    pub targets: Vec<Target>,
}

/// What may be done with a request whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// It may be sent again.
    Idempotent,
    /// It may run at most once.
    Never,
    /// It may go on at another endpoint after the last event that was delivered.
    Resume,
}

/// The rank of a request; zero is the most urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority(pub u8);

/// One service of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: pool::Service,
    /// Its part of the requests, against the sum of all weights.
    pub weight: u32,
}

impl Route {
    /// The service for a request; `draw` is a number from 0 up to, not including, 1.
    pub fn target(&self, draw: f64) -> Option<&pool::Service> {
        let sum: u32 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = draw * f64::from(sum);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|t| &t.service)
    }
}

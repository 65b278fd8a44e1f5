//! Short outages in which no domain is known to serve a pool.
//!
//! While the owner of a fabric domain changes, or after a worker was suspected to
//! have failed, no entry may admit requests to the domain for some seconds. A
//! request with time left waits if its pool served shortly before; during a longer
//! outage it is refused at once.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::{Time, pool};

/// When each pool was last known to serve.
#[derive(Debug)]
pub struct Outages {
    max_duration: Duration,
    last_served: BTreeMap<pool::Name, Time>,
}

impl Outages {
    /// Creates a tracker by which requests wait for a pool that served at most
    /// `max_duration` ago.
    pub fn new(max_duration: Duration) -> Self {
        Self {
            max_duration,
            last_served: BTreeMap::new(),
        }
    }

    /// Records that a pool serves.
    pub fn record_serving(&mut self, now: Time, pool: &pool::Name) {
        match self.last_served.get_mut(pool) {
            Some(at) => *at = now,
            None => {
                self.last_served.insert(pool.clone(), now);
            }
        }
    }

    /// Returns whether a request should wait for its pool to serve again.
    pub fn should_wait(&self, now: Time, pool: &pool::Name, deadline: Time) -> bool {
        let recent = self
            .last_served
            .get(pool)
            .is_some_and(|at| now.since(*at) <= self.max_duration);
        recent && now < deadline
    }
}

//! Gaps in which no domain is known to serve a pool.
//!
//! While a fabric domain changes its owner, or after a worker was doubted,
//! nobody may admit to it for some seconds. A request that can wait does so if
//! its pool served shortly before; a pool that is gone for longer is refused
//! at once.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::{Time, pool};

/// When each pool last admitted a request of this entry.
#[derive(Debug)]
pub struct Gaps {
    longest: Duration,
    served: BTreeMap<pool::Name, Time>,
}

impl Gaps {
    /// No pool has served; a gap is waited out for as long as `longest`.
    pub fn new(longest: Duration) -> Self {
        Self {
            longest,
            served: BTreeMap::new(),
        }
    }

    /// Takes note that a pool admitted a request.
    pub fn served(&mut self, now: Time, pool: &pool::Name) {
        match self.served.get_mut(pool) {
            Some(at) => *at = now,
            None => {
                self.served.insert(pool.clone(), now);
            }
        }
    }

    /// Whether a request should wait for its pool to serve again.
    pub fn should_wait(&self, now: Time, pool: &pool::Name, deadline: Time) -> bool {
        let recent = self
            .served
            .get(pool)
            .is_some_and(|at| now.since(*at) <= self.longest);
        recent && now < deadline
    }
}

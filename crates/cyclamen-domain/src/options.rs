//! Timeouts and limits that a domain's owner applies.

use std::time::Duration;

use crate::repair::Policy;

/// Timeouts and limits that a domain's owner applies.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Time after which a member is missing, counted from the sending of the
    /// last probe that it answered.
    pub silence_timeout: Duration,
    /// Time within which a ticket must be used.
    pub start_within: Duration,
    /// Minimum time between two orders to the same worker.
    pub order_interval: Duration,
    /// Maximum number of queued requests, as a multiple of the warm limits.
    pub queue_factor: u32,
    /// When a missing member of a group is replaced.
    pub repair: Policy,
    /// Time that a worker takes to load its part of a model while no other worker loads.
    pub load_time: Duration,
    /// Maximum number of workers that load from the weight store at the same time.
    pub max_concurrent_loads: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            silence_timeout: Duration::from_millis(1_500),
            start_within: Duration::from_secs(1),
            order_interval: Duration::from_secs(2),
            queue_factor: 4,
            repair: Policy::default(),
            load_time: Duration::from_secs(60),
            max_concurrent_loads: 8,
        }
    }
}

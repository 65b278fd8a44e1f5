//! Durations and bounds of the decisions of a domain's owner.

use std::time::Duration;

use crate::repair::Policy;

/// Durations and bounds of the decisions of a domain's owner.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// A member whose last answer was asked for longer ago is missing.
    pub silence_timeout: Duration,
    /// A ticket must be used within this time.
    pub start_within: Duration,
    /// The time between two orders to one worker.
    pub order_interval: Duration,
    /// Requests that may wait, as a multiple of the warm limits.
    pub queue_factor: u32,
    /// How a group that lost a member is repaired.
    pub repair: Policy,
    /// The time that a worker takes to load its part of a model alone.
    pub load_time: Duration,
    /// Workers that may load from the weight store at the same time.
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

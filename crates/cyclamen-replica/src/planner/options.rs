//! Timeouts and intervals.

use std::time::Duration;

/// Timeouts and intervals of a planner.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The time after which an order that has had no effect is sent again; it doubles with each
    /// repetition.
    pub resend_interval: Duration,
    /// The maximum time after which an order is sent again.
    pub max_resend_interval: Duration,
    /// The time after which an order that the worker has accepted, but that has had no effect, is
    /// sent again; longer than the list of workers takes to show the effect.
    pub accepted_resend_interval: Duration,
    /// The time within which every member of a new group has to begin to join; otherwise the
    /// formation is abandoned, so that other workers can be selected.
    pub join_timeout: Duration,
    /// The window over which the rate limit counts loads of weights.
    pub load_window: Duration,
    /// The time for which the number of listed workers of the domain must not grow before the
    /// first group is formed.
    pub settle_time: Duration,
    /// The time within which a spare has to warm up by joining a single-member group.
    pub warmup_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            resend_interval: Duration::from_millis(400),
            max_resend_interval: Duration::from_millis(3_200),
            accepted_resend_interval: Duration::from_millis(2_000),
            join_timeout: Duration::from_millis(2_500),
            load_window: Duration::from_secs(5),
            settle_time: Duration::from_millis(700),
            warmup_timeout: Duration::from_secs(4),
        }
    }
}

//! Bounds of dispatching.

use std::time::Duration;

/// Bounds of dispatching.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// How much longer the wait on a worker of this zone may be than on one of another, in
    /// parts of the request's goal.
    pub zone_bonus: f64,
    /// The same for a worker of this entry's cell, against others of the zone.
    pub cell_bonus: f64,
    /// How long the counts of another entry hold without news.
    pub peer_memory: Duration,
    /// The time that a worker of a plain service takes for as many requests as it has slots.
    pub plain_time: Duration,
    /// The longest forecast wait for the first part of an answer, in parts of the request's
    /// goal, before it is refused.
    pub wait_share: f64,
    /// The time that an answer takes beside the forecast rounds of its engine.
    pub overhead: Duration,
    /// The shortest time after which a refused caller is told to come back.
    pub least_wait: Duration,
    /// How long a worker that failed a request is chosen only if there is no other.
    pub penalty: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            zone_bonus: 0.6,
            cell_bonus: 0.3,
            peer_memory: Duration::from_secs(1),
            plain_time: Duration::from_millis(25),
            wait_share: 3.0,
            overhead: Duration::from_millis(130),
            least_wait: Duration::from_millis(200),
            penalty: Duration::from_millis(1_000),
        }
    }
}

//! Options of the dispatcher.

use std::time::Duration;

use crate::{overload, split};

/// Options of the dispatcher.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// How much longer the forecast wait on a worker of this entry's zone may be than on one of
    /// another zone, as a fraction of the request's latency goal.
    pub other_zone_cost: f64,
    /// How much longer the forecast wait on a worker of this entry's cell may be than on one of
    /// another cell in the zone, as a fraction of the request's latency goal.
    pub other_cell_cost: f64,
    /// Whether workers are chosen by observed loads and speeds; the costs above are not used then
    /// for workers that run models.
    pub observed_loads: bool,
    /// What a request to a worker of another zone takes longer, if loads are observed.
    pub zone_crossing: Duration,
    /// How long the load reported by another entry stays valid.
    pub peer_load_ttl: Duration,
    /// The time in which a worker of a plain service finishes as many requests as it has slots.
    pub plain_service_time: Duration,
    /// The longest accepted forecast wait for the first part of a response, as a multiple of the
    /// request's latency goal; beyond it, the request is refused unless it is late.
    pub max_wait_ratio: f64,
    /// The time until a response of a model engine begins, in addition to the engine's forecast
    /// rounds.
    pub overhead: Duration,
    /// The shortest retry delay that a refused caller is given.
    pub min_retry_after: Duration,
    /// How long after a failed or shed request a worker has a higher cost.
    pub failure_cooldown: Duration,
    /// Admission by what can still be in time; off unless it is given.
    pub overload: Option<overload::Options>,
    /// Separation of long and short prompts; off unless it is given.
    pub split: Option<split::Options>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            other_zone_cost: 0.6,
            other_cell_cost: 0.3,
            observed_loads: false,
            zone_crossing: Duration::from_millis(5),
            peer_load_ttl: Duration::from_secs(1),
            plain_service_time: Duration::from_millis(25),
            max_wait_ratio: 3.0,
            overhead: Duration::from_millis(130),
            min_retry_after: Duration::from_millis(200),
            failure_cooldown: Duration::from_millis(1_000),
            overload: None,
            split: None,
        }
    }
}

//! Which of the workers that may get a request is the best.

use std::time::Duration;

use cyclamen_types::Time;

use crate::dispatcher::worker::Worker;
use crate::options::Options;
use crate::request::Criteria;

/// Additional cost of a worker that may have failed, or recently failed or shed a request, in
/// multiples of the latency goal.
const FAILURE_COST: f64 = 2.0;
/// Additional cost of a worker in need, in multiples of the latency goal.
const LIMITED_COST: f64 = 0.2;

impl Options {
    /// Returns the cost of running the request on a worker; the lowest cost wins.
    pub(super) fn cost(
        &self,
        now: Time,
        criteria: &Criteria<'_>,
        worker: &Worker,
        wait: Duration,
    ) -> f64 {
        let goal = criteria.goal.as_secs_f64().max(0.001);
        let target = &worker.target;
        let in_cell = target
            .domain
            .as_ref()
            .is_none_or(|d| criteria.domains.contains(d));
        let locality = if target.zone != *criteria.zone {
            self.other_zone_cost
        } else if in_cell {
            0.0
        } else {
            self.other_cell_cost
        };
        wait.as_secs_f64() / goal + locality + self.penalty(now, worker)
    }

    /// Returns the additional cost of a worker that may have failed or is in need.
    pub(super) fn penalty(&self, now: Time, worker: &Worker) -> f64 {
        let target = &worker.target;
        let failed = worker
            .last_failure
            .is_some_and(|at| now.since(at) < self.failure_cooldown);
        let failure = if failed || target.doubtful {
            FAILURE_COST
        } else {
            0.0
        };
        let limit = if target.limit.is_some() {
            LIMITED_COST
        } else {
            0.0
        };
        failure + limit
    }
}

//! A worker and the load on it.

use std::time::Duration;

use cyclamen_types::{Time, instance};

use crate::observation::Knowledge;
use crate::options::Options;
use crate::request::{Criteria, Target};

/// Requests in progress on a worker, and the queued prompt tokens among them.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct InProgress {
    pub(super) running: u32,
    pub(super) backlog: u64,
}

impl InProgress {
    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_add(other.running),
            backlog: self.backlog.saturating_add(other.backlog),
        }
    }
}

/// A worker and the load that this entry has put on it.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) target: Target,
    pub(super) in_progress: InProgress,
    pub(super) last_failure: Option<Time>,
    /// What was observed of it, if loads and speeds are.
    pub(super) knowledge: Knowledge,
}

impl Worker {
    /// Returns the worker and its incarnation.
    pub(super) fn start(&self) -> (&instance::Id, instance::Incarnation) {
        (&self.target.instance, self.target.incarnation)
    }

    pub(super) fn is_excluded(&self, criteria: &Criteria<'_>) -> bool {
        criteria.exclude.contains(&self.target.instance)
    }

    /// Returns the forecast wait for the first part of a response, at a multiple of the pace of a
    /// sound worker.
    pub(super) fn forecast_wait(
        &self,
        in_progress: InProgress,
        tokens: u64,
        pace: f64,
        options: &Options,
    ) -> Duration {
        match &self.target.forecast {
            Some(forecast) => {
                let running = in_progress.running.min(self.target.slots);
                let wait = forecast
                    .at_pace(pace)
                    .wait(in_progress.backlog, tokens, running);
                options.overhead.saturating_add(wait)
            }
            None => {
                let slots = f64::from(self.target.slots.max(1));
                options
                    .plain_service_time
                    .mul_f64(f64::from(in_progress.running) / slots)
            }
        }
    }
}

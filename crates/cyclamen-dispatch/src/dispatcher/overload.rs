//! Admission by what can still be in time, if it is on.

use std::time::Duration;

use cyclamen_types::{Time, model, pool};
use rand::Rng;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::choice::Candidate;
use crate::dispatcher::rejections::Rejections;
use crate::dispatcher::worker::InProgress;
use crate::overload::{Control, PoolLoad, Standing, View};
use crate::request::{Criteria, Dispatch, Refusal, TeamWork};

/// Random cost by which entries that see the same loads choose different workers, in multiples of the
/// latency goal.
const SPREAD_COST: f64 = 0.15;

impl Dispatcher {
    /// Returns the requests in progress on the workers that serve a request.
    pub(super) fn pool_load(&self, candidates: &[Candidate<'_>]) -> PoolLoad {
        let mut load = PoolLoad {
            entries: self.peers.count() + 1,
            ..PoolLoad::default()
        };
        for candidate in candidates {
            load.slots += f64::from(candidate.worker.target.slots);
            load.own += f64::from(candidate.worker.in_progress.running);
            load.all += f64::from(candidate.in_progress.running);
        }
        load
    }

    /// Adds the costs of waiting for a slot.
    ///
    /// Entries that see the same loads choose different workers by a random cost, unless they know
    /// the loads well.
    pub(super) fn add_slot_costs(
        &self,
        candidates: &mut [Candidate<'_>],
        standing: &Standing,
        rng: &mut impl Rng,
    ) {
        for candidate in candidates {
            let view = self.view(candidate);
            candidate.extra += standing.slot_cost(&view);
            if !self.options.observed_loads {
                candidate.extra += rng.random::<f64>() * SPREAD_COST;
            }
        }
    }

    /// Returns the refusal, and records it if it is for want of room.
    pub(super) fn refuse(
        &self,
        now: Time,
        criteria: &Criteria<'_>,
        control: Option<&mut Control>,
        standing: Option<Standing>,
        mut rejections: Rejections,
        rng: &mut impl Rng,
    ) -> Refusal {
        if let Some(standing) = standing {
            rejections.record_reason(standing.reason());
        }
        let refusal = rejections.refusal(criteria, &self.options, rng);
        let Some(control) = control else {
            return refusal;
        };
        if refusal.least_wait.is_none() {
            return refusal;
        }
        control.record(now, criteria, false);
        let retry_after = control.return_after(now, criteria, refusal.retry_after, rng);
        Refusal {
            retry_after: retry_after.max(self.options.min_retry_after),
            ..refusal
        }
    }

    /// Returns a worker as it is seen by admission: the request's own prompt does not count.
    pub(super) fn view(&self, candidate: &Candidate<'_>) -> View {
        let (worker, in_progress) = (candidate.worker, candidate.in_progress);
        let wait = |in_progress| {
            let options = &self.options;
            worker.forecast_wait(in_progress, 0, candidate.pace, options)
        };
        let idle = InProgress {
            running: in_progress.running.min(worker.target.slots),
            backlog: 0,
        };
        let has_forecast = worker.target.forecast.is_some();
        View {
            slots: worker.target.slots,
            running: in_progress.running,
            idle_wait: if has_forecast {
                wait(idle)
            } else {
                Duration::ZERO
            },
            wait: wait(in_progress),
        }
    }

    /// Records that the first part of a response has arrived, which shows how far the forecast errs.
    pub fn record_first_part(&mut self, now: Time, dispatch: &Dispatch) {
        if let Some(control) = &mut self.overload {
            control.record_started(now, dispatch);
        }
    }

    /// Returns the work of teams lately admitted by this entry, where room is scarce.
    pub fn team_work(&self, now: Time) -> Vec<TeamWork> {
        let overload = self.overload.as_ref();
        overload.map_or_else(Vec::new, |control| control.team_work(now))
    }

    /// Records the work of teams lately admitted by another entry.
    pub fn record_team_work(&mut self, now: Time, peer: &str, work: Vec<TeamWork>) {
        if let Some(control) = &mut self.overload {
            control.record_team_work(now, peer, work);
        }
    }

    /// Returns the part of the recent requests for each service and model that was refused for want
    /// of room.
    pub fn refused_shares(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (&pool::Service, Option<&model::Name>, f64)> {
        self.overload.iter().flat_map(move |c| c.refused(now))
    }
}

//! Admission by what can still be in time, if it is on.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::{Time, model, pool};
use rand::Rng;

use crate::dispatcher::rejections::Rejections;
use crate::dispatcher::worker::{InProgress, Worker};
use crate::dispatcher::{Dispatcher, WorkerKey};
use crate::overload::{PoolLoad, Standing, View};
use crate::request::{Criteria, Dispatch, Refusal, TeamWork};

impl Dispatcher {
    /// Returns what part of the room a request may use, if this depends on what can be in time.
    pub(super) fn standing(
        &mut self,
        now: Time,
        criteria: &Criteria<'_>,
        peers: &BTreeMap<WorkerKey, InProgress>,
        rng: &mut impl Rng,
    ) -> Option<Standing> {
        let control = self.overload.as_mut()?;
        let mut load = PoolLoad {
            entries: self.peers.count() + 1,
            ..PoolLoad::default()
        };
        for (key, worker) in self.workers.iter().filter(|(_, w)| w.matches(criteria)) {
            let own = worker.in_progress.running;
            let theirs = peers.get(key).map_or(0, |load| load.running);
            load.slots += f64::from(worker.target.slots);
            load.own += f64::from(own);
            load.all += f64::from(own.saturating_add(theirs));
        }
        Some(control.standing(now, criteria, load, rng.random()))
    }

    /// Returns the refusal, and records it if it is for want of room.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        criteria: &Criteria<'_>,
        standing: Option<Standing>,
        mut rejections: Rejections,
        rng: &mut impl Rng,
    ) -> Refusal {
        if let Some(standing) = standing {
            rejections.record_reason(standing.reason());
        }
        let refusal = rejections.refusal(criteria, &self.options, rng);
        let Some(control) = &mut self.overload else {
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
    pub(super) fn view(&self, worker: &Worker, in_progress: InProgress) -> View {
        let idle = InProgress {
            running: in_progress.running.min(worker.target.slots),
            backlog: 0,
        };
        let idle_wait = match worker.target.forecast {
            Some(_) => worker.forecast_wait(idle, 0, &self.options),
            None => Duration::ZERO,
        };
        View {
            slots: worker.target.slots,
            running: in_progress.running,
            idle_wait,
            wait: worker.forecast_wait(in_progress, 0, &self.options),
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

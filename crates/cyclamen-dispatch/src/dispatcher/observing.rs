//! Observations of workers' loads and speeds.

use std::time::Duration;

use cyclamen_types::Time;

use crate::dispatcher::choice::Candidate;
use crate::dispatcher::worker::{InProgress, Worker};
use crate::dispatcher::{Dispatcher, WorkerKey};
use crate::request::{Criteria, Dispatch, Observation, Target};

/// The part of a request's prompt that counts as queued if no other request for the model is known.
const DEFAULT_UNREAD: f64 = 0.25;
/// The shortest forecast of rounds with which a response's time is compared.
const MIN_ROUNDS: Duration = Duration::from_millis(5);

/// The requests for a model that this entry knows one by one, with one as a start.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownWork {
    /// Queued prompt tokens of a request in progress.
    tokens: f64,
}

impl Dispatcher {
    /// Returns what is known of the requests for the model, if loads are observed.
    pub(super) fn known_work(&self, criteria: &Criteria<'_>) -> Option<KnownWork> {
        if !self.options.observed_loads || criteria.model.is_none() {
            return None;
        }
        let workers = self.workers.of(criteria.service, criteria.model);
        let known = workers.map(|(key, worker)| self.known(key, worker));
        let sum = known.fold(InProgress::default(), InProgress::plus);
        let backlog = sum.backlog as f64 + criteria.tokens as f64 * DEFAULT_UNREAD;
        let tokens = backlog / (f64::from(sum.running) + 1.0);
        Some(KnownWork { tokens })
    }

    /// Returns the requests on a worker that this entry sent and that others told.
    fn known(&self, key: &WorkerKey, worker: &Worker) -> InProgress {
        let theirs = self.peers.sum(key);
        theirs.map_or(worker.in_progress, |theirs| worker.in_progress.plus(theirs))
    }

    /// Returns the load of a worker and the wait there.
    pub(super) fn candidate<'a>(
        &self,
        now: Time,
        criteria: &Criteria<'_>,
        key: &WorkerKey,
        worker: &'a Worker,
        work: Option<KnownWork>,
    ) -> Candidate<'a> {
        let mut in_progress = self.known(key, worker);
        let (mut pace, mut staleness) = (1.0, 0.0);
        if let Some(work) = work {
            let view = worker.knowledge.view(now, worker.in_progress.running);
            let observed = view.running.saturating_add(view.queued);
            let unknown = observed.saturating_sub(in_progress.running);
            let queued = view.queued.min(unknown);
            // What waits for a slot has its whole prompt to be read yet.
            let queued_tokens = f64::from(queued) * work.tokens.max(criteria.tokens as f64);
            let tokens = queued_tokens + f64::from(unknown - queued) * work.tokens;
            in_progress = in_progress.plus(InProgress {
                running: unknown,
                backlog: tokens as u64,
            });
            (pace, staleness) = (view.pace, view.staleness);
        }
        let wait = worker.forecast_wait(in_progress, criteria.tokens, pace, &self.options);
        Candidate {
            worker,
            in_progress,
            wait,
            pace,
            staleness,
            extra: 0.0,
        }
    }

    /// Records observations, by this entry or another one, of workers that accept requests; returns the
    /// workers that have become slow, and their paces.
    pub fn record_observations(
        &mut self,
        now: Time,
        observations: impl IntoIterator<Item = Observation>,
    ) -> Vec<(Target, f64)> {
        let mut slow = Vec::new();
        if !self.options.observed_loads {
            return slow;
        }
        for observation in observations {
            let key = (observation.instance.clone(), observation.fence);
            let Some(worker) = self.workers.find_mut(&key) else {
                continue;
            };
            let slots = worker.target.slots;
            if worker.knowledge.record(now, slots, &observation)
                && let Some(pace) = worker.knowledge.became_slow(now)
            {
                slow.push((worker.target.clone(), pace));
            }
        }
        slow
    }

    /// Returns the newest observations of workers that were learnt after `since`, `max` at most.
    pub fn observations(&self, now: Time, since: Option<Time>, max: usize) -> Vec<Observation> {
        if !self.options.observed_loads {
            return Vec::new();
        }
        let told = self
            .workers
            .iter()
            .filter_map(|((instance, fence), worker)| {
                let (running, queued, pace, age) = worker.knowledge.to_tell(now, since)?;
                Some(Observation {
                    instance: instance.clone(),
                    fence: *fence,
                    running,
                    queued,
                    pace,
                    age,
                })
            });
        let mut told: Vec<Observation> = told.collect();
        told.sort_by_key(|observation| observation.age);
        told.truncate(max);
        told
    }

    /// Records that the response to a request began after `wait`; returns the pace of the worker if
    /// it has become slow.
    pub fn record_first_event(
        &mut self,
        now: Time,
        dispatch: &Dispatch,
        wait: Duration,
    ) -> Option<f64> {
        if !self.options.observed_loads || dispatch.target.forecast.is_none() {
            return None;
        }
        let overhead = self.options.overhead;
        let rounds = dispatch.forecast.saturating_sub(overhead).max(MIN_ROUNDS);
        let ratio = wait.saturating_sub(overhead).as_secs_f64() / rounds.as_secs_f64();
        let worker = self.worker_of(dispatch)?;
        // The forecast contains the pace that was known then.
        worker.knowledge.record_ratio(now, ratio * dispatch.pace);
        worker.knowledge.became_slow(now)
    }

    /// Returns the heads of groups, of those that `is_own` names, that are to be asked for a report now.
    pub fn reports_due(&mut self, now: Time, is_own: impl Fn(&Target) -> bool) -> Vec<Target> {
        let mut due = Vec::new();
        if !self.options.observed_loads {
            return due;
        }
        self.peers.expire(now, self.options.peer_load_ttl);
        let peers = &self.peers;
        for worker in self.workers.values_mut() {
            let target = &worker.target;
            if target.model.is_none() || !is_own(target) {
                continue;
            }
            let theirs = peers.sum(&(target.instance.clone(), target.fence));
            let known = worker.in_progress.plus(theirs.unwrap_or_default());
            if worker.knowledge.ask(now, target.slots, known.running) {
                due.push(worker.target.clone());
            }
        }
        due
    }
}

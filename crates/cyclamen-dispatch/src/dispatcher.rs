//! Load-aware selection among the workers that accept requests.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::{Time, group, instance};
use rand::Rng;

use crate::limiter::{Limiter, Position};
use crate::options::Options;
use crate::pauses::Pauses;
use crate::request::{Criteria, Dispatch, Load, Outcome, Reason, Refusal, Target};

/// Additional cost of a worker that recently failed or shed a request, in multiples of the latency
/// goal.
const FAILURE_COST: f64 = 2.0;
/// Upper bound of the random cost that breaks ties, in multiples of the latency goal.
const TIE_BREAK_COST: f64 = 0.02;
/// A worker may queue up to its number of slots divided by this.
const QUEUE_DIVISOR: u32 = 4;
/// Retry delay for callers that are refused because all workers are cold and this entry's quotas
/// are used up.
const COLD_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Requests in progress on a worker, and the queued prompt tokens among them.
#[derive(Debug, Clone, Copy, Default)]
struct InProgress {
    running: u32,
    backlog: u64,
}

impl InProgress {
    fn plus(self, other: Self) -> Self {
        Self {
            running: self.running + other.running,
            backlog: self.backlog + other.backlog,
        }
    }
}

/// A worker and the load that this entry has put on it.
#[derive(Debug)]
struct Worker {
    target: Target,
    in_progress: InProgress,
    limiter: Limiter,
    last_failure: Option<Time>,
}

type WorkerKey = (instance::Id, group::Fence);

/// Selects workers for requests and tracks the load on them.
#[derive(Debug)]
pub struct Dispatcher {
    options: Options,
    workers: BTreeMap<WorkerKey, Worker>,
    peers: BTreeMap<String, (Time, BTreeMap<WorkerKey, InProgress>)>,
    pauses: Pauses,
}

impl Dispatcher {
    /// Creates a dispatcher without workers.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            workers: BTreeMap::new(),
            peers: BTreeMap::new(),
            pauses: Pauses::default(),
        }
    }

    /// Replaces the workers that accept requests; the load of those that stay is kept.
    pub fn refresh(&mut self, targets: impl IntoIterator<Item = Target>) {
        let mut before = std::mem::take(&mut self.workers);
        for target in targets {
            let key = (target.instance.clone(), target.fence);
            let known = before.remove(&key);
            let same = known.filter(|w| w.target.incarnation == target.incarnation);
            let worker = match same {
                Some(worker) => Worker { target, ..worker },
                None => Worker {
                    target,
                    in_progress: InProgress::default(),
                    limiter: Limiter::default(),
                    last_failure: None,
                },
            };
            self.workers.insert(key, worker);
        }
    }

    /// Chooses a worker and counts the request on it.
    pub fn choose(
        &mut self,
        now: Time,
        criteria: &Criteria<'_>,
        rng: &mut impl Rng,
    ) -> Result<Dispatch, Refusal> {
        let peers = self.peers_in_progress(now);
        let mut rejections = Rejections::default();
        let mut best: Option<(f64, WorkerKey, InProgress)> = None;
        for (key, worker) in &mut self.workers {
            if !worker.matches(criteria) {
                continue;
            }
            rejections.workers += 1;
            if let Some(remaining) = self.pauses.remaining(now, &worker.target) {
                rejections.record_pause(remaining);
                continue;
            }
            let theirs = peers.get(key).copied();
            let in_progress =
                theirs.map_or(worker.in_progress, |theirs| worker.in_progress.plus(theirs));
            let wait = worker.forecast_wait(in_progress, criteria.tokens, &self.options);
            if !self
                .options
                .accepts(criteria, &worker.target, in_progress, wait)
            {
                rejections.record_overloaded(wait);
                continue;
            }
            if !worker.is_within_cold_limit(now, criteria.position) {
                rejections.cold = true;
                continue;
            }
            let cost = self.options.cost(now, criteria, worker, wait)
                + rng.random::<f64>() * TIE_BREAK_COST;
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, key.clone(), in_progress));
            }
        }
        let chosen =
            best.and_then(|(_, key, in_progress)| Some((self.workers.get_mut(&key)?, in_progress)));
        let Some((worker, in_progress)) = chosen else {
            return Err(rejections.refusal(criteria, &self.options));
        };
        let forecast = worker.forecast_wait(in_progress, criteria.tokens, &self.options);
        worker.in_progress.running += 1;
        worker.in_progress.backlog += criteria.tokens;
        worker.limiter.record_request(now);
        Ok(Dispatch {
            target: worker.target.clone(),
            chosen_at: now,
            running: in_progress.running,
            backlog: in_progress.backlog,
            tokens: criteria.tokens,
            forecast,
        })
    }

    /// Records that a worker wants no requests from this entry for a while.
    pub fn record_pause(&mut self, now: Time, dispatch: &Dispatch, time: Duration) {
        self.pauses.record(now, &dispatch.target, time);
    }

    /// Records that the response to a request has begun.
    pub fn record_started(&mut self, dispatch: &Dispatch) {
        if let Some(worker) = self.worker_of(dispatch) {
            worker.in_progress.backlog = worker.in_progress.backlog.saturating_sub(dispatch.tokens);
        }
    }

    /// Records how a request ended; `started` is whether its response had begun.
    pub fn record_outcome(
        &mut self,
        now: Time,
        dispatch: &Dispatch,
        outcome: Outcome,
        started: bool,
    ) {
        if !started {
            self.record_started(dispatch);
        }
        if let Some(worker) = self.worker_of(dispatch) {
            worker.in_progress.running = worker.in_progress.running.saturating_sub(1);
            match outcome {
                Outcome::Failed | Outcome::Shed => worker.last_failure = Some(now),
                Outcome::Complete => worker.last_failure = None,
                Outcome::Cancelled => {}
            }
        }
    }

    /// Returns the worker of a dispatch if its incarnation and membership are still the same.
    fn worker_of(&mut self, dispatch: &Dispatch) -> Option<&mut Worker> {
        let target = &dispatch.target;
        let key = (target.instance.clone(), target.fence);
        let worker = self.workers.get_mut(&key);
        worker.filter(|w| w.target.incarnation == target.incarnation)
    }

    /// Records the requests that another entry has in progress.
    pub fn record_peer_loads(
        &mut self,
        now: Time,
        peer: &str,
        loads: impl IntoIterator<Item = Load>,
    ) {
        let in_progress = loads.into_iter().map(|load| {
            let Load {
                running, backlog, ..
            } = load;
            ((load.instance, load.fence), InProgress { running, backlog })
        });
        let ttl = self.options.peer_load_ttl;
        self.peers.retain(|_, (at, _)| now.since(*at) < ttl);
        self.peers
            .insert(peer.to_string(), (now, in_progress.collect()));
    }

    /// Returns the requests that this entry has in progress, to be reported to other entries.
    pub fn loads(&self) -> Vec<Load> {
        let busy = self
            .workers
            .iter()
            .filter(|(_, w)| w.in_progress.running > 0);
        busy.map(|((instance, fence), worker)| Load {
            instance: instance.clone(),
            fence: *fence,
            running: worker.in_progress.running,
            backlog: worker.in_progress.backlog,
        })
        .collect()
    }

    /// Returns the workers that accept requests.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.workers.values().map(|worker| &worker.target)
    }

    /// Returns the number of other entries whose loads are held.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    fn peers_in_progress(&self, now: Time) -> BTreeMap<WorkerKey, InProgress> {
        let ttl = self.options.peer_load_ttl;
        let mut sums: BTreeMap<WorkerKey, InProgress> = BTreeMap::new();
        let fresh = self.peers.values().filter(|(at, _)| now.since(*at) < ttl);
        for (key, in_progress) in fresh.flat_map(|(_, loads)| loads) {
            let sum = sums.entry(key.clone()).or_default();
            *sum = sum.plus(*in_progress);
        }
        sums
    }
}

impl Worker {
    fn matches(&self, criteria: &Criteria<'_>) -> bool {
        let target = &self.target;
        let serves = target.service == *criteria.service && target.model.as_ref() == criteria.model;
        serves && !criteria.exclude.contains(&target.instance)
    }

    /// Returns the forecast wait for the first part of a response.
    fn forecast_wait(&self, in_progress: InProgress, tokens: u64, options: &Options) -> Duration {
        match &self.target.forecast {
            Some(forecast) => {
                let running = in_progress.running.min(self.target.slots);
                options.overhead + forecast.wait(in_progress.backlog, tokens, running)
            }
            None => {
                let slots = f64::from(self.target.slots.max(1));
                options
                    .plain_service_time
                    .mul_f64(f64::from(in_progress.running) / slots)
            }
        }
    }

    /// Returns whether a cold worker may get one more request from this entry; one that is not
    /// cold always may.
    fn is_within_cold_limit(&mut self, now: Time, position: Position) -> bool {
        match self.target.cold {
            Some((until, per_second)) if now < until => {
                let quota = position.quota(per_second as usize, self.quota_offset());
                self.limiter.allows(now, quota)
            }
            _ => true,
        }
    }

    /// Returns an offset that varies by worker and is the same on every entry.
    fn quota_offset(&self) -> usize {
        let bytes = self.target.instance.as_str().bytes();
        bytes.map(usize::from).sum()
    }
}

impl Options {
    /// Returns whether a worker may get the request.
    ///
    /// Of the request's own prompt, only the part beyond one chunk counts towards the
    /// wait, so that large requests within a chunk are not refused more often than
    /// small ones.
    fn accepts(
        &self,
        criteria: &Criteria<'_>,
        target: &Target,
        in_progress: InProgress,
        wait: Duration,
    ) -> bool {
        let full = in_progress.running >= target.slots + target.slots / QUEUE_DIVISOR;
        let max_wait = if criteria.late {
            criteria.remaining / 2
        } else {
            criteria
                .goal
                .mul_f64(self.max_wait_ratio)
                .min(criteria.remaining)
        };
        !full && wait <= max_wait
    }

    /// Returns the cost of running the request on a worker; the lowest cost wins.
    fn cost(&self, now: Time, criteria: &Criteria<'_>, worker: &Worker, wait: Duration) -> f64 {
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
        let failed = worker
            .last_failure
            .is_some_and(|at| now.since(at) < self.failure_cooldown);
        let failure = if failed { FAILURE_COST } else { 0.0 };
        wait.as_secs_f64() / goal + locality + failure
    }
}

/// Why matching workers were rejected.
#[derive(Debug, Default)]
struct Rejections {
    workers: usize,
    least_wait: Option<Duration>,
    cold: bool,
    /// The shortest remaining pause.
    pause: Option<Duration>,
}

impl Rejections {
    fn record_overloaded(&mut self, wait: Duration) {
        self.least_wait = Some(self.least_wait.map_or(wait, |least| least.min(wait)));
    }

    fn record_pause(&mut self, remaining: Duration) {
        self.pause = Some(self.pause.map_or(remaining, |least| least.min(remaining)));
    }

    /// Returns the refusal; if workers are overloaded, its retry delay is the time after which the
    /// shortest forecast wait should have fallen to half the latency goal.
    fn refusal(self, criteria: &Criteria<'_>, options: &Options) -> Refusal {
        let (reason, wait) = match (self.least_wait, self.cold, self.pause) {
            (Some(wait), ..) => (Reason::Overloaded, wait.saturating_sub(criteria.goal / 2)),
            (None, true, _) => (Reason::Cold, COLD_RETRY_DELAY),
            (None, false, Some(remaining)) => (Reason::Paused, remaining),
            (None, false, None) => (Reason::NoWorker, options.min_retry_after * 2),
        };
        Refusal {
            reason,
            workers: self.workers,
            least_wait: self.least_wait,
            retry_after: wait.max(options.min_retry_after),
        }
    }
}

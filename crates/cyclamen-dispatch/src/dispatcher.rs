//! Load-aware selection among the workers that accept requests.

mod admission;
mod cost;
mod overload;
mod peers;
mod rejections;
mod worker;

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_quota::{Permit, Permits};
use cyclamen_types::{Time, group, instance};
use rand::Rng;

use crate::options::Options;
use crate::overload::Control;
use crate::pauses::Pauses;
use crate::request::{Criteria, Dispatch, Load, Outcome, Refusal, Target};
use peers::PeerLoads;
use rejections::Rejections;
use worker::{InProgress, Worker};

/// Upper bound of the random cost that breaks ties, in multiples of the latency goal.
const TIE_BREAK_COST: f64 = 0.02;
type WorkerKey = (instance::Id, group::Fence);

/// Selects workers for requests and tracks the load on them.
#[derive(Debug)]
pub struct Dispatcher {
    options: Options,
    workers: BTreeMap<WorkerKey, Worker>,
    /// Workers that accept no requests now, but run some.
    resting: BTreeMap<WorkerKey, Worker>,
    peers: PeerLoads,
    pauses: Pauses,
    permits: Permits,
    /// Admission under overload, if it is on.
    overload: Option<Control>,
}

impl Dispatcher {
    /// Creates a dispatcher without workers.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            workers: BTreeMap::new(),
            resting: BTreeMap::new(),
            peers: PeerLoads::default(),
            pauses: Pauses::default(),
            permits: Permits::default(),
            overload: options.overload.map(Control::new),
        }
    }

    /// Replaces the workers that accept requests; the load of those that stay is kept, and that of
    /// the others while they run requests.
    pub fn refresh(&mut self, targets: impl IntoIterator<Item = Target>) {
        let mut before = std::mem::take(&mut self.workers);
        before.append(&mut self.resting);
        for target in targets {
            let key = (target.instance.clone(), target.fence);
            let known = before.remove(&key);
            let same = known.filter(|w| w.target.incarnation == target.incarnation);
            let worker = match same {
                Some(worker) => Worker { target, ..worker },
                None => Worker {
                    target,
                    in_progress: InProgress::default(),
                    last_failure: None,
                },
            };
            self.workers.insert(key, worker);
        }
        before.retain(|_, worker| worker.in_progress.running > 0);
        self.resting = before;
    }

    /// Chooses a worker and counts the request on it.
    pub fn choose(
        &mut self,
        now: Time,
        criteria: &Criteria<'_>,
        rng: &mut impl Rng,
    ) -> Result<Dispatch, Refusal> {
        let peers = self.peers.sums(now, self.options.peer_load_ttl);
        let mut rejections = Rejections::default();
        let standing = self.standing(now, criteria, &peers, rng);
        let mut best: Option<(f64, WorkerKey, InProgress)> = None;
        for (key, worker) in &self.workers {
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
            let view = self.view(worker, in_progress);
            let accepts = match &standing {
                Some(standing) => standing.admits(&view),
                None => self
                    .options
                    .accepts(criteria, &worker.target, in_progress, wait),
            };
            if !accepts {
                rejections.record_overloaded(wait);
                continue;
            }
            if let Some(hold) = self.hold(now, worker, criteria.priority) {
                rejections.record_hold(hold, worker.target.limit.is_some());
                continue;
            }
            let tie_break = standing.as_ref().map_or(0.0, |s| s.cost(&view, rng));
            let cost = self.options.cost(now, criteria, worker, wait)
                + tie_break
                + rng.random::<f64>() * TIE_BREAK_COST;
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, key.clone(), in_progress));
            }
        }
        let chosen =
            best.and_then(|(_, key, in_progress)| Some((self.workers.get_mut(&key)?, in_progress)));
        let Some((worker, in_progress)) = chosen else {
            return Err(self.refuse(now, criteria, standing, rejections, rng));
        };
        let forecast = worker.forecast_wait(in_progress, criteria.tokens, &self.options);
        let this = InProgress {
            running: 1,
            backlog: criteria.tokens,
        };
        worker.in_progress = worker.in_progress.plus(this);
        if let Some(control) = &mut self.overload {
            control.record(now, criteria, true);
        }
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

    /// Returns how long a request of a priority waits before a permit for a limited worker is asked
    /// for, if it has to.
    fn hold(&self, now: Time, worker: &Worker, priority: u8) -> Option<Duration> {
        worker.target.rate_limit(now)?;
        self.permits.hold(now, worker.start(), priority)
    }

    /// Takes an unused permit of a worker, if there is one.
    pub fn take_permit(&mut self, now: Time, target: &Target) -> Option<Permit> {
        let start = (&target.instance, target.incarnation);
        self.permits.take(now, start)
    }

    /// Records that this entry asks for a permit of a worker, for a request of a priority.
    pub fn record_ask(&mut self, now: Time, target: &Target, priority: u8) {
        let start = (&target.instance, target.incarnation);
        self.permits.record_ask(now, start, priority);
    }

    /// Returns a permit whose request was not sent.
    pub fn put_permit_back(&mut self, now: Time, permit: Permit) {
        self.permits.put_back(now, permit);
    }

    /// Records that no permit of a worker is to be had for a while, for requests of a priority and
    /// less urgent ones.
    pub fn record_hold(&mut self, now: Time, target: &Target, priority: u8, wait: Duration) {
        let start = (&target.instance, target.incarnation);
        self.permits.record_hold(now, start, priority, wait);
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
        if let Some(control) = &mut self.overload {
            control.record_outcome(now, dispatch, outcome);
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
        let worker = worker.or_else(|| self.resting.get_mut(&key));
        worker.filter(|w| w.target.incarnation == target.incarnation)
    }

    /// Records the requests that another entry has in progress.
    pub fn record_peer_loads(
        &mut self,
        now: Time,
        peer: &str,
        loads: impl IntoIterator<Item = Load>,
    ) {
        let ttl = self.options.peer_load_ttl;
        self.peers.record(now, ttl, peer, loads);
    }

    /// Returns the requests that this entry has in progress, to be reported to other entries.
    pub fn loads(&self) -> Vec<Load> {
        let workers = self.workers.iter().chain(&self.resting);
        let busy = workers.filter(|(_, w)| w.in_progress.running > 0);
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
        self.peers.count()
    }
}

//! Load-aware selection among the workers that accept requests.

mod admission;
mod choice;
mod cost;
mod observing;
mod overload;
mod peers;
mod rejections;
mod sizes;
mod worker;
mod workers;

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_quota::{Permit, Permits};
use cyclamen_types::{Time, group, instance};
use rand::Rng;

use crate::observation::Knowledge;
use crate::options::Options;
use crate::overload::{Control, Standing};
use crate::pauses::Pauses;
use crate::request::{Criteria, Dispatch, Load, Outcome, Refusal, Target};
use crate::split::Split;
use choice::Candidate;
use peers::PeerLoads;
use rejections::Rejections;
use worker::{InProgress, Worker};
use workers::Workers;

/// Upper bound of the random cost that breaks ties, in multiples of the latency goal.
const TIE_BREAK_COST: f64 = 0.02;
type WorkerKey = (instance::Id, group::Fence);

/// Selects workers for requests and tracks the load on them.
#[derive(Debug)]
pub struct Dispatcher {
    options: Options,
    workers: Workers,
    /// Workers that accept no requests now, but run some.
    resting: BTreeMap<WorkerKey, Worker>,
    peers: PeerLoads,
    pauses: Pauses,
    permits: Permits,
    /// Admission under overload, if it is on.
    overload: Option<Control>,
    /// The number of entries of the fleet; the largest one until it is known.
    entries: usize,
    /// The separation of long and short prompts, if it is on.
    split: Option<Split>,
}

impl Dispatcher {
    /// Creates a dispatcher without workers.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            workers: Workers::default(),
            resting: BTreeMap::new(),
            peers: PeerLoads::default(),
            pauses: Pauses::default(),
            permits: Permits::default(),
            overload: options.overload.map(Control::new),
            entries: usize::MAX,
            split: options.split.map(Split::new),
        }
    }

    /// Replaces the workers that accept requests; the load of those that stay is kept, and that of
    /// the others while they run requests.
    pub fn refresh(&mut self, targets: impl IntoIterator<Item = Target>) {
        let mut before = self.workers.take();
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
                    knowledge: Knowledge::default(),
                },
            };
            self.workers.insert(worker);
        }
        before.retain(|_, worker| worker.in_progress.running > 0);
        self.resting = before;
    }

    /// Sets the number of entries that share the workers, this one included.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries;
    }

    /// Chooses a worker and counts the request on it.
    pub fn choose(
        &mut self,
        now: Time,
        criteria: &Criteria<'_>,
        rng: &mut impl Rng,
    ) -> Result<Dispatch, Refusal> {
        self.peers.expire(now, self.options.peer_load_ttl);
        self.record_size(now, criteria);
        let mut control = self.overload.take();
        let needed = control.as_mut().filter(|c| c.is_needed(self.entries));
        let chosen = self.choose_with(now, criteria, needed, rng);
        self.overload = control;
        let dispatch = chosen?;
        self.record_sent(now, &dispatch);
        Ok(dispatch)
    }

    /// Chooses a worker; `control` decides who gets scarce room, if it is on.
    fn choose_with(
        &self,
        now: Time,
        criteria: &Criteria<'_>,
        mut control: Option<&mut Control>,
        rng: &mut impl Rng,
    ) -> Result<Dispatch, Refusal> {
        let mut candidates = self.candidates(now, criteria);
        let mut rejections = Rejections::of(candidates.len());
        // A model that no worker serves has no room to divide; callers may name any.
        let divided = control.as_mut().filter(|_| !candidates.is_empty());
        let standing = divided.map(|control| {
            let load = self.pool_load(&candidates);
            control.standing(now, criteria, load, rng.random())
        });
        self.add_split_costs(criteria, &mut candidates);
        candidates.retain(|c| self.may_get(now, criteria, c, standing.as_ref(), &mut rejections));
        if let Some(standing) = &standing {
            self.add_slot_costs(&mut candidates, standing, rng);
        }
        let options = &self.options;
        let chosen = if options.observed_loads && criteria.model.is_some() {
            choice::choose(now, criteria, options, candidates, rng)
        } else {
            choice::least_cost(now, criteria, options, candidates, rng)
        };
        let Some(chosen) = chosen else {
            return Err(self.refuse(now, criteria, control, standing, rejections, rng));
        };
        if let Some(control) = control {
            control.record(now, criteria, true);
        }
        Ok(Dispatch {
            target: chosen.worker.target.clone(),
            chosen_at: now,
            running: chosen.in_progress.running,
            backlog: chosen.in_progress.backlog,
            tokens: criteria.tokens,
            forecast: chosen.wait,
            pace: chosen.pace,
            observed: chosen.worker.knowledge.age(now),
        })
    }

    /// Returns the workers that serve the request, with their loads.
    fn candidates(&self, now: Time, criteria: &Criteria<'_>) -> Vec<Candidate<'_>> {
        let known = self.known_work(criteria);
        let workers = self.workers.of(criteria.service, criteria.model);
        let workers = workers.filter(|(_, worker)| !worker.is_excluded(criteria));
        workers
            .map(|(key, worker)| self.candidate(now, criteria, key, worker, known))
            .collect()
    }

    /// Returns whether a worker may get the request; if not, records why.
    fn may_get(
        &self,
        now: Time,
        criteria: &Criteria<'_>,
        candidate: &Candidate<'_>,
        standing: Option<&Standing>,
        rejections: &mut Rejections,
    ) -> bool {
        let worker = candidate.worker;
        if let Some(remaining) = self.pauses.remaining(now, &worker.target) {
            rejections.record_pause(remaining);
            return false;
        }
        let (in_progress, wait) = (candidate.in_progress, candidate.wait);
        let accepts = match standing {
            Some(standing) => standing.admits(&self.view(candidate)),
            None => self
                .options
                .accepts(criteria, &worker.target, in_progress, wait),
        };
        if !accepts {
            rejections.record_overloaded(wait);
            return false;
        }
        if let Some(hold) = self.hold(now, worker, criteria.priority) {
            rejections.record_hold(hold, worker.target.limit.is_some());
            return false;
        }
        true
    }

    /// Counts a request on its worker.
    fn record_sent(&mut self, now: Time, dispatch: &Dispatch) {
        let Some(worker) = self.workers.get_mut(&dispatch.target) else {
            return;
        };
        worker.in_progress = worker.in_progress.plus(InProgress {
            running: 1,
            backlog: dispatch.tokens,
        });
        if self.options.observed_loads {
            worker.knowledge.record_sent(now, dispatch.target.slots);
        }
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
        let worker = self.workers.get_mut(target);
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
        self.workers.iter().map(|(_, worker)| &worker.target)
    }

    /// Returns the number of other entries whose loads are held.
    pub fn peer_count(&self) -> usize {
        self.peers.count()
    }
}

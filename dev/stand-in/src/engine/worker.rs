//! One worker of a model engine.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cyclamen_domain::Report;
use cyclamen_domain::report::Assignment;
use cyclamen_endpoint::order::Message;
use cyclamen_types::{group, instance, pool};
use rand::Rng;
use serde::{Deserialize, Serialize};

use super::{Fabric, Options, Violations};

/// Faults to inject into a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The worker does not respond until this fault is cleared.
    pub paused: bool,
    /// Nothing that the worker sends leaves it until this fault is cleared; its requests and its
    /// group are sound.
    pub silent: bool,
    /// The worker has terminated and is no longer registered with the platform.
    pub dead: bool,
    /// The platform lists the worker as leaving.
    pub leaving: bool,
    /// The worker becomes cold when this fault is set.
    pub cold: bool,
}

#[derive(Debug)]
struct State {
    incarnation: instance::Incarnation,
    assignment: Option<Assignment>,
    group_size: usize,
    fence: group::Fence,
    /// The pool whose model the worker has loaded.
    loaded_pool: Option<pool::Name>,
    ready_at: Instant,
    warm_at: Instant,
    running: u32,
    load_sample: LoadSample,
    faults: Faults,
}

/// The load in the worker's reports, which lags behind the current load.
#[derive(Debug, Clone, Copy)]
struct LoadSample {
    taken_at: Instant,
    running: u32,
    cold: bool,
}

/// One worker of a model engine.
#[derive(Debug)]
pub struct Worker {
    id: instance::Id,
    options: Options,
    fabric: Arc<Fabric>,
    state: Mutex<State>,
}

/// The reason why a worker rejects a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// The worker is not in the requested group, or its membership has another fencing token.
    Obsolete,
    /// The worker is not ready, or a member of the group is missing.
    Incomplete,
    /// The worker was cold and crashed because its load exceeded the limit.
    Overloaded,
}

impl Worker {
    pub(crate) fn new(id: instance::Id, options: Options, fabric: Arc<Fabric>) -> Self {
        let now = Instant::now();
        let state = State {
            incarnation: new_incarnation(),
            assignment: None,
            group_size: 0,
            fence: group::Fence::default(),
            loaded_pool: None,
            ready_at: now,
            warm_at: now,
            running: 0,
            load_sample: LoadSample {
                taken_at: now,
                running: 0,
                cold: true,
            },
            faults: Faults::default(),
        };
        Self {
            id,
            options,
            fabric,
            state: Mutex::new(state),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the instance ID of the worker.
    pub fn id(&self) -> &instance::Id {
        &self.id
    }

    /// Returns the failures in the worker's fabric domain so far.
    pub fn violations(&self) -> Violations {
        *self.fabric.violations()
    }

    /// Sets the faults of the worker; clearing `dead` restarts it as a new incarnation.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.state();
        if state.faults.dead && !faults.dead {
            restart(&mut state);
        }
        if faults.cold {
            state.warm_at = Instant::now() + self.options.warm_up;
        }
        state.faults = faults;
    }

    pub(crate) fn token_interval(&self) -> Duration {
        self.options.token_interval
    }

    pub(crate) fn is_alive(&self) -> bool {
        !self.state().faults.dead
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.state().faults.leaving
    }

    /// Returns whether the worker responds at present.
    pub(crate) fn is_responsive(&self) -> bool {
        let faults = self.state().faults;
        !faults.dead && !faults.paused
    }

    /// Returns whether nothing that the worker sends leaves it at present.
    pub(crate) fn is_silent(&self) -> bool {
        self.state().faults.silent
    }

    pub(crate) fn report(&self) -> Report {
        let mut state = self.state();
        let now = Instant::now();
        if now.duration_since(state.load_sample.taken_at) >= self.options.report_lag {
            state.load_sample = LoadSample {
                taken_at: now,
                running: state.running,
                cold: now < state.warm_at,
            };
        }
        Report {
            incarnation: state.incarnation,
            assignment: state.assignment.clone(),
            ready: state.assignment.is_some() && now >= state.ready_at,
            cold: state.load_sample.cold,
            running: state.load_sample.running,
        }
    }

    /// Applies an order and returns whether it was accepted; a worker that checks fencing tokens
    /// refuses an obsolete one.
    pub(crate) fn apply_order(&self, message: Message) -> bool {
        let mut state = self.state();
        if self.options.checks_fence && message.fence < state.fence {
            return false;
        }
        state.fence = message.fence;
        let Some(join) = message.join else {
            state.assignment = None;
            return true;
        };
        let now = Instant::now();
        if state.loaded_pool.as_ref() != Some(&join.pool) {
            state.ready_at = now + self.options.load_time;
            state.warm_at = state.ready_at + self.options.warm_up;
            state.load_sample.cold = true;
            state.loaded_pool = Some(join.pool);
        }
        state.group_size = join.size;
        state.assignment = Some(Assignment {
            group: join.group,
            fence: message.fence,
        });
        true
    }

    /// Starts a request, or returns why it is rejected.
    pub(crate) fn start_request(
        self: &Arc<Self>,
        assignment: &Assignment,
    ) -> Result<Request, Rejection> {
        let group_size = {
            let state = self.state();
            let ready = Instant::now() >= state.ready_at;
            if state.assignment.as_ref() != Some(assignment) {
                return Err(Rejection::Obsolete);
            }
            if !ready {
                return Err(Rejection::Incomplete);
            }
            state.group_size
        };
        if self.responsive_members(assignment) < group_size {
            self.fabric.violations().incomplete += 1;
            return Err(Rejection::Incomplete);
        }
        let mut state = self.state();
        state.running += 1;
        if Instant::now() < state.warm_at && state.running > self.options.cold_limit {
            restart(&mut state);
            drop(state);
            self.fabric.violations().overloaded += 1;
            return Err(Rejection::Overloaded);
        }
        Ok(Request {
            worker: self.clone(),
            incarnation: state.incarnation,
            assignment: assignment.clone(),
            group_size,
        })
    }

    /// Returns the number of members of a group that respond over the fabric.
    fn responsive_members(&self, assignment: &Assignment) -> usize {
        let workers = self.fabric.workers();
        let joined =
            |w: &&Arc<Self>| w.is_responsive() && w.state().assignment.as_ref() == Some(assignment);
        workers.iter().filter(joined).count()
    }

    /// Crashes and restarts the worker, as a harmful request does.
    pub(crate) fn crash(&self) {
        restart(&mut self.state());
        self.fabric.violations().crashes += 1;
    }
}

/// A request in progress.
pub(crate) struct Request {
    worker: Arc<Worker>,
    incarnation: instance::Incarnation,
    assignment: Assignment,
    group_size: usize,
}

impl Request {
    /// Returns whether the group is still complete; a request ends when a member is lost.
    pub(crate) fn is_group_complete(&self) -> bool {
        let same_incarnation = self.worker.state().incarnation == self.incarnation;
        same_incarnation
            && self.worker.is_responsive()
            && self.worker.responsive_members(&self.assignment) >= self.group_size
    }

    pub(crate) fn worker(&self) -> &Worker {
        &self.worker
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        let mut state = self.worker.state();
        if state.incarnation == self.incarnation {
            state.running = state.running.saturating_sub(1);
        }
    }
}

fn new_incarnation() -> instance::Incarnation {
    instance::Incarnation(rand::rng().random())
}

fn restart(state: &mut State) {
    state.incarnation = new_incarnation();
    state.assignment = None;
    state.loaded_pool = None;
    state.running = 0;
    state.fence = group::Fence::default();
}

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

/// How a worker fails.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The worker answers nothing until this is taken back.
    pub paused: bool,
    /// The worker is gone, and off the platform's list.
    pub dead: bool,
    /// The platform lists the worker as leaving.
    pub leaving: bool,
    /// The worker has just turned cold.
    pub cold: bool,
}

#[derive(Debug)]
struct State {
    incarnation: instance::Incarnation,
    assignment: Option<Assignment>,
    size: usize,
    fence: group::Fence,
    loaded: Option<pool::Name>,
    ready_at: Instant,
    warm_at: Instant,
    running: u32,
    reported: Reported,
    faults: Faults,
}

/// The load as it is reported, some time late.
#[derive(Debug, Clone, Copy)]
struct Reported {
    at: Instant,
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

/// Why a worker does not take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Unable {
    /// It is not in that group, or not with that membership.
    Obsolete,
    /// It is not ready, or a member is missing.
    Incomplete,
    /// It was cold and got too much; it fell over.
    Overloaded,
}

impl Worker {
    pub(crate) fn new(id: instance::Id, options: Options, fabric: Arc<Fabric>) -> Self {
        let now = Instant::now();
        let state = State {
            incarnation: new_incarnation(),
            assignment: None,
            size: 0,
            fence: group::Fence::default(),
            loaded: None,
            ready_at: now,
            warm_at: now,
            running: 0,
            reported: Reported {
                at: now,
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

    /// The instance of the worker.
    pub fn id(&self) -> &instance::Id {
        &self.id
    }

    /// What went wrong in the worker's fabric domain so far.
    pub fn violations(&self) -> Violations {
        *self.fabric.violations()
    }

    /// Changes how the worker fails; one that was dead returns as another incarnation.
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

    pub(crate) fn token_time(&self) -> Duration {
        self.options.token
    }

    pub(crate) fn is_alive(&self) -> bool {
        !self.state().faults.dead
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.state().faults.leaving
    }

    /// Whether the worker answers at present.
    pub(crate) fn answers(&self) -> bool {
        let faults = self.state().faults;
        !faults.dead && !faults.paused
    }

    pub(crate) fn report(&self) -> Report {
        let mut state = self.state();
        let now = Instant::now();
        if now.duration_since(state.reported.at) >= self.options.report_lag {
            state.reported = Reported {
                at: now,
                running: state.running,
                cold: now < state.warm_at,
            };
        }
        Report {
            incarnation: state.incarnation,
            assignment: state.assignment.clone(),
            ready: state.assignment.is_some() && now >= state.ready_at,
            cold: state.reported.cold,
            running: state.reported.running,
        }
    }

    /// Follows an order, unless it is obsolete and the worker checks.
    pub(crate) fn order(&self, message: Message) -> bool {
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
        if state.loaded.as_ref() != Some(&join.pool) {
            state.ready_at = now + self.options.load;
            state.warm_at = state.ready_at + self.options.warm_up;
            state.reported.cold = true;
            state.loaded = Some(join.pool);
        }
        state.size = join.size;
        state.assignment = Some(Assignment {
            group: join.group,
            fence: message.fence,
        });
        true
    }

    /// Takes a request, or says why not.
    pub(crate) fn begin(self: &Arc<Self>, wanted: &Assignment) -> Result<Running, Unable> {
        let size = {
            let state = self.state();
            let ready = Instant::now() >= state.ready_at;
            if state.assignment.as_ref() != Some(wanted) {
                return Err(Unable::Obsolete);
            }
            if !ready {
                return Err(Unable::Incomplete);
            }
            state.size
        };
        if self.members(wanted) < size {
            self.fabric.violations().incomplete += 1;
            return Err(Unable::Incomplete);
        }
        let mut state = self.state();
        state.running += 1;
        if Instant::now() < state.warm_at && state.running > self.options.cold_limit {
            restart(&mut state);
            drop(state);
            self.fabric.violations().overloaded += 1;
            return Err(Unable::Overloaded);
        }
        Ok(Running {
            worker: self.clone(),
            incarnation: state.incarnation,
            wanted: wanted.clone(),
            size,
        })
    }

    /// Members of a group that answer over the fabric.
    fn members(&self, wanted: &Assignment) -> usize {
        let workers = self.fabric.workers();
        let joined = |w: &&Arc<Self>| w.answers() && w.state().assignment.as_ref() == Some(wanted);
        workers.iter().filter(joined).count()
    }

    /// Falls over, as by a harmful request.
    pub(crate) fn crash(&self) {
        restart(&mut self.state());
        self.fabric.violations().crashes += 1;
    }
}

/// A request in progress.
pub(crate) struct Running {
    worker: Arc<Worker>,
    incarnation: instance::Incarnation,
    wanted: Assignment,
    size: usize,
}

impl Running {
    /// Whether the group still stands; a request ends when a member is lost.
    pub(crate) fn stands(&self) -> bool {
        let same = self.worker.state().incarnation == self.incarnation;
        same && self.worker.answers() && self.worker.members(&self.wanted) >= self.size
    }

    pub(crate) fn worker(&self) -> &Worker {
        &self.worker
    }
}

impl Drop for Running {
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
    state.loaded = None;
    state.running = 0;
    state.fence = group::Fence::default();
}

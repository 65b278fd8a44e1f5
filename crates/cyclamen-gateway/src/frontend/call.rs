//! A caller's request as it is sent to workers.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use cyclamen_directory::route::Repeat;
use cyclamen_directory::service::Service;
use cyclamen_directory::{Route, Team};
use cyclamen_dispatch::{Caller, Criteria, Dispatch};
use cyclamen_peer::Capability;
use cyclamen_route::containment::{Fingerprint, Part};
use cyclamen_types::{Time, entry, instance, model, pool};
use trillium::{Headers, Method};

use crate::frontend::containment::shared_parts;
use crate::frontend::refusal::Refusal;
use crate::frontend::target::Target;
use crate::node::Node;
use crate::platform::{Dialect, Table};

/// A caller's request as it is sent to workers; its attempts share it.
#[derive(Clone)]
pub(crate) struct Call {
    pub(crate) node: Arc<Node>,
    pub(crate) id: Arc<str>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    pub(crate) team: Option<Arc<Team>>,
    pub(crate) model: Option<model::Name>,
    /// The parts of the prompt that other requests may share.
    pub(crate) parts: Arc<[Part]>,
    /// The number of prompt tokens; zero if the caller does not state it.
    pub(crate) tokens: u64,
    pub(crate) method: Method,
    pub(crate) target: Target,
    /// The caller's headers without those that the gateway sets.
    pub(crate) headers: Headers,
    pub(crate) body: Arc<[u8]>,
    pub(crate) arrived_at: Time,
    pub(crate) deadline: Time,
    /// The entry that handed the request over, unless a caller sent it.
    pub(crate) sender: Option<entry::Name>,
    pub(super) fingerprint: OnceLock<Fingerprint>,
}

impl Call {
    /// Returns the time left until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.since(self.node.now())
    }

    /// Returns the priority of the team, or that of the route if the team has none.
    pub(crate) fn priority(&self) -> u8 {
        let team = self.team.as_ref().and_then(|team| team.priority);
        team.unwrap_or(self.route.priority).0
    }

    /// Returns the time since the request arrived.
    ///
    /// Earlier attempts of the caller are not included: they cannot be derived from its
    /// deadline, since callers choose their deadlines.
    pub(super) fn waited(&self, now: Time) -> Duration {
        now.since(self.arrived_at)
    }

    /// Returns whether the route's latency goal can no longer be met.
    pub(crate) fn is_late(&self) -> bool {
        self.waited(self.node.now()) >= self.route.goal
    }

    /// Returns whether the request may be retried although it may have run.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.route.repeat != Repeat::Never
    }

    /// Returns whether the request may be sent now although this entry may be shutting down: it ends before
    /// the remaining ones are aborted, as far as is known.
    pub(crate) fn ends_before_drain_limit(&self) -> bool {
        let now = self.node.now();
        let state = self.node.state();
        let Some(drain) = state.drain else {
            return true;
        };
        let longest = self.deadline.since(self.arrived_at);
        let expected = state.durations.expected(now, &self.route.name, longest);
        drain.accepts(
            now,
            &cyclamen_drain::Request {
                deadline: Some(self.deadline),
                expected,
                is_repeatable: self.is_repeatable(),
            },
        )
    }

    /// Returns whether the response may be continued by another worker.
    pub(crate) fn is_resumable(&self) -> bool {
        self.route.repeat == Repeat::Resume
    }

    pub(crate) fn service_name(&self) -> &pool::Service {
        &self.service.name
    }

    /// Returns the service, and the model if the service runs models.
    pub(super) fn capability(&self) -> Capability {
        Capability {
            service: self.service.name.clone(),
            model: self.model.clone(),
        }
    }

    /// Chooses a worker that is not excluded, and counts the request as in progress on it.
    pub(super) fn choose_worker(&self, exclude: &[instance::Id]) -> Result<Dispatch, Refusal> {
        let now = self.node.now();
        let mut guard = self.node.state();
        let state = &mut *guard;
        let is_late = self.waited(now) >= self.route.goal;
        let priority = self.priority();
        let criteria = Criteria {
            service: &self.service.name,
            model: self.model.as_ref(),
            zone: &state.zone,
            domains: &state.cell.domains,
            exclude,
            goal: self.route.goal,
            remaining: self.deadline.since(now),
            late: is_late,
            tokens: self.tokens,
            priority,
            caller: Caller {
                team: self.team.as_ref().map(|team| &team.name),
                waited: self.waited(now),
                timeout: self.route.timeout,
            },
        };
        let chosen = state.dispatcher.choose(now, &criteria, &mut state.rng);
        chosen.map_err(|refusal| {
            log::info!(
                "event=not_dispatched id={} model={} reason={} workers={} least_wait_ms={} \
                 goal_ms={} late={is_late} list_revision={} retry_after_ms={}",
                self.id,
                self.model.as_ref().map_or("none", |m| m.as_str()),
                refusal.reason.as_str(),
                refusal.workers,
                refusal.least_wait.unwrap_or_default().as_millis(),
                self.route.goal.as_millis(),
                state.as_of(Table::Instances),
                refusal.retry_after.as_millis()
            );
            Refusal::retry_later(refusal.reason.as_str(), refusal.retry_after)
        })
    }
}

/// What the head of a request says about its prompt.
pub(super) struct Prompt {
    pub(super) model: Option<model::Name>,
    pub(super) parts: Arc<[Part]>,
    pub(super) tokens: u64,
    /// The number of tokens that the caller expects of the answer; zero if it does not say.
    pub(super) answer_tokens: u64,
}

impl Prompt {
    /// Reads the headers of a request for a service.
    pub(super) fn read(dialect: &Dialect, headers: &Headers, service: &Service) -> Self {
        let model = headers.get_str(dialect.model);
        let model = model.and_then(|text| text.parse().ok());
        let tokens = headers.get_str(dialect.tokens).unwrap_or_default();
        let mut tokens = tokens.split(',').map(|text| text.parse().ok());
        let parts = headers.get_str(dialect.prompt_parts);
        Self {
            model: model.filter(|_| service.engine.is_some()),
            parts: parts.map_or_else(Vec::new, shared_parts).into(),
            tokens: tokens.next().flatten().unwrap_or(0),
            answer_tokens: tokens.next().flatten().unwrap_or(0),
        }
    }
}

//! A caller's request as it is sent to workers.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use cyclamen_directory::route::Repeat;
use cyclamen_directory::service::Service;
use cyclamen_directory::{Route, Team};
use cyclamen_dispatch::{Dispatch, Outcome};
use cyclamen_route::containment::{Fingerprint, Part};
use cyclamen_types::{Time, model, pool};
use trillium::{Headers, Method};

use crate::node::Node;

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
    pub(crate) path: Arc<str>,
    /// The caller's headers without those that the gateway sets.
    pub(crate) headers: Headers,
    pub(crate) body: Vec<u8>,
    pub(crate) arrived_at: Time,
    pub(crate) deadline: Time,
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

    /// Returns whether the response may be continued by another worker.
    pub(crate) fn is_resumable(&self) -> bool {
        self.route.repeat == Repeat::Resume
    }

    pub(crate) fn service_name(&self) -> &pool::Service {
        &self.service.name
    }

    /// Records that the response to the request has begun.
    pub(crate) fn record_started(&self, dispatch: &Dispatch) {
        self.node.state().dispatcher.record_started(dispatch);
    }

    /// Records how the request ended on a worker; `started` is whether its response had begun.
    pub(crate) fn record_outcome(&self, dispatch: &Dispatch, outcome: Outcome, started: bool) {
        let now = self.node.now();
        self.node
            .state()
            .dispatcher
            .record_outcome(now, dispatch, outcome, started);
    }
}

//! A caller's request and its progress.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use cyclamen_directory::route::Repeat;
use cyclamen_directory::service::Service;
use cyclamen_directory::{Route, Team};
use cyclamen_dispatch::{Criteria, Dispatch, Outcome};
use cyclamen_route::containment::{Fingerprint, Part};
use cyclamen_types::{Time, instance, model, pool};
use rand::Rng;
use trillium::{Conn, Headers, KnownHeaderName, Method};

use crate::frontend::check::{Checked, check, read_body, record_refused_head};
use crate::frontend::containment::shared_parts;
use crate::frontend::refusal::Refusal;
use crate::node::Node;
use crate::platform::Table;

/// Number of failed connections to workers at which a request is refused.
const MAX_FAILED_CONNECTS: u32 = 3;

/// A caller's request.
pub(crate) struct Request {
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
    /// Workers to which the request was sent, or to which no connection could be made.
    pub(crate) tried: Vec<instance::Id>,
    /// Whether a worker may have run the request.
    pub(crate) may_have_run: bool,
    failed_connects: u32,
    finished: bool,
    pub(super) fingerprint: OnceLock<Fingerprint>,
}

impl Request {
    /// Checks a request and reads its body.
    pub(crate) async fn read(node: &Arc<Node>, conn: &mut Conn) -> Result<Self, Refusal> {
        let arrived_at = node.now();
        let catalog = node.state().catalog.clone();
        let checked = check(node, &catalog, conn);
        let Checked { id, route, team } =
            checked.inspect_err(|refusal| record_refused_head(node, conn, *refusal))?;
        let dialect = node.platform.dialect();
        let header = |name: &'static str| conn.request_headers().get_str(name);
        let requested = header(dialect.deadline_ms).and_then(|text| text.parse::<u64>().ok());
        let requested = requested.map_or(route.timeout, Duration::from_millis);
        let deadline = arrived_at + requested.min(route.timeout);
        let tokens = header(dialect.tokens).and_then(|text| text.split(',').next()?.parse().ok());
        let parts = header(dialect.prompt_parts).map_or_else(Vec::new, shared_parts);
        let draw = node.state().rng.random();
        let service = route.target(draw).and_then(|name| catalog.service(name));
        let service = service.ok_or(Refusal::unconfigured())?.clone();
        let model = header(dialect.model).and_then(|text| text.parse().ok());
        let model = model.filter(|_| service.engine.is_some());
        let mut headers = cyclamen_relay::end_to_end(conn.request_headers());
        headers.remove_all([
            dialect.deadline_ms,
            dialect.instance,
            dialect.team,
            dialect.urgency,
        ]);
        headers.remove(KnownHeaderName::Authorization);
        let mut request = Self {
            node: node.clone(),
            id,
            team,
            model,
            parts: parts.into(),
            tokens: tokens.unwrap_or(0),
            method: conn.method(),
            path: conn.path_and_query().into(),
            headers,
            body: Vec::new(),
            arrived_at,
            deadline,
            tried: Vec::new(),
            may_have_run: false,
            failed_connects: 0,
            finished: false,
            fingerprint: OnceLock::new(),
            service,
            route,
        };
        node.state().in_progress += 1;
        request.body = match read_body(conn, catalog.limits().body_bytes).await {
            Ok(body) => body,
            Err(refusal) => return Err(request.record_refusal(refusal)),
        };
        let now = node.now();
        node.state()
            .retry_budget(&request.service.name)
            .record_first_attempt(now);
        Ok(request)
    }

    /// Returns the time left until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.since(self.node.now())
    }

    /// Chooses a worker and counts the request as in progress on it.
    pub(crate) fn choose(&mut self) -> Result<Dispatch, Refusal> {
        self.check_containment()?;
        let now = self.node.now();
        let mut guard = self.node.state();
        let state = &mut *guard;
        let waited = self.waited(now);
        let criteria = Criteria {
            service: &self.service.name,
            model: self.model.as_ref(),
            zone: &state.zone,
            domains: &state.cell.domains,
            exclude: &self.tried,
            goal: self.route.goal,
            remaining: self.deadline.since(now),
            late: waited >= self.route.goal,
            tokens: self.tokens,
            position: state.position(),
        };
        let chosen = state.dispatcher.choose(now, &criteria, &mut state.rng);
        chosen.map_err(|refusal| {
            log::info!(
                "event=not_dispatched id={} model={} reason={} workers={} least_wait_ms={} \
                 goal_ms={} late={} list_revision={} retry_after_ms={}",
                self.id,
                self.model.as_ref().map_or("none", |m| m.as_str()),
                refusal.reason.as_str(),
                refusal.workers,
                refusal.least_wait.unwrap_or_default().as_millis(),
                self.route.goal.as_millis(),
                waited >= self.route.goal,
                state.as_of(Table::Instances),
                refusal.retry_after.as_millis()
            );
            Refusal::retry_later(refusal.reason.as_str(), refusal.retry_after)
        })
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
    fn waited(&self, now: Time) -> Duration {
        now.since(self.arrived_at)
    }

    /// Returns whether the route's latency goal can no longer be met.
    pub(crate) fn is_late(&self) -> bool {
        self.waited(self.node.now()) >= self.route.goal
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

    /// Records a failed connection to a worker; returns whether another worker may be tried.
    pub(crate) fn record_failed_connect(&mut self, dispatch: &Dispatch) -> bool {
        self.tried.push(dispatch.target.instance.clone());
        self.failed_connects += 1;
        self.failed_connects < MAX_FAILED_CONNECTS && !self.remaining().is_zero()
    }

    /// Returns whether the request may be sent to another worker; if so, spends a retry of the
    /// service's budget.
    pub(crate) fn try_spend_retry(&mut self) -> bool {
        let attempts = self.tried.len() as u32 - self.failed_connects.min(self.tried.len() as u32);
        if attempts >= self.route.attempts || self.remaining().is_zero() {
            return false;
        }
        let now = self.node.now();
        let mut state = self.node.state();
        let entries = state.position().entries;
        let granted = state
            .retry_budget(&self.service.name)
            .try_spend(now, entries);
        drop(state);
        if granted {
            self.node.metrics.record_retry();
        } else {
            log::info!(
                "event=retry_denied id={} service={} entries={entries}",
                self.id,
                self.service.name
            );
        }
        granted
    }

    /// Returns whether the request may be retried although it may have run.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.route.repeat != Repeat::Never
    }

    /// Logs and counts the end of the request; only the first call has an effect.
    pub(crate) fn finish(
        &mut self,
        outcome: &'static str,
        status: u16,
        dispatch: Option<&Dispatch>,
    ) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        let now = self.node.now();
        let elapsed = now.since(self.arrived_at);
        let mut state = self.node.state();
        state.in_progress = state.in_progress.saturating_sub(1);
        let version = state.catalog.version();
        let age = state.table_age(now, Table::Operators);
        drop(state);
        let service = self.service.name.as_str();
        self.node.metrics.record_request(service, outcome, elapsed);
        let worker = dispatch.map_or("none", |dispatch| dispatch.target.instance.as_str());
        let running = dispatch.map_or(0, |dispatch| dispatch.running);
        log::info!(
            "event=request id={} route={} service={service} outcome={outcome} status={status} \
             instance={worker} running={running} tried={} took_ms={} version={version} age_ms={}",
            self.id,
            self.route.name,
            self.tried.len(),
            elapsed.as_millis(),
            age.as_millis()
        );
    }

    /// Logs and counts a refusal. If the request may have run, the refusal loses its retry delay,
    /// which would imply that the request did not run.
    pub(crate) fn record_refusal(&mut self, refusal: Refusal) -> Refusal {
        let refusal = if self.may_have_run && refusal.retry_after.is_some() {
            Refusal::failed(refusal.reason)
        } else {
            refusal
        };
        self.finish(refusal.reason, refusal.status, None);
        refusal
    }

    pub(crate) fn service_name(&self) -> &pool::Service {
        &self.service.name
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.finish("caller_gone", 0, None);
    }
}

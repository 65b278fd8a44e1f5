//! A caller's request and its progress.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use cyclamen_dispatch::{Criteria, Dispatch};
use cyclamen_types::instance;
use rand::Rng;
use trillium::{Conn, KnownHeaderName};

use crate::frontend::call::Call;
use crate::frontend::check::{Checked, check, read_body, record_refused_head};
use crate::frontend::containment::shared_parts;
use crate::frontend::refusal::Refusal;
use crate::node::Node;
use crate::platform::Table;

/// Number of failed connections to workers at which a request is refused.
const MAX_FAILED_CONNECTS: u32 = 3;

/// A caller's request and its progress.
pub(crate) struct Request {
    pub(crate) call: Arc<Call>,
    /// Workers that were chosen for the request.
    pub(crate) tried: Vec<instance::Id>,
    /// Whether a worker may have run the request.
    pub(crate) may_have_run: bool,
    failed_connects: u32,
    finished: bool,
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
        let call = Call {
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
            fingerprint: OnceLock::new(),
            service,
            route,
        };
        let mut request = Self::new(call);
        match read_body(conn, catalog.limits().body_bytes).await {
            Ok(body) => Arc::make_mut(&mut request.call).body = body,
            Err(refusal) => return Err(request.record_refusal(refusal)),
        }
        let now = node.now();
        node.state()
            .retry_budget(request.call.service_name())
            .record_first_attempt(now);
        Ok(request)
    }

    /// Creates a request that no worker has received, and counts it as in progress.
    fn new(call: Call) -> Self {
        call.node.state().in_progress += 1;
        Self {
            call: Arc::new(call),
            tried: Vec::new(),
            may_have_run: false,
            failed_connects: 0,
            finished: false,
        }
    }

    /// Chooses a worker and counts the request as in progress on it.
    pub(crate) fn choose(&mut self) -> Result<Dispatch, Refusal> {
        let call = &self.call;
        call.check_containment()?;
        let now = call.node.now();
        let mut guard = call.node.state();
        let state = &mut *guard;
        let is_late = call.waited(now) >= call.route.goal;
        let criteria = Criteria {
            service: &call.service.name,
            model: call.model.as_ref(),
            zone: &state.zone,
            domains: &state.cell.domains,
            exclude: &self.tried,
            goal: call.route.goal,
            remaining: call.deadline.since(now),
            late: is_late,
            tokens: call.tokens,
            position: state.position(),
        };
        let chosen = state.dispatcher.choose(now, &criteria, &mut state.rng);
        let dispatch = chosen.map_err(|refusal| {
            log::info!(
                "event=not_dispatched id={} model={} reason={} workers={} least_wait_ms={} \
                 goal_ms={} late={is_late} list_revision={} retry_after_ms={}",
                call.id,
                call.model.as_ref().map_or("none", |m| m.as_str()),
                refusal.reason.as_str(),
                refusal.workers,
                refusal.least_wait.unwrap_or_default().as_millis(),
                call.route.goal.as_millis(),
                state.as_of(Table::Instances),
                refusal.retry_after.as_millis()
            );
            Refusal::retry_later(refusal.reason.as_str(), refusal.retry_after)
        })?;
        drop(guard);
        self.tried.push(dispatch.target.instance.clone());
        Ok(dispatch)
    }

    /// Records a failed connection to a worker; returns whether another worker may be tried.
    pub(crate) fn record_failed_connect(&mut self) -> bool {
        self.failed_connects += 1;
        self.may_connect_again()
    }

    /// Returns whether the request may be sent to another worker after failed connections.
    pub(crate) fn may_connect_again(&self) -> bool {
        self.failed_connects < MAX_FAILED_CONNECTS && !self.call.remaining().is_zero()
    }

    /// Returns whether the request may be sent to another worker; if so, spends a retry of the
    /// service's budget.
    pub(crate) fn try_spend_retry(&mut self) -> bool {
        let granted = self.try_reserve_retry();
        if granted {
            self.call.node.metrics.record_retry();
        }
        granted
    }

    /// Does the same, but does not count the retry, which may be returned.
    pub(crate) fn try_reserve_retry(&mut self) -> bool {
        let call = &self.call;
        let attempts = (self.tried.len() as u32).saturating_sub(self.failed_connects);
        if attempts >= call.route.attempts || call.remaining().is_zero() {
            return false;
        }
        let now = call.node.now();
        let mut state = call.node.state();
        let entries = state.position().entries;
        let granted = state
            .retry_budget(call.service_name())
            .try_spend(now, entries);
        drop(state);
        if !granted {
            log::info!(
                "event=retry_denied id={} service={} entries={entries}",
                call.id,
                call.service.name
            );
        }
        granted
    }

    /// Returns a reserved retry with which the request was not sent.
    pub(crate) fn return_retry(&mut self) {
        let call = &self.call;
        let mut state = call.node.state();
        state.retry_budget(call.service_name()).put_back();
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
        let call = &self.call;
        let now = call.node.now();
        let elapsed = now.since(call.arrived_at);
        let mut state = call.node.state();
        state.in_progress = state.in_progress.saturating_sub(1);
        let version = state.catalog.version();
        let age = state.table_age(now, Table::Operators);
        drop(state);
        let service = call.service.name.as_str();
        call.node.metrics.record_request(service, outcome, elapsed);
        let worker = dispatch.map_or("none", |dispatch| dispatch.target.instance.as_str());
        let running = dispatch.map_or(0, |dispatch| dispatch.running);
        log::info!(
            "event=request id={} route={} service={service} outcome={outcome} status={status} \
             instance={worker} running={running} tried={} took_ms={} version={version} age_ms={}",
            call.id,
            call.route.name,
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
}

impl Drop for Request {
    fn drop(&mut self) {
        self.finish("caller_gone", 0, None);
    }
}

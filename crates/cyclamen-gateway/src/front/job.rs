//! A caller's request, checked and read.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use cyclamen_directory::route::Repeat;
use cyclamen_directory::service::Service;
use cyclamen_directory::{Route, Team};
use cyclamen_dispatch::{Criteria, Dispatch, Outcome};
use cyclamen_route::containment::{Decision, Fingerprint};
use cyclamen_types::{Time, instance, model, pool};
use rand::Rng;
use trillium::{Conn, Headers, KnownHeaderName, Method};

use crate::edge::Table;
use crate::front::check::{Checked, check, log_refused, read_body};
use crate::front::refusal::Refusal;
use crate::node::Node;
use crate::tasks;

/// Connections to other workers that a request tries after one could not be made.
const CONNECT_TRIES: u32 = 3;

/// A caller's request.
pub(crate) struct Job {
    pub(crate) node: Arc<Node>,
    pub(crate) id: Arc<str>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    pub(crate) team: Option<Arc<Team>>,
    pub(crate) model: Option<model::Name>,
    /// Tokens of the prompt.
    pub(crate) tokens: u64,
    pub(crate) method: Method,
    pub(crate) path: Arc<str>,
    /// The caller's headers without those that the system sets.
    pub(crate) headers: Headers,
    pub(crate) body: Vec<u8>,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    /// Workers that the request was sent to.
    pub(crate) tried: Vec<instance::Id>,
    /// Whether a worker may have run the request.
    pub(crate) may_have_run: bool,
    unconnected: u32,
    ended: bool,
    fingerprint: OnceLock<Fingerprint>,
}

impl Job {
    /// Checks a request and reads its body.
    pub(crate) async fn read(node: &Arc<Node>, conn: &mut Conn) -> Result<Self, Refusal> {
        let arrived = node.now();
        let catalog = node.state().catalog.clone();
        let checked = check(node, &catalog, conn);
        let Checked { id, route, team } =
            checked.inspect_err(|refusal| log_refused(node, conn, *refusal))?;
        let dialect = node.platform.dialect();
        let header = |name: &'static str| conn.request_headers().get_str(name);
        let asked = header(dialect.deadline_ms).and_then(|text| text.parse::<u64>().ok());
        let asked = asked.map_or(route.timeout, Duration::from_millis);
        let deadline = arrived + asked.min(route.timeout);
        let tokens = header(dialect.tokens).and_then(|text| text.split(',').next()?.parse().ok());
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
        let mut job = Self {
            node: node.clone(),
            id,
            team,
            model,
            tokens: tokens.unwrap_or(0),
            method: conn.method(),
            path: conn.path_and_query().into(),
            headers,
            body: Vec::new(),
            arrived,
            deadline,
            tried: Vec::new(),
            may_have_run: false,
            unconnected: 0,
            ended: false,
            fingerprint: OnceLock::new(),
            service,
            route,
        };
        node.state().in_progress += 1;
        job.body = match read_body(conn, catalog.limits().body_bytes).await {
            Ok(body) => body,
            Err(refusal) => return Err(job.refused(refusal)),
        };
        let now = node.now();
        node.state()
            .retry_budget(&job.service.name)
            .record_first_attempt(now);
        Ok(job)
    }

    /// The time left until the deadline.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.since(self.node.now())
    }

    /// Chooses a worker and counts the request on it.
    pub(crate) fn choose(&mut self) -> Result<Dispatch, Refusal> {
        self.judge()?;
        let now = self.node.now();
        let mut guard = self.node.state();
        let state = &mut *guard;
        let waited = self.waited(now);
        let want = Criteria {
            service: &self.service.name,
            model: self.model.as_ref(),
            zone: &state.zone,
            domains: &state.cell.domains,
            exclude: &self.tried,
            goal: self.route.goal,
            remaining: self.deadline.since(now),
            late: waited >= self.route.goal,
            tokens: self.tokens,
            share: state.share(),
        };
        let chosen = state.dispatcher.choose(now, &want, &mut state.rng);
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
            Refusal::not_now(refusal.reason.as_str(), refusal.retry_after)
        })
    }

    /// Refuses a request that crashes the workers that run it.
    fn judge(&self) -> Result<(), Refusal> {
        if self.node.state().strikes.is_empty() {
            return Ok(());
        }
        let fingerprint = self.fingerprint();
        let now = self.node.now();
        let state = self.node.state();
        if state.strikes.decide(now, fingerprint) != Decision::Refuse {
            return Ok(());
        }
        let lasts = state.strikes.expires_in(now, fingerprint);
        log::warn!(
            "event=request_contained id={} fingerprint={fingerprint} lasts_ms={}",
            self.id,
            lasts.as_millis()
        );
        Err(Refusal::not_now("crashes_workers", lasts))
    }

    /// The identity of the request by its content, whatever its id.
    fn fingerprint(&self) -> &Fingerprint {
        self.fingerprint.get_or_init(|| {
            let team = self.team.as_ref().map_or("", |team| team.name.as_str());
            Fingerprint::of_parts([
                self.route.name.as_str().as_bytes(),
                self.method.as_str().as_bytes(),
                self.path.as_bytes(),
                team.as_bytes(),
                &self.body,
            ])
        })
    }

    /// Takes note that a worker closed the connection before it answered; it may have crashed.
    pub(crate) fn cut_off(&self, sent: &Dispatch) {
        tasks::confirm_crash(&self.node, &sent.target, &self.id, self.fingerprint());
    }

    /// Takes note that a worker answered the request whole, so that it crashes none.
    pub(crate) fn answered_whole(&self) {
        let mut state = self.node.state();
        if !state.strikes.is_empty() {
            state.strikes.record_completion(self.fingerprint());
        }
    }

    /// The rank of the request; the team's goes before the route's.
    pub(crate) fn priority(&self) -> u8 {
        let team = self.team.as_ref().and_then(|team| team.priority);
        team.unwrap_or(self.route.priority).0
    }

    /// The time for which the caller has waited for this request.
    ///
    /// Earlier tries of the caller are not known: its deadline does not tell them, since
    /// callers choose their deadlines.
    fn waited(&self, now: Time) -> Duration {
        now.since(self.arrived)
    }

    /// Whether the answer comes later than the route's goal in any case.
    pub(crate) fn is_late(&self) -> bool {
        self.waited(self.node.now()) >= self.route.goal
    }

    /// Takes note that the request begins to be answered.
    pub(crate) fn started(&self, sent: &Dispatch) {
        self.node.state().dispatcher.record_started(sent);
    }

    /// Takes note of how the request ended on a worker; `started` if it was being answered.
    pub(crate) fn release(&self, sent: &Dispatch, end: Outcome, started: bool) {
        let now = self.node.now();
        self.node
            .state()
            .dispatcher
            .record_outcome(now, sent, end, started);
    }

    /// Takes note that no connection to a worker was made; whether another may be tried.
    pub(crate) fn not_connected(&mut self, sent: &Dispatch) -> bool {
        self.tried.push(sent.target.instance.clone());
        self.unconnected += 1;
        self.unconnected < CONNECT_TRIES && !self.left().is_zero()
    }

    /// Whether the request may be sent to one more worker; spends a retry if so.
    pub(crate) fn may_retry(&mut self) -> bool {
        let sends = self.tried.len() as u32 - self.unconnected.min(self.tried.len() as u32);
        if sends >= self.route.attempts || self.left().is_zero() {
            return false;
        }
        let now = self.node.now();
        let mut state = self.node.state();
        let entries = state.share().entries;
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

    /// Whether the request may be sent again after it may have run.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.route.repeat != Repeat::Never
    }

    /// Logs and counts the end of the request.
    pub(crate) fn end(&mut self, outcome: &'static str, status: u16, instance: Option<&Dispatch>) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.node.now();
        let took = now.since(self.arrived);
        let mut state = self.node.state();
        state.in_progress = state.in_progress.saturating_sub(1);
        let version = state.catalog.version();
        drop(state);
        let service = self.service.name.as_str();
        self.node.metrics.record_request(service, outcome, took);
        let worker = instance.map_or("none", |sent| sent.target.instance.as_str());
        let running = instance.map_or(0, |sent| sent.running);
        log::info!(
            "event=request id={} route={} service={service} outcome={outcome} status={status} \
             instance={worker} running={running} tried={} took_ms={} version={version}",
            self.id,
            self.route.name,
            self.tried.len(),
            took.as_millis()
        );
    }

    /// Logs and counts a refusal, which does not say "not run" if that is not certain.
    pub(crate) fn refused(&mut self, refusal: Refusal) -> Refusal {
        let refusal = if self.may_have_run && refusal.retry_after.is_some() {
            Refusal::failed(refusal.reason)
        } else {
            refusal
        };
        self.end(refusal.reason, refusal.status, None);
        refusal
    }

    /// The service's name.
    pub(crate) fn service_name(&self) -> &pool::Service {
        &self.service.name
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        self.end("caller_gone", 0, None);
    }
}

//! A caller's request and its progress.

mod choice;
mod drain;
mod retries;

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use cyclamen_relay::intake::Upload;
use cyclamen_types::{entry, instance};
use rand::Rng;
use trillium::{Conn, KnownHeaderName};

use crate::frontend::body::read_body;
use crate::frontend::call::{Call, Prompt};
use crate::frontend::check::{Checked, check, record_refused_head};
use crate::frontend::containment::Stage;
use crate::frontend::refusal::Refusal;
use crate::frontend::way::Way;
use crate::handover::INTERNAL_HEADERS;
use crate::node::Node;
use crate::platform::Table;

/// The outcome of requests that reached their deadline.
pub(crate) const DEADLINE: &str = "deadline";
/// The outcome of requests that got a worker's response.
pub(crate) const ANSWERED: &str = "answered";

/// A caller's request and its progress.
pub(crate) struct Request {
    pub(crate) call: Arc<Call>,
    /// Workers that were chosen for the request by this entry.
    pub(crate) tried: Vec<instance::Id>,
    /// Workers that received the request from this entry and did not run it.
    shed: Vec<instance::Id>,
    /// Workers that the entry that handed the request over chose, which get it only if there is no
    /// other: that entry may have lost its path to them.
    pub(super) avoided: Vec<instance::Id>,
    /// Entries to which the request was handed over.
    tried_entries: Vec<entry::Name>,
    /// Whether a worker may have run the request.
    pub(crate) may_have_run: bool,
    /// The number of times that a worker received the request, or may have.
    sent: u32,
    /// How many of these times no worker ran it, by this entry or another one.
    not_run: u32,
    failed_connects: u32,
    pub(super) stage: Stage,
    finished: bool,
    /// What the head and the body take of the memory that requests share.
    memory: Upload,
}

impl Request {
    /// Checks a request and reads its body.
    pub(crate) async fn read(node: &Arc<Node>, conn: &mut Conn) -> Result<Self, Refusal> {
        let arrived_at = node.now();
        let catalog = node.state().catalog.clone();
        let checked = check(node, &catalog, conn);
        let Checked {
            id,
            route,
            team,
            target,
        } = checked.inspect_err(|refusal| record_refused_head(node, conn, *refusal))?;
        let dialect = node.platform.dialect();
        let requested = conn.request_headers().get_str(dialect.deadline_ms);
        let requested = requested.and_then(|text| text.parse::<u64>().ok());
        let requested = requested.map_or(route.timeout, Duration::from_millis);
        let deadline = arrived_at + requested.min(route.timeout);
        let draw = node.state().rng.random();
        let service = route.target(draw).and_then(|name| catalog.service(name));
        let service = service.ok_or(Refusal::unconfigured())?.clone();
        let prompt = Prompt::read(dialect, conn.request_headers(), &service);
        if let Some(model) = &prompt.model {
            let mut state = node.state();
            state.record_demand(
                arrived_at,
                &service,
                model,
                prompt.tokens,
                prompt.answer_tokens,
            );
        }
        let mut headers = cyclamen_relay::end_to_end(conn.request_headers());
        headers.remove_all([
            dialect.deadline_ms,
            dialect.instance,
            dialect.team,
            dialect.urgency,
        ]);
        headers.remove(KnownHeaderName::Authorization);
        headers.remove_all(INTERNAL_HEADERS);
        let call = Call {
            node: node.clone(),
            id,
            team,
            model: prompt.model,
            parts: prompt.parts,
            tokens: prompt.tokens,
            method: conn.method(),
            target,
            headers,
            body: Arc::default(),
            arrived_at,
            deadline,
            sender: None,
            fingerprint: OnceLock::new(),
            service,
            route,
        };
        let mut request = Self::new(call);
        request
            .check_drain()
            .map_err(|refusal| request.record_refusal(refusal))?;
        request.read_body(conn, catalog.limits().body_bytes).await?;
        let now = node.now();
        node.state()
            .retry_budget(request.call.service_name())
            .record_first_attempt(now);
        Ok(request)
    }

    /// Reads the body, of `limit` bytes at most.
    pub(super) async fn read_body(&mut self, conn: &mut Conn, limit: u64) -> Result<(), Refusal> {
        let node = self.call.node.clone();
        let reading = read_body(&node, conn, limit, &mut self.memory);
        match node.abortion.or_aborted(reading).await {
            Some(Ok(body)) => Arc::make_mut(&mut self.call).body = body,
            Some(Err(refusal)) => return Err(self.record_refusal(refusal)),
            None => return Err(self.record_abortion()),
        }
        Ok(())
    }

    /// Creates a request that no worker has received, and counts it as in progress.
    pub(super) fn new(call: Call) -> Self {
        call.node.state().in_progress += 1;
        Self {
            memory: call.node.request_memory.upload(call.node.now()),
            call: Arc::new(call),
            tried: Vec::new(),
            shed: Vec::new(),
            avoided: Vec::new(),
            tried_entries: Vec::new(),
            may_have_run: false,
            sent: 0,
            not_run: 0,
            failed_connects: 0,
            stage: Stage::default(),
            finished: false,
        }
    }

    /// Logs and counts the end of the request; only the first call has an effect.
    pub(crate) fn finish(&mut self, outcome: &'static str, status: u16, way: Option<&Way>) {
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
        let drain_ms = state.drain_ms(now);
        // Quick failures tell nothing of how long requests last; those that reach their deadline do.
        let is_served = outcome == ANSWERED && status < 400;
        if is_served || outcome == DEADLINE {
            state.durations.record(now, &call.route.name, elapsed);
        }
        drop(state);
        let service = call.service.name.as_str();
        let dispatch = way.and_then(Way::dispatch);
        let worker = dispatch.map_or("none", |dispatch| dispatch.target.instance.as_str());
        if let Some(sender) = &call.sender {
            call.node.metrics.record_served_handover(outcome);
            log::info!(
                "event=handover_ended id={} from={sender} service={service} outcome={outcome} \
                 status={status} instance={worker} tried={} took_ms={} drain_ms={drain_ms}",
                call.id,
                self.tried.len(),
                elapsed.as_millis()
            );
            return;
        }
        call.node.metrics.record_request(service, outcome, elapsed);
        let running = dispatch.map_or(0, |dispatch| dispatch.running);
        let entry = self.tried_entries.last();
        log::info!(
            "event=request id={} route={} service={service} outcome={outcome} status={status} \
             instance={worker} running={running} tried={} took_ms={} version={version} age_ms={} \
             peer={} drain_ms={drain_ms}",
            call.id,
            call.route.name,
            self.tried.len(),
            elapsed.as_millis(),
            age.as_millis(),
            entry.map_or("none", |entry| entry.as_str())
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
        let call = &self.call;
        if let (Some(model), None, false) = (&call.model, &call.sender, self.finished) {
            let mut state = call.node.state();
            state.record_refused_demand(call.node.now(), &call.service, model);
        }
        self.finish(refusal.reason, refusal.status, None);
        refusal
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.finish("caller_gone", 0, None);
    }
}

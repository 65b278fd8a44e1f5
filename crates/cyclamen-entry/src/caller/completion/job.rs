//! A request for a completion, run by one group or several in turn.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_domain::Ending;
use cyclamen_endpoint::{Chunk, NOT_RUN, OUTCOME_HEADER, OpenError, Stream, StreamError, Target};
use cyclamen_http::Response;
use cyclamen_route::containment::{Answer, Crash, Decision, Fingerprint, Part, Strike};
use cyclamen_tables::Route;
use cyclamen_types::Time;
use serde_json::Value;

use crate::caller::drain;
use crate::caller::guard::Guard;
use crate::caller::refusal::{Outcome, Refusal};
use crate::caller::retry;
use crate::node::{Admitted, Node, Request};
use crate::tasks;
use crate::telemetry::Span;

/// A request for a completion.
pub(super) struct Job {
    pub(super) node: Arc<Node>,
    pub(super) id: Arc<str>,
    pub(super) route: Route,
    pub(super) body: Value,
    pub(super) request: Request,
    pub(super) fingerprint: Fingerprint,
    /// The parts of the prompt that other requests may share.
    pub(super) parts: Arc<[Part]>,
    pub(super) retry: retry::State,
    pub(super) span: Span,
    pub(super) started_at: Time,
    /// Number of tokens received so far.
    pub(super) position: u64,
    pub(super) upstream: Option<Upstream>,
    pub(super) _guard: Guard,
}

/// The stream from the group that currently runs the request.
pub(super) struct Upstream {
    admitted: Admitted,
    pub(super) stream: Stream,
    span: Span,
    first_byte: Option<Duration>,
}

impl Job {
    /// Returns the next chunk of the response; resumes on another group if one fails.
    pub(super) async fn next(&mut self) -> Result<Chunk, Refusal> {
        loop {
            let mut upstream = match self.upstream.take() {
                Some(upstream) => upstream,
                None => Box::pin(self.connect()).await?,
            };
            match upstream.stream.next().await {
                Ok(chunk) => return Ok(self.accept(upstream, chunk)),
                Err(StreamError::Silent) => {
                    if let Some((upstream, chunk)) = self.outlast(upstream).await? {
                        return Ok(self.accept(upstream, chunk));
                    }
                }
                Err(cause) => self.handle_break(upstream, cause).await?,
            }
        }
    }

    /// Records a chunk, and keeps its stream unless the chunk is the last one.
    fn accept(&mut self, mut upstream: Upstream, chunk: Chunk) -> Chunk {
        if chunk == Chunk::End {
            let first_byte = upstream.first_byte.unwrap_or_default();
            upstream.admitted.end(Ending::Complete(first_byte));
            self.record_answer();
            drain::record_duration(&self.node, &self.route, self.started_at);
        } else {
            self.position = upstream.stream.position();
            self.record_first_byte(&mut upstream);
            self.upstream = Some(upstream);
        }
        chunk
    }

    /// Records that the request was answered, which clears the parts of its prompt.
    fn record_answer(&self) {
        let answers = self.parts.iter().map(Answer::now);
        let now = self.node.now();
        self.node.state().strikes.record_answers(now, answers);
    }

    fn record_first_byte(&self, upstream: &mut Upstream) {
        if upstream.first_byte.is_none() {
            let now = self.node.now();
            upstream.first_byte = Some(now.since(upstream.admitted.granted_at));
            if self.position <= 1 {
                let wait = now.since(self.started_at);
                self.node
                    .metrics
                    .record_first_byte(self.route.name.as_str(), wait);
            }
        }
    }

    /// Admits and sends the request, with retries, until a group starts to respond.
    pub(super) async fn connect(&mut self) -> Result<Upstream, Refusal> {
        if self.position > 0 {
            self.request.deadline = self.node.now() + self.route.deadline();
        }
        loop {
            self.check_containment()?;
            let admission = self
                .node
                .admit(&self.request, &mut self.retry.tried, &self.span);
            let admitted = admission
                .await
                .map_err(|r| self.retry.admission_refusal(r))?;
            if !admitted.may_start(self.node.now()) {
                self.retry.record_retry(&self.node)?;
                continue;
            }
            if !self.retry.may_run {
                drain::check_waiting(&self.node, &self.route)?;
            }
            if let Some(upstream) = Box::pin(self.open(admitted)).await? {
                return Ok(upstream);
            }
        }
    }

    /// Refuses a request that has crashed too many groups, and marks one that has crashed any as
    /// a suspect.
    fn check_containment(&mut self) -> Result<(), Refusal> {
        let decision =
            self.node
                .state()
                .strikes
                .decide(self.node.now(), &self.fingerprint, &self.parts);
        match decision {
            Decision::Allow => self.request.suspect = false,
            Decision::Isolate => self.request.suspect = true,
            Decision::Refuse => {
                let message = "this request crashes the endpoints that run it";
                return Err(Refusal {
                    status: 422,
                    ..Refusal::failed("harmful_request", message, None)
                });
            }
        }
        Ok(())
    }

    /// Sends the request to a group; returns `None` if another group should be tried.
    async fn open(&mut self, mut admitted: Admitted) -> Result<Option<Upstream>, Refusal> {
        let span = self.span.child("endpoint");
        span.set_attribute("group", &admitted.grant.group);
        let target = Target {
            address: admitted.grant.address,
            group: admitted.grant.group.clone(),
            fence: admitted.grant.fence,
        };
        let traceparent = span.traceparent();
        let client = &self.node.workers;
        let head_timeout = self.route.deadline();
        let body = &self.body;
        let opening = Box::pin(client.open_stream(
            &target,
            &self.id,
            &traceparent,
            body,
            self.position,
            head_timeout,
        ));
        let was_run = std::mem::replace(&mut self.retry.may_run, true);
        match opening.await {
            Ok(stream) => {
                self.retry.sent = true;
                Ok(Some(Upstream {
                    admitted,
                    stream,
                    span,
                    first_byte: None,
                }))
            }
            Err(OpenError::Response(response)) => {
                self.retry.may_run = was_run || !says_not_run(&response);
                self.handle_response(&response)?;
                Ok(None)
            }
            Err(OpenError::Error(error)) => {
                span.set_error(&error);
                admitted.end(Ending::Failed);
                let may_run = !matches!(error, cyclamen_http::Error::NotSent);
                self.retry.sent |= may_run;
                self.retry.may_run = was_run || may_run;
                if matches!(error, cyclamen_http::Error::Closed) {
                    self.record_strike(&admitted).await;
                }
                self.retry.record_retry(&self.node)?;
                Ok(None)
            }
        }
    }

    /// Passes an engine's refusal on to the caller, or retries if another group may succeed.
    fn handle_response(&mut self, response: &Response) -> Result<(), Refusal> {
        let not_run = says_not_run(response);
        if (400..500).contains(&response.status) && !not_run {
            let message = String::from_utf8_lossy(&response.body);
            return Err(Refusal {
                status: response.status,
                outcome: Outcome::Failed,
                ..Refusal::invalid(response.status, "endpoint_refused", &*message)
            });
        }
        self.retry.sent |= !not_run;
        self.retry.record_retry(&self.node)
    }

    /// Records a broken stream, so that another group resumes it at its last position.
    pub(super) async fn handle_break(
        &mut self,
        upstream: Upstream,
        cause: StreamError,
    ) -> Result<(), Refusal> {
        self.give_up(upstream, cause).await;
        self.retry.record_retry(&self.node)?;
        self.node.metrics.record_resumed_stream();
        Ok(())
    }

    /// Ends a stream that broke or that another group has resumed.
    pub(super) async fn give_up(&self, mut upstream: Upstream, cause: StreamError) {
        log::warn!(
            "event=stream_broken id={} group={} position={} cause={cause:?}",
            self.id,
            upstream.admitted.grant.group,
            self.position
        );
        upstream.span.set_error(&"the stream broke");
        upstream.admitted.end(Ending::Failed);
        if cause == StreamError::Closed {
            self.record_strike(&upstream.admitted).await;
        }
    }

    /// Records a crash against the request, and sends it to the other entries before the
    /// request ends, as its caller may repeat it through any of them.
    async fn record_strike(&self, admitted: &Admitted) {
        let strike = Strike {
            fingerprint: self.fingerprint.clone(),
            crash: Crash {
                domain: admitted.domain.clone(),
                group: admitted.grant.group.clone(),
                fence: admitted.grant.fence,
            },
            parts: self.parts.clone(),
        };
        let now = self.node.now();
        let is_new = self.node.state().strikes.record(now, strike);
        if is_new {
            tasks::broadcast_and_wait(&self.node).await;
        }
    }
}

fn says_not_run(response: &Response) -> bool {
    response.headers.get_str(OUTCOME_HEADER) == Some(NOT_RUN)
}

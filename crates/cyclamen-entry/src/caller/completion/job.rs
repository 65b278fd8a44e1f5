//! One request for a completion, on its way through one group or more.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_domain::Ending;
use cyclamen_endpoint::{Chunk, NOT_RUN, OUTCOME_HEADER, OpenError, Stream, StreamError, Target};
use cyclamen_http::Response;
use cyclamen_route::containment::{Crash, Decision, Fingerprint, Strike};
use cyclamen_tables::Route;
use cyclamen_types::Time;
use serde_json::Value;

use crate::caller::guard::Guard;
use crate::caller::refusal::{Outcome, Refusal};
use crate::caller::retry::Trail;
use crate::node::{Admitted, Node, Request};
use crate::tasks;
use crate::telemetry::Hop;

/// One request for a completion.
pub(super) struct Job {
    pub(super) node: Arc<Node>,
    pub(super) id: Arc<str>,
    pub(super) route: Route,
    pub(super) body: Value,
    pub(super) request: Request,
    pub(super) fingerprint: Fingerprint,
    pub(super) trail: Trail,
    pub(super) hop: Hop,
    pub(super) began: Time,
    /// Tokens that have been read.
    pub(super) position: u64,
    pub(super) open: Option<Open>,
    pub(super) _guard: Guard,
}

/// The stream of the group that runs the request at present.
pub(super) struct Open {
    admitted: Admitted,
    stream: Stream,
    hop: Hop,
    first_byte: Option<Duration>,
}

impl Job {
    /// The next chunk of the answer, from another group if one fails.
    pub(super) async fn next(&mut self) -> Result<Chunk, Refusal> {
        loop {
            let mut open = match self.open.take() {
                Some(open) => open,
                None => Box::pin(self.connect()).await?,
            };
            match open.stream.next().await {
                Ok(Chunk::End) => {
                    let first = open.first_byte.unwrap_or_default();
                    open.admitted.end(Ending::Complete(first));
                    return Ok(Chunk::End);
                }
                Ok(part) => {
                    self.position = open.stream.position();
                    self.note_first(&mut open);
                    self.open = Some(open);
                    return Ok(part);
                }
                Err(cause) => self.broke(open, cause).await?,
            }
        }
    }

    fn note_first(&self, open: &mut Open) {
        if open.first_byte.is_none() {
            let now = self.node.now();
            open.first_byte = Some(now.since(open.admitted.at));
            if self.position <= 1 {
                let wait = now.since(self.began);
                self.node.metrics.first_byte(self.route.name.as_str(), wait);
            }
        }
    }

    /// Has the request admitted and sent until a group begins to answer.
    async fn connect(&mut self) -> Result<Open, Refusal> {
        if self.position > 0 {
            self.request.deadline = self.node.now() + self.route.deadline();
        }
        loop {
            self.judge()?;
            let admission = self
                .node
                .admit(&self.request, &mut self.trail.tried, &self.hop);
            let admitted = admission.await.map_err(|r| self.trail.not_admitted(r))?;
            if !admitted.may_start(self.node.now()) {
                self.trail.again(&self.node)?;
                continue;
            }
            if let Some(open) = self.open(admitted).await? {
                return Ok(open);
            }
        }
    }

    /// Refuses a request that has taken down too many groups.
    fn judge(&mut self) -> Result<(), Refusal> {
        let verdict = self
            .node
            .state()
            .suspects
            .decide(self.node.now(), &self.fingerprint);
        match verdict {
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

    /// Sends the request to a group; nothing if another should be tried.
    async fn open(&mut self, mut admitted: Admitted) -> Result<Option<Open>, Refusal> {
        let hop = self.hop.child("endpoint");
        hop.note("group", &admitted.grant.group);
        let target = Target {
            address: admitted.grant.address,
            group: admitted.grant.group.clone(),
            fence: admitted.grant.fence,
        };
        let traceparent = hop.traceparent();
        let client = &self.node.workers;
        let head_timeout = self.route.deadline();
        let body = &self.body;
        let opening = client.open_stream(
            &target,
            &self.id,
            &traceparent,
            body,
            self.position,
            head_timeout,
        );
        match opening.await {
            Ok(stream) => {
                self.trail.sent = true;
                Ok(Some(Open {
                    admitted,
                    stream,
                    hop,
                    first_byte: None,
                }))
            }
            Err(OpenError::Response(reply)) => {
                self.replied(&reply)?;
                Ok(None)
            }
            Err(OpenError::Error(error)) => {
                hop.fail(&error);
                admitted.end(Ending::Failed);
                self.trail.sent |= !matches!(error, cyclamen_http::Error::NotSent);
                if matches!(error, cyclamen_http::Error::Closed) {
                    self.strike(&admitted).await;
                }
                self.trail.again(&self.node)?;
                Ok(None)
            }
        }
    }

    /// Passes an engine's refusal on, unless another group may do better.
    fn replied(&mut self, reply: &Response) -> Result<(), Refusal> {
        let not_run = reply.headers.get_str(OUTCOME_HEADER) == Some(NOT_RUN);
        if (400..500).contains(&reply.status) && !not_run {
            let message = String::from_utf8_lossy(&reply.body);
            return Err(Refusal {
                status: reply.status,
                outcome: Outcome::Failed,
                ..Refusal::invalid(reply.status, "endpoint_refused", &*message)
            });
        }
        self.trail.sent |= !not_run;
        self.trail.again(&self.node)
    }

    /// Takes note of a broken stream; another group goes on where it ended.
    async fn broke(&mut self, mut open: Open, cause: StreamError) -> Result<(), Refusal> {
        log::warn!(
            "event=stream_broken id={} group={} position={} cause={cause:?}",
            self.id,
            open.admitted.grant.group,
            self.position
        );
        open.hop.fail(&"the stream broke");
        open.admitted.end(Ending::Failed);
        if cause == StreamError::Closed {
            self.strike(&open.admitted).await;
        }
        drop(open);
        self.trail.again(&self.node)?;
        self.node.metrics.resumed();
        Ok(())
    }

    /// Counts a crash against the request, and tells the other entries before the
    /// request ends: its caller may repeat it through any of them.
    async fn strike(&self, admitted: &Admitted) {
        let strike = Strike {
            fingerprint: self.fingerprint.clone(),
            crash: Crash {
                domain: admitted.domain.clone(),
                group: admitted.grant.group.clone(),
                fence: admitted.grant.fence,
            },
        };
        let now = self.node.now();
        let news = self.node.state().suspects.record(now, strike);
        if news {
            tasks::tell_all_now(&self.node).await;
        }
    }
}

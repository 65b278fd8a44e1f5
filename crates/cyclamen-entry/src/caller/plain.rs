//! Calls of plain services, some of which must not be repeated.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_claim::Answer;
use cyclamen_domain::Ending;
use cyclamen_endpoint::{NOT_RUN, OUTCOME_HEADER, REQUEST_ID_HEADER};
use cyclamen_http::{Error, Forward, Response, Target};
use cyclamen_tables::Route;
use cyclamen_tables::routes::Repeat;
use cyclamen_types::team;
use trillium::{Conn, Headers, KnownHeaderName, Method};

use crate::caller::claim;
use crate::caller::drain;
use crate::caller::guard::Guard;
use crate::caller::refusal::Refusal;
use crate::caller::request;
use crate::caller::retry;
use crate::node::{Admitted, Node, Request};
use crate::telemetry::Span;

const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// One call of a plain service.
pub(crate) struct Call {
    pub(crate) node: Arc<Node>,
    pub(crate) id: Arc<str>,
    pub(crate) route: Route,
    pub(crate) method: Method,
    pub(crate) target: Target,
    pub(crate) content_type: Arc<str>,
    pub(crate) body: Vec<u8>,
    pub(crate) request: Request,
    pub(crate) span: Span,
    pub(crate) retry: retry::State,
}

/// The outcome of sending a call.
pub(crate) enum SendOutcome {
    /// The endpoint's response, which is passed on to the caller.
    Responded(Answer),
    /// The call is known not to have run.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// Handles a call of a plain service.
pub(crate) async fn handle(node: &Arc<Node>, conn: &mut Conn) -> Result<(), Refusal> {
    let team = request::team(node, conn)?;
    let span = node
        .metrics
        .start_span("caller", request::traceparent(conn));
    let name = conn.path().trim_start_matches('/');
    let name = name.find('/').map_or(name, |end| &name[..end]);
    let route = request::route(node, name)?;
    let target = request::target(conn)?;
    let key = conn
        .request_headers()
        .get_str(IDEMPOTENCY_KEY_HEADER)
        .map(Arc::<str>::from);
    let guard = Guard::acquire(node, &team)?;
    let content_type = conn.request_headers().get_str(KnownHeaderName::ContentType);
    let started_at = node.now();
    let mut call = Call {
        id: request::id(node, conn),
        request: Request {
            pool: route.pool.clone(),
            team: team.name.clone(),
            share: team.contract.share,
            priority: route.priority,
            deadline: started_at + route.deadline(),
            suspect: false,
        },
        retry: retry::State::begin(node),
        node: node.clone(),
        method: conn.method(),
        content_type: content_type.unwrap_or("application/json").into(),
        target,
        route,
        span,
        body: Vec::new(),
    };
    call.check_drain()?;
    call.body = request::body(node, conn).await?;
    call.check_drain()?;
    let running = Box::pin(call.run(&team.name, key));
    let result = Box::pin(node.abortion.or_aborted(running)).await;
    let result = result.unwrap_or_else(|| Err(drain::aborted(&call.retry)));
    let outcome = result
        .as_ref()
        .map_or_else(|r| r.outcome.as_str(), |_| "whole");
    node.metrics
        .record_request(call.route.name.as_str(), outcome);
    drop(guard);
    let response = result?;
    drain::record_duration(node, &call.route, started_at);
    conn.response_headers_mut()
        .insert(REQUEST_ID_HEADER, call.id.to_string());
    conn.response_headers_mut().insert(
        KnownHeaderName::ContentType,
        response.content_type.to_string(),
    );
    conn.set_status(response.status);
    conn.set_body(response.body.to_string());
    Ok(())
}

impl Call {
    fn is_idempotent(&self) -> bool {
        let is_safe = matches!(self.method, Method::Get | Method::Head | Method::Options);
        is_safe || self.route.repeat == Repeat::Idempotent
    }

    /// Refuses the call if the shutdown of this entry may abort it.
    fn check_drain(&self) -> Result<(), Refusal> {
        let bounds = drain::Bounds {
            deadline: Some(self.request.deadline),
            is_repeatable: self.is_idempotent(),
        };
        drain::check(&self.node, &self.route, bounds)
    }

    /// Runs the call; one that may not be repeated at most once, for its key if it has one.
    async fn run(&mut self, team: &team::Name, key: Option<Arc<str>>) -> Result<Answer, Refusal> {
        match (self.is_idempotent(), key) {
            (true, _) => Box::pin(self.send_with_retries()).await,
            (false, Some(key)) => Box::pin(claim::run(self, team, &key)).await,
            (false, None) => Box::pin(self.send_at_most_once()).await,
        }
    }

    /// Sends the call, with retries, until an endpoint responds.
    async fn send_with_retries(&mut self) -> Result<Answer, Refusal> {
        loop {
            let admitted = self.admit().await?;
            match self.send(admitted).await {
                SendOutcome::Responded(response) => return Ok(response),
                SendOutcome::NotRun => {}
                SendOutcome::Unknown => self.retry.sent = true,
            }
            self.retry.record_retry(&self.node)?;
        }
    }

    /// Sends the call; retries only while it is known not to have run.
    pub(crate) async fn send_at_most_once(&mut self) -> Result<Answer, Refusal> {
        loop {
            let admitted = self.admit().await?;
            match self.send(admitted).await {
                SendOutcome::Responded(response) => return Ok(response),
                SendOutcome::NotRun => self.retry.record_retry(&self.node)?,
                SendOutcome::Unknown => {
                    let message = "the endpoint's answer was lost; the call may have run";
                    return Err(Refusal::unknown(message, None));
                }
            }
        }
    }

    /// Admits the call; retries if the grant is not usable any more when it arrives.
    pub(crate) async fn admit(&mut self) -> Result<Admitted, Refusal> {
        loop {
            let admission = self
                .node
                .admit(&self.request, &mut self.retry.tried, &self.span);
            let admitted = admission
                .await
                .map_err(|r| self.retry.admission_refusal(r))?;
            if admitted.may_start(self.node.now()) {
                return Ok(admitted);
            }
            self.retry.record_retry(&self.node)?;
        }
    }

    /// Sends the call once, over a connection of its own.
    pub(crate) async fn send(&mut self, admitted: Admitted) -> SendOutcome {
        let was_run = std::mem::replace(&mut self.retry.may_run, true);
        let outcome = self.send_once(admitted).await;
        self.retry.may_run = was_run || !matches!(outcome, SendOutcome::NotRun);
        outcome
    }

    async fn send_once(&self, mut admitted: Admitted) -> SendOutcome {
        let span = self.span.child("endpoint");
        span.set_attribute("instance", &admitted.grant.instance);
        let mut headers = Headers::new();
        headers.insert(KnownHeaderName::ContentType, self.content_type.to_string());
        headers.insert(REQUEST_ID_HEADER, self.id.to_string());
        headers.insert("traceparent", span.traceparent().to_string());
        let request = Forward {
            address: admitted.grant.address,
            method: self.method,
            target: &self.target,
            headers,
            body: self.body.as_slice().into(),
            timeout: self.remaining(),
        };
        let sent_at = self.node.now();
        match self.node.http.forward(request).await {
            Ok(response) => {
                let took = self.node.now().since(sent_at);
                admitted.end(Ending::Complete(took));
                self.classify(&response)
            }
            Err(error) => {
                span.set_error(&error);
                admitted.end(Ending::Failed);
                if matches!(error, Error::NotSent) {
                    SendOutcome::NotRun
                } else {
                    SendOutcome::Unknown
                }
            }
        }
    }

    fn remaining(&self) -> Duration {
        self.request.deadline.since(self.node.now())
    }

    /// Returns the outcome of a call with this response.
    ///
    /// It is unknown if the response belongs to another request or its body is not UTF-8.
    fn classify(&self, response: &Response) -> SendOutcome {
        let echoed = response.headers.get_str(REQUEST_ID_HEADER);
        if response.headers.get_str(OUTCOME_HEADER) == Some(NOT_RUN) {
            // One that does not name the call may be an earlier refusal, sent once more.
            return if echoed == Some(&self.id) {
                SendOutcome::NotRun
            } else {
                SendOutcome::Unknown
            };
        }
        let Ok(body) = std::str::from_utf8(&response.body) else {
            return SendOutcome::Unknown;
        };
        if echoed.is_some_and(|echoed| echoed != &*self.id) {
            return SendOutcome::Unknown;
        }
        let content_type = response.headers.get_str(KnownHeaderName::ContentType);
        SendOutcome::Responded(Answer {
            status: response.status,
            content_type: content_type.unwrap_or("application/octet-stream").into(),
            body: body.into(),
        })
    }
}

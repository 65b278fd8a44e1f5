//! Calls of plain services, some of which may not be repeated.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_claim::Answer;
use cyclamen_domain::Ending;
use cyclamen_endpoint::{NOT_RUN, OUTCOME_HEADER, REQUEST_ID_HEADER};
use cyclamen_http::{Error, Response};
use cyclamen_tables::Route;
use cyclamen_tables::routes::Repeat;
use trillium::{Conn, Headers, KnownHeaderName, Method};

use crate::caller::claim;
use crate::caller::guard::Guard;
use crate::caller::refusal::Refusal;
use crate::caller::request;
use crate::caller::retry::Trail;
use crate::node::{Admitted, Node, Request};
use crate::telemetry::Hop;

const KEY_HEADER: &str = "idempotency-key";

/// One call of a plain service.
pub(crate) struct Call {
    pub(crate) node: Arc<Node>,
    pub(crate) id: Arc<str>,
    pub(crate) route: Route,
    pub(crate) method: Method,
    pub(crate) path: Arc<str>,
    pub(crate) content_type: Arc<str>,
    pub(crate) body: Vec<u8>,
    pub(crate) request: Request,
    pub(crate) hop: Hop,
    pub(crate) trail: Trail,
}

/// What became of one try.
pub(crate) enum Try {
    /// The endpoint answered.
    Answered(Answer),
    /// The call certainly did not run.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// Answers a call of a plain service.
pub(crate) async fn answer(node: &Arc<Node>, conn: &mut Conn) -> Result<(), Refusal> {
    let team = request::team(node, conn)?;
    let hop = node.metrics.hop("caller", request::traceparent(conn));
    let path: Arc<str> = conn.path_and_query().into();
    let name = path.trim_start_matches('/');
    let name = name.find(['/', '?']).map_or(name, |end| &name[..end]);
    let route = request::route(node, name)?;
    let key = conn
        .request_headers()
        .get_str(KEY_HEADER)
        .map(Arc::<str>::from);
    let guard = Guard::take(node, &team)?;
    let content_type = conn.request_headers().get_str(KnownHeaderName::ContentType);
    let mut call = Call {
        id: request::id(node, conn),
        request: Request {
            pool: route.pool.clone(),
            team: team.name.clone(),
            share: team.contract.share,
            priority: route.priority,
            deadline: node.now() + route.deadline(),
            suspect: false,
        },
        trail: Trail::begin(node),
        node: node.clone(),
        method: conn.method(),
        content_type: content_type.unwrap_or("application/json").into(),
        path,
        route,
        hop,
        body: Vec::new(),
    };
    call.body = request::body(node, conn).await?;
    let answered = match (call.may_repeat(), key) {
        (true, _) => call.repeatedly().await,
        (false, Some(key)) => claim::run(&mut call, &team.name, &key).await,
        (false, None) => call.once().await,
    };
    let outcome = answered
        .as_ref()
        .map_or_else(|r| r.outcome.as_str(), |_| "whole");
    node.metrics.ended(call.route.name.as_str(), outcome);
    drop(guard);
    let answer = answered?;
    conn.response_headers_mut()
        .insert(REQUEST_ID_HEADER, call.id.to_string());
    conn.response_headers_mut().insert(
        KnownHeaderName::ContentType,
        answer.content_type.to_string(),
    );
    conn.set_status(answer.status);
    conn.set_body(answer.body.to_string());
    Ok(())
}

impl Call {
    fn may_repeat(&self) -> bool {
        let reads = matches!(self.method, Method::Get | Method::Head | Method::Options);
        reads || self.route.repeat == Repeat::Idempotent
    }

    /// Tries until an endpoint answers.
    async fn repeatedly(&mut self) -> Result<Answer, Refusal> {
        loop {
            let admitted = self.admit().await?;
            match self.send(admitted).await {
                Try::Answered(answer) => return Ok(answer),
                Try::NotRun => {}
                Try::Unknown => self.trail.sent = true,
            }
            self.trail.again(&self.node)?;
        }
    }

    /// Tries until the call may have run, and never after that.
    pub(crate) async fn once(&mut self) -> Result<Answer, Refusal> {
        loop {
            let admitted = self.admit().await?;
            match self.send(admitted).await {
                Try::Answered(answer) => return Ok(answer),
                Try::NotRun => self.trail.again(&self.node)?,
                Try::Unknown => {
                    let message = "the endpoint's answer was lost; the call may have run";
                    return Err(Refusal::unknown(message, None));
                }
            }
        }
    }

    /// Has the call admitted.
    pub(crate) async fn admit(&mut self) -> Result<Admitted, Refusal> {
        loop {
            let admission = self
                .node
                .admit(&self.request, &mut self.trail.tried, &self.hop);
            let admitted = admission.await.map_err(|r| self.trail.not_admitted(r))?;
            if admitted.may_start(self.node.now()) {
                return Ok(admitted);
            }
            self.trail.again(&self.node)?;
        }
    }

    /// Sends the call once, over a connection of its own.
    pub(crate) async fn send(&self, mut admitted: Admitted) -> Try {
        let hop = self.hop.child("endpoint");
        hop.note("instance", &admitted.grant.instance);
        let url = format!("http://{}{}", admitted.grant.address, self.path);
        let mut headers = Headers::new();
        headers.insert(KnownHeaderName::ContentType, self.content_type.to_string());
        headers.insert(REQUEST_ID_HEADER, self.id.to_string());
        headers.insert("traceparent", hop.traceparent().to_string());
        let call = cyclamen_http::Request {
            method: self.method,
            url: &url,
            headers,
            body: self.body.clone(),
            timeout: self.time_left(),
        };
        let sent = self.node.now();
        match self.node.http.call_unpooled(call).await {
            Ok(reply) => {
                let took = self.node.now().since(sent);
                admitted.end(Ending::Complete(took));
                self.understood(&reply)
            }
            Err(error) => {
                hop.fail(&error);
                admitted.end(Ending::Failed);
                if matches!(error, Error::NotSent) {
                    Try::NotRun
                } else {
                    Try::Unknown
                }
            }
        }
    }

    fn time_left(&self) -> Duration {
        self.request.deadline.since(self.node.now())
    }

    /// An answer to another request, or one that cannot be passed on whole, is no answer.
    fn understood(&self, reply: &Response) -> Try {
        if reply.headers.get_str(OUTCOME_HEADER) == Some(NOT_RUN) {
            return Try::NotRun;
        }
        let echoed = reply.headers.get_str(REQUEST_ID_HEADER);
        let Ok(body) = std::str::from_utf8(&reply.body) else {
            return Try::Unknown;
        };
        if echoed.is_some_and(|echoed| echoed != &*self.id) {
            return Try::Unknown;
        }
        let content_type = reply.headers.get_str(KnownHeaderName::ContentType);
        Try::Answered(Answer {
            status: reply.status,
            content_type: content_type.unwrap_or("application/octet-stream").into(),
            body: body.into(),
        })
    }
}

//! Completions of model engines: streamed, resumed and whole.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_domain::Ending;
use cyclamen_endpoint::{Break, Chunk, NOT_RUN, OUTCOME_HEADER, Refused, Source, Stream};
use cyclamen_http::Reply;
use cyclamen_route::suspect::{Crash, Fingerprint, Strike, Verdict};
use cyclamen_tables::Route;
use cyclamen_types::Time;
use futures::AsyncWriteExt;
use serde_json::{Value, json};
use smol::Timer;
use smol::future::or;
use trillium::{Body, Conn, KnownHeaderName};

use crate::caller::guard::Guard;
use crate::caller::refusal::{Outcome, Refusal};
use crate::caller::request;
use crate::caller::retry::Trail;
use crate::node::{Admitted, Node, Request};
use crate::tasks;
use crate::telemetry::Hop;

/// Bytes of an answer that wait for a slow caller.
const PIPE_BYTES: usize = 64 << 10;
/// The time after which a caller that reads nothing is given up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);
/// When to come back after a stream was lost for good.
const FAILED_RETRY: Duration = Duration::from_secs(2);

/// Answers a request for a completion.
pub(crate) async fn answer(node: &Arc<Node>, conn: &mut Conn) -> Result<(), Refusal> {
    let team = request::team(node, conn)?;
    let hop = node.metrics.hop("caller", request::traceparent(conn));
    let id = request::id(node, conn);
    let bytes = request::body(node, conn).await?;
    let body = parse(&bytes)?;
    let route = request::route(node, body["model"].as_str().unwrap_or_default())?;
    let guard = Guard::take(node, &team)?;
    hop.note("route", &route.name);
    hop.note("team", &team.name);
    let now = node.now();
    let streamed = body["stream"].as_bool().unwrap_or(false);
    let mut job = Job {
        fingerprint: Fingerprint::of(route.name.as_str(), &bytes),
        request: Request {
            pool: route.pool.clone(),
            team: team.name,
            share: team.contract.share,
            priority: route.priority,
            deadline: now + route.deadline(),
            suspect: false,
        },
        trail: Trail::begin(node),
        node: node.clone(),
        id: id.clone(),
        route,
        body,
        hop,
        began: now,
        position: 0,
        open: None,
        _guard: guard,
    };
    conn.response_headers_mut()
        .insert(cyclamen_endpoint::REQUEST_ID_HEADER, id.to_string());
    if streamed {
        stream(job, conn).await
    } else {
        whole(&mut job, conn).await
    }
}

fn parse(bytes: &[u8]) -> Result<Value, Refusal> {
    let invalid = |message: &str| Refusal::invalid(400, "bad_request", message);
    let body: Value = serde_json::from_slice(bytes).map_err(|_| invalid("the body is not JSON"))?;
    if !body["model"].is_string() {
        return Err(invalid("model: is not a text"));
    }
    if !body["messages"].is_array() {
        return Err(invalid("messages: is not a list"));
    }
    Ok(body)
}

/// Answers with a stream, once its first chunk is there.
async fn stream(mut job: Job, conn: &mut Conn) -> Result<(), Refusal> {
    let first = conn.cancel_on_disconnect(job.next()).await;
    let first = first.unwrap_or_else(|| Err(gone()));
    let first = first.inspect_err(|refusal| job.ended(Some(refusal)))?;
    let (reader, writer) = piper::pipe(PIPE_BYTES);
    smol::spawn(job.pump(first, writer)).detach();
    let headers = conn.response_headers_mut();
    headers.insert(KnownHeaderName::ContentType, "text/event-stream");
    headers.insert(KnownHeaderName::CacheControl, "no-store");
    conn.set_status(200);
    conn.set_body(Body::new_streaming(reader, None));
    Ok(())
}

/// Answers with the whole completion at once.
async fn whole(job: &mut Job, conn: &mut Conn) -> Result<(), Refusal> {
    let collected = conn.cancel_on_disconnect(job.collect()).await;
    let collected = collected.unwrap_or_else(|| Err(gone()));
    job.ended(collected.as_ref().err());
    let answer = collected?;
    conn.response_headers_mut()
        .insert(KnownHeaderName::ContentType, "application/json");
    conn.set_status(200);
    conn.set_body(answer.to_string());
    Ok(())
}

fn gone() -> Refusal {
    Refusal::failed("caller_gone", "the caller went away", None)
}

/// One request for a completion.
struct Job {
    node: Arc<Node>,
    id: Arc<str>,
    route: Route,
    body: Value,
    request: Request,
    fingerprint: Fingerprint,
    trail: Trail,
    hop: Hop,
    began: Time,
    /// Tokens that have been read.
    position: u64,
    open: Option<Open>,
    _guard: Guard,
}

/// The stream of the group that runs the request at present.
struct Open {
    admitted: Admitted,
    stream: Stream,
    hop: Hop,
    first_byte: Option<Duration>,
}

impl Job {
    /// The next chunk of the answer, from another group if one fails.
    async fn next(&mut self) -> Result<Chunk, Refusal> {
        loop {
            let mut open = match self.open.take() {
                Some(open) => open,
                None => self.connect().await?,
            };
            match open.stream.next().await {
                Ok(Chunk::End) => {
                    let first = open.first_byte.unwrap_or_default();
                    open.admitted.end(Ending::Whole(first));
                    return Ok(Chunk::End);
                }
                Ok(part) => {
                    self.position = open.stream.position();
                    self.note_first(&mut open);
                    self.open = Some(open);
                    return Ok(part);
                }
                Err(cause) => self.broke(open, cause)?,
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
            .verdict(self.node.now(), &self.fingerprint);
        match verdict {
            Verdict::Clear => self.request.suspect = false,
            Verdict::Suspect => self.request.suspect = true,
            Verdict::Condemned => {
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
        let source = Source {
            address: admitted.grant.address,
            group: admitted.grant.group.clone(),
            fence: admitted.grant.fence,
        };
        let traceparent = hop.traceparent();
        let client = &self.node.workers;
        let head_timeout = self.route.deadline();
        let body = &self.body;
        let opening = client.complete(
            &source,
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
            Err(Refused::Reply(reply)) => {
                self.replied(&reply)?;
                Ok(None)
            }
            Err(Refused::Error(error)) => {
                hop.fail(&error);
                admitted.end(Ending::Failed);
                self.trail.sent |= !matches!(error, cyclamen_http::Error::NotSent);
                if matches!(error, cyclamen_http::Error::Closed) {
                    self.strike(&admitted);
                }
                self.trail.again(&self.node)?;
                Ok(None)
            }
        }
    }

    /// Passes an engine's refusal on, unless another group may do better.
    fn replied(&mut self, reply: &Reply) -> Result<(), Refusal> {
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
    fn broke(&mut self, mut open: Open, cause: Break) -> Result<(), Refusal> {
        log::warn!(
            "event=stream_broken id={} group={} position={} cause={cause:?}",
            self.id,
            open.admitted.grant.group,
            self.position
        );
        open.hop.fail(&"the stream broke");
        open.admitted.end(Ending::Failed);
        if cause == Break::Closed {
            self.strike(&open.admitted);
        }
        drop(open);
        self.trail.again(&self.node)?;
        self.node.metrics.resumed();
        Ok(())
    }

    /// Counts a crash against the request, and tells the other entries.
    fn strike(&self, admitted: &Admitted) {
        let strike = Strike {
            fingerprint: self.fingerprint.clone(),
            crash: Crash {
                domain: admitted.domain.clone(),
                group: admitted.grant.group.clone(),
                fence: admitted.grant.fence,
            },
        };
        let now = self.node.now();
        let news = self.node.state().suspects.strike(now, strike);
        if news {
            tasks::tell_all(&self.node);
        }
    }

    /// The whole answer as one JSON value.
    async fn collect(&mut self) -> Result<Value, Refusal> {
        let mut content = String::new();
        let mut finish = Value::Null;
        let mut usage = Value::Null;
        while let Chunk::Part(part) = self.next().await? {
            let choice = &part["choices"][0];
            content.push_str(choice["delta"]["content"].as_str().unwrap_or_default());
            if !choice["finish_reason"].is_null() {
                finish = choice["finish_reason"].clone();
            }
            if !part["usage"].is_null() {
                usage = part["usage"].clone();
            }
        }
        Ok(json!({
            "id": &*self.id,
            "object": "chat.completion",
            "model": self.route.name,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": content},
                "finish_reason": finish,
            }],
            "usage": usage,
        }))
    }

    /// Writes chunks to the caller until the end marker, or an error in its place.
    async fn pump(mut self, first: Chunk, mut writer: piper::Writer) {
        let mut chunk = first;
        loop {
            let last = chunk == Chunk::End;
            if !write(&mut writer, &self.event(chunk)).await {
                return self.ended(Some(&gone()));
            }
            if last {
                return self.ended(None);
            }
            chunk = match self.next().await {
                Ok(chunk) => chunk,
                Err(refusal) => {
                    let refusal = Refusal {
                        outcome: Outcome::Failed,
                        retry_after: refusal.retry_after.or(Some(FAILED_RETRY)),
                        ..refusal
                    };
                    write(&mut writer, &format!("data: {}\n\n", refusal.json())).await;
                    return self.ended(Some(&refusal));
                }
            };
        }
    }

    fn event(&self, chunk: Chunk) -> String {
        match chunk {
            Chunk::End => "data: [DONE]\n\n".to_string(),
            Chunk::Part(mut part) => {
                part["id"] = Value::from(&*self.id);
                part["model"] = Value::from(self.route.name.as_str());
                format!("data: {part}\n\n")
            }
        }
    }

    fn ended(&self, refusal: Option<&Refusal>) {
        let outcome = refusal.map_or("whole", |r| r.outcome.as_str());
        self.node.metrics.ended(self.route.name.as_str(), outcome);
        if let Some(refusal) = refusal {
            self.hop.fail(&refusal.code);
            log::info!(
                "event=refused id={} outcome={outcome} code={}",
                self.id,
                refusal.code
            );
        }
    }
}

/// Writes to the caller; false if it is gone.
async fn write(writer: &mut piper::Writer, text: &str) -> bool {
    let written = async { writer.write_all(text.as_bytes()).await.is_ok() };
    let late = async {
        Timer::after(CALLER_TIMEOUT).await;
        false
    };
    or(written, late).await
}

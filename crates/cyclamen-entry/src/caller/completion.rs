//! Completions of model engines: streamed, resumed and whole.

mod delivery;
mod job;

use std::sync::Arc;

use cyclamen_route::containment::Fingerprint;
use serde_json::Value;
use trillium::{Body, Conn, KnownHeaderName};

use crate::caller::guard::Guard;
use crate::caller::refusal::Refusal;
use crate::caller::request;
use crate::caller::retry::Trail;
use crate::node::{Node, Request};
use job::Job;

/// Bytes of an answer that wait for a slow caller.
const PIPE_BYTES: usize = 64 << 10;

/// Answers a request for a completion.
pub(crate) async fn answer(node: &Arc<Node>, conn: &mut Conn) -> Result<(), Refusal> {
    let team = request::team(node, conn)?;
    let hop = node
        .metrics
        .start_span("caller", request::traceparent(conn));
    let id = request::id(node, conn);
    let bytes = request::body(node, conn).await?;
    let (body, model) = parse(&bytes)?;
    let route = request::route(node, &model)?;
    let guard = Guard::take(node, &team)?;
    hop.set_attribute("route", &route.name);
    hop.set_attribute("team", &team.name);
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

/// The body of a request and the model that it names.
fn parse(bytes: &[u8]) -> Result<(Value, Arc<str>), Refusal> {
    let invalid = |message: &str| Refusal::invalid(400, "bad_request", message);
    let body: Value = serde_json::from_slice(bytes).map_err(|_| invalid("the body is not JSON"))?;
    let Some(model) = body["model"].as_str().map(Arc::from) else {
        return Err(invalid("model: is not a text"));
    };
    if !body["messages"].is_array() {
        return Err(invalid("messages: is not a list"));
    }
    Ok((body, model))
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

//! Completions by model engines: sent to the caller as a stream or as one complete response, and
//! resumed on another group if one fails.

mod delivery;
mod job;
mod silence;

use std::sync::Arc;

use cyclamen_route::containment::{Fingerprint, Part};
use cyclamen_server::or_closed;
use serde_json::Value;
use trillium::{Body, Conn, KnownHeaderName};

use crate::caller::drain;
use crate::caller::guard::Guard;
use crate::caller::refusal::Refusal;
use crate::caller::request;
use crate::caller::retry;
use crate::node::{Node, Request};
use job::Job;

/// Maximum number of bytes of a stream that are buffered for a slow caller.
const PIPE_BYTES: usize = 64 << 10;

/// Handles a request for a completion.
pub(crate) async fn handle(node: &Arc<Node>, conn: &mut Conn) -> Result<(), Refusal> {
    let team = request::team(node, conn)?;
    let span = node
        .metrics
        .start_span("caller", request::traceparent(conn));
    let id = request::id(node, conn);
    let bytes = request::body(node, conn).await?;
    let (body, model) = parse(&bytes)?;
    let route = request::route(node, &model)?;
    let bounds = drain::Bounds {
        deadline: None,
        is_repeatable: true,
    };
    drain::check(node, &route, bounds)?;
    let guard = Guard::acquire(node, &team)?;
    span.set_attribute("route", &route.name);
    span.set_attribute("team", &team.name);
    let now = node.now();
    let streamed = body["stream"].as_bool().unwrap_or(false);
    let mut job = Job {
        fingerprint: Fingerprint::of(route.name.as_str(), &bytes),
        parts: shared_parts(&body),
        request: Request {
            pool: route.pool.clone(),
            team: team.name,
            share: team.contract.share,
            priority: route.priority,
            deadline: now + route.deadline(),
            suspect: false,
        },
        retry: retry::State::begin(node),
        node: node.clone(),
        id: id.clone(),
        route,
        body,
        span,
        started_at: now,
        position: 0,
        upstream: None,
        _guard: guard,
    };
    conn.response_headers_mut()
        .insert(cyclamen_endpoint::REQUEST_ID_HEADER, id.to_string());
    if streamed {
        Box::pin(respond_with_stream(job, conn)).await
    } else {
        Box::pin(respond_complete(&mut job, conn)).await
    }
}

/// Parses the body of a request; returns it with the name of its model.
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

/// Returns the messages that other requests may share, as parts of the prompt: all but the last.
fn shared_parts(body: &Value) -> Arc<[Part]> {
    let messages = body["messages"].as_array();
    let shared = messages.and_then(|messages| messages.split_last());
    let shared = shared.map_or_else(Default::default, |(_, shared)| shared);
    let content = shared.iter().map(ToString::to_string);
    let parts = content.map(|content| Part::of_content(content.as_bytes()));
    parts.collect()
}

/// Responds with a stream as soon as its first chunk has arrived.
async fn respond_with_stream(mut job: Job, conn: &mut Conn) -> Result<(), Refusal> {
    let abortion = job.node.abortion.clone();
    let first = Box::pin(abortion.or_aborted(Box::pin(job.next())));
    let first = or_closed(conn, first).await;
    let first = first.unwrap_or_else(|| Some(Err(caller_gone())));
    let first = first.unwrap_or_else(|| Err(drain::aborted(&job.retry)));
    let first = first.inspect_err(|refusal| job.record_outcome(Some(refusal)))?;
    let (reader, writer) = piper::pipe(PIPE_BYTES);
    let peer = conn.take_state();
    smol::spawn(job.write_stream(first, writer, peer)).detach();
    let headers = conn.response_headers_mut();
    headers.insert(KnownHeaderName::ContentType, "text/event-stream");
    headers.insert(KnownHeaderName::CacheControl, "no-store");
    conn.set_status(200);
    conn.set_body(Body::new_streaming(reader, None));
    Ok(())
}

/// Responds with the complete response as one JSON value.
async fn respond_complete(job: &mut Job, conn: &mut Conn) -> Result<(), Refusal> {
    let abortion = job.node.abortion.clone();
    let collecting = Box::pin(abortion.or_aborted(Box::pin(job.collect())));
    let result = or_closed(conn, collecting).await;
    let result = result.unwrap_or_else(|| Some(Err(caller_gone())));
    let result = result.unwrap_or_else(|| Err(drain::aborted(&job.retry)));
    job.record_outcome(result.as_ref().err());
    let completion = result?;
    conn.response_headers_mut()
        .insert(KnownHeaderName::ContentType, "application/json");
    conn.set_status(200);
    conn.set_body(completion.to_string());
    Ok(())
}

fn caller_gone() -> Refusal {
    Refusal::failed("caller_gone", "the caller went away", None)
}

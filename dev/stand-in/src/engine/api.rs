//! The HTTP API of a worker.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use cyclamen_domain::report::Assignment;
use cyclamen_endpoint::{FENCE_HEADER, GROUP_HEADER, NOT_RUN, OUTCOME_HEADER, REQUEST_ID_HEADER};
use futures::{AsyncRead, AsyncWriteExt};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use smol::Timer;
use trillium::{Body, Conn, Handler, KnownHeaderName, Method};

use super::worker::{Rejection, Request, Worker};
use crate::platform::respond_json;
use crate::server;

/// A request whose messages contain this text crashes the worker that runs it.
pub const CRASH_MARKER: &str = "CRASH-ENGINE";
/// The number of tokens after which a request with the marker crashes its worker.
const CRASH_AFTER_TOKENS: u64 = 2;
const DEFAULT_TOKENS: u64 = 16;
const PIPE_BYTES: usize = 16 << 10;

/// The HTTP handler of one worker.
pub(crate) struct Api(pub(crate) Arc<Worker>);

impl Handler for Api {
    async fn run(&self, mut conn: Conn) -> Conn {
        let body = server::read_body(&mut conn).await;
        if (conn.method(), conn.path()) == (Method::Post, "/admin/faults") {
            return match serde_json::from_slice(&body) {
                Ok(faults) => {
                    self.0.set_faults(faults);
                    conn.ok("")
                }
                Err(_) => conn.with_status(400).halt(),
            };
        }
        if (conn.method(), conn.path()) == (Method::Get, "/admin/violations") {
            return respond_json(conn, &self.0.violations());
        }
        while !self.0.is_responsive() || self.0.is_silent() {
            Timer::after(self.0.token_interval()).await;
        }
        match (conn.method(), conn.path()) {
            (Method::Get, "/worker/state") => respond_json(conn, &self.0.report()),
            (Method::Post, "/worker/order") => {
                match serde_json::from_slice(&body).map(|message| self.0.apply_order(message)) {
                    Ok(true) => conn.ok(""),
                    Ok(false) => conn.with_status(409).halt(),
                    Err(_) => conn.with_status(400).halt(),
                }
            }
            (Method::Post, "/v1/chat/completions") => self.complete(conn, &body),
            _ => conn.with_status(404).halt(),
        }
    }
}

impl Api {
    fn complete(&self, conn: Conn, body: &[u8]) -> Conn {
        let Ok(body) = serde_json::from_slice::<Value>(body) else {
            return conn.with_status(400).with_body("not JSON").halt();
        };
        let Some(assignment) = requested_assignment(&conn) else {
            return conn.with_status(400).with_body("no group").halt();
        };
        let request = match self.0.start_request(&assignment) {
            Ok(request) => request,
            Err(Rejection::Overloaded) => return abort_response(conn),
            Err(Rejection::Obsolete | Rejection::Incomplete) => {
                return conn
                    .with_status(503)
                    .with_response_header(OUTCOME_HEADER, NOT_RUN)
                    .halt();
            }
        };
        let id = conn
            .request_headers()
            .get_str(REQUEST_ID_HEADER)
            .unwrap_or_default()
            .to_string();
        let (reader, writer) = piper::pipe(PIPE_BYTES);
        let aborted = Arc::new(AtomicBool::new(false));
        smol::spawn(generate(request, body, writer, aborted.clone())).detach();
        conn.with_status(200)
            .with_response_header(KnownHeaderName::ContentType, "text/event-stream")
            .with_response_header(REQUEST_ID_HEADER, id)
            .with_body(Body::new_streaming(AbortableBody { reader, aborted }, None))
            .halt()
    }
}

fn requested_assignment(conn: &Conn) -> Option<Assignment> {
    let headers = conn.request_headers();
    Some(Assignment {
        group: headers.get_str(GROUP_HEADER)?.parse().ok()?,
        fence: headers.get_str(FENCE_HEADER)?.parse().ok()?,
    })
}

/// Responds with a body that fails at once, so that the connection closes mid-response.
fn abort_response(conn: Conn) -> Conn {
    let (reader, _) = piper::pipe(1);
    let aborted = Arc::new(AtomicBool::new(true));
    conn.with_status(200)
        .with_response_header(KnownHeaderName::ContentType, "text/event-stream")
        .with_body(Body::new_streaming(AbortableBody { reader, aborted }, None))
        .halt()
}

/// A response body that ends with an error if it was aborted.
struct AbortableBody {
    reader: piper::Reader,
    aborted: Arc<AtomicBool>,
}

impl AsyncRead for AbortableBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        match Pin::new(&mut self.reader).poll_read(cx, buf) {
            Poll::Ready(Ok(0)) if self.aborted.load(Ordering::Acquire) => {
                Poll::Ready(Err(std::io::ErrorKind::ConnectionReset.into()))
            }
            polled => polled,
        }
    }
}

/// Writes tokens until the response is complete, the client has disconnected or the group has lost
/// a member.
async fn generate(
    request: Request,
    body: Value,
    mut writer: piper::Writer,
    aborted: Arc<AtomicBool>,
) {
    let messages = body["messages"].to_string();
    let harmful = messages.contains(CRASH_MARKER);
    let tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
    let from = body["continue_at"].as_u64().unwrap_or(0);
    for index in from..tokens {
        Timer::after(request.worker().token_interval()).await;
        if harmful && index >= CRASH_AFTER_TOKENS {
            request.worker().crash();
        }
        while request.worker().is_silent() {
            Timer::after(request.worker().token_interval()).await;
        }
        if !request.is_group_complete() {
            aborted.store(true, Ordering::Release);
            return;
        }
        let chunk = chunk(&messages, index, tokens);
        if writer
            .write_all(format!("data: {chunk}\n\n").as_bytes())
            .await
            .is_err()
        {
            return;
        }
    }
    let _ = writer.write_all(b"data: [DONE]\n\n").await;
}

/// Returns one chunk of a response; it depends only on the messages, so that every worker generates
/// the same tokens.
fn chunk(messages: &str, index: u64, tokens: u64) -> Value {
    let finish = if index + 1 == tokens {
        json!("stop")
    } else {
        Value::Null
    };
    json!({
        "object": "chat.completion.chunk",
        "token_index": index,
        "choices": [{
            "index": 0,
            "delta": {"content": token(messages, index)},
            "finish_reason": finish,
        }],
    })
}

/// Returns the text of one token of the response to these messages.
pub fn token(messages: &str, index: u64) -> String {
    let hash = Sha256::digest(format!("{messages}{index}"));
    format!("{:02x}{:02x} ", hash[0], hash[1])
}

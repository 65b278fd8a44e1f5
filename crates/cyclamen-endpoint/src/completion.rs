//! Streamed responses of model engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_http::{Error, Request, Response};
use cyclamen_types::group;
use futures::StreamExt;
use serde_json::Value;
use smol::Timer;
use smol::future::or;
use trillium_client::EventStream;
use trillium_http::{Headers, Method};

use crate::client::Client;
use crate::{FENCE_HEADER, GROUP_HEADER, REQUEST_ID_HEADER};

/// The data of the last event of a complete stream.
const END_MARKER: &str = "[DONE]";
/// The request field with the index of the first token that the engine returns.
const CONTINUE_AT: &str = "continue_at";
/// The chunk field with the zero-based index of the token.
const TOKEN_INDEX: &str = "token_index";

/// The group that a request is sent to.
#[derive(Debug, Clone)]
pub struct Target {
    /// The address that the group's head listens on.
    pub address: SocketAddr,
    /// The group.
    pub group: group::Id,
    /// The fencing token of its membership.
    pub fence: group::Fence,
}

/// One event of a stream.
#[derive(Debug, Clone, PartialEq)]
pub enum Chunk {
    /// A part of the response, as JSON from the engine.
    Part(Value),
    /// The end marker: the response is complete.
    End,
}

/// The reason why a stream ended before its end marker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamError {
    /// The engine closed the connection.
    Closed,
    /// The engine sent nothing within the chunk timeout.
    Silent,
    /// A chunk is not valid JSON, or its token index is beyond the next one.
    Wrong,
}

/// The reason why a stream could not be opened.
#[derive(Debug)]
pub enum OpenError {
    /// The engine returned a response that is not an event stream.
    Response(Response),
    /// The call failed.
    Error(Error),
}

/// A stream of chunks with consecutive token indices.
#[derive(Debug)]
pub struct Stream {
    events: EventStream,
    next: u64,
    chunk_timeout: Duration,
}

impl Client {
    /// Opens the response stream of a request, starting at the token with index `from`.
    ///
    /// `head_timeout` bounds the time until the response head is received.
    pub async fn open_stream(
        &self,
        target: &Target,
        id: &Arc<str>,
        traceparent: &str,
        body: &Value,
        from: u64,
        head_timeout: Duration,
    ) -> Result<Stream, OpenError> {
        let mut body = body.clone();
        body["stream"] = Value::Bool(true);
        body[CONTINUE_AT] = from.into();
        let mut headers = Headers::new();
        headers.insert("content-type", "application/json");
        headers.insert(GROUP_HEADER, target.group.to_string());
        headers.insert(FENCE_HEADER, target.fence.to_string());
        headers.insert(REQUEST_ID_HEADER, id.to_string());
        headers.insert("traceparent", traceparent.to_string());
        let request = Request {
            method: Method::Post,
            url: &format!("http://{}/v1/chat/completions", target.address),
            headers,
            body: body.to_string().into_bytes(),
            timeout: head_timeout,
        };
        let opened = self
            .http
            .open_event_stream(request)
            .await
            .map_err(OpenError::Error)?;
        let events = opened.map_err(|response| refusal(response, id))?;
        let echoed = events.conn().response_headers().get_str(REQUEST_ID_HEADER);
        if echoed != Some(id) {
            return Err(OpenError::Error(Error::Malformed));
        }
        Ok(Stream {
            events,
            next: from,
            chunk_timeout: self.options.chunk_timeout,
        })
    }
}

/// Returns the error for a response that is not an event stream; one to another request says nothing
/// of this one.
fn refusal(response: Response, id: &Arc<str>) -> OpenError {
    let echoed = response.headers.get_str(REQUEST_ID_HEADER);
    if echoed.is_some_and(|echoed| *echoed != **id) {
        return OpenError::Error(Error::Malformed);
    }
    OpenError::Response(response)
}

impl Stream {
    /// Returns the index of the next token.
    pub fn position(&self) -> u64 {
        self.next
    }

    /// Reads the next chunk, skipping tokens that were already read.
    ///
    /// The chunk timeout bounds the time until a new chunk is complete, however many bytes or
    /// repeated tokens arrive meanwhile.
    pub async fn next(&mut self) -> Result<Chunk, StreamError> {
        let timeout = idle_timeout(self.chunk_timeout);
        or(self.read_next(), timeout).await
    }

    async fn read_next(&mut self) -> Result<Chunk, StreamError> {
        loop {
            let event = match self.events.next().await {
                Some(Ok(event)) => event,
                Some(Err(_)) | None => return Err(StreamError::Closed),
            };
            if event.data() == END_MARKER {
                return Ok(Chunk::End);
            }
            let part: Value = serde_json::from_str(event.data()).map_err(|_| StreamError::Wrong)?;
            match part.get(TOKEN_INDEX).and_then(Value::as_u64) {
                Some(index) if index < self.next => {}
                Some(index) if index > self.next => return Err(StreamError::Wrong),
                Some(index) => {
                    self.next = index + 1;
                    return Ok(Chunk::Part(part));
                }
                None => return Ok(Chunk::Part(part)),
            }
        }
    }
}

async fn idle_timeout<T>(timeout: Duration) -> Result<T, StreamError> {
    Timer::after(timeout).await;
    Err(StreamError::Silent)
}

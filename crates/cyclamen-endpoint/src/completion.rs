//! Streamed answers of model engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_http::{Error, Reply, Request};
use cyclamen_types::group;
use futures::StreamExt;
use serde_json::Value;
use smol::Timer;
use smol::future::or;
use trillium_client::EventStream;
use trillium_http::{Headers, Method};

use crate::client::Client;
use crate::{FENCE_HEADER, GROUP_HEADER, REQUEST_ID_HEADER};

/// The data of the last event of a whole stream.
const END_MARKER: &str = "[DONE]";
/// The field of a request from whose token on an engine answers.
const CONTINUE_AT: &str = "continue_at";
/// The field of a chunk that counts tokens from zero.
const TOKEN_INDEX: &str = "token_index";

/// The group that a request is sent to.
#[derive(Debug, Clone)]
pub struct Source {
    /// Where the group's first member listens.
    pub address: SocketAddr,
    /// The group.
    pub group: group::Id,
    /// The fencing token of its membership.
    pub fence: group::Fence,
}

/// One event of a stream.
#[derive(Debug, Clone, PartialEq)]
pub enum Chunk {
    /// A part of the answer, as JSON of the engine.
    Part(Value),
    /// The end marker: the answer is whole.
    End,
}

/// Why a stream ended before its end marker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Break {
    /// The engine closed the connection.
    Closed,
    /// The engine was silent for too long.
    Silent,
    /// The stream is not the continuation that was asked for.
    Wrong,
}

/// Why a stream could not be opened.
#[derive(Debug)]
pub enum Refused {
    /// The engine answered otherwise.
    Reply(Reply),
    /// There was no answer.
    Error(Error),
}

/// A stream of chunks with consecutive token numbers.
#[derive(Debug)]
pub struct Stream {
    events: EventStream,
    next: u64,
    chunk_timeout: Duration,
}

impl Client {
    /// Opens the answer to a request from the token `from` on.
    ///
    /// `head_timeout` bounds the time until the engine begins to answer.
    pub async fn complete(
        &self,
        source: &Source,
        id: &Arc<str>,
        traceparent: &str,
        body: &Value,
        from: u64,
        head_timeout: Duration,
    ) -> Result<Stream, Refused> {
        let mut body = body.clone();
        body["stream"] = Value::Bool(true);
        body[CONTINUE_AT] = from.into();
        let mut headers = Headers::new();
        headers.insert("content-type", "application/json");
        headers.insert(GROUP_HEADER, source.group.to_string());
        headers.insert(FENCE_HEADER, source.fence.to_string());
        headers.insert(REQUEST_ID_HEADER, id.to_string());
        headers.insert("traceparent", traceparent.to_string());
        let request = Request {
            method: Method::Post,
            url: &format!("http://{}/v1/chat/completions", source.address),
            headers,
            body: body.to_string().into_bytes(),
            timeout: head_timeout,
        };
        let opened = self.caller.open(request).await.map_err(Refused::Error)?;
        let events = opened.map_err(Refused::Reply)?;
        let echoed = events.conn().response_headers().get_str(REQUEST_ID_HEADER);
        if echoed != Some(id) {
            return Err(Refused::Error(Error::Malformed));
        }
        Ok(Stream {
            events,
            next: from,
            chunk_timeout: self.options.chunk_timeout,
        })
    }
}

impl Stream {
    /// The number of the next token.
    pub fn position(&self) -> u64 {
        self.next
    }

    /// Reads the next chunk; tokens that were already read are left out.
    pub async fn next(&mut self) -> Result<Chunk, Break> {
        loop {
            let event = or(
                async { Ok(self.events.next().await) },
                silence(self.chunk_timeout),
            );
            let data = match event.await? {
                Some(Ok(event)) => event,
                Some(Err(_)) | None => return Err(Break::Closed),
            };
            if data.data() == END_MARKER {
                return Ok(Chunk::End);
            }
            let part: Value = serde_json::from_str(data.data()).map_err(|_| Break::Wrong)?;
            match part.get(TOKEN_INDEX).and_then(Value::as_u64) {
                Some(index) if index < self.next => {}
                Some(index) if index > self.next => return Err(Break::Wrong),
                Some(index) => {
                    self.next = index + 1;
                    return Ok(Chunk::Part(part));
                }
                None => return Ok(Chunk::Part(part)),
            }
        }
    }
}

async fn silence<T>(timeout: Duration) -> Result<T, Break> {
    Timer::after(timeout).await;
    Err(Break::Silent)
}

//! Delivery of a completion to its caller, as one JSON value or chunk by chunk.

use std::time::Duration;

use cyclamen_endpoint::Chunk;
use cyclamen_server::Peer;
use futures::AsyncWriteExt;
use serde_json::{Value, json};
use smol::Timer;
use smol::future::{or, pending};

use crate::caller::completion::caller_gone;
use crate::caller::completion::job::Job;
use crate::caller::drain;
use crate::caller::refusal::{Outcome, Refusal};

/// Timeout of a write to a caller that does not read.
const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Retry delay after a stream has failed permanently.
const FAILED_RETRY_DELAY: Duration = Duration::from_secs(2);

impl Job {
    /// Returns the complete response as one JSON value.
    pub(super) async fn collect(&mut self) -> Result<Value, Refusal> {
        let mut content = String::new();
        let mut finish_reason = Value::Null;
        let mut usage = Value::Null;
        while let Chunk::Part(part) = self.next().await? {
            let choice = &part["choices"][0];
            // The first and the last chunk may carry no text.
            if let Some(text) = choice["delta"]["content"].as_str() {
                content.push_str(text);
            }
            if !choice["finish_reason"].is_null() {
                finish_reason = choice["finish_reason"].clone();
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
                "finish_reason": finish_reason,
            }],
            "usage": usage,
        }))
    }

    /// Writes chunks to the caller up to the end marker, or an error in its place; ends once the
    /// caller has left.
    pub(super) async fn write_stream(
        mut self,
        first: Chunk,
        mut writer: piper::Writer,
        caller: Option<Peer>,
    ) {
        let abortion = self.node.abortion.clone();
        let mut chunk = first;
        loop {
            let last = chunk == Chunk::End;
            if !write(&mut writer, &self.event(chunk)).await {
                return self.record_outcome(Some(&caller_gone()));
            }
            if last {
                return self.record_outcome(None);
            }
            let next = {
                let next = Box::pin(self.next());
                let next = or(next, left(caller.as_ref()));
                abortion.or_aborted(next).await
            };
            chunk = match next.unwrap_or_else(|| Err(drain::aborted(&self.retry))) {
                Ok(chunk) => chunk,
                Err(refusal) => {
                    let refusal = Refusal {
                        outcome: Outcome::Failed,
                        retry_after: refusal.retry_after.or(Some(FAILED_RETRY_DELAY)),
                        ..refusal
                    };
                    write(&mut writer, &format!("data: {}\n\n", refusal.json())).await;
                    return self.record_outcome(Some(&refusal));
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

    pub(super) fn record_outcome(&self, refusal: Option<&Refusal>) {
        let outcome = refusal.map_or("whole", |r| r.outcome.as_str());
        self.node
            .metrics
            .record_request(self.route.name.as_str(), outcome);
        if let Some(refusal) = refusal {
            self.span.set_error(&refusal.code);
            log::info!(
                "event=refused id={} outcome={outcome} code={}",
                self.id,
                refusal.code
            );
        }
    }
}

/// Fails once the caller has left.
async fn left(caller: Option<&Peer>) -> Result<Chunk, Refusal> {
    match caller {
        Some(peer) => {
            peer.left().await;
        }
        None => pending().await,
    }
    Err(caller_gone())
}

/// Writes to the caller; returns `false` if it has disconnected or the write timed out.
async fn write(writer: &mut piper::Writer, text: &str) -> bool {
    let written = async { writer.write_all(text.as_bytes()).await.is_ok() };
    let timeout = async {
        Timer::after(CALLER_WRITE_TIMEOUT).await;
        false
    };
    or(written, timeout).await
}

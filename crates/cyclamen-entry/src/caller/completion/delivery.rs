//! The answer to a completion as its caller gets it: whole, or chunk by chunk.

use std::time::Duration;

use cyclamen_endpoint::Chunk;
use futures::AsyncWriteExt;
use serde_json::{Value, json};
use smol::Timer;
use smol::future::or;

use crate::caller::completion::gone;
use crate::caller::completion::job::Job;
use crate::caller::refusal::{Outcome, Refusal};

/// The time after which a caller that reads nothing is given up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);
/// When to come back after a stream was lost for good.
const FAILED_RETRY: Duration = Duration::from_secs(2);

impl Job {
    /// The whole answer as one JSON value.
    pub(super) async fn collect(&mut self) -> Result<Value, Refusal> {
        let mut content = String::new();
        let mut finish = Value::Null;
        let mut usage = Value::Null;
        while let Chunk::Part(part) = self.next().await? {
            let choice = &part["choices"][0];
            // The first and the last chunk may carry no text.
            if let Some(text) = choice["delta"]["content"].as_str() {
                content.push_str(text);
            }
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
    pub(super) async fn pump(mut self, first: Chunk, mut writer: piper::Writer) {
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

    pub(super) fn ended(&self, refusal: Option<&Refusal>) {
        let outcome = refusal.map_or("whole", |r| r.outcome.as_str());
        self.node
            .metrics
            .record_request(self.route.name.as_str(), outcome);
        if let Some(refusal) = refusal {
            self.hop.set_error(&refusal.code);
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

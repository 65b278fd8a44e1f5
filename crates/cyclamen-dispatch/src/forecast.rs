//! Forecast of the time until a model engine begins its response.

use std::time::Duration;

use cyclamen_directory::service::{Engine, Model};

/// Prefill and decode speed of a replica group.
///
/// An engine works in rounds: each round prefills one chunk of the queued prompts and then
/// runs a stride of decode steps for all running requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    chunk_tokens: f64,
    prefill_seconds: f64,
    decode_seconds: f64,
    decode_seconds_per_request: f64,
}

impl Forecast {
    /// Returns the speed of the replica groups of a model.
    pub fn of(engine: &Engine, model: &Model) -> Self {
        let stride = f64::from(engine.stride.max(1));
        let chunk_tokens = engine.chunk.max(1) as f64;
        Self {
            chunk_tokens,
            prefill_seconds: model.pace * chunk_tokens / engine.read_per_second.max(1.0),
            decode_seconds: model.pace * stride * engine.step.as_secs_f64(),
            decode_seconds_per_request: model.pace * stride * engine.step_per_request.as_secs_f64(),
        }
    }

    /// Returns the speed of a group that takes `pace` times as long.
    pub fn at_pace(&self, pace: f64) -> Self {
        Self {
            chunk_tokens: self.chunk_tokens,
            prefill_seconds: self.prefill_seconds * pace,
            decode_seconds: self.decode_seconds * pace,
            decode_seconds_per_request: self.decode_seconds_per_request * pace,
        }
    }

    /// Returns the number of prompt tokens that are prefilled in one round at most.
    pub(crate) fn chunk(&self) -> u64 {
        self.chunk_tokens as u64
    }

    /// Returns the duration of one round with `running` requests on the engine.
    pub fn round(&self, running: u32) -> Duration {
        duration(self.round_seconds(running))
    }

    fn round_seconds(&self, running: u32) -> f64 {
        let decode = self.decode_seconds + self.decode_seconds_per_request * f64::from(running);
        self.prefill_seconds + decode
    }

    /// Returns the time to the first token of a request with a prompt of `tokens` tokens, behind
    /// `backlog` queued prompt tokens.
    ///
    /// On average half of the current round has to finish first. The request's own prompt takes
    /// one more round, or several if it is longer than a chunk.
    pub fn wait(&self, backlog: u64, tokens: u64, running: u32) -> Duration {
        let beyond_chunk = (tokens as f64 - self.chunk_tokens).max(0.0);
        let rounds = (backlog as f64 + beyond_chunk) / self.chunk_tokens;
        duration(self.round_seconds(running) * (1.5 + rounds))
    }
}

/// Returns a duration; the longest one if the seconds are too many, or are no number.
fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

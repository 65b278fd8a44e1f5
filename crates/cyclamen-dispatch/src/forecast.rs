//! How soon a model engine begins to answer.

use std::time::Duration;

use cyclamen_directory::service::{Engine, Model};

/// How fast a replica group works on prompts and answers.
///
/// An engine works in rounds: it reads one chunk of the prompts that wait, then
/// takes a stride of token steps for all requests that are being answered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    chunk: f64,
    read: f64,
    steps: f64,
    steps_per_request: f64,
}

impl Forecast {
    /// The speed of the groups of a model.
    pub fn of(engine: &Engine, model: &Model) -> Self {
        let stride = f64::from(engine.stride.max(1));
        let chunk = engine.chunk.max(1) as f64;
        Self {
            chunk,
            read: model.pace * chunk / engine.read_per_second.max(1.0),
            steps: model.pace * stride * engine.step.as_secs_f64(),
            steps_per_request: model.pace * stride * engine.step_per_request.as_secs_f64(),
        }
    }

    /// The time of one round beside `running` requests.
    pub fn round(&self, running: u32) -> Duration {
        let steps = self.steps + self.steps_per_request * f64::from(running);
        Duration::from_secs_f64(self.read + steps)
    }

    /// The time until a request with a prompt of `tokens` begins to be answered, behind
    /// `backlog` prompt tokens.
    ///
    /// On average half of the present round has to end first; the request's
    /// own prompt takes one round more, or several if it is longer than a chunk.
    pub fn wait(&self, backlog: u64, tokens: u64, running: u32) -> Duration {
        let beyond_chunk = (tokens as f64 - self.chunk).max(0.0);
        let rounds = (backlog as f64 + beyond_chunk) / self.chunk;
        self.round(running).mul_f64(1.5 + rounds)
    }
}

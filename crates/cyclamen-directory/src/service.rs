//! Services: the workers that serve the same requests.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::{model, pool};

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: pool::Service,
    /// The path of its health check.
    pub health: Arc<str>,
    /// Connections that one worker accepts from all callers together.
    pub connections: u32,
    /// What a worker bears after a cold start, if it has to be spared.
    pub cold: Option<Cold>,
    /// The model engine of its workers; plain services have none.
    pub engine: Option<Engine>,
}

/// What a worker bears after a cold start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cold {
    /// How long it stays cold.
    pub time: Duration,
    /// Requests that it bears in a second, from all entries together.
    pub per_second: f64,
}

/// How the workers of a service run models.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that a group runs at once.
    pub slots: u32,
    /// Tokens that the memory of a group holds.
    pub memory_tokens: u64,
    /// The time of a token step without any request.
    pub step: Duration,
    /// What each running request adds to a token step.
    pub step_per_request: Duration,
    /// Prompt tokens read in a second.
    pub read_per_second: f64,
    /// The most prompt tokens that are read between two rounds of token steps.
    pub chunk: u64,
    /// Token steps in a round.
    pub stride: u32,
    /// Loads of weights that may begin in a second, over all workers.
    pub loads_per_second: f64,
    /// Loads at once beyond which each takes longer.
    pub loads_at_once: u32,
    /// The time that a group takes to open.
    pub open: Duration,
    /// The models, in the operators' order.
    pub models: Vec<Model>,
}

/// A model of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: model::Name,
    /// Workers that one replica spans.
    pub size: usize,
    /// Its part of the work.
    pub share: f64,
    /// A factor on the times of its groups.
    pub pace: f64,
    /// The time to load its weights from the weight store.
    pub load: Duration,
    /// The time to join a group with weights that the host holds.
    pub warm: Duration,
}

impl Engine {
    /// The model of that name.
    pub fn model(&self, name: &model::Name) -> Option<&Model> {
        self.models.iter().find(|m| m.name == *name)
    }
}

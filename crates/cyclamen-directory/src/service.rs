//! Services: the workers that serve the same requests.

use std::time::Duration;

use cyclamen_types::{model, pool};

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: pool::Service,
    /// Requests that a cold worker bears in a second, from all entries together, if it has to
    /// be spared.
    pub cold_per_second: Option<f64>,
    /// The model engine of its workers; plain services have none.
    pub engine: Option<Engine>,
}

/// How the workers of a service run models.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that a group runs at once.
    pub slots: u32,
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
}

impl Engine {
    /// The model of that name.
    pub fn model(&self, name: &model::Name) -> Option<&Model> {
        self.models.iter().find(|m| m.name == *name)
    }
}

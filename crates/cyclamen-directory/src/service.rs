//! Services, and the models that their workers run.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::{model, pool};

/// A set of workers that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: pool::Service,
    /// The path of its workers' health check, if they have one.
    pub health_path: Option<Arc<str>>,
    /// The rate limit of a cold worker in requests per second, over all entries together, if it
    /// needs one.
    pub cold_per_second: Option<f64>,
    /// The model engine of its workers; none for a plain service.
    pub engine: Option<Engine>,
}

/// How the workers of a service run models.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Number of requests that a replica group runs concurrently.
    pub slots: u32,
    /// The duration of a decode step without any running request.
    pub step: Duration,
    /// The time that each running request adds to a decode step.
    pub step_per_request: Duration,
    /// Prompt tokens prefilled per second.
    pub read_per_second: f64,
    /// The maximum number of prompt tokens prefilled between two strides of decode steps.
    pub chunk: u64,
    /// Number of decode steps in a round.
    pub stride: u32,
    /// Weight loads that may start per second, over all workers.
    pub loads_per_second: f64,
    /// The number of weight loads in progress, over all workers, above which each load takes
    /// proportionally longer; none if the weight store has no such limit.
    pub concurrent_loads: Option<usize>,
    /// The models, in the operators' order.
    pub models: Vec<Model>,
}

/// A model that the workers of a service run in replica groups.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: model::Name,
    /// Number of workers in one replica group.
    pub size: usize,
    /// Its share of the service's load.
    pub share: f64,
    /// The factor by which the engine's prefill and decode times are multiplied for its replica
    /// groups.
    pub pace: f64,
    /// The time to load its weights from the weight store.
    pub load: Duration,
    /// The time to join a replica group with weights that the host holds.
    pub warm: Duration,
}

impl Engine {
    /// Returns the number of workers in a group of the smallest model; no number of workers is
    /// enough if there are no models.
    pub fn smallest_group(&self) -> usize {
        let sizes = self.models.iter().map(|model| model.size);
        sizes.min().unwrap_or(usize::MAX)
    }

    /// Returns the model with the given name.
    pub fn model(&self, name: &model::Name) -> Option<&Model> {
        self.models.iter().find(|m| m.name == *name)
    }
}

//! The work that callers ask for, and the groups that it needs.

mod meter;
mod need;
mod total;

use cyclamen_types::{model, pool};

pub use meter::Meter;
pub use need::{Needs, needs};
pub use total::{Report, total};

/// The work that callers lately asked for of one model, at one entry or at all of them.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// The service.
    pub service: pool::Service,
    /// The model.
    pub model: model::Name,
    /// Requests per second, those that were refused included.
    pub requests: f64,
    /// Prompt tokens per second of these requests.
    pub prompt_tokens: f64,
    /// Answer tokens per second that they ask for.
    pub answer_tokens: f64,
    /// Refused requests per second.
    pub refused: f64,
}

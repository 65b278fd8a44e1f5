//! Worker selection and admission.
//!
//! An entry sends requests directly to the heads of replica groups and to the
//! workers of plain services. It counts its own requests in progress on
//! each worker and receives the counts of other entries a few times a second.
//! The rate limit of a worker that is cold or in need holds over all entries
//! together: a request to it needs a permit, see [`cyclamen_quota`].

mod cell;
mod dispatcher;
mod forecast;
mod observation;
mod options;
pub mod overload;
mod pace;
mod pauses;
mod request;
mod retry_budget;
pub mod split;

pub use cell::{Cell, cell};
pub use dispatcher::Dispatcher;
pub use forecast::Forecast;
pub use options::Options;
pub use request::{
    Caller, Criteria, Dispatch, Load, Observation, Outcome, Reason, Refusal, Target, TeamWork,
};
pub use retry_budget::RetryBudget;

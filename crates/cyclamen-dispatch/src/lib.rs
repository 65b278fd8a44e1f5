//! Worker selection and admission.
//!
//! An entry sends requests directly to the heads of replica groups and to the
//! workers of plain services. It counts its own requests in progress on
//! each worker and receives the counts of other entries a few times a second.
//! The rate limit of a cold worker must hold exactly across all entries, so it
//! is divided into fixed quotas.

mod cell;
mod dispatcher;
mod forecast;
mod limiter;
mod options;
mod pauses;
mod request;
mod retry_budget;

pub use cell::{Cell, cell};
pub use dispatcher::Dispatcher;
pub use forecast::Forecast;
pub use limiter::{Limiter, Position};
pub use options::Options;
pub use request::{Criteria, Dispatch, Load, Outcome, Reason, Refusal, Target};
pub use retry_budget::RetryBudget;

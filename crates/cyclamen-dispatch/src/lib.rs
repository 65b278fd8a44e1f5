//! Which worker takes a request, and when one is refused.
//!
//! An entry sends straight to the heads of replica groups and to the workers
//! of plain services. It counts its own requests on each and hears the counts
//! of other entries a few times a second. What must be exact over all entries,
//! the work of cold workers, is divided into fixed parts.

mod cell;
mod dispatcher;
mod forecast;
mod limiter;
mod options;
mod request;
mod retry_budget;

pub use cell::{Cell, cell};
pub use dispatcher::Dispatcher;
pub use forecast::Forecast;
pub use limiter::{Allowance, Share};
pub use options::Options;
pub use request::{End, Load, Reason, Refusal, Sent, Target, Want};
pub use retry_budget::Retries;

//! Client for workers: probes, orders and requests.

mod client;
mod completion;

pub mod order;

pub use client::{Client, Options};
pub use completion::{Chunk, OpenError, Stream, StreamError, Target};

/// The path at which workers take orders.
pub const ORDER_PATH: &str = "/worker/order";
/// The path at which workers of model engines report.
pub const REPORT_PATH: &str = "/worker/state";
/// The path of the health check of plain services.
pub const HEALTH_PATH: &str = "/healthz";
/// The paths of the calls that the system makes to endpoints itself.
pub const OWN_PATHS: [&str; 3] = [ORDER_PATH, REPORT_PATH, HEALTH_PATH];

/// The header with the id of the group that a request is sent to.
pub const GROUP_HEADER: &str = "cyclamenpath-group";
/// The header with the fencing token of that group's membership.
pub const FENCE_HEADER: &str = "cyclamenpath-fence";
/// The header with the id of a request; workers echo it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header in which an endpoint or an entry reports the outcome of a request.
pub const OUTCOME_HEADER: &str = "cyclamenpath-outcome";
/// The outcome of a request that certainly did not run.
pub const NOT_RUN: &str = "not-run";

//! Client for workers: probes, orders and requests.

mod client;
mod completion;

pub mod order;

pub use client::{Client, Options};
pub use completion::{Chunk, OpenError, Stream, StreamError, Target};

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

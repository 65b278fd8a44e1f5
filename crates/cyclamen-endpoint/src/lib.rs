//! Client of workers: reports, orders and requests.

mod client;
mod completion;

pub mod order;

pub use client::{Client, Options};
pub use completion::{Break, Chunk, Refused, Source, Stream};

/// The header that names the group a request is meant for.
pub const GROUP_HEADER: &str = "cyclamenpath-group";
/// The header that carries the fencing token of that group's membership.
pub const FENCE_HEADER: &str = "cyclamenpath-fence";
/// The header that names a request; workers echo it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header in which an endpoint or entry says what became of a request.
pub const OUTCOME_HEADER: &str = "cyclamenpath-outcome";
/// The outcome of a request that certainly did not run.
pub const NOT_RUN: &str = "not-run";

//! A monotonic copy of the platform's shared rows.
//!
//! Every entry instance holds a [`Cache`] of the rows under the shared
//! prefix: the two tables, the entries and the fabric domains. It is filled
//! from the table service and, while that is down, from other entries. A row
//! is replaced only by one of a higher revision, so that accepted configuration
//! never reverts, whatever the source and order of updates.

mod cache;
mod types;

pub use cache::{Cache, Outcome};
pub use types::{Delta, Era, Key, Revision, Row};

//! Rate limits of workers that hold over all entries together.
//!
//! A worker in need names the rate of requests that it takes. [`Limits`] keeps what
//! workers named, from their own responses and from gossip.

mod limits;
mod rate;

pub use limits::{Change, Limits, Report};
pub use rate::{Naming, Rate};

//! Rate limits of workers that hold over all entries together.
//!
//! A worker in need names the rate of requests that it takes; a cold one has a
//! rate of its service. [`Limits`] keeps what workers named, from their own responses
//! and from gossip. For each worker one entry issues permits ([`Issuer`]); an entry
//! sends a request to a limited worker only with a permit, so that what is sent never
//! depends on how many entries there are and what they know of each other.

mod issuer;
mod limits;
mod members;
mod permits;
mod rate;

pub use issuer::{Ask, Decision, Issuer};
pub use limits::{Change, Limits, Report};
pub use members::Members;
pub use permits::{PERMIT_LIFETIME, Permit, Permits};
pub use rate::{Naming, Rate};

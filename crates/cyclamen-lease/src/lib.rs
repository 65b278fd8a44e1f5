//! Leases of entry instances and their expiry.
//!
//! An entry holds what it owns for as long as its lease row is renewed in the
//! table service. The holder measures its lease from before a renewal was
//! sent; an observer measures it from after it saw the row. No clocks are
//! compared: an observer deletes the row on the condition that it has not been
//! renewed, after which the holder can never renew it again.

mod holder;
mod observer;
mod types;

pub use holder::Holder;
pub use observer::Observer;
pub use types::{Options, Renewal};

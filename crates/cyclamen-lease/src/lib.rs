//! Leases of entry instances and their expiry.
//!
//! An entry keeps what it owns for as long as its lease row is renewed in the
//! table service. The holder measures its lease from before it sent a renewal;
//! an observer measures it from after it read the row. Clocks are never
//! compared: an observer deletes the row on the condition that it has not been
//! renewed, after which the holder can no longer renew it.

mod holder;
mod observer;
mod types;

pub use holder::Holder;
pub use observer::Observer;
pub use types::{Options, Renewal};

//! At-most-once claims for calls that may not be repeated.
//!
//! Before a call is sent, its key is claimed by a row in the table service.
//! The row names the attempt. An entry that does not learn in time whether
//! its claim was written gives the attempt up and never sends it; it
//! remembers so, and another entry that finds the row can ask. Nothing here
//! relies on clocks or leases: a row whose attempt may have been sent is never
//! replaced.

mod acquisition;
mod attempts;
mod decision;
mod record;

pub use acquisition::{Acquisition, Action, Event, Refusal};
pub use attempts::{Attempts, Fate};
pub use record::{Answer, Attempt, Claimant, Digest, Record, State};

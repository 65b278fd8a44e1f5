//! At-most-once claims for calls that may not be repeated.
//!
//! Before a call is sent, its key is claimed by a row in the table service.
//! The row names the attempt. If the write of the claim is not confirmed in
//! time, the entry abandons the attempt and never sends it. It records this,
//! so that another entry that finds the row can query the progress of the
//! attempt. Correctness depends on neither clocks nor leases: a row whose attempt
//! may have been sent is never replaced by the claim of another attempt.

mod acquisition;
mod attempts;
mod decision;
mod record;

pub use acquisition::{Acquisition, Action, Event, Refusal};
pub use attempts::{Attempts, Progress, Report};
pub use record::{Answer, Attempt, Claimant, Digest, Record, State};

//! Decisions of a graceful shutdown.
//!
//! All steps are due at times counted from the shutdown signal, never from the end of another step:
//! what is awaited in one of them can't extend the time in which requests are accepted. A request is
//! accepted only if it ends before the remaining ones are aborted: certainly, by its deadline, or, as long
//! as new connections are accepted and it may be repeated, by the durations of earlier ones.

mod durations;
mod schedule;

pub use durations::Durations;
pub use schedule::{Options, Phase, Request, Schedule};

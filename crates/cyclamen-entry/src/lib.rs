//! The entry instance: the process between callers and endpoints.
//!
//! The crates that this one depends on make the decisions. This crate implements
//! the process around them: the listeners for callers, operators and other
//! entries, the tasks that keep the node's state up to date, and startup and
//! shutdown.

mod caller;
mod clock;
mod node;
mod operator;
mod run;
mod tasks;
mod telemetry;

pub mod settings;

pub use operator::Status;
pub use run::{Handle, run, start};
pub use settings::Settings;

//! An entry instance for workers that hold the state of their replica groups themselves,
//! called a gateway.
//!
//! A platform adapter ([`platform::Platform`]) provides the operators' configuration
//! and the list of instances, sends orders to workers, and names the headers.
//! The crates that this one depends on make the decisions. This crate runs the
//! process around them: the listeners, the tasks that keep the node's state up
//! to date, and startup and shutdown.

mod clock;
mod descriptors;
mod frontend;
mod handover;
mod metrics;
mod node;
mod run;
mod tasks;

pub mod platform;
pub mod settings;

pub use run::{Handle, run, start};
pub use settings::Settings;

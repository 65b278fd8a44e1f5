//! The entry instance before workers that keep their replica groups themselves.
//!
//! An adapter ([`platform::Platform`]) brings the operators' configuration and the
//! list of instances, carries orders to workers, and names the headers. The
//! decisions are made by the crates below this one. Here are the process
//! around them: the listeners, the tasks that keep the node's state up to
//! date, and its start and shutdown.

mod clock;
mod frontend;
mod metrics;
mod node;
mod run;
mod tasks;

pub mod platform;
pub mod settings;

pub use run::{Handle, run, start};
pub use settings::Settings;

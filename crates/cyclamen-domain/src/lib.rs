//! Replica groups and admission within one fabric domain.
//!
//! One entry instance at a time owns a fabric domain through its row in the
//! table service. Only the owner forms the domain's replica groups, monitors
//! their members and admits requests to them, so that group membership, cold
//! limits and drains are decided in one place. The crate performs no I/O:
//! results depend only on the state, the event and the current time, and the
//! calling process reads, writes and sends.

mod admission;
mod domain;
mod load;
mod monitor;
mod options;
mod plan;
mod queue;
mod reconcile;
mod repair;
mod row;

pub mod listing;
pub mod report;

pub use admission::{Decision, Ending, Grant, Refusal, Request};
pub use domain::{Domain, Summary};
pub use listing::Listing;
pub use monitor::Health;
pub use options::Options;
pub use plan::{Order, Step};
pub use queue::QueueId;
pub use repair::{Policy, Repair};
pub use report::Report;
pub use row::{Group, Member, Owner, Row, Violation};

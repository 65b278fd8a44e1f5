//! Replica groups and admission within one fabric domain.
//!
//! One entry instance at a time owns a fabric domain by its row in the table
//! service. The owner alone forms the domain's replica groups, watches their
//! members and admits work to them, so that group membership, cold limits and
//! drains are decided in one place. Everything here is a function of state,
//! event and the present time; the process around it does the input and output.

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

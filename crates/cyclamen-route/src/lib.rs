//! Load balancing over fabric domains, team limits, retry budget and crash containment.
//!
//! These decisions are made by the entry that received a request from a caller.
//! Decisions that need the state of a fabric domain's owner are in `cyclamen-domain`.

pub mod balancer;
pub mod budget;
pub mod containment;
pub mod limit;
pub mod outage;
pub mod rendezvous;

pub use balancer::Balancer;
pub use budget::RetryBudget;
pub use containment::Strikes;
pub use limit::Limiter;
pub use outage::Outages;

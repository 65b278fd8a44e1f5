//! Choice of a domain, limits, retry budget and crash containment.
//!
//! These are the decisions of the entry that took a request from a caller.
//! What only the owner of a fabric domain can know is in `cyclamen-domain`.

pub mod balancer;
pub mod budget;
pub mod containment;
pub mod limit;
pub mod outage;
pub mod rendezvous;

pub use balancer::Board;
pub use budget::Budget;
pub use containment::Suspects;
pub use limit::Limiter;
pub use outage::Gaps;

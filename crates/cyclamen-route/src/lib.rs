//! Choice of a domain, limits, retry budget and crash containment.
//!
//! These are the decisions of the entry that took a request from a caller.
//! What only the owner of a fabric domain can know is in `cyclamen-domain`.

pub mod board;
pub mod budget;
pub mod gap;
pub mod limit;
pub mod rendezvous;
pub mod suspect;

pub use board::Board;
pub use budget::Budget;
pub use gap::Gaps;
pub use limit::Limiter;
pub use suspect::Suspects;

//! Which workers form replica groups of which models.
//!
//! Every entry works out from the platform's list which groups are whole
//! ([`Groups`]). The owner of a fabric domain gives orders to its workers
//! ([`Planner`]). The groups themselves are kept by the workers, which refuse
//! orders with an old fencing number; nothing is formed anew that still serves.

mod counts;
mod detector;
mod groups;
mod order;
mod planner;

pub use counts::{GroupCounts, target_counts};
pub use detector::{Detector, Limits, Start};
pub use groups::{Group, Groups, State};
pub use order::{Command, Ending, Order};
pub use planner::{Options, Planner, Scene, Worker};

//! Formation of replica groups and failure detection of their workers.
//!
//! Every entry derives from the platform's list of instances which groups are
//! complete ([`Groups`]). The owner of a fabric domain sends orders to its
//! workers ([`Planner`]). The workers hold the state of the groups and refuse
//! orders with an obsolete fencing token. A new owner keeps the groups that still
//! serve.

mod balance;
mod counts;
mod demand;
mod detector;
mod groups;
mod order;
mod planner;
mod reach;

pub use balance::{Balance, Guidance, Shift, Site, sites};
pub use counts::{GroupCounts, Shares, following_counts, target_counts};
pub use demand::{Demand, Meter, Needs, Report, needs, total};
pub use detector::{Detector, Start, Timing};
pub use groups::{Group, Groups, State};
pub use order::{CloseMode, Command, Order, Outcome};
pub use planner::{Conversion, Direction, Options, Planner, View, Worker, loading_domains};
pub use reach::{Change, Reach};

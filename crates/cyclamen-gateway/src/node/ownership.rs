//! The fabric domains whose groups this entry looks after.

use std::collections::BTreeMap;

use cyclamen_cache::Revision;
use cyclamen_domain::Owner;
use cyclamen_lease::Observer;
use cyclamen_replica::Planner;
use cyclamen_types::{Time, domain};

/// The owner of a fabric domain, as its row says.
#[derive(Debug, Clone)]
pub(crate) struct Holding {
    pub(crate) owner: Owner,
    pub(crate) revision: Revision,
}

/// Who looks after which fabric domain.
pub(crate) struct Ownership {
    /// The domains' rows as last read or written.
    pub(crate) holdings: BTreeMap<domain::Name, Holding>,
    /// The planners of own domains.
    pub(crate) planners: BTreeMap<domain::Name, Planner>,
    /// The leases of other entries.
    pub(crate) observer: Observer<Owner>,
    /// Whether there are domains to take over, for which a lease is needed.
    pub(crate) wanting: bool,
    /// When the lease was last renewed.
    pub(crate) renewed: Option<Time>,
    /// When the rows were last read.
    pub(crate) read: Option<Time>,
}

impl Ownership {
    pub(crate) fn new(lease: cyclamen_lease::Options) -> Self {
        Self {
            holdings: BTreeMap::new(),
            planners: BTreeMap::new(),
            observer: Observer::new(lease),
            wanting: false,
            renewed: None,
            read: None,
        }
    }
}

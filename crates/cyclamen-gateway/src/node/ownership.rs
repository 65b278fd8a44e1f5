//! The owners of fabric domains, and the planners of the domains that this entry owns.

use std::collections::BTreeMap;

use cyclamen_cache::Revision;
use cyclamen_domain::Owner;
use cyclamen_lease::Observer;
use cyclamen_replica::Planner;
use cyclamen_route::rendezvous::Ranking;
use cyclamen_types::{Time, domain, entry};

/// The stored row of a fabric domain, which names its owner.
#[derive(Debug, Clone)]
pub(crate) struct OwnerRow {
    pub(crate) owner: Owner,
    pub(crate) revision: Revision,
}

/// The ownership of fabric domains.
pub(crate) struct Ownership {
    /// The rows of the domains, as last read or written.
    pub(crate) owner_rows: BTreeMap<domain::Name, OwnerRow>,
    /// The planners of the domains that this entry owns.
    pub(crate) planners: BTreeMap<domain::Name, Planner>,
    /// The leases of other entries.
    pub(crate) observer: Observer<Owner>,
    /// Whether this entry needs a lease because there are domains to take over.
    pub(crate) needs_lease: bool,
    /// When the lease was last renewed.
    pub(crate) renewed_at: Option<Time>,
    /// When the rows of entries and domains were last read.
    pub(crate) read_at: Option<Time>,
    /// The candidates for the ownership of each domain in order of rank; the first live one
    /// takes it over.
    ///
    /// Candidates gossip with each other, so that each can detect when a higher-ranked one fails.
    pub(crate) candidates: Ranking<domain::Name, entry::Name>,
}

impl Ownership {
    pub(crate) fn new(lease: cyclamen_lease::Options) -> Self {
        Self {
            owner_rows: BTreeMap::new(),
            planners: BTreeMap::new(),
            observer: Observer::new(lease),
            needs_lease: false,
            renewed_at: None,
            read_at: None,
            candidates: Ranking::default(),
        }
    }
}

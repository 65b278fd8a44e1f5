//! The other entries.

use std::net::SocketAddr;
use std::sync::Arc;

use cyclamen_cache::Revision;
use cyclamen_directory::catalog::Version;
use cyclamen_peer::{Capability, Gossip};
use cyclamen_replica::Demand;
use cyclamen_types::{Time, domain, entry, pool};

/// What another entry knew when its gossip last arrived.
#[derive(Debug, Clone, Default)]
pub(crate) struct Knowledge {
    /// When the gossip arrived.
    pub(crate) heard_at: Option<Time>,
    /// The version of the operators' configuration that was in force there.
    pub(crate) catalog_version: Version,
    /// The revision up to which its list of instances was complete.
    pub(crate) as_of: Revision,
    /// The revision up to which it had the operators' rows.
    pub(crate) operators_as_of: Revision,
    /// The address on which it takes requests that are handed over.
    pub(crate) handover: Option<SocketAddr>,
    /// What it had no worker for, of the configured services and models.
    pub(crate) unserved: Arc<[Capability]>,
    /// The services whose workers it did not reach.
    pub(crate) cut_off: Arc<[pool::Service]>,
    /// The scopes for whose workers it issued permits.
    pub(crate) issues: Arc<[domain::Name]>,
    /// Whether it sends to limited workers only with permits.
    pub(crate) uses_permits: bool,
    /// Whether it was draining.
    pub(crate) is_draining: bool,
    /// When the store last answered it.
    pub(crate) store_answered_at: Time,
    /// The demand of its callers, as it last said, and when.
    pub(crate) demands: Option<(Time, Arc<[Demand]>)>,
}

impl Knowledge {
    /// Returns what the sender of a message knows.
    pub(crate) fn of(now: Time, gossip: &Gossip) -> Self {
        Self {
            heard_at: Some(now),
            catalog_version: gossip.catalog_version,
            as_of: gossip.as_of,
            operators_as_of: gossip.operators_as_of,
            handover: gossip.handover,
            unserved: gossip.unserved.as_slice().into(),
            cut_off: gossip.cut_off.as_slice().into(),
            issues: gossip.issues.as_slice().into(),
            uses_permits: gossip.uses_permits,
            is_draining: gossip.is_draining,
            store_answered_at: now - gossip.store_age,
            demands: (!gossip.demands.is_empty()).then(|| (now, gossip.demands.as_slice().into())),
        }
    }

    /// Takes over what the sender does not say because it has just started.
    pub(crate) fn or_last(self, last: &Self) -> Self {
        Self {
            demands: self.demands.or_else(|| last.demands.clone()),
            ..self
        }
    }
}

/// Another entry.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// Its incarnation, from its lease row or its gossip.
    pub(crate) incarnation: entry::Incarnation,
    /// The address on which it listens for other entries.
    pub(crate) address: SocketAddr,
    /// Whether it is in the availability zone of this entry.
    pub(crate) same_zone: bool,
    /// When gossip of its current incarnation first arrived.
    pub(crate) incarnation_seen_at: Option<Time>,
    /// What it knew at its last gossip.
    pub(crate) knowledge: Knowledge,
    /// Whether this entry has a gossip call to it in progress.
    pub(crate) call_in_progress: bool,
}

impl Peer {
    /// Creates another entry from which no gossip has arrived.
    pub(crate) fn new(
        incarnation: entry::Incarnation,
        address: SocketAddr,
        same_zone: bool,
    ) -> Self {
        Self {
            incarnation,
            address,
            same_zone,
            knowledge: Knowledge::default(),
            incarnation_seen_at: None,
            call_in_progress: false,
        }
    }
}

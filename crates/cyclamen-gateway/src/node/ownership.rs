//! The owners of fabric domains, and the planners of the domains that this entry owns.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cyclamen_cache::Revision;
use cyclamen_domain::Owner;
use cyclamen_lease::Observer;
use cyclamen_replica::Planner;
use cyclamen_route::rendezvous::Ranking;
use cyclamen_types::{Time, domain, entry};

use crate::platform::Table;

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
    /// The rows of domains that cannot be read, with their revisions and when they were first seen.
    unreadable: BTreeMap<domain::Name, (Revision, Time)>,
    /// The planners of the domains that this entry owns.
    pub(crate) planners: BTreeMap<domain::Name, Planner>,
    /// The leases of other entries.
    pub(crate) observer: Observer<Owner, Revision>,
    /// Whether this entry needs a lease because there are domains to take over.
    pub(crate) needs_lease: bool,
    /// When the lease is renewed next while this entry neither owns nor takes over a domain.
    pub(crate) idle_renewal_at: Time,
    /// The domains that this entry owned in the former era of the store.
    pub(crate) formerly_owned: BTreeSet<domain::Name>,
    /// When all leases of the former era of the store have expired; `None` in the first era that
    /// this entry knows.
    pub(crate) takeovers_from: Option<Time>,
    /// When the rows of domains are to be read even if there is none to take over.
    read_domains_at: Option<Time>,
    /// When the rows of entries and domains were last read.
    pub(crate) read_at: Option<Time>,
    /// The candidates for the ownership of each domain in order of rank; the first live one
    /// takes it over.
    ///
    /// Candidates gossip with each other, so that each can detect when a higher-ranked one fails.
    pub(crate) candidates: Ranking<domain::Name, entry::Name>,
    /// When this entry took each domain over from another entry.
    pub(crate) taken_over_at: BTreeMap<domain::Name, Time>,
    lease: cyclamen_lease::Options,
}

impl Ownership {
    pub(crate) fn new(lease: cyclamen_lease::Options) -> Self {
        Self {
            owner_rows: BTreeMap::new(),
            unreadable: BTreeMap::new(),
            planners: BTreeMap::new(),
            observer: Observer::new(lease),
            needs_lease: false,
            idle_renewal_at: Time::default(),
            formerly_owned: BTreeSet::new(),
            takeovers_from: None,
            read_domains_at: None,
            lease,
            read_at: None,
            candidates: Ranking::default(),
            taken_over_at: BTreeMap::new(),
        }
    }

    /// Returns the conditions that the rows of the owned domains are unchanged.
    pub(crate) fn conditions(&self) -> impl Iterator<Item = (Table, Arc<str>, Revision)> {
        let rows = self.planners.keys();
        let rows = rows.filter_map(|name| Some((name, self.owner_rows.get(name)?)));
        rows.map(|(name, row)| (Table::Domains, name.as_str().into(), row.revision))
    }

    /// Records the rows of all domains as of a revision, and gives up the domains whose rows have
    /// changed.
    pub(crate) fn record_rows(
        &mut self,
        as_of: Revision,
        mut rows: BTreeMap<domain::Name, OwnerRow>,
    ) {
        let known = std::mem::take(&mut self.owner_rows);
        let revision = |name: &domain::Name| known.get(name).map(|row| row.revision);
        self.planners.retain(|name, _| {
            let known = revision(name);
            let is_newer = known.is_some_and(|known| known > as_of);
            let kept = is_newer || rows.get(name).map(|row| row.revision) == known;
            if !kept {
                log::warn!("event=domain_lost domain={name}");
            }
            kept
        });
        rows.extend(known.into_iter().filter(|(_, row)| row.revision > as_of));
        self.owner_rows = rows;
        self.read_domains_at = None;
    }

    /// Records the revisions of all rows of domains that cannot be read.
    pub(crate) fn record_unreadable(&mut self, now: Time, rows: BTreeMap<domain::Name, Revision>) {
        let known = std::mem::take(&mut self.unreadable);
        let since = |name: &domain::Name, revision: Revision| {
            let known = known.get(name).filter(|(known, _)| *known == revision);
            known.map_or(now, |(_, since)| *since)
        };
        let rows = rows.into_iter().map(|(name, revision)| {
            let since = since(&name, revision);
            (name, (revision, since))
        });
        self.unreadable = rows.collect();
    }

    /// Returns the revision that the row of a domain has to have for a takeover.
    pub(crate) fn revision(&self, domain: &domain::Name) -> Revision {
        let row = self.owner_rows.get(domain).map(|row| row.revision);
        let unreadable = || self.unreadable.get(domain).map(|(revision, _)| *revision);
        row.or_else(unreadable).unwrap_or(Revision::ABSENT)
    }

    /// Returns whether a domain may have an owner that its row, which cannot be read, does not tell.
    ///
    /// That owner renews its lease only if the row has not changed, so its lease expires.
    pub(crate) fn may_have_unknown_owner(&self, now: Time, domain: &domain::Name) -> bool {
        let lease = self.lease.lifetime + self.lease.margin;
        let unreadable = self.unreadable.get(domain);
        unreadable.is_some_and(|(_, since)| now.since(*since) < lease)
    }

    /// Returns whether the rows of domains are to be read even if there is none to take over.
    pub(crate) fn must_read_domains(&self, now: Time) -> bool {
        self.read_domains_at.is_some_and(|at| now >= at)
    }

    /// Returns whether a domain belongs to `local`: its row says so, or the row was lost with the
    /// former era of the store, in which `local` owned the domain.
    ///
    /// Until the leases of the former era have expired, only its last owner counts; the row of a
    /// copy may name an earlier one.
    pub(crate) fn is_owner(&self, now: Time, domain: &domain::Name, local: &Owner) -> bool {
        let was_last = !self.allows_takeovers(now) && self.formerly_owned.contains(domain);
        match self.owner_rows.get(domain) {
            Some(row) => row.owner == *local && (was_last || self.allows_takeovers(now)),
            None => was_last && self.read_domains_at.is_none(),
        }
    }

    /// Returns whether a domain may be taken over by another entry than its owner in the former
    /// era of the store.
    pub(crate) fn allows_takeovers(&self, now: Time) -> bool {
        self.takeovers_from.is_none_or(|from| now >= from)
    }

    /// Gives up all domains at the beginning of an era of the store.
    ///
    /// Another entry that does not know of the era yet may act on a lease of the former one until
    /// that has expired, so only domains that were this entry's own are taken over before.
    pub(crate) fn begin_era(&mut self, now: Time, idle_renewal_at: Time) {
        self.formerly_owned.extend(self.planners.keys().cloned());
        self.planners.clear();
        self.owner_rows.clear();
        self.unreadable.clear();
        self.observer = Observer::new(self.lease);
        self.takeovers_from = Some(now + self.lease.lifetime + self.lease.margin);
        self.idle_renewal_at = idle_renewal_at;
        let read_at = if self.formerly_owned.is_empty() {
            idle_renewal_at
        } else {
            now
        };
        self.read_domains_at = Some(read_at);
        self.read_at = None;
    }
}

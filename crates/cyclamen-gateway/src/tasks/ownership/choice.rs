//! Chooses the fabric domains that this entry takes over and those that it gives up.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cyclamen_domain::Owner;
use cyclamen_types::{Time, domain, entry, pool};

use crate::node::{Peer, State};

/// How long an owner is cut off before it gives a domain up.
const MIN_CUT: Duration = Duration::from_secs(1);

/// The state on which the choice depends.
pub(super) struct Choice<'a> {
    state: &'a State,
    now: Time,
    /// How long after its last gossip another entry counts as alive.
    silence: Duration,
    /// The services of each domain; none if no entry lacks a path.
    services: BTreeMap<&'a domain::Name, BTreeSet<&'a pool::Service>>,
}

impl<'a> Choice<'a> {
    pub(super) fn new(state: &'a State, now: Time, silence: Duration) -> Self {
        let lacks_any = |peer: &Peer| !peer.knowledge.cut_off.is_empty();
        let is_needed = state.reach.has_lost() || state.peers.values().any(lacks_any);
        Self {
            state,
            now,
            silence,
            services: if is_needed {
                services(state)
            } else {
                BTreeMap::new()
            },
        }
    }

    /// Returns the domains that this entry should take over: its own ones that it does not plan,
    /// and those without a live owner that reaches their workers, for which it ranks before all
    /// other candidates.
    pub(super) fn to_take_over(&self) -> Vec<domain::Name> {
        let ownership = &self.state.ownership;
        let local = &self.state.local;
        let allowed = ownership.allows_takeovers(self.now);
        let unplanned = ownership.candidates.iter();
        let unplanned = unplanned.filter(|(name, _)| !ownership.planners.contains_key(*name));
        let to_take_over = unplanned.filter(|(name, candidates)| {
            let is_own = ownership.is_owner(self.now, name, local);
            let may_keep = || !self.can_move(name, candidates);
            let is_first = || self.first(name, candidates) == Some(&local.entry);
            (is_own && may_keep()) || (allowed && self.is_unowned(name) && is_first())
        });
        to_take_over.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the domains of this entry from whose workers it has been cut off for a while, if
    /// another candidate reaches them.
    pub(super) fn to_give_up(&self) -> Vec<domain::Name> {
        let ownership = &self.state.ownership;
        if !ownership.allows_takeovers(self.now) || self.services.is_empty() {
            return Vec::new();
        }
        let local = &self.state.local;
        let domains = ownership.candidates.iter();
        let to_give_up = domains.filter(|(name, candidates)| {
            let row = ownership.owner_rows.get(*name);
            let is_own = row.is_some_and(|row| row.owner == *local);
            is_own && self.is_long_cut_off(name) && self.can_move(name, candidates)
        });
        to_give_up.map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether another candidate reaches the workers of a domain and this entry does not.
    fn can_move(&self, domain: &domain::Name, candidates: &[entry::Name]) -> bool {
        let local = &self.state.local.entry;
        let mut others = candidates.iter().filter(|entry| *entry != local);
        let reaches = |entry| self.is_alive(entry) && !self.lacks_path(entry, domain);
        self.lacks_path(local, domain) && others.any(reaches)
    }

    /// Returns the candidate that takes over a domain: the first live one that reaches its
    /// workers, or the first live one if none does.
    fn first<'b>(
        &self,
        domain: &domain::Name,
        candidates: &'b [entry::Name],
    ) -> Option<&'b entry::Name> {
        let live = || candidates.iter().filter(|entry| self.is_alive(entry));
        let with_path = live().find(|entry| !self.lacks_path(entry, domain));
        with_path.or_else(|| live().next())
    }

    /// Returns whether a domain has no owner, by all that is known, that can plan it.
    fn is_unowned(&self, domain: &domain::Name) -> bool {
        let ownership = &self.state.ownership;
        let Some(row) = ownership.owner_rows.get(domain) else {
            return !ownership.may_have_unknown_owner(self.now, domain);
        };
        let owner = &row.owner;
        let may_have_given_up = || {
            let local = &self.state.local.entry;
            self.lacks_path(&owner.entry, domain) && !self.lacks_path(local, domain)
        };
        !self.is_alive(&owner.entry)
            || is_former_incarnation(self.state, owner)
            || may_have_given_up()
    }

    fn is_alive(&self, entry: &entry::Name) -> bool {
        let peer = self.state.peers.get(entry);
        let peer = peer.filter(|peer| !peer.knowledge.is_draining);
        let last_heard = peer.and_then(|peer| peer.knowledge.heard_at);
        *entry == self.state.local.entry
            || last_heard.is_some_and(|at| self.now.since(at) < self.silence)
    }

    /// Returns whether an entry does not reach the workers of some service of a domain.
    fn lacks_path(&self, entry: &entry::Name, domain: &domain::Name) -> bool {
        let Some(services) = self.services.get(domain) else {
            return false;
        };
        let state = self.state;
        let mut services = services.iter();
        if *entry == state.local.entry {
            return services.any(|service| state.reach.is_lost(service));
        }
        let peer = state.peers.get(entry);
        peer.is_some_and(|peer| services.any(|service| peer.knowledge.cut_off.contains(service)))
    }

    fn is_long_cut_off(&self, domain: &domain::Name) -> bool {
        let services = self.services.get(domain).into_iter().flatten();
        let mut since = services.filter_map(|service| self.state.reach.cut_off_since(service));
        since.any(|since| self.now.since(since) >= MIN_CUT)
    }
}

/// Returns the services with models that have workers in each domain.
fn services(state: &State) -> BTreeMap<&domain::Name, BTreeSet<&pool::Service>> {
    let mut services: BTreeMap<&domain::Name, BTreeSet<&pool::Service>> = BTreeMap::new();
    for record in state.registry.records() {
        let instance = &record.instance;
        let service = state.catalog.service(&instance.service);
        let has_models = service.is_some_and(|service| service.engine.is_some());
        if let Some(domain) = instance.domain.as_ref().filter(|_| has_models) {
            services
                .entry(domain)
                .or_default()
                .insert(&instance.service);
        }
    }
    services
}

/// Returns whether an owner is a former incarnation of an entry that has restarted.
fn is_former_incarnation(state: &State, owner: &Owner) -> bool {
    if owner.entry == state.local.entry {
        return owner.incarnation != state.local.incarnation;
    }
    let peer = state.peers.get(&owner.entry);
    peer.is_some_and(|peer| peer.incarnation != owner.incarnation)
}

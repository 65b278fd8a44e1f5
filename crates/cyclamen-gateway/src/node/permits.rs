//! Which entry issues the permits for limited workers.
//!
//! The owner of a fabric domain does so for the workers of the domain; its lease in the store makes sure
//! that it is the only one. A service without domains is owned like a domain, under a name of
//! its own.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_directory::Instance;
use cyclamen_directory::service::Service;
use cyclamen_peer::message::{PermitRequest, PermitResponse};
use cyclamen_quota::{Ask, Rate};
use cyclamen_types::{Time, domain, entry, instance};
use rand::seq::IndexedRandom;

use crate::node::{Peer, State};
use crate::tasks::SMALL_FLEET_PEERS;

/// The prefix of the names under which services without domains are owned.
const SERVICE_SCOPE_PREFIX: &str = "service.";
/// How long an owner that has taken a scope over from another entry issues nothing. An owner whose lease
/// could not be renewed since the store was away may go on for so long before it hears that the
/// store is back.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_500);

/// Who issues the permits of a scope.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PermitSource {
    /// This entry.
    Local,
    /// Another entry.
    Peer {
        /// Its name.
        entry: entry::Name,
        /// The address on which it listens for other entries.
        address: SocketAddr,
    },
    /// An entry of an earlier build, which issues none: each entry has an equal part of the limit.
    Parts(usize),
    /// None that is known.
    Unknown,
}

/// Returns the scope of a service's workers that have no fabric domain.
pub(crate) fn service_scope(service: &Service) -> Option<domain::Name> {
    let name = format!("{SERVICE_SCOPE_PREFIX}{}", service.name);
    name.parse().ok()
}

/// Returns whether a scope is that of a service without fabric domains.
pub(crate) fn is_service_scope(scope: &domain::Name) -> bool {
    scope.as_str().starts_with(SERVICE_SCOPE_PREFIX)
}

/// Returns the scope to which a worker of a fabric domain, or of none, belongs.
pub(crate) fn scope(service: &Service, domain: Option<&domain::Name>) -> Option<domain::Name> {
    let domain = domain.filter(|_| service.engine.is_some());
    domain.cloned().or_else(|| service_scope(service))
}

impl State {
    /// Returns the scopes for whose workers this entry issues permits.
    pub(crate) fn issued_scopes(&self, now: Time) -> Vec<domain::Name> {
        let owned = self.ownership.planners.keys();
        owned
            .filter(|scope| self.issues(now, scope))
            .cloned()
            .collect()
    }

    /// Returns whether this entry issues the permits of a worker.
    pub(crate) fn issues_for(&self, now: Time, worker: &Instance) -> bool {
        let service = self.catalog.service(&worker.service);
        let scope = service.and_then(|service| scope(service, worker.domain.as_ref()));
        scope.is_some_and(|scope| self.issues(now, &scope))
    }

    /// Returns whether this entry issues the permits of a scope.
    fn issues(&self, now: Time, scope: &domain::Name) -> bool {
        let taken_over_at = self.ownership.taken_over_at.get(scope);
        self.ownership.planners.contains_key(scope)
            && taken_over_at.is_none_or(|at| now.since(*at) >= TAKEOVER_DELAY)
            && (self.lease.is_held(now) || self.is_store_away(now))
    }

    /// Returns whether nobody can have taken over what this entry owns since its lease expired,
    /// because the store has answered no other entry since then, as far as most of them say.
    fn is_store_away(&self, now: Time) -> bool {
        let Some(expired_at) = self.lease.expires_at() else {
            return false;
        };
        let heard = self.peers.values().filter(|peer| peer.is_heard(now));
        let mut count = 0;
        for peer in heard {
            if peer.knowledge.store_answered_at >= expired_at {
                return false;
            }
            count += 1;
        }
        2 * count >= self.peers.len()
    }

    /// Returns who issues the permits of a scope.
    pub(crate) fn permit_source(&mut self, now: Time, scope: &domain::Name) -> PermitSource {
        if self.issues(now, scope) {
            return PermitSource::Local;
        }
        let mut peers = self.peers.iter();
        let issuer = peers.find(|(_, peer)| peer.is_heard(now) && peer.issues(scope));
        if let Some((entry, peer)) = issuer {
            return PermitSource::Peer {
                entry: entry.clone(),
                address: peer.address,
            };
        }
        if self.peers.len() > SMALL_FLEET_PEERS {
            return self.distant_source(scope);
        }
        let owner = self.ownership.owner_rows.get(scope);
        let owner = owner.and_then(|row| self.peers.get(&row.owner.entry));
        match owner {
            Some(owner) if owner.is_heard(now) && !owner.knowledge.uses_permits => {
                PermitSource::Parts(self.entry_count())
            }
            _ => PermitSource::Unknown,
        }
    }

    /// Returns the entry to ask in a large fleet, in which not all entries gossip with each other: the
    /// one that decided last, or else one of the candidates.
    fn distant_source(&mut self, scope: &domain::Name) -> PermitSource {
        let known = self.issuers.get(scope);
        let known = known.filter(|entry| self.peers.contains_key(*entry));
        let entry = match known {
            Some(entry) => entry.clone(),
            None => {
                let candidates = self.ownership.candidates.of(scope);
                let others: Vec<_> = candidates
                    .iter()
                    .filter(|entry| **entry != self.local.entry)
                    .collect();
                match others.choose(&mut self.rng) {
                    Some(entry) => (*entry).clone(),
                    None => return PermitSource::Unknown,
                }
            }
        };
        match self.peers.get(&entry) {
            Some(peer) => PermitSource::Peer {
                entry,
                address: peer.address,
            },
            None => PermitSource::Unknown,
        }
    }

    /// Decides on another entry's request for a permit.
    pub(crate) fn respond_permit(&mut self, now: Time, request: PermitRequest) -> PermitResponse {
        if !self.issues(now, &request.scope) {
            return PermitResponse::NotIssuer;
        }
        let ask = request.ask;
        let known = self.known_limit(now, &ask.instance, ask.incarnation);
        let rate = known.map_or(ask.rate, |known| known.min(ask.rate));
        PermitResponse::Decided(self.issuer.issue(now, &Ask { rate, ..ask }))
    }

    /// Returns the rate limit of a worker over all entries together, if this entry knows of one.
    ///
    /// Entries of an earlier build use equal parts of the limits of cold workers without asking.
    pub(crate) fn known_limit(
        &self,
        now: Time,
        id: &instance::Id,
        incarnation: instance::Incarnation,
    ) -> Option<Rate> {
        let named = self.limits.get(id, incarnation);
        let record = self.registry.get(id);
        let record = record.filter(|record| record.instance.incarnation == incarnation);
        let cold = record.and_then(|record| {
            let service = self.catalog.service(&record.instance.service)?;
            let is_cold = !record.remaining_cold(now).is_zero();
            let rate = service.cold_per_second.filter(|_| is_cold)?;
            Rate::new(rate).map(|rate| rate.share(self.permit_share()))
        });
        match (named, cold) {
            (Some(named), Some(cold)) => Some(named.min(cold)),
            (named, cold) => named.or(cold),
        }
    }

    /// Returns the fraction of the entries that ask for permits; in a large fleet, of those that this
    /// one gossips with.
    fn permit_share(&self) -> f64 {
        let heard = self.peers.values();
        let heard = heard.filter(|peer| peer.knowledge.heard_at.is_some());
        let (mut all, mut asking) = (1.0, 1.0);
        for peer in heard {
            all += 1.0;
            if peer.knowledge.uses_permits {
                asking += 1.0;
            }
        }
        asking / all
    }
}

impl Peer {
    /// Returns whether the entry issues the permits of a scope, by its last gossip.
    fn issues(&self, scope: &domain::Name) -> bool {
        self.knowledge.issues.contains(scope)
    }
}

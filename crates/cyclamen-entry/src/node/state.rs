//! The state of the node.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use cyclamen_cache::{Cache, Revision};
use cyclamen_claim::Attempts;
use cyclamen_domain::{Decision, Domain, Owner, QueueId};
use cyclamen_drain::{Durations, Schedule};
use cyclamen_lease::{Holder, Observer};
use cyclamen_peer::message::PoolSummary;
use cyclamen_route::{
    Balancer, Limiter, Outages, RetryBudget, Strikes, balancer, budget, containment, limit,
    rendezvous,
};
use cyclamen_tables::{Document, Pools, Routes};
use cyclamen_types::{Time, domain, entry, pool, route};
use futures::channel::oneshot;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::node::record::Entry;
use crate::settings::{Settings, millis};

/// How long an attempt at a call that must not be repeated is kept in memory.
const ATTEMPT_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// The time from the expiry of a lease until a new owner admits requests.
const TAKEOVER_TIME: Duration = Duration::from_secs(8);

/// The key of a request queued in one of this entry's domains.
pub(crate) type QueueKey = (domain::Name, QueueId);

/// The state of the node.
pub(crate) struct State {
    pub(crate) me: Owner,
    pub(crate) zone: cyclamen_types::zone::Name,
    pub(crate) lease: Holder,
    pub(crate) lease_revision: Option<Revision>,
    pub(crate) observer: Observer<Owner, Revision>,
    pub(crate) cache: Cache,
    pub(crate) synced_at: Option<Time>,
    pub(crate) routes: Arc<Document<Routes>>,
    pub(crate) pools: Arc<Document<Pools>>,
    pub(crate) entries: BTreeMap<Owner, Entry>,
    pub(crate) first_seen: BTreeMap<Owner, Time>,
    /// The candidates for which `assigned_owners` was computed.
    assigned_candidates: Vec<Owner>,
    /// The entry that each domain is assigned to; not necessarily its current owner.
    pub(crate) assigned_owners: BTreeMap<domain::Name, Owner>,
    pub(crate) domains: BTreeMap<domain::Name, Domain>,
    pub(crate) balancer: Balancer,
    pub(crate) limiter: Limiter,
    pub(crate) budget: RetryBudget,
    pub(crate) outages: Outages,
    pub(crate) announced_pools: BTreeSet<(domain::Name, pool::Name)>,
    pub(crate) strikes: Strikes,
    pub(crate) attempts: Attempts,
    pub(crate) queued: HashMap<QueueKey, oneshot::Sender<Decision>>,
    pub(crate) rng: SmallRng,
    /// The shutdown of this entry, once it has begun.
    pub(crate) drain: Option<Schedule>,
    pub(crate) in_progress: u64,
    /// How long requests of each route last.
    pub(crate) durations: Durations<route::Name>,
    pub(crate) domain_options: cyclamen_domain::Options,
}

impl State {
    pub(crate) fn new(settings: &Settings) -> Self {
        let timing = settings.timing;
        let renewal_interval = millis(timing.renew_every_ms);
        let lease =
            cyclamen_lease::Options::with_lifetime(millis(timing.lease_ms), renewal_interval);
        let mut rng = SmallRng::from_os_rng();
        Self {
            me: Owner {
                entry: settings.name.clone(),
                incarnation: entry::Incarnation(rng.random()),
            },
            zone: settings.zone.clone(),
            lease: Holder::new(lease),
            lease_revision: None,
            observer: Observer::new(lease),
            cache: Cache::default(),
            synced_at: None,
            routes: Arc::default(),
            pools: Arc::default(),
            entries: BTreeMap::new(),
            first_seen: BTreeMap::new(),
            assigned_candidates: Vec::new(),
            assigned_owners: BTreeMap::new(),
            domains: BTreeMap::new(),
            balancer: Balancer::new(balancer::Options::default()),
            limiter: Limiter::new(lease.lifetime + lease.margin),
            budget: RetryBudget::new(budget::Options::default()),
            outages: Outages::new(lease.lifetime + lease.margin + TAKEOVER_TIME),
            announced_pools: BTreeSet::new(),
            strikes: Strikes::new(containment::Options::default()),
            attempts: Attempts::new(ATTEMPT_RETENTION),
            queued: HashMap::new(),
            rng,
            drain: None,
            in_progress: 0,
            durations: Durations::default(),
            domain_options: cyclamen_domain::Options {
                silence_timeout: millis(timing.silence_ms),
                load_time: millis(timing.load_ms),
                ..cyclamen_domain::Options::default()
            },
        }
    }

    /// Starts a new incarnation after the lease was lost.
    pub(crate) fn start_incarnation(&mut self, now: Time) {
        self.lease.record_loss();
        self.lease_revision = None;
        self.me.incarnation = entry::Incarnation(self.rng.random());
        for domain in self.domains.values_mut() {
            let row = domain.row().clone();
            domain.set_row(now, row, false);
        }
    }

    /// Records the state of a pool in a domain, as reported by the domain's owner.
    pub(crate) fn record_summary(&mut self, now: Time, pool_summary: &PoolSummary) {
        let PoolSummary {
            pool,
            domain,
            summary,
        } = pool_summary;
        if summary.serving > 0 {
            self.outages.record_serving(now, pool);
        }
        self.balancer
            .record_summary(now, domain, pool, *summary, false);
    }

    /// Records when each live entry was first seen and removes entries that are gone.
    pub(crate) fn update_first_seen(&mut self, now: Time) {
        let entries = &self.entries;
        self.first_seen
            .retain(|owner, _| entries.contains_key(owner));
        for owner in entries.keys() {
            self.first_seen.entry(owner.clone()).or_insert(now);
        }
    }

    /// Updates the assignment of domains to entries if the candidates or the domains changed.
    pub(crate) fn assign_domains(&mut self) {
        let candidates: Vec<Owner> = self.candidates().cloned().collect();
        let names = self.assigned_owners.keys();
        if candidates == self.assigned_candidates && names.eq(self.domains.keys()) {
            return;
        }
        let names = self.domains.keys().cloned();
        self.assigned_owners = rendezvous::assign_balanced(names, candidates.iter().cloned());
        self.assigned_candidates = candidates;
    }

    /// Returns the entries that may own domains.
    pub(crate) fn candidates(&self) -> impl Iterator<Item = &Owner> {
        let active = self.entries.iter().filter(|(_, entry)| !entry.draining);
        active.map(|(owner, _)| owner)
    }

    /// Returns whether this entry has its routes and pools and is not draining.
    pub(crate) fn is_ready(&self) -> bool {
        let configured = self.routes.version.0 > 0 && self.pools.version.0 > 0;
        configured && self.drain.is_none()
    }

    /// Passes this entry's position among the live entries to the limiter of the teams.
    pub(crate) fn update_limiter_position(&mut self, now: Time) {
        let rank = self.entries.keys().position(|owner| *owner == self.me);
        let Some(rank) = rank.and_then(|r| u32::try_from(r).ok()) else {
            return;
        };
        let entries = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        self.limiter
            .set_position(now, limit::Position { rank, entries });
    }

    /// Sends the decisions on the queued requests of a domain that can be granted or must be
    /// refused now.
    pub(crate) fn poll_queue(&mut self, now: Time, name: &domain::Name) {
        let lease_held = self.lease.is_held(now);
        let Some(domain) = self.domains.get_mut(name) else {
            return;
        };
        for (id, decision) in domain.poll_queue(now, &self.pools.body, lease_held) {
            let sender = self.queued.remove(&(name.clone(), id));
            let undelivered = sender.is_none_or(|s| s.send(decision.clone()).is_err());
            if let Decision::Granted(grant) = decision
                && undelivered
            {
                let unused = cyclamen_domain::Ending::Unused;
                domain.release(now, grant.ticket, unused, &self.pools.body);
            }
        }
    }
}

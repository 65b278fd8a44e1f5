//! The state of the node.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use cyclamen_cache::{Cache, Revision};
use cyclamen_claim::Attempts;
use cyclamen_domain::{Decision, Domain, Owner, QueueId};
use cyclamen_lease::{Holder, Observer};
use cyclamen_peer::message::PoolSummary;
use cyclamen_route::{
    Balancer, Budget, Limiter, Outages, Strikes, balancer, budget, containment, limit, rendezvous,
};
use cyclamen_tables::{Document, Pools, Routes};
use cyclamen_types::{Time, domain, entry, pool};
use futures::channel::oneshot;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::node::record::Entry;
use crate::settings::{Settings, span};

/// How long an attempt at a call that may not be repeated is remembered.
const ATTEMPT_MEMORY: Duration = Duration::from_secs(24 * 3600);

/// The time from the end of a lease until a new owner admits requests.
const OWNER_CHANGE: Duration = Duration::from_secs(8);

/// A request that waits in the queue of one of this entry's domains.
pub(crate) type Waiter = (domain::Name, QueueId);

/// Everything that this entry knows.
pub(crate) struct State {
    pub(crate) me: Owner,
    pub(crate) zone: cyclamen_types::zone::Name,
    pub(crate) lease: Holder,
    pub(crate) lease_revision: Option<Revision>,
    pub(crate) observer: Observer<Owner>,
    pub(crate) cache: Cache,
    pub(crate) synced: Option<Time>,
    pub(crate) routes: Arc<Document<Routes>>,
    pub(crate) pools: Arc<Document<Pools>>,
    pub(crate) entries: BTreeMap<Owner, Entry>,
    pub(crate) arrivals: BTreeMap<Owner, Time>,
    /// The entries for which `responsible` was computed.
    arranged: Vec<Owner>,
    pub(crate) responsible: BTreeMap<domain::Name, Owner>,
    pub(crate) domains: BTreeMap<domain::Name, Domain>,
    pub(crate) board: Balancer,
    pub(crate) limiter: Limiter,
    pub(crate) budget: Budget,
    pub(crate) gaps: Outages,
    pub(crate) announced: BTreeSet<(domain::Name, pool::Name)>,
    pub(crate) suspects: Strikes,
    pub(crate) attempts: Attempts,
    pub(crate) waiters: HashMap<Waiter, oneshot::Sender<Decision>>,
    pub(crate) rng: SmallRng,
    pub(crate) draining: bool,
    pub(crate) in_progress: u64,
    pub(crate) domain_options: cyclamen_domain::Options,
}

impl State {
    pub(crate) fn new(settings: &Settings) -> Self {
        let timing = settings.timing;
        let renew_every = span(timing.renew_every_ms);
        let lease = cyclamen_lease::Options::with_lifetime(span(timing.lease_ms), renew_every);
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
            synced: None,
            routes: Arc::default(),
            pools: Arc::default(),
            entries: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            arranged: Vec::new(),
            responsible: BTreeMap::new(),
            domains: BTreeMap::new(),
            board: Balancer::new(balancer::Options::default()),
            limiter: Limiter::new(lease.lifetime + lease.margin),
            budget: Budget::new(budget::Options::default()),
            gaps: Outages::new(lease.lifetime + lease.margin + OWNER_CHANGE),
            announced: BTreeSet::new(),
            suspects: Strikes::new(containment::Options::default()),
            attempts: Attempts::new(ATTEMPT_MEMORY),
            waiters: HashMap::new(),
            rng,
            draining: false,
            in_progress: 0,
            domain_options: cyclamen_domain::Options {
                silence_timeout: span(timing.silence_ms),
                load_time: span(timing.load_ms),
                ..cyclamen_domain::Options::default()
            },
        }
    }

    /// Becomes another incarnation after the lease was lost.
    pub(crate) fn reincarnate(&mut self, now: Time) {
        self.lease.record_loss();
        self.lease_revision = None;
        self.me.incarnation = entry::Incarnation(self.rng.random());
        for domain in self.domains.values_mut() {
            let row = domain.row().clone();
            domain.set_row(now, row, false);
        }
    }

    /// Takes note of the state of a pool in a domain, by its owner's word.
    pub(crate) fn note_summary(&mut self, now: Time, notice: &PoolSummary) {
        let PoolSummary {
            pool,
            domain,
            summary,
        } = notice;
        if summary.serving > 0 {
            self.gaps.record_serving(now, pool);
        }
        self.board
            .record_summary(now, domain, pool, *summary, false);
    }

    /// Takes note of when each live entry was first seen.
    pub(crate) fn note_arrivals(&mut self, now: Time) {
        let entries = &self.entries;
        self.arrivals.retain(|owner, _| entries.contains_key(owner));
        for owner in entries.keys() {
            self.arrivals.entry(owner.clone()).or_insert(now);
        }
    }

    /// Brings up to date which entry is responsible for which domain.
    pub(crate) fn arrange_domains(&mut self) {
        let candidates: Vec<Owner> = self.candidates().cloned().collect();
        let names = self.responsible.keys();
        if candidates == self.arranged && names.eq(self.domains.keys()) {
            return;
        }
        let names = self.domains.keys().cloned();
        self.responsible = rendezvous::assign_balanced(names, candidates.iter().cloned());
        self.arranged = candidates;
    }

    /// The entries that may own domains.
    pub(crate) fn candidates(&self) -> impl Iterator<Item = &Owner> {
        let stay = self.entries.iter().filter(|(_, entry)| !entry.draining);
        stay.map(|(owner, _)| owner)
    }

    /// Whether this entry has what it needs to serve.
    pub(crate) fn is_ready(&self) -> bool {
        let configured = self.routes.version.0 > 0 && self.pools.version.0 > 0;
        configured && !self.draining
    }

    /// This entry's place among the live entries, for the limits of teams.
    pub(crate) fn arrange_limits(&mut self, now: Time) {
        let rank = self.entries.keys().position(|owner| *owner == self.me);
        let Some(rank) = rank.and_then(|r| u32::try_from(r).ok()) else {
            return;
        };
        let entries = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        self.limiter
            .set_position(now, limit::Position { rank, entries });
    }

    /// Answers the waiting requests of a domain whose turn has come.
    pub(crate) fn wake(&mut self, now: Time, name: &domain::Name) {
        let holds = self.lease.is_held(now);
        let Some(domain) = self.domains.get_mut(name) else {
            return;
        };
        for (waiting, answer) in domain.poll_queue(now, &self.pools.body, holds) {
            let waiter = self.waiters.remove(&(name.clone(), waiting));
            let undelivered = waiter.is_none_or(|w| w.send(answer.clone()).is_err());
            if let Decision::Granted(grant) = answer
                && undelivered
            {
                let unused = cyclamen_domain::Ending::Unused;
                domain.release(now, grant.ticket, unused, &self.pools.body);
            }
        }
    }
}

//! The state of the node.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cyclamen_cache::{Cache, Revision};
use cyclamen_directory::{Catalog, Registry};
use cyclamen_dispatch::{Cell, Dispatcher, RetryBudget, Share, cell};
use cyclamen_domain::Owner;
use cyclamen_lease::Holder;
use cyclamen_replica::Detector;
use cyclamen_route::{Strikes, containment};
use cyclamen_types::{Time, entry, instance, pool, zone};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::edge::Table;
use crate::node::history::Reached;
use crate::node::ownership::Ownership;
use crate::node::peers::Peer;
use crate::settings::{self, Settings, span};

/// Bounds of containment.
///
/// A worker's crash takes all requests on it along, so that two strikes may come by chance.
/// Only crashes that a worker's silence confirms are counted, so none is cleared by others.
const SUSPECTS: containment::Options = containment::Options {
    strike_limit: 3,
    common_cause_window: Duration::ZERO,
    strike_lifetime: Duration::from_secs(600),
    gossip_duration: Duration::from_secs(5),
};

/// Everything that this entry knows.
pub(crate) struct State {
    pub(crate) me: Owner,
    pub(crate) zone: zone::Name,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) zones_out: BTreeSet<zone::Name>,
    pub(crate) register: Registry,
    pub(crate) dispatcher: Dispatcher,
    /// Which workers are there.
    pub(crate) detector: Detector,
    /// Rows of the tables that are followed, for other entries.
    pub(crate) rows: Cache,
    /// Up to which revision each followed table is known.
    pub(crate) positions: BTreeMap<Table, Revision>,
    /// Up to which revision the news of others show what operators wrote.
    pub(crate) told_operators: Revision,
    /// When each followed table was known up to which revision.
    pub(crate) reached: BTreeMap<Table, Reached>,
    pub(crate) peers: BTreeMap<entry::Name, Peer>,
    /// The entries and fabric domains that this entry works with first.
    pub(crate) cell: Cell,
    pub(crate) lease: Holder,
    pub(crate) lease_revision: Option<Revision>,
    pub(crate) ownership: Ownership,
    pub(crate) suspects: Strikes,
    pub(crate) rng: SmallRng,
    pub(crate) draining: bool,
    pub(crate) in_progress: u64,
    retry_options: settings::Retries,
    retries: BTreeMap<pool::Service, RetryBudget>,
    /// When each group was last checked because its streams paused.
    pub(crate) checked: BTreeMap<instance::Id, Time>,
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
            catalog: Arc::default(),
            zones_out: BTreeSet::new(),
            register: Registry::default(),
            dispatcher: Dispatcher::new(cyclamen_dispatch::Options::default()),
            detector: Detector::default(),
            rows: Cache::default(),
            positions: BTreeMap::new(),
            told_operators: Revision::default(),
            reached: BTreeMap::new(),
            peers: BTreeMap::new(),
            cell: Cell::default(),
            lease: Holder::new(lease),
            lease_revision: None,
            ownership: Ownership::new(lease),
            suspects: Strikes::new(SUSPECTS),
            rng,
            draining: false,
            in_progress: 0,
            retry_options: settings.retries,
            retries: BTreeMap::new(),
            checked: BTreeMap::new(),
        }
    }

    /// Whether this entry has what it needs to serve.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_configured() && !self.draining
    }

    /// Whether any configuration is known.
    pub(crate) fn is_configured(&self) -> bool {
        self.catalog.version().0 > 0
    }

    /// The retry budget of a service.
    pub(crate) fn retries(&mut self, service: &pool::Service) -> &mut RetryBudget {
        let options = self.retry_options;
        self.retries.entry(service.clone()).or_insert_with(|| {
            RetryBudget::new(span(options.window_ms), options.ratio, options.reserve)
        })
    }

    /// Works out which entries and fabric domains this entry works with first.
    pub(crate) fn arrange_cell(&mut self) {
        let near = self.peers.iter().filter(|(_, peer)| peer.near);
        let mut entries: BTreeSet<entry::Name> = near.map(|(name, _)| name.clone()).collect();
        entries.insert(self.me.entry.clone());
        let here = self.register.entries().map(|entry| &entry.instance);
        let here = here.filter(|instance| instance.zone == self.zone);
        let domains = here
            .filter_map(|instance| instance.domain.clone())
            .collect();
        self.cell = cell(&self.me.entry, &entries, &domains);
    }

    /// This entry's place among those that share what is divided.
    pub(crate) fn share(&self) -> Share {
        let before = self.peers.keys().filter(|name| **name < self.me.entry);
        Share {
            rank: before.count(),
            entries: self.peers.len() + 1,
        }
    }
}

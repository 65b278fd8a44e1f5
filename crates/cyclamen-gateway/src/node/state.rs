//! The state of the node.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_cache::{Cache, Era, Key, Revision};
use cyclamen_directory::{Catalog, Registry};
use cyclamen_dispatch::{Cell, Dispatcher, RetryBudget, cell};
use cyclamen_domain::Owner;
use cyclamen_drain::{Durations, Schedule};
use cyclamen_lease::Holder;
use cyclamen_quota::{Issuer, Limits, Members};
use cyclamen_replica::{Detector, Reach};
use cyclamen_route::containment::Combination;
use cyclamen_route::{Strikes, containment};
use cyclamen_server::Timeouts;
use cyclamen_types::{Time, domain, entry, instance, pool, route, zone};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::node::activity::Activity;
use crate::node::calls::Calls;
use crate::node::canaries::Canaries;
use crate::node::demand::Following;
use crate::node::era::Recovery;
use crate::node::history::History;
use crate::node::odd_rows::OddRows;
use crate::node::ownership::Ownership;
use crate::node::peers::Peer;
use crate::node::timeouts;
use crate::platform::Table;
use crate::settings::{self, Settings, millis};

/// The limits and durations of containment.
///
/// A crash of a worker fails all requests on it, so a harmless request may get two strikes by
/// chance. Only crashes confirmed by failed probes count, so crashes at about the same time are
/// not attributed to a common cause: the window is zero.
const CONTAINMENT: containment::Options = containment::Options {
    strike_limit: 3,
    part_strike_limit: 3,
    common_cause_window: Duration::ZERO,
    strike_lifetime: Duration::from_secs(600),
    gossip_duration: Duration::from_secs(5),
};

/// The state of this entry.
pub(crate) struct State {
    /// This entry and its incarnation.
    pub(crate) local: Owner,
    pub(crate) zone: zone::Name,
    /// The address on which this entry takes requests that other entries hand over.
    pub(crate) handover_listen: Option<SocketAddr>,
    pub(crate) catalog: Arc<Catalog>,
    /// How long the peers of all listeners may take, by the catalog.
    pub(crate) timeouts: Arc<Timeouts>,
    /// The key of the row with the configuration, once there is one.
    pub(crate) catalog_key: Option<Key>,
    /// The last configuration that could not be read.
    pub(crate) refused_catalog: Option<Arc<str>>,
    /// When the configuration came into force.
    pub(crate) catalog_since: Time,
    pub(crate) zones_out: BTreeSet<zone::Name>,
    pub(crate) registry: Registry,
    pub(crate) dispatcher: Dispatcher,
    /// The rate limits that workers named.
    pub(crate) limits: Limits,
    /// Issues the permits for workers of the scopes that this entry owns.
    pub(crate) issuer: Issuer,
    /// Issues this entry's own part of the permits of workers for which no entry does so.
    pub(crate) part_issuer: Issuer,
    /// The entries that last decided on permits of each scope.
    pub(crate) issuers: BTreeMap<domain::Name, entry::Name>,
    /// When each worker was last probed because it had not named its limit for a while.
    pub(crate) limit_probed_at: BTreeMap<instance::Id, Time>,
    /// When the store last answered this entry.
    pub(crate) store_answered_at: Time,
    /// The number of entries that divide the retry budgets.
    pub(crate) members: Members,
    /// The failure detector for workers.
    pub(crate) detector: Detector,
    /// The paths of this entry to the workers of each service.
    pub(crate) reach: Reach,
    /// Rows of the followed tables, to gossip to other entries.
    pub(crate) rows: Cache,
    /// The highest era of the store that this entry knows of.
    pub(crate) era: Era,
    /// The recovery from the beginning of the current era, if it isn't over.
    pub(crate) recovery: Option<Recovery>,
    /// The revision up to which the store has delivered each followed table.
    pub(crate) positions: BTreeMap<Table, Revision>,
    /// When the store last answered a call for the changes of each followed table.
    pub(crate) answered_at: BTreeMap<Table, Time>,
    /// Whether this entry shares the following of tables with others.
    pub(crate) shares_following: bool,
    /// The latest time at which what is known of each followed table was complete, as proved by the
    /// store or by another entry; empty unless following is shared.
    pub(crate) proved_at: BTreeMap<Table, Time>,
    /// The revision as of which each followed table was last read as a whole; rows that were deleted
    /// before are not known.
    pub(crate) read_as_of: BTreeMap<Table, Revision>,
    /// The calls to the store, and what replaced them.
    pub(crate) store_calls: Calls,
    /// What this entry did since the last report, besides serving requests.
    pub(crate) activity: Activity,
    /// The bytes exchanged with other entries up to the last report.
    pub(crate) gossip_bytes: u64,
    /// The revision up to which gossip has delivered each followed table.
    pub(crate) gossip_positions: BTreeMap<Table, Revision>,
    /// The times at which each followed table reached its recent revisions.
    pub(crate) histories: BTreeMap<Table, History>,
    /// The rows of the other tables that could not be read.
    pub(crate) odd_rows: OddRows,
    pub(crate) peers: BTreeMap<entry::Name, Peer>,
    /// The entries and fabric domains that this entry prefers.
    pub(crate) cell: Cell,
    pub(crate) lease: Holder,
    /// The revision of this entry's lease row, or [`Revision::ABSENT`] if there is none; `None`
    /// until it is read.
    pub(crate) lease_revision: Option<Revision>,
    pub(crate) ownership: Ownership,
    pub(crate) strikes: Strikes,
    /// The requests that show which of several parts crashes workers.
    pub(crate) canaries: Canaries,
    /// The parts of prompts against which the store holds evidence; `None` until it is read.
    pub(crate) stored_evidence: Option<BTreeSet<Combination>>,
    pub(crate) rng: SmallRng,
    /// The shutdown of this entry, once it has begun.
    pub(crate) drain: Option<Schedule>,
    pub(crate) in_progress: u64,
    /// The demand for each model, and the numbers of groups that follow it.
    pub(super) following: Following,
    /// How long requests of each route last.
    pub(crate) durations: Durations<route::Name>,
    /// The number of requests handed over to each entry and in progress there.
    pub(crate) handed_over: BTreeMap<entry::Name, u32>,
    retry_options: settings::Retries,
    retry_budgets: BTreeMap<pool::Service, RetryBudget>,
    /// When each group, keyed by its head, was last probed because of a stalled or failed
    /// request.
    pub(crate) group_probed_at: BTreeMap<instance::Id, Time>,
}

impl State {
    pub(crate) fn new(settings: &Settings) -> Self {
        let timing = settings.timing;
        let renewal_interval = millis(timing.renew_every_ms);
        let lease =
            cyclamen_lease::Options::with_lifetime(millis(timing.lease_ms), renewal_interval);
        let mut rng = SmallRng::from_os_rng();
        Self {
            local: Owner {
                entry: settings.name.clone(),
                incarnation: entry::Incarnation(rng.random()),
            },
            zone: settings.zone.clone(),
            handover_listen: settings.handover_listen,
            timeouts: timeouts::new(),
            catalog: Arc::default(),
            catalog_key: None,
            refused_catalog: None,
            catalog_since: Time::default(),
            zones_out: BTreeSet::new(),
            registry: Registry::default(),
            dispatcher: Dispatcher::new(dispatch_options(settings)),
            limits: Limits::default(),
            issuer: Issuer::default(),
            part_issuer: Issuer::default(),
            issuers: BTreeMap::new(),
            limit_probed_at: BTreeMap::new(),
            store_answered_at: Time::default(),
            members: Members::new(millis(settings.retries.window_ms)),
            detector: Detector::default(),
            reach: Reach::default(),
            rows: Cache::default(),
            era: Era::default(),
            recovery: None,
            positions: BTreeMap::new(),
            answered_at: BTreeMap::new(),
            shares_following: settings.features.shared_following,
            proved_at: BTreeMap::new(),
            read_as_of: BTreeMap::new(),
            store_calls: Calls::default(),
            activity: Activity::default(),
            gossip_bytes: 0,
            gossip_positions: BTreeMap::new(),
            histories: BTreeMap::new(),
            odd_rows: OddRows::default(),
            peers: BTreeMap::new(),
            cell: Cell::default(),
            lease: Holder::new(lease),
            lease_revision: None,
            ownership: Ownership::new(lease),
            strikes: Strikes::new(CONTAINMENT),
            canaries: Canaries::default(),
            stored_evidence: None,
            rng,
            drain: None,
            in_progress: 0,
            following: Following::new(settings.features.follow_demand),
            durations: Durations::default(),
            handed_over: BTreeMap::new(),
            retry_options: settings.retries,
            retry_budgets: BTreeMap::new(),
            group_probed_at: BTreeMap::new(),
        }
    }

    /// Returns whether this entry can serve: it has a configuration and is not draining.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_configured() && !self.is_draining()
    }

    /// Returns whether this entry shuts down.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain.is_some()
    }

    /// Returns the milliseconds since the shutdown signal for log lines, or `none` before it.
    pub(crate) fn drain_ms(&self, now: Time) -> impl Display + use<> {
        match self.drain {
            Some(drain) => drain.elapsed(now).as_millis().to_string(),
            None => "none".to_string(),
        }
    }

    /// Returns whether a configuration has been received.
    pub(crate) fn is_configured(&self) -> bool {
        self.catalog.version().0 > 0
    }

    /// Returns the retry budget of a service.
    pub(crate) fn retry_budget(&mut self, service: &pool::Service) -> &mut RetryBudget {
        let options = self.retry_options;
        self.retry_budgets
            .entry(service.clone())
            .or_insert_with(|| {
                RetryBudget::new(millis(options.window_ms), options.ratio, options.reserve)
            })
    }

    /// Drops what is known of services and routes that are no longer configured.
    pub(crate) fn retain_configured(&mut self) {
        let catalog = &self.catalog;
        self.retry_budgets
            .retain(|service, _| catalog.service(service).is_some());
        self.following.retain_configured(catalog);
        let routes: BTreeSet<&route::Name> = catalog.routes().map(|route| &route.name).collect();
        self.durations.retain(|name| routes.contains(name));
    }

    /// Updates the entries and fabric domains that this entry prefers.
    pub(crate) fn update_cell(&mut self) {
        let same_zone = self.peers.iter().filter(|(_, peer)| peer.same_zone);
        let mut entries: BTreeSet<entry::Name> = same_zone.map(|(name, _)| name.clone()).collect();
        entries.insert(self.local.entry.clone());
        let instances = self.registry.records().map(|record| &record.instance);
        let instances = instances.filter(|instance| instance.zone == self.zone);
        let domains = instances
            .filter_map(|instance| instance.domain.clone())
            .collect();
        self.cell = cell(&self.local.entry, &entries, &domains);
        let entries = self.entry_count();
        self.dispatcher.set_entries(entries);
    }

    /// Returns the number of entries that this one knows, itself included.
    pub(crate) fn entry_count(&self) -> usize {
        self.peers.len() + 1
    }
}

fn dispatch_options(settings: &Settings) -> cyclamen_dispatch::Options {
    let features = settings.features;
    let overload = features.overload_control;
    let split = features.split_prompts;
    cyclamen_dispatch::Options {
        observed_loads: features.observed_loads,
        overload: overload.then(cyclamen_dispatch::overload::Options::default),
        split: split.then(cyclamen_dispatch::split::Options::default),
        ..Default::default()
    }
}

//! State and decisions of a fabric domain's owner.

mod granting;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cyclamen_tables::Pools;
use cyclamen_tables::pools::Limits;
use cyclamen_types::{Time, domain, group, instance, pool};

use crate::listing::Listing;
use crate::load::Load;
use crate::monitor::{Health, Monitor};
use crate::options::Options;
use crate::plan::{Step, View};
use crate::queue::Queue;
use crate::report::Report;
use crate::row::{Group, Owner, Row};

/// The mean service time assumed before the first request has completed.
const INITIAL_SERVICE_TIME: Duration = Duration::from_secs(2);

/// A fabric domain: its row, the health and load of its groups and its admission queue.
///
/// Only the owner admits requests and plans.
#[derive(Debug)]
pub struct Domain {
    name: domain::Name,
    options: Options,
    row: Row,
    mine: bool,
    monitor: Monitor,
    loads: BTreeMap<group::Id, Load>,
    serving: BTreeSet<group::Id>,
    queue: Queue,
    last_orders: BTreeMap<instance::Id, Time>,
    service_time: Duration,
}

/// The state of one pool in a domain, for entries that choose between domains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// The pool.
    pub pool: pool::Name,
    /// Number of replica groups that serve.
    pub serving: u32,
    /// Number of requests that could start immediately.
    pub free: u32,
    /// The expected queueing time of a new request.
    pub wait: Duration,
}

impl Domain {
    /// Creates a domain with an empty row, no listings and no reports.
    pub fn new(name: domain::Name, options: Options) -> Self {
        Self {
            name,
            options,
            row: Row::default(),
            mine: false,
            monitor: Monitor::default(),
            loads: BTreeMap::new(),
            serving: BTreeSet::new(),
            queue: Queue::default(),
            last_orders: BTreeMap::new(),
            service_time: INITIAL_SERVICE_TIME,
        }
    }

    /// Returns the row as last read or written.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// Returns whether this entry owns the domain according to that row.
    pub fn is_mine(&self) -> bool {
        self.mine
    }

    /// Sets the row that was read or written; `mine` is whether this entry owns the domain.
    ///
    /// After a change of owner no request is admitted until every ticket of the
    /// former owner was used or has expired and the workers have been probed.
    pub fn set_row(&mut self, now: Time, row: Row, mine: bool) {
        let gained = mine && (!self.mine || row.taken != self.row.taken);
        if gained || !mine {
            self.loads.clear();
            self.serving.clear();
        }
        if gained {
            self.monitor.start(now);
        }
        self.mine = mine;
        self.row = row;
        let start_within = self.options.start_within;
        let probe_from = if gained { now + start_within } else { now };
        self.loads.retain(|id, _| self.row.group(id).is_some());
        for group in &self.row.groups {
            let load = self.loads.entry(group.id.clone());
            let load = load.or_insert_with(|| Load::unknown(probe_from, group.fence, start_within));
            load.set_fence(now, group.fence);
        }
    }

    /// Replaces the platform's list of this domain's instances.
    pub fn set_listings(&mut self, listings: impl IntoIterator<Item = Listing>) {
        let groups = self.row.groups.iter();
        let members = groups.flat_map(|group| group.members.iter().map(|m| &m.instance));
        self.monitor.set_listings(listings, &members.collect());
    }

    /// Returns the number of instances of which any state is held.
    pub fn known_instances(&self) -> usize {
        self.monitor.known_instances()
    }

    /// Returns the instances to probe: the listed ones, and the members of groups that the list
    /// lacks.
    pub fn listings(&self) -> impl Iterator<Item = &Listing> {
        self.monitor.probed()
    }

    /// Records a report; `probed_at` is the time just before its probe was sent.
    pub fn record_report(&mut self, probed_at: Time, instance: &instance::Id, report: Report) {
        let headed_group = self
            .row
            .groups
            .iter()
            .find(|g| g.members.first().is_some_and(|m| m.instance == *instance));
        if let Some(load) = headed_group.and_then(|g| self.loads.get_mut(&g.id)) {
            load.record_report(probed_at, report.cold, report.running);
        }
        self.monitor.record_report(probed_at, instance, report);
    }

    /// Returns the health of a group, which decides whether it may get new requests.
    pub fn health(&self, now: Time, group: &Group, pools: &Pools) -> Health {
        self.monitor.health(now, group, pools, &self.options)
    }

    /// Returns the number of requests in progress on a group as this owner counts them.
    pub fn in_progress(&self, group: &group::Id) -> u32 {
        self.loads.get(group).map_or(0, Load::in_progress)
    }

    /// Returns whether a group is known to have no request in progress.
    fn is_idle(&self, group: &group::Id) -> bool {
        self.loads.get(group).is_some_and(Load::is_idle)
    }

    /// Returns the maximum number of requests in progress on a group at this time.
    pub fn limit(&self, now: Time, group: &Group, pools: &Pools) -> u32 {
        let limits = limits_of(pools, &group.pool);
        self.loads
            .get(&group.id)
            .map_or(0, |load| load.limit(now, &limits))
    }

    /// Releases the tickets and drops the queued requests of holders that are not alive.
    pub fn retain_holders(&mut self, is_alive: impl Fn(&Owner) -> bool) {
        self.queue.retain(|request| is_alive(&request.holder));
        for load in self.loads.values_mut() {
            load.tickets.retain(|_, issued| is_alive(&issued.holder));
        }
    }

    /// Returns the next steps towards complete groups; none unless this entry owns the domain
    /// and its lease is valid.
    pub fn plan(&mut self, now: Time, pools: &Pools, lease_held: bool) -> Vec<Step> {
        if !self.mine || !lease_held {
            return Vec::new();
        }
        self.refresh(now, pools);
        let view = View {
            now,
            domain: &self.name,
            row: &self.row,
            monitor: &self.monitor,
            pools,
            options: &self.options,
        };
        if let Some(row) = view.next_row(|g| self.is_idle(&g.id)) {
            return vec![Step::Write(row)];
        }
        let orders = view.orders();
        orders
            .into_iter()
            .filter(|step| self.mark_if_due(now, step))
            .collect()
    }

    /// Returns whether a step is due, and records the time of an order that is.
    fn mark_if_due(&mut self, now: Time, step: &Step) -> bool {
        let Step::Order { instance, .. } = step else {
            return true;
        };
        let last = self.last_orders.get(instance);
        let is_due = last.is_none_or(|at| now.since(*at) >= self.options.order_interval);
        if is_due {
            self.last_orders.insert(instance.clone(), now);
        }
        is_due
    }

    /// Returns the state of each pool that serves, for entries that choose between domains.
    pub fn summaries(&mut self, now: Time, pools: &Pools) -> Vec<Summary> {
        self.refresh(now, pools);
        let serving = pools.pools.iter().filter(|p| self.serves(&p.name));
        serving
            .map(|pool| Summary {
                pool: pool.name.clone(),
                serving: saturating_u32(self.groups_of(&pool.name).count()),
                free: self.free_in_pool(now, &pool.name, pools),
                wait: self.expected_wait(now, &pool.name, self.queue.len(), pools),
            })
            .collect()
    }

    /// Returns the number of queued requests.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Updates the set of serving groups; a group that begins to serve starts cold.
    fn refresh(&mut self, now: Time, pools: &Pools) {
        let is_serving = |g: &&Group| self.health(now, g, pools) == Health::Serving;
        let groups = self
            .row
            .groups
            .iter()
            .filter(|_| self.mine)
            .filter(is_serving);
        let serving: BTreeSet<_> = groups.map(|g| g.id.clone()).collect();
        for id in serving.difference(&self.serving) {
            if let Some(load) = self.loads.get_mut(id) {
                load.start_cold_if_known(now);
            }
        }
        self.serving = serving;
    }

    fn serves(&self, pool: &pool::Name) -> bool {
        self.groups_of(pool).next().is_some()
    }

    fn groups_of<'a>(&'a self, pool: &'a pool::Name) -> impl Iterator<Item = &'a Group> {
        let groups = self.row.groups.iter();
        groups.filter(move |g| g.pool == *pool && self.serving.contains(&g.id))
    }

    fn free_in_pool(&self, now: Time, pool: &pool::Name, pools: &Pools) -> u32 {
        let limits = limits_of(pools, pool);
        let loads = self.groups_of(pool).filter_map(|g| self.loads.get(&g.id));
        loads.map(|load| load.free(now, &limits)).sum()
    }
}

fn saturating_u32(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

fn limits_of(pools: &Pools, pool: &pool::Name) -> Limits {
    pools.get(pool).map(|p| p.limits).unwrap_or_default()
}

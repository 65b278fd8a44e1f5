//! A fabric domain as its owner sees it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cyclamen_tables::Pools;
use cyclamen_tables::pools::Limits;
use cyclamen_types::{Time, domain, group, instance, pool};

use crate::admission::{Decision, Ending, Grant, Refusal, Request};
use crate::listing::Listing;
use crate::load::{Issued, Load};
use crate::monitor::{Health, Watch};
use crate::options::Options;
use crate::plan::{Scene, Step};
use crate::queue::{Queue, QueueId};
use crate::report::Report;
use crate::row::{Group, Owner, Row};

/// The service time assumed before any request has ended.
const FIRST_SERVICE_TIME: Duration = Duration::from_secs(2);
/// The weight of one more sample in the mean service time is one part in this many.
const SERVICE_TIME_WINDOW: u32 = 16;

/// A fabric domain as its owner sees it.
#[derive(Debug)]
pub struct Domain {
    name: domain::Name,
    options: Options,
    row: Row,
    mine: bool,
    watch: Watch,
    loads: BTreeMap<group::Id, Load>,
    serving: BTreeSet<group::Id>,
    queue: Queue,
    ordered: BTreeMap<instance::Id, Time>,
    service_time: Duration,
}

/// The state of one pool in a domain, for entries that choose between domains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// The pool.
    pub pool: pool::Name,
    /// Replica groups that serve.
    pub serving: u32,
    /// Requests that could start at once.
    pub free: u32,
    /// The expected wait of one more request.
    pub wait: Duration,
}

impl Domain {
    /// A domain that nothing is known of.
    pub fn new(name: domain::Name, options: Options) -> Self {
        Self {
            name,
            options,
            row: Row::default(),
            mine: false,
            watch: Watch::default(),
            loads: BTreeMap::new(),
            serving: BTreeSet::new(),
            queue: Queue::default(),
            ordered: BTreeMap::new(),
            service_time: FIRST_SERVICE_TIME,
        }
    }

    /// The row as last read or written.
    pub fn row(&self) -> &Row {
        &self.row
    }

    /// Whether this entry owns the domain by that row.
    pub fn is_mine(&self) -> bool {
        self.mine
    }

    /// Takes over a row that was read or written, `mine` if this entry owns it.
    ///
    /// After a change of owner no work is admitted until every ticket of the
    /// former owner has been used or has lapsed and the workers were asked.
    pub fn set_row(&mut self, now: Time, row: Row, mine: bool) {
        let gained = mine && (!self.mine || row.taken != self.row.taken);
        if gained || !mine {
            self.loads.clear();
            self.serving.clear();
        }
        self.mine = mine;
        self.row = row;
        let start_within = self.options.start_within;
        let from = if gained { now + start_within } else { now };
        self.loads.retain(|id, _| self.row.group(id).is_some());
        for group in &self.row.groups {
            let load = self.loads.entry(group.id.clone());
            let load = load.or_insert_with(|| Load::unknown(from, group.fence, start_within));
            load.refence(now, group.fence);
        }
    }

    /// Takes note of the platform's list of this domain's instances.
    pub fn set_listings(&mut self, listings: impl IntoIterator<Item = Listing>) {
        self.watch.list(listings);
    }

    /// The instances to ask for reports.
    pub fn listings(&self) -> impl Iterator<Item = &Listing> {
        self.watch.listings()
    }

    /// Takes note of a report; `asked` is the moment before the question was sent.
    pub fn record_report(&mut self, asked: Time, instance: &instance::Id, report: Report) {
        let first = self
            .row
            .groups
            .iter()
            .find(|g| g.members.first().is_some_and(|m| m.instance == *instance));
        if let Some(load) = first.and_then(|g| self.loads.get_mut(&g.id)) {
            load.report(asked, report.cold, report.running);
        }
        self.watch.report(asked, instance, report);
    }

    /// Whether a group may get new work.
    pub fn health(&self, now: Time, group: &Group, pools: &Pools) -> Health {
        self.watch.health(now, group, pools, &self.options)
    }

    /// Requests in progress on a group by this owner's count.
    pub fn in_progress(&self, group: &group::Id) -> u32 {
        self.loads.get(group).map_or(0, Load::in_progress)
    }

    /// The most requests that a group may have at this moment.
    pub fn limit(&self, now: Time, group: &Group, pools: &Pools) -> u32 {
        let limits = limits_of(pools, &group.pool);
        self.loads
            .get(&group.id)
            .map_or(0, |load| load.limit(now, &limits))
    }

    /// Decides a request for admission; `holds` tells whether the lease is fresh.
    ///
    /// Without a fresh lease only groups at their full warm limit get work.
    pub fn admit(&mut self, now: Time, ask: Request, pools: &Pools, holds: bool) -> Decision {
        self.refresh(now, pools);
        if !self.serves(&ask.pool) {
            return Decision::Refused(Refusal::NotServing);
        }
        let ahead = self.queue.ahead(&ask);
        if ahead == 0
            && let Some(grant) = self.place(now, &ask, pools, holds)
        {
            return Decision::Granted(grant);
        }
        let wait = self.expected_wait(now, &ask.pool, ahead, pools);
        if now + wait > ask.deadline {
            return Decision::Refused(Refusal::Late(wait));
        }
        if !ask.may_queue || self.queue.len() >= self.queue_bound(&ask.pool, pools) {
            return Decision::Refused(Refusal::Busy(wait));
        }
        Decision::Queued(self.queue.push(ask))
    }

    /// Answers the waiting requests whose turn or deadline has come.
    pub fn poll_queue(
        &mut self,
        now: Time,
        pools: &Pools,
        holds: bool,
    ) -> Vec<(QueueId, Decision)> {
        self.refresh(now, pools);
        let mut queue = std::mem::take(&mut self.queue);
        let answers = queue.drain(|ask| {
            if now >= ask.deadline {
                return Some(Decision::Refused(Refusal::Late(self.service_time)));
            }
            if !self.serves(&ask.pool) {
                return Some(Decision::Refused(Refusal::NotServing));
            }
            self.place(now, ask, pools, holds).map(Decision::Granted)
        });
        self.queue = queue;
        answers
    }

    /// Takes a ticket back, whether it was issued or is still waited for.
    pub fn release(&mut self, now: Time, ticket: group::Ticket, ending: Ending, pools: &Pools) {
        self.queue.retain(|ask| ask.ticket != ticket);
        for (id, load) in &mut self.loads {
            let Some(issued) = load.tickets.remove(&ticket) else {
                continue;
            };
            let Some(group) = self.row.group(id) else {
                return;
            };
            match ending {
                Ending::Complete(first_byte) => {
                    if first_byte > limits_of(pools, &group.pool).slow_start() {
                        load.chill(now);
                    }
                    let sample = now.since(issued.at);
                    self.service_time = smoothed(self.service_time, sample);
                }
                Ending::Failed => self.watch.doubt(now, group),
                Ending::Unused => {}
            }
            return;
        }
    }

    /// Takes back the tickets of entries that are no longer there.
    pub fn retain_holders(&mut self, alive: impl Fn(&Owner) -> bool) {
        self.queue.retain(|ask| alive(&ask.holder));
        for load in self.loads.values_mut() {
            load.tickets.retain(|_, issued| alive(&issued.holder));
        }
    }

    /// The next steps towards whole groups; only the holder of a fresh lease takes any.
    pub fn plan(&mut self, now: Time, pools: &Pools, holds: bool) -> Vec<Step> {
        if !self.mine || !holds {
            return Vec::new();
        }
        self.refresh(now, pools);
        let scene = Scene {
            now,
            domain: &self.name,
            row: &self.row,
            watch: &self.watch,
            pools,
            options: &self.options,
        };
        if let Some(row) = scene.row(|g| self.in_progress(&g.id) == 0) {
            return vec![Step::Write(row)];
        }
        let orders = scene.orders();
        orders
            .into_iter()
            .filter(|step| self.due(now, step))
            .collect()
    }

    fn due(&mut self, now: Time, step: &Step) -> bool {
        let Step::Order { instance, .. } = step else {
            return true;
        };
        let last = self.ordered.get(instance);
        let due = last.is_none_or(|at| now.since(*at) >= self.options.order_interval);
        if due {
            self.ordered.insert(instance.clone(), now);
        }
        due
    }

    /// The state of each pool, for entries that choose between domains.
    pub fn summaries(&mut self, now: Time, pools: &Pools) -> Vec<Summary> {
        self.refresh(now, pools);
        let mine = pools.pools.iter().filter(|p| self.serves(&p.name));
        mine.map(|pool| Summary {
            pool: pool.name.clone(),
            serving: saturating(self.groups_of(&pool.name).count()),
            free: self.free_of(now, &pool.name, pools),
            wait: self.expected_wait(now, &pool.name, self.queue.len(), pools),
        })
        .collect()
    }

    /// Requests that wait for a place.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Brings the set of serving groups up to date; one that serves anew starts cold.
    fn refresh(&mut self, now: Time, pools: &Pools) {
        let healthy = |g: &&Group| self.health(now, g, pools) == Health::Serving;
        let groups = self.row.groups.iter().filter(|_| self.mine).filter(healthy);
        let serving: BTreeSet<_> = groups.map(|g| g.id.clone()).collect();
        for id in serving.difference(&self.serving) {
            if let Some(load) = self.loads.get_mut(id) {
                load.chill_if_known(now);
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

    fn free_of(&self, now: Time, pool: &pool::Name, pools: &Pools) -> u32 {
        let limits = limits_of(pools, pool);
        let loads = self.groups_of(pool).filter_map(|g| self.loads.get(&g.id));
        loads.map(|load| load.free(now, &limits)).sum()
    }

    fn place(&mut self, now: Time, ask: &Request, pools: &Pools, holds: bool) -> Option<Grant> {
        let limits = limits_of(pools, &ask.pool);
        let fits = |load: &Load| {
            let warm = load.limit(now, &limits) >= limits.warm;
            let alone = !ask.suspect || !load.has_suspect();
            load.free(now, &limits) > 0 && (holds || warm) && alone
        };
        let loads = self
            .groups_of(&ask.pool)
            .filter_map(|g| Some((g, self.loads.get(&g.id)?)));
        let fitting = loads.filter(|(_, load)| fits(load));
        let (group, _) = fitting.max_by_key(|(_, load)| load.free(now, &limits))?;
        let first = group.members.first()?;
        let grant = Grant {
            ticket: ask.ticket,
            group: group.id.clone(),
            fence: group.fence,
            instance: first.instance.clone(),
            address: self.watch.listing(&first.instance)?.address,
            start_within: self.options.start_within,
        };
        let issued = Issued {
            at: now,
            holder: ask.holder.clone(),
            suspect: ask.suspect,
        };
        self.loads
            .get_mut(&grant.group)?
            .tickets
            .insert(grant.ticket, issued);
        Some(grant)
    }

    fn expected_wait(&self, now: Time, pool: &pool::Name, ahead: usize, pools: &Pools) -> Duration {
        if ahead == 0 && self.free_of(now, pool, pools) > 0 {
            return Duration::ZERO;
        }
        let limits = limits_of(pools, pool);
        let loads = self.groups_of(pool).filter_map(|g| self.loads.get(&g.id));
        let capacity: u32 = loads.map(|load| load.limit(now, &limits)).sum();
        self.service_time.saturating_mul(saturating(ahead + 1)) / capacity.max(1)
    }

    fn queue_bound(&self, pool: &pool::Name, pools: &Pools) -> usize {
        let groups = saturating(self.groups_of(pool).count());
        let bound = limits_of(pools, pool).warm * groups * self.options.queue_factor;
        usize::try_from(bound).unwrap_or(usize::MAX)
    }
}

/// The limits of a pool; one that no longer exists gets no work.
fn limits_of(pools: &Pools, pool: &pool::Name) -> Limits {
    pools.get(pool).map(|p| p.limits).unwrap_or_default()
}

fn saturating(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

fn smoothed(mean: Duration, sample: Duration) -> Duration {
    (mean * (SERVICE_TIME_WINDOW - 1) + sample) / SERVICE_TIME_WINDOW
}

//! Simulation of a fabric domain in virtual time: workers, the table and two entries that
//! can own it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cyclamen_domain::listing::Status;
use cyclamen_domain::report::Assignment;
use cyclamen_domain::{
    Decision, Domain, Ending, Grant, Group, Listing, Options, Order, Owner, Report, Request, Row,
    Step,
};
use cyclamen_tables::pools::{Fencing, Kind, Limits, Pool, Pools};
use cyclamen_tables::routes::Priority;
use cyclamen_types::{Time, entry, group, instance, zone};

pub const WORKERS: usize = 10;
pub const GROUP_SIZE: usize = 3;
pub const OWNERS: usize = 2;
pub const LIMITS: Limits = Limits {
    warm: 8,
    cold: 2,
    ramp_ms: 1_000,
    slow_start_ms: 60_000,
};

/// The actual state of a worker at one time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerState {
    pub responsive: bool,
    pub incarnation: u64,
    pub assignment: Option<Assignment>,
    pub cold: bool,
}

#[derive(Debug)]
pub struct Worker {
    pub state: WorkerState,
    pub leaving: bool,
    pub listed: bool,
    pub checks_fence: bool,
    fence: group::Fence,
    history: Vec<(Time, WorkerState)>,
    running: u32,
}

#[derive(Debug)]
pub struct Entry {
    pub domain: Domain,
    pub owner: Owner,
    pub lease_held: bool,
    pub revision: u64,
    pub pools: Pools,
    pub listings: Vec<Listing>,
}

/// A ticket from its holder's view.
#[derive(Debug)]
pub struct HeldTicket {
    pub entry: usize,
    pub grant: Grant,
    pub at: Time,
    pub worker: usize,
    pub started: bool,
}

#[derive(Debug)]
pub struct Simulation {
    pub now: Time,
    pub options: Options,
    pub workers: Vec<Worker>,
    pub row: Row,
    pub revision: u64,
    pub pools: Pools,
    pub entries: Vec<Entry>,
    pub orders: Vec<(usize, Order)>,
    pub reports: Vec<(usize, usize, Time, Report)>,
    pub tickets: Vec<HeldTicket>,
    /// When the last probe that a worker answered was sent, by entry and worker.
    answered: BTreeMap<(usize, usize), Time>,
    owned_since: Time,
    next_ticket: u64,
    next_incarnation: u64,
}

pub fn pool() -> Pool {
    Pool {
        name: "llm".parse().unwrap(),
        service: "llm".parse().unwrap(),
        kind: Kind::Model,
        group_size: GROUP_SIZE as u32,
        fencing: Fencing::Checked,
        limits: LIMITS,
    }
}

fn zone_of(worker: usize) -> zone::Name {
    if worker < 3 { "a" } else { "b" }.parse().unwrap()
}

fn id(worker: usize) -> instance::Id {
    format!("w{worker}").parse().unwrap()
}

pub fn index(instance: &instance::Id) -> usize {
    instance.as_str()[1..].parse().unwrap()
}

impl Simulation {
    /// Creates running workers and two entries, the first of which owns the domain.
    pub fn new(options: Options, checks_fence: bool) -> Self {
        let worker = |i: usize| Worker {
            state: WorkerState {
                responsive: true,
                incarnation: i as u64,
                assignment: None,
                cold: true,
            },
            leaving: false,
            listed: true,
            checks_fence,
            fence: group::Fence(0),
            history: Vec::new(),
            running: 0,
        };
        let entry = |i: usize| Entry {
            domain: Domain::new("d".parse().unwrap(), options),
            owner: Owner {
                entry: format!("e{i}").parse().unwrap(),
                incarnation: entry::Incarnation(1),
            },
            lease_held: false,
            revision: 0,
            pools: Pools::default(),
            listings: Vec::new(),
        };
        let mut sim = Self {
            now: Time::from_millis(10_000),
            options,
            workers: (0..WORKERS).map(worker).collect(),
            row: Row::default(),
            revision: 1,
            pools: Pools {
                pools: vec![pool()],
                ..Pools::default()
            },
            entries: (0..OWNERS).map(entry).collect(),
            orders: Vec::new(),
            reports: Vec::new(),
            tickets: Vec::new(),
            answered: BTreeMap::new(),
            owned_since: Time::default(),
            next_ticket: 0,
            next_incarnation: 100,
        };
        sim.set_owner(0);
        for entry in 0..OWNERS {
            sim.sync(entry);
            sim.list(entry);
        }
        sim
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        let expired = |t: &HeldTicket| !t.started && self.now.since(t.at) > t.grant.start_within;
        let expired: Vec<_> = (0..self.tickets.len())
            .filter(|i| expired(&self.tickets[*i]))
            .collect();
        for i in expired.into_iter().rev() {
            self.end_request(i, Ending::Unused);
        }
        self.record_history();
    }

    fn record_history(&mut self) {
        for worker in &mut self.workers {
            worker.history.push((self.now, worker.state.clone()));
        }
    }

    pub fn update_worker(&mut self, worker: usize, change: impl FnOnce(&mut WorkerState)) {
        change(&mut self.workers[worker].state);
        self.record_history();
    }

    /// Restarts a worker, which loses all its state.
    pub fn restart(&mut self, worker: usize) {
        self.next_incarnation += 1;
        let incarnation = self.next_incarnation;
        self.workers[worker].fence = group::Fence(0);
        self.workers[worker].running = 0;
        for ticket in self.tickets.iter_mut().filter(|t| t.worker == worker) {
            ticket.started = false;
        }
        self.update_worker(worker, |state| {
            *state = WorkerState {
                responsive: true,
                incarnation,
                assignment: None,
                cold: true,
            };
        });
    }

    /// Makes an entry the owner in the table; the other's lease has expired by then.
    pub fn set_owner(&mut self, to: usize) {
        for entry in &mut self.entries {
            entry.lease_held = false;
        }
        self.row = self.row.with_owner(Some(self.entries[to].owner.clone()));
        self.revision += 1;
        self.owned_since = self.now;
        self.entries[to].lease_held = true;
        self.sync(to);
    }

    /// Makes an entry read the table.
    pub fn sync(&mut self, entry: usize) {
        let mine = self.row.owner.as_ref() == Some(&self.entries[entry].owner);
        let entry = &mut self.entries[entry];
        entry.pools = self.pools.clone();
        if entry.revision < self.revision {
            entry.revision = self.revision;
            entry.domain.set_row(self.now, self.row.clone(), mine);
        }
    }

    /// Makes an entry read the platform's list.
    pub fn list(&mut self, entry: usize) {
        let workers = self.workers.iter().enumerate().filter(|(_, w)| w.listed);
        let listings: Vec<_> = workers
            .map(|(i, worker)| Listing {
                instance: id(i),
                service: "llm".parse().unwrap(),
                zone: zone_of(i),
                domain: "d".parse().unwrap(),
                address: ([127, 0, 0, 1], 1_000 + i as u16).into(),
                status: if worker.leaving {
                    Status::Leaving
                } else {
                    Status::Live
                },
            })
            .collect();
        self.entries[entry].listings = listings.clone();
        self.entries[entry].domain.set_listings(listings);
    }

    /// Makes an entry probe a worker, if it is one that its domain probes; the report is in transit
    /// until it is delivered.
    pub fn probe(&mut self, entry: usize, worker: usize) {
        let state = &self.workers[worker].state;
        let mut probed = self.entries[entry].domain.listings();
        if state.responsive && probed.any(|listing| listing.instance == id(worker)) {
            let report = Report {
                incarnation: instance::Incarnation(state.incarnation),
                assignment: state.assignment.clone(),
                ready: state.assignment.is_some(),
                cold: state.cold,
                running: self.workers[worker].running,
            };
            self.reports.push((entry, worker, self.now, report));
        }
    }

    pub fn deliver_report(&mut self, pick: usize) {
        if !self.reports.is_empty() {
            let at = pick % self.reports.len();
            let (entry, worker, probed_at, report) = self.reports.remove(at);
            let answered = self.answered.entry((entry, worker)).or_default();
            *answered = probed_at.max(*answered);
            self.entries[entry]
                .domain
                .record_report(probed_at, &id(worker), report);
        }
    }

    /// Makes an entry plan; its row is committed unless the table has changed since it was read.
    pub fn plan(&mut self, entry: usize) {
        let now = self.now;
        let planner = &mut self.entries[entry];
        let steps = planner
            .domain
            .plan(now, &planner.pools.clone(), planner.lease_held);
        for step in steps {
            match step {
                Step::Write(row) if self.entries[entry].revision == self.revision => {
                    self.check_running_groups(entry, &row);
                    self.row = row;
                    self.revision += 1;
                    self.sync(entry);
                }
                Step::Write(_) => {}
                Step::Order {
                    instance, order, ..
                } => self.orders.push((index(&instance), order)),
            }
        }
    }

    /// Checks that a plan takes no group apart that runs requests, unless a member counts as lost.
    fn check_running_groups(&self, planner: usize, next: &Row) {
        for group in self.row.groups.iter().filter(|g| self.runs_requests(g)) {
            let is_kept = next
                .group(&group.id)
                .is_some_and(|g| g.fence == group.fence);
            let mut members = group.members.iter().map(|m| index(&m.instance));
            let any_lost = members.any(|worker| self.counts_as_lost(planner, worker));
            assert!(is_kept || any_lost, "{group:?} runs requests");
        }
    }

    /// Returns whether a group is complete, though some members may be silent, and runs requests.
    fn runs_requests(&self, group: &Group) -> bool {
        let wanted = Some(Assignment {
            group: group.id.clone(),
            fence: group.fence,
        });
        let mut members = group.members.iter();
        let is_complete = members.all(|member| {
            let state = &self.workers[index(&member.instance)].state;
            state.incarnation == member.incarnation.0 && state.assignment == wanted
        });
        let head = &self.workers[index(&group.members[0].instance)];
        is_complete && head.running > 0
    }

    /// Returns whether an owner has not heard from a worker for long enough to replace it.
    fn counts_as_lost(&self, owner: usize, worker: usize) -> bool {
        let answered = self.answered.get(&(owner, worker)).copied();
        let since = self.owned_since.max(answered.unwrap_or_default());
        let silent = self.now.since(since);
        let mut listings = self.entries[owner].listings.iter();
        if listings.any(|listing| listing.instance == id(worker)) {
            silent >= self.options.load_time
        } else {
            silent > self.options.silence_timeout
        }
    }

    pub fn deliver_order(&mut self, pick: usize) {
        if self.orders.is_empty() {
            return;
        }
        let at = pick % self.orders.len();
        let (worker, order) = self.orders.remove(at);
        let (fence, assignment) = match order {
            Order::Join { assignment, .. } => (assignment.fence, Some(assignment)),
            Order::Leave { fence } => (fence, None),
        };
        let target = &mut self.workers[worker];
        let obsolete = target.checks_fence && fence < target.fence;
        if target.state.responsive && !obsolete {
            target.fence = fence;
            self.update_worker(worker, |state| state.assignment = assignment);
        }
    }

    /// Makes an entry decide on a caller's request, and returns the grant if there is one.
    pub fn admit(&mut self, entry: usize) -> Option<Grant> {
        let request = self.new_request(entry);
        let now = self.now;
        let owner = &mut self.entries[entry];
        let decision = owner
            .domain
            .admit(now, request, &owner.pools.clone(), owner.lease_held);
        let Decision::Granted(grant) = decision else {
            return None;
        };
        self.record_grant(entry, &grant);
        Some(grant)
    }

    /// Returns a request that may not be queued; all such requests are of one team.
    pub fn new_request(&mut self, entry: usize) -> Request {
        self.next_ticket += 1;
        Request {
            ticket: group::Ticket(self.next_ticket),
            pool: "llm".parse().unwrap(),
            team: "vets".parse().unwrap(),
            share: 1,
            priority: Priority::Interactive,
            deadline: self.now + Duration::from_secs(30),
            suspect: false,
            may_queue: false,
            holder: self.entries[entry].owner.clone(),
        }
    }

    /// Records that the holder of a request received its grant.
    pub fn record_grant(&mut self, entry: usize, grant: &Grant) {
        self.tickets.push(HeldTicket {
            entry,
            grant: grant.clone(),
            at: self.now,
            worker: index(&grant.instance),
            started: false,
        });
    }

    /// Delivers a granted request to its worker, which starts it if it has joined that group.
    pub fn start_request(&mut self, pick: usize) {
        if self.tickets.is_empty() {
            return;
        }
        let at = pick % self.tickets.len();
        let ticket = &mut self.tickets[at];
        let worker = &mut self.workers[ticket.worker];
        let wanted = Assignment {
            group: ticket.grant.group.clone(),
            fence: ticket.grant.fence,
        };
        let accepts = worker.state.responsive && worker.state.assignment == Some(wanted);
        if !ticket.started && accepts {
            ticket.started = true;
            worker.running += 1;
        }
    }

    /// Ends a request and releases its ticket at the entry that issued it.
    pub fn end_request(&mut self, pick: usize, ending: Ending) {
        if self.tickets.is_empty() {
            return;
        }
        let ticket = self.tickets.remove(pick % self.tickets.len());
        if ticket.started {
            let worker = &mut self.workers[ticket.worker];
            worker.running = worker.running.saturating_sub(1);
        }
        let entry = &mut self.entries[ticket.entry];
        entry
            .domain
            .release(self.now, ticket.grant.ticket, ending, &entry.pools.clone());
    }

    /// Returns the number of requests that are or may soon be in progress on a worker.
    pub fn load_of(&self, worker: usize) -> u32 {
        let unstarted = self
            .tickets
            .iter()
            .filter(|t| t.worker == worker && !t.started);
        self.workers[worker].running + unstarted.count() as u32
    }

    /// Returns whether `test` held for a worker's state at some time within the last `within`.
    pub fn was_recently(
        &self,
        worker: usize,
        within: Duration,
        test: impl Fn(&WorkerState) -> bool,
    ) -> bool {
        let from = self.now - within;
        let history = &self.workers[worker].history;
        let begin = history
            .partition_point(|(at, _)| *at < from)
            .saturating_sub(1);
        history[begin..].iter().any(|(_, state)| test(state))
    }

    /// Returns the group of a grant according to the entry that issued it.
    pub fn group_of(&self, entry: usize, grant: &Grant) -> Option<Group> {
        self.entries[entry]
            .domain
            .row()
            .group(&grant.group)
            .cloned()
    }

    /// Runs rounds in which `owner` reads, probes and plans, and every message is delivered.
    pub fn run_rounds(&mut self, owner: usize, rounds: usize) {
        for _ in 0..rounds {
            self.advance(300);
            self.sync(owner);
            self.list(owner);
            for worker in 0..WORKERS {
                self.probe(owner, worker);
            }
            while !self.reports.is_empty() {
                self.deliver_report(0);
            }
            self.plan(owner);
            while !self.orders.is_empty() {
                self.deliver_order(0);
            }
        }
    }

    /// Returns the maximum number of complete groups that the usable workers could form.
    pub fn possible_groups(&self) -> usize {
        let zones_out = &self.pools.zones_out;
        let usable = |(i, w): &(usize, &Worker)| {
            w.state.responsive && w.listed && !w.leaving && !zones_out.contains(&zone_of(*i))
        };
        self.workers.iter().enumerate().filter(usable).count() / GROUP_SIZE
    }

    /// Returns the number of distinct groups for which an entry grants requests now.
    pub fn granting_groups(&mut self, entry: usize) -> usize {
        let mut groups = BTreeSet::new();
        while let Some(grant) = self.admit(entry) {
            groups.insert(grant.group);
        }
        groups.len()
    }

    pub fn zone_of(&self, worker: usize) -> zone::Name {
        zone_of(worker)
    }
}

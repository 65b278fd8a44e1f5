//! A fabric domain in virtual time: workers, the table and two owners.

use std::collections::BTreeSet;
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

/// What is true of a worker at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Truth {
    pub answers: bool,
    pub incarnation: u64,
    pub assignment: Option<Assignment>,
    pub cold: bool,
}

#[derive(Debug)]
pub struct Worker {
    pub truth: Truth,
    pub leaving: bool,
    pub listed: bool,
    pub checks_fence: bool,
    fence: group::Fence,
    history: Vec<(Time, Truth)>,
    running: u32,
}

#[derive(Debug)]
pub struct Side {
    pub domain: Domain,
    pub owner: Owner,
    pub holds: bool,
    pub revision: u64,
    pub pools: Pools,
    pub listings: Vec<Listing>,
}

/// A ticket as its holder sees it.
#[derive(Debug)]
pub struct Open {
    pub side: usize,
    pub grant: Grant,
    pub at: Time,
    pub worker: usize,
    pub started: bool,
}

#[derive(Debug)]
pub struct World {
    pub now: Time,
    pub options: Options,
    pub workers: Vec<Worker>,
    pub row: Row,
    pub revision: u64,
    pub pools: Pools,
    pub sides: Vec<Side>,
    pub orders: Vec<(usize, Order)>,
    pub reports: Vec<(usize, usize, Time, Report)>,
    pub open: Vec<Open>,
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

impl World {
    /// Workers that are up, two entries of which the first owns the domain.
    pub fn new(options: Options, checks_fence: bool) -> Self {
        let worker = |i: usize| Worker {
            truth: Truth {
                answers: true,
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
        let side = |i: usize| Side {
            domain: Domain::new("d".parse().unwrap(), options),
            owner: Owner {
                entry: format!("e{i}").parse().unwrap(),
                incarnation: entry::Incarnation(1),
            },
            holds: false,
            revision: 0,
            pools: Pools::default(),
            listings: Vec::new(),
        };
        let mut world = Self {
            now: Time::from_millis(10_000),
            options,
            workers: (0..WORKERS).map(worker).collect(),
            row: Row::default(),
            revision: 1,
            pools: Pools {
                pools: vec![pool()],
                ..Pools::default()
            },
            sides: (0..OWNERS).map(side).collect(),
            orders: Vec::new(),
            reports: Vec::new(),
            open: Vec::new(),
            next_ticket: 0,
            next_incarnation: 100,
        };
        world.depose(0);
        for side in 0..OWNERS {
            world.sync(side);
            world.list(side);
        }
        world
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        let lapsed = |o: &Open| !o.started && self.now.since(o.at) > o.grant.start_within;
        let lapsed: Vec<_> = (0..self.open.len())
            .filter(|i| lapsed(&self.open[*i]))
            .collect();
        for i in lapsed.into_iter().rev() {
            self.end(i, Ending::Unused);
        }
        self.record();
    }

    fn record(&mut self) {
        for worker in &mut self.workers {
            worker.history.push((self.now, worker.truth.clone()));
        }
    }

    pub fn change(&mut self, worker: usize, change: impl FnOnce(&mut Truth)) {
        change(&mut self.workers[worker].truth);
        self.record();
    }

    /// The worker starts anew and has forgotten everything.
    pub fn restart(&mut self, worker: usize) {
        self.next_incarnation += 1;
        let incarnation = self.next_incarnation;
        self.workers[worker].fence = group::Fence(0);
        self.workers[worker].running = 0;
        for open in self.open.iter_mut().filter(|o| o.worker == worker) {
            open.started = false;
        }
        self.change(worker, |truth| {
            *truth = Truth {
                answers: true,
                incarnation,
                assignment: None,
                cold: true,
            };
        });
    }

    /// The table gives the domain to a side; the other has no fresh lease by then.
    pub fn depose(&mut self, to: usize) {
        for side in &mut self.sides {
            side.holds = false;
        }
        self.row = self.row.with_owner(Some(self.sides[to].owner.clone()));
        self.revision += 1;
        self.sides[to].holds = true;
        self.sync(to);
    }

    /// A side reads the table.
    pub fn sync(&mut self, side: usize) {
        let mine = self.row.owner.as_ref() == Some(&self.sides[side].owner);
        let side = &mut self.sides[side];
        side.pools = self.pools.clone();
        if side.revision < self.revision {
            side.revision = self.revision;
            side.domain.set_row(self.now, self.row.clone(), mine);
        }
    }

    /// A side reads the platform's list.
    pub fn list(&mut self, side: usize) {
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
        self.sides[side].listings = listings.clone();
        self.sides[side].domain.set_listings(listings);
    }

    /// A side asks a worker; the answer is under way.
    pub fn probe(&mut self, side: usize, worker: usize) {
        let truth = &self.workers[worker].truth;
        if truth.answers {
            let report = Report {
                incarnation: instance::Incarnation(truth.incarnation),
                assignment: truth.assignment.clone(),
                ready: truth.assignment.is_some(),
                cold: truth.cold,
                running: self.workers[worker].running,
            };
            self.reports.push((side, worker, self.now, report));
        }
    }

    pub fn deliver_report(&mut self, pick: usize) {
        if !self.reports.is_empty() {
            let at = pick % self.reports.len();
            let (side, worker, asked, report) = self.reports.remove(at);
            self.sides[side]
                .domain
                .record_report(asked, &id(worker), report);
        }
    }

    /// A side plans; its row is committed if nobody wrote before it.
    pub fn plan(&mut self, side: usize) {
        let now = self.now;
        let planner = &mut self.sides[side];
        let steps = planner
            .domain
            .plan(now, &planner.pools.clone(), planner.holds);
        for step in steps {
            match step {
                Step::Write(row) if self.sides[side].revision == self.revision => {
                    self.row = row;
                    self.revision += 1;
                    self.sync(side);
                }
                Step::Write(_) => {}
                Step::Order {
                    instance, order, ..
                } => self.orders.push((index(&instance), order)),
            }
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
        let each = &mut self.workers[worker];
        let obsolete = each.checks_fence && fence < each.fence;
        if each.truth.answers && !obsolete {
            each.fence = fence;
            self.change(worker, |truth| truth.assignment = assignment);
        }
    }

    /// A caller's request comes to a side; the grant, if there is one.
    pub fn ask(&mut self, side: usize) -> Option<Grant> {
        let ask = self.request(side);
        let now = self.now;
        let asked = &mut self.sides[side];
        let answer = asked
            .domain
            .admit(now, ask, &asked.pools.clone(), asked.holds);
        let Decision::Granted(grant) = answer else {
            return None;
        };
        self.take(side, &grant);
        Some(grant)
    }

    /// A request of one team that does not wait.
    pub fn request(&mut self, side: usize) -> Request {
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
            holder: self.sides[side].owner.clone(),
        }
    }

    /// The holder of a request learns of its grant.
    pub fn take(&mut self, side: usize, grant: &Grant) {
        self.open.push(Open {
            side,
            grant: grant.clone(),
            at: self.now,
            worker: index(&grant.instance),
            started: false,
        });
    }

    /// A granted request reaches its worker, which takes it if it is in that group.
    pub fn start(&mut self, pick: usize) {
        if self.open.is_empty() {
            return;
        }
        let at = pick % self.open.len();
        let open = &mut self.open[at];
        let worker = &mut self.workers[open.worker];
        let wanted = Assignment {
            group: open.grant.group.clone(),
            fence: open.grant.fence,
        };
        let takes = worker.truth.answers && worker.truth.assignment == Some(wanted);
        if !open.started && takes {
            open.started = true;
            worker.running += 1;
        }
    }

    /// A request ends and its ticket goes back to the side that issued it.
    pub fn end(&mut self, pick: usize, ending: Ending) {
        if self.open.is_empty() {
            return;
        }
        let open = self.open.remove(pick % self.open.len());
        if open.started {
            let worker = &mut self.workers[open.worker];
            worker.running = worker.running.saturating_sub(1);
        }
        let side = &mut self.sides[open.side];
        side.domain
            .release(self.now, open.grant.ticket, ending, &side.pools.clone());
    }

    /// Requests that are or may soon be in progress on a worker.
    pub fn load(&self, worker: usize) -> u32 {
        let unstarted = self
            .open
            .iter()
            .filter(|o| o.worker == worker && !o.started);
        self.workers[worker].running + unstarted.count() as u32
    }

    /// Whether something was true of a worker at some moment within a time.
    pub fn was(&self, worker: usize, within: Duration, test: impl Fn(&Truth) -> bool) -> bool {
        let from = self.now - within;
        let history = &self.workers[worker].history;
        let begin = history
            .partition_point(|(at, _)| *at < from)
            .saturating_sub(1);
        history[begin..].iter().any(|(_, truth)| test(truth))
    }

    /// The group of a grant in the view of the side that gave it.
    pub fn group_of(&self, side: usize, grant: &Grant) -> Option<Group> {
        self.sides[side].domain.row().group(&grant.group).cloned()
    }

    /// Lets everything settle with the given side as the owner.
    pub fn settle(&mut self, owner: usize, rounds: usize) {
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

    /// Whole groups that confirmed workers could form at the most.
    pub fn possible_groups(&self) -> usize {
        let zones_out = &self.pools.zones_out;
        let usable = |(i, w): &(usize, &Worker)| {
            w.truth.answers && w.listed && !w.leaving && !zones_out.contains(&zone_of(*i))
        };
        self.workers.iter().enumerate().filter(usable).count() / GROUP_SIZE
    }

    /// Distinct groups that grant requests at present.
    pub fn granting_groups(&mut self, side: usize) -> usize {
        let mut groups = BTreeSet::new();
        while let Some(grant) = self.ask(side) {
            groups.insert(grant.group);
        }
        groups.len()
    }

    pub fn zone_of(&self, worker: usize) -> zone::Name {
        zone_of(worker)
    }
}

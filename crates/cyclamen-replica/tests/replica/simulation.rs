//! A simulation of one fabric domain whose workers execute orders as model engines do.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_directory::Instance;
use cyclamen_directory::instance::{Membership, Phase, Status};
use cyclamen_directory::service::{Engine, Model};
use cyclamen_replica::{Command, Direction, GroupCounts, Order, Outcome, Planner, View, Worker};
use cyclamen_types::{Time, group, instance, model};

pub const TICK: Duration = Duration::from_millis(50);
/// How long a crashed worker still counts as alive.
const DETECTION_DELAY: Duration = Duration::from_millis(300);
/// How long a crashed worker stays listed.
const LISTING_TTL: Duration = Duration::from_millis(3_600);
/// The time to join if the worker's last group had the same model.
const WARM_JOIN_TIME: Duration = Duration::from_millis(200);

pub fn engine() -> Engine {
    let model = |name: &str, size, share, load, warm| Model {
        name: name.parse().unwrap(),
        size,
        share,
        pace: 1.0,
        load: Duration::from_secs(load),
        warm: Duration::from_millis(warm),
    };
    Engine {
        slots: 26,
        step: Duration::from_millis(6),
        step_per_request: Duration::from_micros(240),
        read_per_second: 46_000.0,
        chunk: 2_048,
        stride: 5,
        loads_per_second: 4.0,
        concurrent_loads: Some(6),
        models: vec![
            model("large", 4, 0.67, 16, 1_600),
            model("small", 2, 0.33, 12, 1_100),
        ],
    }
}

/// A worker's membership and the join parameters that only the engine holds.
#[derive(Debug, Clone)]
struct Member {
    membership: Membership,
    members: Vec<instance::Id>,
    model: model::Name,
    /// When the member is ready, unless weights have to be loaded first.
    ready_at: Time,
}

/// A load of weights in progress.
#[derive(Debug, Clone)]
struct Load {
    model: model::Name,
    /// The time that it still takes if the weight store is not overloaded.
    remaining: Duration,
}

#[derive(Debug, Clone)]
struct SimWorker {
    incarnation: u64,
    stopped: Option<Time>,
    leaving: bool,
    member: Option<Member>,
    last_fence: group::Fence,
    last_model: Option<model::Name>,
    staged: Vec<model::Name>,
    load: Option<Load>,
    /// Whether loads make no progress.
    stuck: bool,
    /// Whether another worker has its address.
    displaced: bool,
}

impl SimWorker {
    fn new(incarnation: u64, staged: Vec<model::Name>) -> Self {
        Self {
            incarnation,
            stopped: None,
            leaving: false,
            member: None,
            last_fence: group::Fence(0),
            last_model: None,
            staged,
            load: None,
            stuck: false,
            displaced: false,
        }
    }
}

/// The workers of one fabric domain and the planner of its owner.
pub struct Simulation {
    pub now: Time,
    engine: Engine,
    planner: Planner,
    last_fence: u64,
    sim_workers: BTreeMap<instance::Id, SimWorker>,
    /// Delayed orders, with the times at which they are executed.
    delayed: Vec<(Time, Command)>,
    load_times: Vec<Time>,
    /// Whether requests arrive; before that, the weight store is fast and has no limit.
    pub has_traffic: bool,
    /// The largest number of loads in progress at the same time.
    pub max_concurrent_loads: usize,
    /// All orders that were sent, with the times.
    orders: Vec<(Time, Command)>,
    /// How long the list of workers is out of date.
    pub lag: Duration,
    /// The states of the workers at the last steps, oldest first.
    listings: VecDeque<(Time, Vec<Worker>)>,
    /// The number of fabric domains that share the rate limit on loads.
    pub domain_count: usize,
    /// The number of fabric domains that load weights.
    pub loading_domains: usize,
    /// The number of groups of each model in other domains.
    pub remote_groups: GroupCounts,
    /// The needs of the fleet, as the planner is given them.
    pub direction: Direction,
    /// How orders are delivered.
    pub delivery: Delivery,
    /// Violations of the invariants.
    pub violations: Vec<String>,
    /// Members that became ready under a membership, with their incarnations.
    ready: BTreeMap<(group::Id, group::Fence), Vec<(instance::Id, u64)>>,
}

/// How orders are delivered to workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    Immediate,
    Lost,
    /// Delayed by a number of milliseconds.
    Delayed(u64),
}

impl Simulation {
    pub fn new(workers: usize) -> Self {
        let mut sim = Self {
            now: Time::default(),
            engine: engine(),
            planner: planner(0),
            last_fence: 0,
            sim_workers: BTreeMap::new(),
            delayed: Vec::new(),
            load_times: Vec::new(),
            has_traffic: false,
            max_concurrent_loads: 0,
            orders: Vec::new(),
            lag: Duration::ZERO,
            listings: VecDeque::new(),
            domain_count: 6,
            loading_domains: 6,
            remote_groups: GroupCounts::new(),
            direction: Direction::default(),
            delivery: Delivery::Immediate,
            violations: Vec::new(),
            ready: BTreeMap::new(),
        };
        for _ in 0..workers {
            sim.add();
        }
        sim
    }

    pub fn add(&mut self) {
        let id = format!("w{}", self.sim_workers.len()).parse().unwrap();
        self.sim_workers.insert(id, SimWorker::new(1, Vec::new()));
    }

    fn nth(&mut self, n: usize) -> Option<&mut SimWorker> {
        let count = self.sim_workers.len().max(1);
        self.sim_workers.values_mut().nth(n % count)
    }

    pub fn crash(&mut self, n: usize) {
        let now = self.now;
        if let Some(worker) = self.nth(n) {
            worker.stopped.get_or_insert(now);
        }
    }

    /// Restarts a worker under its id; it keeps only the weights that its host holds.
    pub fn restart(&mut self, n: usize) {
        if let Some(worker) = self.nth(n) {
            let staged = std::mem::take(&mut worker.staged);
            *worker = SimWorker::new(worker.incarnation + 1, staged);
        }
    }

    /// Makes all loads of a worker stop.
    pub fn stick(&mut self, n: usize) {
        if let Some(worker) = self.nth(n) {
            worker.stuck = true;
        }
    }

    /// Gives the address of a worker to another one.
    pub fn displace(&mut self, n: usize) {
        if let Some(worker) = self.nth(n) {
            worker.displaced = true;
        }
    }

    pub fn leave(&mut self, n: usize) {
        if let Some(worker) = self.nth(n) {
            worker.leaving = true;
        }
    }

    /// Replaces the planner, as if another entry took over the domain with higher fencing tokens.
    pub fn replace_planner(&mut self) {
        self.last_fence += 1_000;
        self.planner = planner(self.last_fence);
    }

    /// Crashes a member of a serving group.
    pub fn crash_member(&mut self, n: usize) {
        let serving = self.open_members();
        if let Some(id) = serving.get(n % serving.len().max(1)) {
            let now = self.now;
            self.sim_workers
                .get_mut(id)
                .unwrap()
                .stopped
                .get_or_insert(now);
        }
    }

    fn open_members(&self) -> Vec<instance::Id> {
        let open = self.sim_workers.values().filter_map(|w| w.member.as_ref());
        let heads = open.filter(|m| m.membership.phase == Phase::Open);
        heads.flat_map(|m| m.members.clone()).collect()
    }

    /// Counts the groups of each model whose head serves and whose members all run.
    pub fn serving(&self) -> GroupCounts {
        let mut counts = GroupCounts::new();
        for worker in self.sim_workers.values().filter(|w| w.stopped.is_none()) {
            let Some(member) = &worker.member else {
                continue;
            };
            let complete = member.members.iter().all(|id| {
                let other = &self.sim_workers[id];
                let same = other.member.as_ref().map(|m| &m.membership);
                let same = same.is_some_and(|m| m.fence == member.membership.fence);
                other.stopped.is_none() && same
            });
            if member.membership.phase == Phase::Open && complete {
                *counts.entry(member.model.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// Counts the workers outside groups, by the model whose weights they hold.
    pub fn spares(&self) -> GroupCounts {
        let mut counts = GroupCounts::new();
        let running = self.sim_workers.values().filter(|w| w.stopped.is_none());
        for model in running
            .filter(|w| w.member.is_none())
            .flat_map(|w| &w.staged)
        {
            *counts.entry(model.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns whether a planner converts groups.
    pub fn is_converting(&self) -> bool {
        self.planner.conversion().is_some()
    }

    /// Returns the number of loads of weights so far, apart from loads that are part of a join.
    pub fn load_count(&self) -> usize {
        self.load_times.len()
    }

    /// Returns the largest number of loads that began within five seconds, after a given time.
    pub fn max_loads_in_window(&self, after: Time) -> usize {
        let window = Duration::from_secs(5);
        let later = self.load_times.iter().filter(|at| **at > after);
        let counts = later.map(|from| {
            let within = |at: &&Time| **at >= *from && at.since(*from) < window;
            self.load_times.iter().filter(within).count()
        });
        counts.max().unwrap_or(0)
    }

    /// Returns the orders that were sent after a given time.
    pub fn orders_after(&self, after: Time) -> impl Iterator<Item = &Command> {
        let later = self.orders.iter().filter(move |(at, _)| *at > after);
        later.map(|(_, command)| command)
    }

    /// Returns the largest number of orders that were sent within a period.
    pub fn max_orders_within(&self, period: Duration) -> usize {
        let mut first = 0;
        let mut most = 0;
        for (last, (at, _)) in self.orders.iter().enumerate() {
            while at.since(self.orders[first].0) >= period {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    /// Returns the number of workers, including those that have stopped.
    pub fn worker_count(&self) -> usize {
        self.sim_workers.len()
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + TICK;
        self.advance_workers();
        let due: Vec<_> = self
            .delayed
            .iter()
            .filter(|(at, _)| *at <= self.now)
            .cloned()
            .collect();
        self.delayed.retain(|(at, _)| *at > self.now);
        for (_, command) in due {
            self.execute(&command);
        }
        let workers = self.listing();
        let view = View {
            now: self.now,
            engine: &self.engine,
            workers: &workers,
            remote_groups: &self.remote_groups,
            domain_count: self.domain_count,
            loading_domains: self.loading_domains,
        };
        self.planner.set_direction(self.direction.clone());
        for command in self.planner.plan(&view) {
            self.orders.push((self.now, command.clone()));
            let outcome = match self.delivery {
                Delivery::Immediate => self.execute(&command),
                Delivery::Lost => Outcome::Lost,
                Delivery::Delayed(millis) => {
                    let at = self.now + Duration::from_millis(millis);
                    self.delayed.push((at, command.clone()));
                    Outcome::Lost
                }
            };
            self.planner.record_outcome(self.now, &command, outcome);
        }
    }

    /// Returns the workers as they were one lag ago.
    fn listing(&mut self) -> Vec<Worker> {
        let current = self.workers();
        self.listings.push_back((self.now, current));
        let is_old = |listing: &(Time, Vec<Worker>)| self.now.since(listing.0) >= self.lag;
        while self.listings.get(1).is_some_and(is_old) {
            self.listings.pop_front();
        }
        let oldest = self.listings.front();
        oldest
            .map(|(_, workers)| workers.clone())
            .unwrap_or_default()
    }

    fn advance_workers(&mut self) {
        self.advance_loads();
        let now = self.now;
        for (id, worker) in &mut self.sim_workers {
            let Some(member) = &mut worker.member else {
                continue;
            };
            let loading = worker
                .load
                .as_ref()
                .is_some_and(|l| l.model == member.model);
            if loading {
                let warm = self.engine.model(&member.model).unwrap().warm;
                member.ready_at = now + warm;
            }
            if member.membership.phase == Phase::Joining && now >= member.ready_at {
                member.membership.phase = Phase::Ready;
                worker.last_model = Some(member.model.clone());
                let key = (member.membership.group.clone(), member.membership.fence);
                let ready = self.ready.entry(key).or_default();
                ready.push((id.clone(), worker.incarnation));
            }
        }
    }

    /// Advances the loads in progress, which share the weight store.
    fn advance_loads(&mut self) {
        let loading = self
            .sim_workers
            .values()
            .filter(|w| w.stopped.is_none() && w.load.is_some());
        let count = loading.count();
        self.max_concurrent_loads = self.max_concurrent_loads.max(count);
        let limit = self.engine.concurrent_loads.unwrap_or(usize::MAX);
        // Other domains keep their shares of the weight store busy.
        let share = (limit / self.loading_domains.max(1)).max(1);
        let progress = if !self.has_traffic {
            10 * TICK
        } else if count > share {
            TICK.mul_f64(share as f64 / count as f64)
        } else {
            TICK
        };
        for worker in self
            .sim_workers
            .values_mut()
            .filter(|w| w.stopped.is_none() && !w.stuck)
        {
            let Some(load) = &mut worker.load else {
                continue;
            };
            load.remaining = load.remaining.saturating_sub(progress);
            if load.remaining.is_zero() {
                worker.staged = vec![load.model.clone()];
                worker.load = None;
            }
        }
    }

    fn workers(&self) -> Vec<Worker> {
        let listed = self.sim_workers.iter().filter(|(_, worker)| {
            worker
                .stopped
                .is_none_or(|at| self.now.since(at) < LISTING_TTL)
        });
        let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
        listed
            .map(|(id, worker)| {
                let failed = worker
                    .stopped
                    .is_some_and(|at| self.now.since(at) >= DETECTION_DELAY);
                let instance = Instance {
                    id: id.clone(),
                    incarnation: instance::Incarnation(worker.incarnation),
                    service: "llm".parse().unwrap(),
                    address,
                    zone: "a".parse().unwrap(),
                    domain: Some("d".parse().unwrap()),
                    slots: 26,
                    status: if worker.leaving {
                        Status::Leaving
                    } else {
                        Status::Ready
                    },
                    cold: Duration::ZERO,
                    staged: worker.staged.clone(),
                    model: worker.member.as_ref().map(|m| m.model.clone()),
                    membership: worker.member.as_ref().map(|m| m.membership.clone()),
                };
                Worker {
                    instance: Arc::new(instance),
                    alive: !failed,
                    listed: true,
                    suspected: failed,
                    zone_active: true,
                }
            })
            .collect()
    }

    /// Executes an order as an engine does.
    fn execute(&mut self, command: &Command) -> Outcome {
        let worker = &self.sim_workers[&command.instance];
        if worker.stopped.is_some() {
            return Outcome::Unreachable;
        }
        if worker.displaced {
            return Outcome::Misdirected;
        }
        match &command.order {
            Order::Join {
                group,
                fence,
                model,
                members,
            } => return self.join(&command.instance, group, *fence, model, members),
            Order::Open { group, fence } => self.open(&command.instance, group, *fence),
            Order::Close { group, fence, .. } => {
                if let Some(member) = self.member(&command.instance, group, *fence)
                    && member.membership.phase == Phase::Open
                {
                    member.membership.phase = Phase::Ready;
                }
            }
            Order::Leave { group, fence } => {
                if self.member(&command.instance, group, *fence).is_some() {
                    self.sim_workers.get_mut(&command.instance).unwrap().member = None;
                }
            }
            Order::Stage { model } => {
                if worker.load.as_ref().is_some_and(|l| l.model != *model) {
                    return Outcome::Unfitting;
                }
                if self.start_load(&command.instance, model) {
                    self.load_times.push(self.now);
                }
            }
        }
        Outcome::Accepted
    }

    /// Starts to load weights unless the worker loads already; returns whether the load starts.
    fn start_load(&mut self, id: &instance::Id, model: &model::Name) -> bool {
        let remaining = self.engine.model(model).unwrap().load;
        let worker = self.sim_workers.get_mut(id).unwrap();
        let starts = worker.load.is_none() && !worker.staged.contains(model);
        if starts {
            let model = model.clone();
            worker.load = Some(Load { model, remaining });
        }
        starts
    }

    fn member(
        &mut self,
        id: &instance::Id,
        group: &group::Id,
        fence: group::Fence,
    ) -> Option<&mut Member> {
        let member = self.sim_workers.get_mut(id)?.member.as_mut()?;
        let same = member.membership.group == *group && member.membership.fence == fence;
        same.then_some(member)
    }

    fn join(
        &mut self,
        id: &instance::Id,
        group: &group::Id,
        fence: group::Fence,
        model: &model::Name,
        members: &[instance::Id],
    ) -> Outcome {
        let worker = &self.sim_workers[id];
        if fence < worker.last_fence {
            return Outcome::Fenced;
        }
        if self.has_joined(id, group, fence) {
            return Outcome::Accepted;
        }
        self.check_exclusive(id, group);
        let warm = self.engine.model(model).unwrap().warm;
        let worker = self.sim_workers.get_mut(id).unwrap();
        worker.last_fence = fence;
        let is_warm = worker.last_model.as_ref() == Some(model);
        let join_time = if is_warm { WARM_JOIN_TIME } else { warm };
        let must_load = !is_warm && !worker.staged.contains(model);
        if must_load {
            // A load of other weights is given up.
            let same = worker.load.as_ref().is_some_and(|l| l.model == *model);
            worker.load = worker.load.take().filter(|_| same);
            let _ = self.start_load(id, model);
        }
        let worker = self.sim_workers.get_mut(id).unwrap();
        worker.member = Some(Member {
            membership: Membership {
                group: group.clone(),
                fence,
                rank: members.iter().position(|m| m == id).unwrap(),
                phase: Phase::Joining,
            },
            members: members.to_vec(),
            model: model.clone(),
            ready_at: self.now + join_time,
        });
        Outcome::Accepted
    }

    fn has_joined(&mut self, id: &instance::Id, group: &group::Id, fence: group::Fence) -> bool {
        self.member(id, group, fence).is_some()
    }

    /// Records a violation if a worker joins another group while the head of its group serves.
    fn check_exclusive(&mut self, id: &instance::Id, joined: &group::Id) {
        let Some(member) = &self.sim_workers[id].member else {
            return;
        };
        if member.membership.group == *joined {
            return;
        }
        let head = &self.sim_workers[&member.members[0]];
        let serves = head.stopped.is_none()
            && head.member.as_ref().is_some_and(|h| {
                h.membership.fence == member.membership.fence && h.membership.phase == Phase::Open
            });
        if serves {
            self.violations
                .push(format!("{id} joins {joined} while its head serves"));
        }
    }

    /// Opens a group and records a violation if a member was never ready under its membership.
    fn open(&mut self, id: &instance::Id, group: &group::Id, fence: group::Fence) {
        let Some(member) = self.member(id, group, fence) else {
            return;
        };
        if member.membership.rank != 0 || member.membership.phase != Phase::Ready {
            return;
        }
        member.membership.phase = Phase::Open;
        let members = member.members.clone();
        let model = member.model.clone();
        let size = self.engine.model(&model).unwrap().size;
        let ready = self
            .ready
            .get(&(group.clone(), fence))
            .cloned()
            .unwrap_or_default();
        let all = members.iter().all(|m| ready.iter().any(|(id, _)| id == m));
        if members.len() != size || !all {
            self.violations
                .push(format!("{group} opens with a member that was never ready"));
        }
    }
}

fn planner(fence: u64) -> Planner {
    Planner::new(
        "d".parse().unwrap(),
        group::Fence(fence),
        Default::default(),
    )
}

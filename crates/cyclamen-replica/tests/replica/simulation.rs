//! A simulation of one fabric domain whose workers execute orders as model engines do.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_directory::Instance;
use cyclamen_directory::instance::{Membership, Phase, Status};
use cyclamen_directory::service::{Engine, Model};
use cyclamen_replica::{Command, GroupCounts, Order, Planner, View, Worker};
use cyclamen_types::{Time, group, instance, model};

pub const TICK: Duration = Duration::from_millis(50);
/// How long a crashed worker still counts as alive.
const DETECTION_DELAY: Duration = Duration::from_millis(300);
/// How long a crashed worker stays listed.
const LISTING_TTL: Duration = Duration::from_millis(3_600);
/// The time to join if the worker's last group had the same model.
const WARM_JOIN_TIME: Duration = Duration::from_millis(200);
/// The time to join with weights that the host holds.
const STAGED_JOIN_TIME: Duration = Duration::from_millis(1_600);

pub fn engine() -> Engine {
    let model = |name: &str, size, share, load| Model {
        name: name.parse().unwrap(),
        size,
        share,
        pace: 1.0,
        load: Duration::from_secs(load),
    };
    Engine {
        slots: 26,
        step: Duration::from_millis(6),
        step_per_request: Duration::from_micros(240),
        read_per_second: 46_000.0,
        chunk: 2_048,
        stride: 5,
        loads_per_second: 4.0,
        models: vec![model("large", 4, 0.67, 16), model("small", 2, 0.33, 12)],
    }
}

/// A worker's membership and the join parameters that only the engine holds.
#[derive(Debug, Clone)]
struct Member {
    membership: Membership,
    members: Vec<instance::Id>,
    model: model::Name,
    ready_at: Time,
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
    staging: Option<(model::Name, Time)>,
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
    /// The number of fabric domains that share the rate limit on loads.
    pub domain_count: usize,
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
            domain_count: 6,
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
        let worker = SimWorker {
            incarnation: 1,
            stopped: None,
            leaving: false,
            member: None,
            last_fence: group::Fence(0),
            last_model: None,
            staged: Vec::new(),
            staging: None,
        };
        self.sim_workers.insert(id, worker);
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
            *worker = SimWorker {
                incarnation: worker.incarnation + 1,
                stopped: None,
                leaving: false,
                member: None,
                last_fence: group::Fence(0),
                last_model: None,
                staged,
                staging: None,
            };
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
        let workers = self.workers();
        let view = View {
            now: self.now,
            engine: &self.engine,
            workers: &workers,
            remote_groups: &GroupCounts::new(),
            domain_count: self.domain_count,
        };
        for command in self.planner.plan(&view) {
            match self.delivery {
                Delivery::Immediate => self.execute(&command),
                Delivery::Lost => {}
                Delivery::Delayed(millis) => {
                    let at = self.now + Duration::from_millis(millis);
                    self.delayed.push((at, command));
                }
            }
        }
    }

    fn advance_workers(&mut self) {
        let now = self.now;
        for (id, worker) in &mut self.sim_workers {
            if let Some((model, due)) = worker.staging.clone()
                && now >= due
            {
                worker.staged = vec![model];
                worker.staging = None;
            }
            let Some(member) = &mut worker.member else {
                continue;
            };
            if member.membership.phase == Phase::Joining && now >= member.ready_at {
                member.membership.phase = Phase::Ready;
                worker.last_model = Some(member.model.clone());
                let key = (member.membership.group.clone(), member.membership.fence);
                let ready = self.ready.entry(key).or_default();
                ready.push((id.clone(), worker.incarnation));
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
    fn execute(&mut self, command: &Command) {
        let worker = &self.sim_workers[&command.instance];
        if worker.stopped.is_some() {
            return;
        }
        match &command.order {
            Order::Join {
                group,
                fence,
                model,
                members,
            } => self.join(&command.instance, group, *fence, model, members),
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
                let due = self.now + self.engine.model(model).unwrap().load;
                let worker = self.sim_workers.get_mut(&command.instance).unwrap();
                if worker.staging.is_none() {
                    worker.staging = Some((model.clone(), due));
                    self.load_times.push(self.now);
                }
            }
        }
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
    ) {
        let worker = &self.sim_workers[id];
        if fence < worker.last_fence || self.has_joined(id, group, fence) {
            return;
        }
        self.check_exclusive(id, group);
        let spec = self.engine.model(model).unwrap();
        let worker = self.sim_workers.get_mut(id).unwrap();
        let join_time = if worker.last_model.as_ref() == Some(model) {
            WARM_JOIN_TIME
        } else if worker.staged.contains(model) {
            STAGED_JOIN_TIME
        } else {
            spec.load
        };
        worker.last_fence = fence;
        if !worker.staged.contains(model) {
            worker.staged = vec![model.clone()];
        }
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

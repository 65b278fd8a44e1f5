//! Workers of one fabric domain that follow orders as model engines do.

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
/// How long a worker that is gone still counts as there.
const NOTICED: Duration = Duration::from_millis(300);
/// How long a worker that is gone stays listed.
const LISTED: Duration = Duration::from_millis(3_600);
const RETURN: Duration = Duration::from_millis(200);
/// The time to join with weights that the host holds.
const WARM: Duration = Duration::from_millis(1_600);

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

/// A worker's membership with the list that only engines know.
#[derive(Debug, Clone)]
struct Member {
    membership: Membership,
    members: Vec<instance::Id>,
    model: model::Name,
    due: Time,
}

#[derive(Debug, Clone)]
struct Body {
    incarnation: u64,
    gone: Option<Time>,
    leaving: bool,
    member: Option<Member>,
    seen: group::Fence,
    last_model: Option<model::Name>,
    staged: Vec<model::Name>,
    staging: Option<(model::Name, Time)>,
}

/// The workers of one fabric domain and the planner that owns it.
pub struct World {
    pub now: Time,
    engine: Engine,
    planner: Planner,
    fences: u64,
    bodies: BTreeMap<instance::Id, Body>,
    /// Orders that are carried out late.
    late: Vec<(Time, Command)>,
    stagings: Vec<Time>,
    /// Fabric domains that share the rate of loads.
    pub domains: usize,
    /// Whether the next order is lost, late or both answered and carried out.
    pub fate: Fate,
    /// Rules that were broken.
    pub broken: Vec<String>,
    /// Members that were ready under a membership, by their start.
    ready: BTreeMap<(group::Id, group::Fence), Vec<(instance::Id, u64)>>,
}

/// What becomes of orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Followed,
    Lost,
    Late(u64),
}

impl World {
    pub fn new(workers: usize) -> Self {
        let mut world = Self {
            now: Time::default(),
            engine: engine(),
            planner: planner(0),
            fences: 0,
            bodies: BTreeMap::new(),
            late: Vec::new(),
            stagings: Vec::new(),
            domains: 6,
            fate: Fate::Followed,
            broken: Vec::new(),
            ready: BTreeMap::new(),
        };
        for _ in 0..workers {
            world.add();
        }
        world
    }

    pub fn add(&mut self) {
        let id = format!("w{}", self.bodies.len()).parse().unwrap();
        let body = Body {
            incarnation: 1,
            gone: None,
            leaving: false,
            member: None,
            seen: group::Fence(0),
            last_model: None,
            staged: Vec::new(),
            staging: None,
        };
        self.bodies.insert(id, body);
    }

    fn nth(&mut self, n: usize) -> Option<&mut Body> {
        let count = self.bodies.len().max(1);
        self.bodies.values_mut().nth(n % count)
    }

    pub fn kill(&mut self, n: usize) {
        let now = self.now;
        if let Some(body) = self.nth(n) {
            body.gone.get_or_insert(now);
        }
    }

    /// A worker that was gone starts again under its id and knows nothing of before.
    pub fn restart(&mut self, n: usize) {
        if let Some(body) = self.nth(n) {
            let staged = std::mem::take(&mut body.staged);
            *body = Body {
                incarnation: body.incarnation + 1,
                gone: None,
                leaving: false,
                member: None,
                seen: group::Fence(0),
                last_model: None,
                staged,
                staging: None,
            };
        }
    }

    pub fn leave(&mut self, n: usize) {
        if let Some(body) = self.nth(n) {
            body.leaving = true;
        }
    }

    /// Another entry takes the domain over, with higher fencing numbers.
    pub fn replace_planner(&mut self) {
        self.fences += 1_000;
        self.planner = planner(self.fences);
    }

    /// The head of some group that serves goes.
    pub fn kill_member(&mut self, n: usize) {
        let serving = self.open_members();
        if let Some(id) = serving.get(n % serving.len().max(1)) {
            let now = self.now;
            self.bodies.get_mut(id).unwrap().gone.get_or_insert(now);
        }
    }

    fn open_members(&self) -> Vec<instance::Id> {
        let open = self.bodies.values().filter_map(|b| b.member.as_ref());
        let heads = open.filter(|m| m.membership.phase == Phase::Open);
        heads.flat_map(|m| m.members.clone()).collect()
    }

    /// Groups of each model whose head serves and whose members are all there.
    pub fn serving(&self) -> GroupCounts {
        let mut mix = GroupCounts::new();
        for body in self.bodies.values().filter(|b| b.gone.is_none()) {
            let Some(member) = &body.member else { continue };
            let whole = member.members.iter().all(|id| {
                let other = &self.bodies[id];
                let same = other.member.as_ref().map(|m| &m.membership);
                let same = same.is_some_and(|m| m.fence == member.membership.fence);
                other.gone.is_none() && same
            });
            if member.membership.phase == Phase::Open && whole {
                *mix.entry(member.model.clone()).or_default() += 1;
            }
        }
        mix
    }

    /// Workers outside groups, by the model whose weights they hold.
    pub fn spares(&self) -> GroupCounts {
        let mut mix = GroupCounts::new();
        let here = self.bodies.values().filter(|b| b.gone.is_none());
        for model in here.filter(|b| b.member.is_none()).flat_map(|b| &b.staged) {
            *mix.entry(model.clone()).or_default() += 1;
        }
        mix
    }

    /// Weights that were loaded so far, beside those of the first groups.
    pub fn staged(&self) -> usize {
        self.stagings.len()
    }

    /// The most loads that began within five seconds, after a moment.
    pub fn most_loads(&self, after: Time) -> usize {
        let window = Duration::from_secs(5);
        let later = self.stagings.iter().filter(|at| **at > after);
        let counts = later.map(|from| {
            let within = |at: &&Time| **at >= *from && at.since(*from) < window;
            self.stagings.iter().filter(within).count()
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
        self.progress();
        let due: Vec<_> = self
            .late
            .iter()
            .filter(|(at, _)| *at <= self.now)
            .cloned()
            .collect();
        self.late.retain(|(at, _)| *at > self.now);
        for (_, command) in due {
            self.follow(&command);
        }
        let workers = self.workers();
        let view = View {
            now: self.now,
            engine: &self.engine,
            workers: &workers,
            remote_groups: &GroupCounts::new(),
            domain_count: self.domains,
        };
        for command in self.planner.plan(&view) {
            match self.fate {
                Fate::Followed => self.follow(&command),
                Fate::Lost => {}
                Fate::Late(millis) => {
                    let at = self.now + Duration::from_millis(millis);
                    self.late.push((at, command));
                }
            }
        }
    }

    fn progress(&mut self) {
        let now = self.now;
        for (id, body) in &mut self.bodies {
            if let Some((model, due)) = body.staging.clone()
                && now >= due
            {
                body.staged = vec![model];
                body.staging = None;
            }
            let Some(member) = &mut body.member else {
                continue;
            };
            if member.membership.phase == Phase::Joining && now >= member.due {
                member.membership.phase = Phase::Ready;
                body.last_model = Some(member.model.clone());
                let key = (member.membership.group.clone(), member.membership.fence);
                let ready = self.ready.entry(key).or_default();
                ready.push((id.clone(), body.incarnation));
            }
        }
    }

    fn workers(&self) -> Vec<Worker> {
        let listed = self
            .bodies
            .iter()
            .filter(|(_, body)| body.gone.is_none_or(|at| self.now.since(at) < LISTED));
        let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
        listed
            .map(|(id, body)| {
                let silent = body.gone.is_some_and(|at| self.now.since(at) >= NOTICED);
                let instance = Instance {
                    id: id.clone(),
                    incarnation: instance::Incarnation(body.incarnation),
                    service: "llm".parse().unwrap(),
                    address,
                    zone: "a".parse().unwrap(),
                    domain: Some("d".parse().unwrap()),
                    slots: 26,
                    status: if body.leaving {
                        Status::Leaving
                    } else {
                        Status::Ready
                    },
                    cold: Duration::ZERO,
                    staged: body.staged.clone(),
                    model: body.member.as_ref().map(|m| m.model.clone()),
                    membership: body.member.as_ref().map(|m| m.membership.clone()),
                };
                Worker {
                    instance: Arc::new(instance),
                    alive: !silent,
                    listed: true,
                    suspected: silent,
                    zone_active: true,
                }
            })
            .collect()
    }

    /// Carries an order out as an engine does.
    fn follow(&mut self, command: &Command) {
        let body = &self.bodies[&command.instance];
        if body.gone.is_some() {
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
                    self.bodies.get_mut(&command.instance).unwrap().member = None;
                }
            }
            Order::Stage { model } => {
                let due = self.now + self.engine.model(model).unwrap().load;
                let body = self.bodies.get_mut(&command.instance).unwrap();
                if body.staging.is_none() {
                    body.staging = Some((model.clone(), due));
                    self.stagings.push(self.now);
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
        let member = self.bodies.get_mut(id)?.member.as_mut()?;
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
        let body = &self.bodies[id];
        if fence < body.seen || self.has_joined(id, group, fence) {
            return;
        }
        self.check_two(id, group);
        let spec = self.engine.model(model).unwrap();
        let body = self.bodies.get_mut(id).unwrap();
        let took = if body.last_model.as_ref() == Some(model) {
            RETURN
        } else if body.staged.contains(model) {
            WARM
        } else {
            spec.load
        };
        body.seen = fence;
        if !body.staged.contains(model) {
            body.staged = vec![model.clone()];
        }
        body.member = Some(Member {
            membership: Membership {
                group: group.clone(),
                fence,
                rank: members.iter().position(|m| m == id).unwrap(),
                phase: Phase::Joining,
            },
            members: members.to_vec(),
            model: model.clone(),
            due: self.now + took,
        });
    }

    fn has_joined(&mut self, id: &instance::Id, group: &group::Id, fence: group::Fence) -> bool {
        self.member(id, group, fence).is_some()
    }

    /// No worker takes a join of another group while the head of its group serves.
    fn check_two(&mut self, id: &instance::Id, joined: &group::Id) {
        let Some(member) = &self.bodies[id].member else {
            return;
        };
        if member.membership.group == *joined {
            return;
        }
        let head = &self.bodies[&member.members[0]];
        let serves = head.gone.is_none()
            && head.member.as_ref().is_some_and(|h| {
                h.membership.fence == member.membership.fence && h.membership.phase == Phase::Open
            });
        if serves {
            self.broken
                .push(format!("{id} joins {joined} while its head serves"));
        }
    }

    /// No group opens one of whose members was never ready under its membership.
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
            self.broken
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

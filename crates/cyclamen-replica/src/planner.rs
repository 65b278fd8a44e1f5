//! The orders that keep the groups of one fabric domain whole.

mod forming;
mod spares;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cyclamen_directory::Instance;
use cyclamen_directory::instance::Status;
use cyclamen_directory::service::Engine;
use cyclamen_types::{Time, domain, group, instance, model};

use crate::counts::GroupCounts;
use crate::groups::{Group, Groups, State};
use crate::order::{Command, Ending, Order};
use forming::Forming;

/// Durations and bounds of a planner.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The time after which an order without effect is sent again.
    pub resend: Duration,
    /// The time that a member has to begin to join before another takes its place.
    pub begin: Duration,
    /// The window in which loads are counted.
    pub load_window: Duration,
    /// The time for which the list of the domain's workers has to stay the same before the
    /// first group is formed.
    pub settle: Duration,
    /// The time that a spare has to get ready for its model by joining a group of its own.
    pub warming: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            resend: Duration::from_millis(400),
            begin: Duration::from_millis(2_500),
            load_window: Duration::from_secs(5),
            settle: Duration::from_millis(700),
            warming: Duration::from_secs(4),
        }
    }
}

/// A worker of the domain and what its owner knows of it.
#[derive(Debug, Clone)]
pub struct Worker {
    /// The worker as it is listed.
    pub instance: Arc<Instance>,
    /// Whether it answers; false only once it counts as lost.
    pub answers: bool,
    /// Whether it is listed, and not only remembered from before an outage.
    pub listed: bool,
    /// Whether it is suspected to have failed, so that it should begin nothing new.
    pub suspected: bool,
    /// Whether its availability zone takes work.
    pub zone_in: bool,
}

/// What a plan is made from.
#[derive(Debug, Clone, Copy)]
pub struct Scene<'a> {
    /// The present time.
    pub now: Time,
    /// The engine of the domain's workers.
    pub engine: &'a Engine,
    /// The workers of the domain.
    pub workers: &'a [Worker],
    /// Groups of each model that serve in other domains.
    pub elsewhere: &'a GroupCounts,
    /// Fabric domains that share the rate of loads of weights.
    pub domains: usize,
}

impl Scene<'_> {
    fn worker(&self, id: &instance::Id) -> Option<&Worker> {
        self.workers.iter().find(|w| w.instance.id == *id)
    }

    /// Whether a listed instance does not answer.
    fn lost(&self, instance: &Instance) -> bool {
        self.worker(&instance.id).is_none_or(|w| !w.answers)
    }
}

/// Gives the orders that keep the groups of one fabric domain whole.
///
/// What the groups are is read from the workers; a planner that takes over
/// needs nothing but a fencing number that no earlier one has used.
#[derive(Debug)]
pub struct Planner {
    domain: domain::Name,
    options: Options,
    fence: group::Fence,
    sent: BTreeMap<instance::Id, (Order, Time)>,
    forming: BTreeMap<group::Id, Forming>,
    /// Groups that are being dissolved, with their heads.
    leaving: BTreeMap<(group::Id, group::Fence), Option<instance::Id>>,
    /// The model of the last group of each start of a worker.
    last_model: BTreeMap<instance::Id, (instance::Incarnation, model::Name)>,
    /// Workers that did not begin to join, and until when they are passed over.
    passed_over: BTreeMap<instance::Id, Time>,
    loads: Vec<Time>,
    /// Spares that join a group of their own, so that they return to its model at once later.
    warming: BTreeMap<group::Id, Time>,
    /// How many workers were listed, and since when.
    listed: Option<(usize, Time)>,
}

impl Planner {
    /// A planner that uses fencing numbers above `fence`.
    pub fn new(domain: domain::Name, fence: group::Fence, options: Options) -> Self {
        Self {
            domain,
            options,
            fence,
            sent: BTreeMap::new(),
            forming: BTreeMap::new(),
            leaving: BTreeMap::new(),
            last_model: BTreeMap::new(),
            passed_over: BTreeMap::new(),
            loads: Vec::new(),
            warming: BTreeMap::new(),
            listed: None,
        }
    }

    /// The orders to send now.
    pub fn plan(&mut self, scene: &Scene<'_>) -> Vec<Command> {
        self.remember_models(scene);
        let listed = scene.workers.iter().map(|w| &w.instance);
        let groups = Groups::of(listed);
        let mut orders = Vec::new();
        self.follow_forming(scene, &groups, &mut orders);
        self.follow_standing(scene, &groups, &mut orders);
        self.leaving
            .retain(|(id, fence), _| groups.get(id, *fence).is_some());
        if !self.is_settled(scene, &groups) {
            return Vec::new();
        }
        let mut free = self.free(scene, &groups);
        let standing = self.standing(scene, &groups);
        self.form_groups(scene, &standing, &mut free, &mut orders);
        let standing = self.standing(scene, &groups);
        self.prepare_spares(scene, &standing, &free, &mut orders);
        orders.retain(|command| self.is_due(scene.now, command));
        for command in &orders {
            let sent = (command.order.clone(), scene.now);
            self.sent.insert(command.instance.clone(), sent);
        }
        orders
    }

    /// Whether a group is on its way in or out at present.
    pub fn is_busy(&self) -> bool {
        !self.forming.is_empty() || !self.leaving.is_empty()
    }

    /// Whether the list is not being filled for the first time any more.
    fn is_settled(&mut self, scene: &Scene<'_>, groups: &Groups) -> bool {
        let count = scene.workers.len();
        let since = match self.listed {
            Some((last, since)) if last >= count => since,
            _ => scene.now,
        };
        self.listed = Some((count, since));
        let some_groups = groups.iter().next().is_some() || !self.forming.is_empty();
        some_groups || scene.now.since(since) >= self.options.settle
    }

    fn remember_models(&mut self, scene: &Scene<'_>) {
        for worker in scene.workers {
            let instance = &worker.instance;
            if instance.membership.is_some()
                && let Some(model) = &instance.model
            {
                let last = (instance.incarnation, model.clone());
                self.last_model.insert(instance.id.clone(), last);
            }
        }
        let listed: BTreeSet<_> = scene.workers.iter().map(|w| &w.instance.id).collect();
        self.last_model.retain(|id, _| listed.contains(id));
        self.sent.retain(|id, _| listed.contains(id));
        self.passed_over.retain(|_, until| scene.now < *until);
        let window = self.options.load_window;
        self.loads.retain(|at| scene.now.since(*at) < window);
        let warming = self.options.warming;
        self.warming.retain(|_, at| scene.now.since(*at) < warming);
    }

    /// Closes groups that lose a member soon and dissolves those that cannot serve any more.
    fn follow_standing(&mut self, scene: &Scene<'_>, groups: &Groups, orders: &mut Vec<Command>) {
        for group in groups.iter() {
            if self.forming.contains_key(&group.id) || self.is_warming(scene, group) {
                continue;
            }
            let must_end = group.members.values().any(|m| m.status == Status::Leaving);
            match group.state(scene.engine, |m| scene.lost(m)) {
                State::Joining => {}
                State::Closing => {}
                State::Serving if must_end => {
                    orders.extend(to_head(group, |group, fence| Order::Close {
                        group,
                        fence,
                        ending: Ending::Wait,
                    }));
                }
                State::Serving => {}
                // A member may still get a late order to join another group that was
                // to take its place, so a group that is not being formed is not opened.
                State::Ready | State::Partial => self.dissolve(scene, group, orders),
            }
        }
    }

    /// Has every member that answers leave the group.
    fn dissolve(&mut self, scene: &Scene<'_>, group: &Group, orders: &mut Vec<Command>) {
        let key = (group.id.clone(), group.fence);
        let head = group.head().map(|h| h.id.clone());
        self.leaving.entry(key).or_insert(head);
        let answering = group.members.values().filter(|m| !scene.lost(m));
        orders.extend(answering.map(|member| Command {
            instance: member.id.clone(),
            address: member.address,
            order: Order::Leave {
                group: group.id.clone(),
                fence: group.fence,
            },
        }));
    }

    /// The workers that may join a group.
    ///
    /// While the head of a group that is being dissolved still answers as its head,
    /// those that have left it wait.
    fn free<'a>(&self, scene: &Scene<'a>, groups: &Groups) -> Vec<&'a Worker> {
        let heads_stay = self.leaving.keys().any(|(id, fence)| {
            let group = groups.get(id, *fence);
            let head = group.and_then(Group::head);
            head.is_some_and(|head| !scene.lost(head))
        });
        if heads_stay {
            return Vec::new();
        }
        let joining: BTreeSet<_> = self.forming.values().flat_map(Forming::ids).collect();
        let workers = scene.workers.iter();
        workers
            .filter(|w| {
                let instance = &w.instance;
                let present = w.answers && w.listed && !w.suspected;
                let ready = present && w.zone_in && instance.status == Status::Ready;
                let passed_over = self.passed_over.contains_key(&instance.id);
                let member = instance.membership.is_some() || joining.contains(&instance.id);
                ready && !passed_over && !member
            })
            .collect()
    }

    /// Groups of each model that serve or are about to.
    fn standing(&self, scene: &Scene<'_>, groups: &Groups) -> GroupCounts {
        let mut mix = GroupCounts::new();
        for forming in self.forming.values() {
            *mix.entry(forming.model.clone()).or_default() += 1;
        }
        for group in groups.iter().filter(|g| !self.forming.contains_key(&g.id)) {
            let dissolved = self.leaving.contains_key(&(group.id.clone(), group.fence));
            let partial = group.state(scene.engine, |m| scene.lost(m)) == State::Partial;
            if let Some(model) = group.model.clone().filter(|_| !dissolved && !partial) {
                *mix.entry(model).or_default() += 1;
            }
        }
        mix
    }

    /// Whether an order was not sent a moment ago.
    fn is_due(&self, now: Time, command: &Command) -> bool {
        let last = self.sent.get(&command.instance);
        let just_sent = |(order, at): &(Order, Time)| {
            *order == command.order && now.since(*at) < self.options.resend
        };
        !last.is_some_and(just_sent)
    }

    fn next_fence(&mut self) -> group::Fence {
        self.fence = self.fence.next();
        self.fence
    }
}

/// An order to the head of a group.
fn to_head(group: &Group, order: impl FnOnce(group::Id, group::Fence) -> Order) -> Option<Command> {
    let head = group.head()?;
    Some(Command {
        instance: head.id.clone(),
        address: head.address,
        order: order(group.id.clone(), group.fence),
    })
}

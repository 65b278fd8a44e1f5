//! Planning of the orders that keep the groups of one fabric domain complete.

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
use crate::order::{CloseMode, Command, Order};
use forming::Forming;

/// Timeouts and intervals of a planner.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The time after which an order that has had no effect is sent again.
    pub resend_interval: Duration,
    /// The time within which every member of a new group has to begin to join; otherwise the
    /// formation is abandoned, so that other workers can be selected.
    pub join_timeout: Duration,
    /// The window over which the rate limit counts loads of weights.
    pub load_window: Duration,
    /// The time for which the number of listed workers of the domain must not grow before the
    /// first group is formed.
    pub settle_time: Duration,
    /// The time within which a spare has to warm up by joining a single-member group.
    pub warmup_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            resend_interval: Duration::from_millis(400),
            join_timeout: Duration::from_millis(2_500),
            load_window: Duration::from_secs(5),
            settle_time: Duration::from_millis(700),
            warmup_timeout: Duration::from_secs(4),
        }
    }
}

/// A worker of the domain, as the owner of the domain sees it.
#[derive(Debug, Clone)]
pub struct Worker {
    /// The worker's instance, as last listed.
    pub instance: Arc<Instance>,
    /// Whether the worker counts as alive; a suspected worker does until it counts as failed or
    /// its removal from the list takes effect.
    pub alive: bool,
    /// Whether the worker is listed now; false if it is only retained after its removal from the
    /// list.
    pub listed: bool,
    /// Whether the worker is suspected to have failed and should get no new work.
    pub suspected: bool,
    /// Whether the worker's availability zone accepts work.
    pub zone_active: bool,
}

/// The observed state of a domain from which a plan is computed.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The current time.
    pub now: Time,
    /// The engine of the domain's workers.
    pub engine: &'a Engine,
    /// The workers of the domain.
    pub workers: &'a [Worker],
    /// The number of groups of each model that are complete in other domains.
    pub remote_groups: &'a GroupCounts,
    /// The number of fabric domains that share the rate limit on loads of weights.
    pub domain_count: usize,
}

impl View<'_> {
    fn worker(&self, id: &instance::Id) -> Option<&Worker> {
        self.workers.iter().find(|w| w.instance.id == *id)
    }

    /// Returns whether an instance counts as lost or has no worker in the view.
    fn is_lost(&self, instance: &Instance) -> bool {
        self.worker(&instance.id).is_none_or(|w| !w.alive)
    }
}

/// Computes the orders that keep the groups of one fabric domain complete.
///
/// The state of the groups is read from the workers; a planner that takes over a
/// domain needs only a fencing token that no earlier planner has used.
#[derive(Debug)]
pub struct Planner {
    domain: domain::Name,
    options: Options,
    fence: group::Fence,
    sent: BTreeMap<instance::Id, (Order, Time)>,
    forming: BTreeMap<group::Id, Forming>,
    /// Groups that are being dissolved, with their heads.
    dissolving: BTreeMap<(group::Id, group::Fence), Option<instance::Id>>,
    /// The model of each worker's last group, with the incarnation that joined it.
    last_model: BTreeMap<instance::Id, (instance::Incarnation, model::Name)>,
    /// Workers that did not begin to join in time, and until when they are not considered again.
    join_backoff: BTreeMap<instance::Id, Time>,
    load_times: Vec<Time>,
    /// Single-member groups that spares join to warm up, so that a later join of the same model
    /// is fast, with the times of the orders.
    warming: BTreeMap<group::Id, Time>,
    /// The last number of listed workers, and since when it has not grown.
    listed: Option<(usize, Time)>,
}

impl Planner {
    /// Creates a planner that uses fencing tokens above `fence`.
    pub fn new(domain: domain::Name, fence: group::Fence, options: Options) -> Self {
        Self {
            domain,
            options,
            fence,
            sent: BTreeMap::new(),
            forming: BTreeMap::new(),
            dissolving: BTreeMap::new(),
            last_model: BTreeMap::new(),
            join_backoff: BTreeMap::new(),
            load_times: Vec::new(),
            warming: BTreeMap::new(),
            listed: None,
        }
    }

    /// Returns the orders to send now.
    pub fn plan(&mut self, view: &View<'_>) -> Vec<Command> {
        self.update_tracking(view);
        let listed = view.workers.iter().map(|w| &w.instance);
        let groups = Groups::from_instances(listed);
        let mut orders = Vec::new();
        self.advance_forming(view, &groups, &mut orders);
        self.reconcile_formed(view, &groups, &mut orders);
        self.dissolving
            .retain(|(id, fence), _| groups.get(id, *fence).is_some());
        if !self.is_settled(view, &groups) {
            return Vec::new();
        }
        let mut free = self.free_workers(view, &groups);
        let existing = self.existing_groups(view, &groups);
        self.form_groups(view, &existing, &mut free, &mut orders);
        let existing = self.existing_groups(view, &groups);
        self.prepare_spares(view, &existing, &free, &mut orders);
        orders.retain(|command| self.is_due(view.now, command));
        for command in &orders {
            let sent = (command.order.clone(), view.now);
            self.sent.insert(command.instance.clone(), sent);
        }
        orders
    }

    /// Returns whether a group is being formed or dissolved.
    pub fn is_busy(&self) -> bool {
        !self.forming.is_empty() || !self.dissolving.is_empty()
    }

    /// Returns whether groups exist or the first listing of the workers is complete.
    fn is_settled(&mut self, view: &View<'_>, groups: &Groups) -> bool {
        let count = view.workers.len();
        let since = match self.listed {
            Some((last, since)) if last >= count => since,
            _ => view.now,
        };
        self.listed = Some((count, since));
        let some_groups = groups.iter().next().is_some() || !self.forming.is_empty();
        some_groups || view.now.since(since) >= self.options.settle_time
    }

    fn update_tracking(&mut self, view: &View<'_>) {
        for worker in view.workers {
            let instance = &worker.instance;
            if instance.membership.is_some()
                && let Some(model) = &instance.model
            {
                let last = (instance.incarnation, model.clone());
                self.last_model.insert(instance.id.clone(), last);
            }
        }
        let listed: BTreeSet<_> = view.workers.iter().map(|w| &w.instance.id).collect();
        self.last_model.retain(|id, _| listed.contains(id));
        self.sent.retain(|id, _| listed.contains(id));
        self.join_backoff.retain(|_, until| view.now < *until);
        let window = self.options.load_window;
        self.load_times.retain(|at| view.now.since(*at) < window);
        let timeout = self.options.warmup_timeout;
        self.warming.retain(|_, at| view.now.since(*at) < timeout);
    }

    /// Closes groups that have a leaving member and dissolves those that can no longer serve.
    fn reconcile_formed(&mut self, view: &View<'_>, groups: &Groups, orders: &mut Vec<Command>) {
        for group in groups.iter() {
            if self.forming.contains_key(&group.id) || self.is_warming(view, group) {
                continue;
            }
            let has_leaving = group.members.values().any(|m| m.status == Status::Leaving);
            match group.state(view.engine, |m| view.is_lost(m)) {
                State::Joining => {}
                State::Closing => {}
                State::Serving if has_leaving => {
                    orders.extend(command_head(group, |group, fence| Order::Close {
                        group,
                        fence,
                        mode: CloseMode::Drain,
                    }));
                }
                State::Serving => {}
                // A group that is not being formed is not opened: a member may still get a
                // delayed order to join another group that was to replace this one.
                State::Ready | State::Partial => self.dissolve(view, group, orders),
            }
        }
    }

    /// Orders every member that counts as alive to leave the group.
    fn dissolve(&mut self, view: &View<'_>, group: &Group, orders: &mut Vec<Command>) {
        let key = (group.id.clone(), group.fence);
        let head = group.head().map(|h| h.id.clone());
        self.dissolving.entry(key).or_insert(head);
        let alive = group.members.values().filter(|m| !view.is_lost(m));
        orders.extend(alive.map(|member| Command {
            instance: member.id.clone(),
            address: member.address,
            order: Order::Leave {
                group: group.id.clone(),
                fence: group.fence,
            },
        }));
    }

    /// Returns the workers that may join a group.
    ///
    /// Returns none while the head of a group that is being dissolved still responds as its
    /// head, because workers that have left that group must not join another one before its head
    /// has left.
    fn free_workers<'a>(&self, view: &View<'a>, groups: &Groups) -> Vec<&'a Worker> {
        let head_remains = self.dissolving.keys().any(|(id, fence)| {
            let group = groups.get(id, *fence);
            let head = group.and_then(Group::head);
            head.is_some_and(|head| !view.is_lost(head))
        });
        if head_remains {
            return Vec::new();
        }
        let joining: BTreeSet<_> = self.forming.values().flat_map(Forming::ids).collect();
        let workers = view.workers.iter();
        workers
            .filter(|w| {
                let instance = &w.instance;
                let present = w.alive && w.listed && !w.suspected;
                let ready = present && w.zone_active && instance.status == Status::Ready;
                let backing_off = self.join_backoff.contains_key(&instance.id);
                let member = instance.membership.is_some() || joining.contains(&instance.id);
                ready && !backing_off && !member
            })
            .collect()
    }

    /// Counts the groups of each model that serve or are being formed.
    fn existing_groups(&self, view: &View<'_>, groups: &Groups) -> GroupCounts {
        let mut counts = GroupCounts::new();
        for forming in self.forming.values() {
            *counts.entry(forming.model.clone()).or_default() += 1;
        }
        for group in groups.iter().filter(|g| !self.forming.contains_key(&g.id)) {
            let dissolved = self
                .dissolving
                .contains_key(&(group.id.clone(), group.fence));
            let partial = group.state(view.engine, |m| view.is_lost(m)) == State::Partial;
            if let Some(model) = group.model.clone().filter(|_| !dissolved && !partial) {
                *counts.entry(model).or_default() += 1;
            }
        }
        counts
    }

    /// Returns whether the order differs from the worker's last one or its resend interval has
    /// passed.
    fn is_due(&self, now: Time, command: &Command) -> bool {
        let last = self.sent.get(&command.instance);
        let just_sent = |(order, at): &(Order, Time)| {
            *order == command.order && now.since(*at) < self.options.resend_interval
        };
        !last.is_some_and(just_sent)
    }

    fn next_fence(&mut self) -> group::Fence {
        self.fence = self.fence.next();
        self.fence
    }
}

/// Returns an order to the head of a group, if the head is present.
fn command_head(
    group: &Group,
    order: impl FnOnce(group::Id, group::Fence) -> Order,
) -> Option<Command> {
    let head = group.head()?;
    Some(Command {
        instance: head.id.clone(),
        address: head.address,
        order: order(group.id.clone(), group.fence),
    })
}

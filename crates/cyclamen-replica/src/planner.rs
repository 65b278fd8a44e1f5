//! Planning of the orders that keep the groups of one fabric domain complete.

mod backoff;
mod conversion;
mod dissolving;
mod forming;
mod loads;
mod options;
mod sent;
mod spares;
mod view;

use std::collections::{BTreeMap, BTreeSet};

use cyclamen_directory::instance::Status;
use cyclamen_types::{Time, domain, group, instance, model};

use crate::counts::GroupCounts;
use crate::groups::{Group, Groups, State};
use crate::order::{Command, Order, Outcome};
use backoff::Backoff;
pub use conversion::{Conversion, Direction};
use dissolving::Dissolving;
use forming::Forming;
use loads::Loads;
pub use loads::loading_domains;
pub use options::Options;
use sent::Sent;
use spares::is_warm_up;
pub use view::{View, Worker};

/// Computes the orders that keep the groups of one fabric domain complete.
///
/// The state of the groups is read from the workers; a planner that takes over a
/// domain needs only a fencing token that no earlier planner has used.
#[derive(Debug)]
pub struct Planner {
    domain: domain::Name,
    options: Options,
    fence: group::Fence,
    /// The last order to each worker.
    sent: BTreeMap<instance::Id, Sent>,
    forming: BTreeMap<group::Id, Forming>,
    dissolving: BTreeMap<(group::Id, group::Fence), Dissolving>,
    /// When the members of groups that this planner does not form, or no longer, have to be ready.
    ready_deadlines: BTreeMap<(group::Id, group::Fence), Time>,
    /// The model of each worker's last group, with the incarnation that joined it.
    last_model: BTreeMap<instance::Id, (instance::Incarnation, model::Name)>,
    backoff: Backoff,
    loads: Loads,
    /// When spares were last ordered to warm up.
    warm_ups: BTreeMap<instance::Id, Time>,
    /// The last number of listed workers, and since when it has not grown.
    listed: Option<(usize, Time)>,
    direction: Direction,
    conversion: Option<Conversion>,
    /// When the last conversion closed its groups.
    converted_at: Option<Time>,
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
            ready_deadlines: BTreeMap::new(),
            last_model: BTreeMap::new(),
            backoff: Backoff::default(),
            loads: Loads::default(),
            warm_ups: BTreeMap::new(),
            listed: None,
            direction: Direction::default(),
            conversion: None,
            converted_at: None,
        }
    }

    /// Returns the orders to send now.
    pub fn plan(&mut self, view: &View<'_>) -> Vec<Command> {
        self.update_tracking(view);
        let workers = self.without_displaced(view.workers);
        let view = &View {
            workers: &workers,
            ..*view
        };
        self.loads.update(view, self.options.load_window);
        let listed = view.workers.iter().map(|w| &w.instance);
        let groups = Groups::from_instances(listed);
        let mut orders = Vec::new();
        self.advance_forming(view, &groups, &mut orders);
        self.reconcile_formed(view, &groups, &mut orders);
        self.dissolving
            .retain(|(id, fence), _| groups.get(id, *fence).is_some());
        self.ready_deadlines
            .retain(|(id, fence), _| groups.get(id, *fence).is_some());
        if !self.is_settled(view, &groups) {
            return Vec::new();
        }
        if has_enough_workers(view) {
            let mut free = self.free_workers(view, &groups);
            if !self.awaits_closed(view, &groups, &mut free, &mut orders) {
                let existing = self.existing_groups(view, &groups);
                self.form_groups(view, &existing, &mut free, &mut orders);
                let existing = self.existing_groups(view, &groups);
                self.prepare_spares(view, &existing, &free, &mut orders);
            }
            self.convert(view, &groups, &free, &mut orders);
        }
        orders.retain(|command| self.is_due(view.now, command));
        for command in &orders {
            self.record_sent(view.now, command);
        }
        orders
    }

    /// Records the outcome of an order that this planner returned.
    ///
    /// A worker that refused an order or could not be reached is passed over for a while. A
    /// group whose member refused to join is abandoned.
    pub fn record_outcome(&mut self, now: Time, command: &Command, outcome: Outcome) {
        let id = &command.instance;
        match outcome {
            Outcome::Accepted => {
                let last = self.sent.get_mut(id);
                if let Some(last) = last.filter(|last| last.order == command.order) {
                    last.accepted = true;
                }
                return;
            }
            Outcome::Unreachable | Outcome::Lost => {
                self.backoff.record_failure(now, id);
                return;
            }
            Outcome::Misdirected => self.backoff.record_displaced(now, id),
            Outcome::Unfitting | Outcome::Fenced | Outcome::Refused(_) => {}
        }
        match &command.order {
            Order::Join { group, fence, .. } => {
                self.backoff.record_failure(now, id);
                let current = self.forming.get(group);
                if current.is_some_and(|forming| forming.fence == *fence) {
                    self.forming.remove(group);
                }
            }
            Order::Stage { .. } => {
                self.backoff.record_failure(now, id);
                self.loads.record_refusal(id);
            }
            Order::Open { .. } | Order::Close { .. } | Order::Leave { .. } => {}
        }
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
        let listed = view.workers.iter();
        let listed = listed.map(|w| (&w.instance.id, w.instance.as_ref()));
        let listed: BTreeMap<_, _> = listed.collect();
        self.last_model.retain(|id, _| listed.contains_key(id));
        self.sent.retain(|id, _| listed.contains_key(id));
        self.backoff.update(&listed);
        let timeout = self.options.warmup_timeout;
        self.warm_ups.retain(|_, at| view.now.since(*at) < timeout);
    }

    /// Returns the workers with those as failed whose addresses other workers have.
    fn without_displaced(&self, workers: &[Worker]) -> Vec<Worker> {
        let mut workers = workers.to_vec();
        for worker in &mut workers {
            worker.alive &= !self.backoff.is_displaced(&worker.instance.id);
        }
        workers
    }

    /// Returns the workers that may join a group.
    ///
    /// Workers that have left a group that is being dissolved must not join another one while
    /// its head still responds as its head. If some members of such a group are unknown, no
    /// worker may.
    fn free_workers<'a>(&self, view: &View<'a>, groups: &Groups) -> Vec<&'a Worker> {
        let mut bound: BTreeSet<_> = self.forming.values().flat_map(Forming::ids).collect();
        for ((id, fence), dissolving) in &self.dissolving {
            let head = groups.get(id, *fence).and_then(Group::head);
            if head.is_none_or(|head| view.is_lost(head)) {
                continue;
            }
            if !dissolving.is_complete {
                return Vec::new();
            }
            bound.extend(&dissolving.members);
        }
        let workers = view.workers.iter();
        workers
            .filter(|w| {
                let instance = &w.instance;
                let present = w.alive && w.listed && !w.suspected;
                let ready = present && w.zone_active && instance.status == Status::Ready;
                let passed_over = self.backoff.is_passed_over(view.now, &instance.id);
                let membership = instance.membership.as_ref();
                let member = membership.is_some_and(|m| !is_warm_up(&m.group));
                ready && !passed_over && !member && !bound.contains(&instance.id)
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

    fn next_fence(&mut self) -> group::Fence {
        self.fence = self.fence.next();
        self.fence
    }
}

/// Returns whether the workers of the domain could form a group of any model.
fn has_enough_workers(view: &View<'_>) -> bool {
    let usable = view.workers.iter().filter(|w| {
        let present = w.alive && w.listed && w.zone_active;
        present && w.instance.status == Status::Ready
    });
    usable.count() >= view.engine.smallest_group()
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

//! Formation of groups, from the first join order until the head serves.

use std::collections::BTreeMap;
use std::sync::Arc;

use cyclamen_directory::Instance;
use cyclamen_directory::instance::{Phase, Status};
use cyclamen_directory::service::Model;
use cyclamen_types::{Time, group, instance, model};

use crate::counts::GroupCounts;
use crate::groups::Groups;
use crate::order::{Command, Order};
use crate::planner::loads::LOAD_TIMEOUT_FACTOR;
use crate::planner::{Planner, View, Worker, command_head};

/// A group that is being formed: its first join order was sent, and its head does not serve yet.
#[derive(Debug)]
pub(super) struct Forming {
    pub(super) model: model::Name,
    pub(super) fence: group::Fence,
    /// Whether the members load weights to join.
    pub(super) must_load: bool,
    members: Vec<Arc<Instance>>,
    /// When every member has to have begun to join.
    join_deadline: Time,
    /// When every member has to be ready.
    ready_deadline: Time,
}

impl Forming {
    pub(super) fn ids(&self) -> impl Iterator<Item = &instance::Id> {
        self.members.iter().map(|m| &m.id)
    }
}

/// The progress of a member in joining a group.
enum Progress {
    /// It is lost, leaving, restarted or broken.
    Lost,
    /// It does not report the membership yet.
    Waiting,
    /// It loads its part of the model.
    Joining,
    /// It has loaded its part of the model and is in this phase.
    Ready(Phase),
}

impl Planner {
    /// Resends join orders, opens groups whose members are all ready and drops failed groups.
    pub(super) fn advance_forming(
        &mut self,
        view: &View<'_>,
        groups: &Groups,
        orders: &mut Vec<Command>,
    ) {
        let mut forming = std::mem::take(&mut self.forming);
        forming.retain(|id, group| self.advance(view, groups, id, group, orders));
        self.forming = forming;
    }

    /// Advances the formation of one group and returns whether it is still in progress.
    fn advance(
        &mut self,
        view: &View<'_>,
        groups: &Groups,
        id: &group::Id,
        forming: &Forming,
        orders: &mut Vec<Command>,
    ) -> bool {
        let mut ready = 0;
        for (rank, member) in forming.members.iter().enumerate() {
            let late = match progress(view, id, forming.fence, rank, member) {
                Progress::Lost | Progress::Ready(Phase::Open) => return false,
                Progress::Ready(_) => {
                    self.backoff.record_success(&member.id);
                    ready += 1;
                    false
                }
                Progress::Waiting if view.now < forming.join_deadline => {
                    orders.push(join(id, forming, member));
                    false
                }
                Progress::Waiting => true,
                Progress::Joining => view.now >= forming.ready_deadline,
            };
            if late {
                let key = (id.clone(), forming.fence);
                self.backoff.record_failure(view.now, &member.id);
                self.ready_deadlines.insert(key, view.now);
                return false;
            }
        }
        if ready == forming.members.len()
            && let Some(group) = groups.get(id, forming.fence)
        {
            orders.extend(command_head(group, |group, fence| Order::Open {
                group,
                fence,
            }));
        }
        true
    }

    /// Forms the groups missing from the target counts, as far as the free workers allow.
    pub(super) fn form_groups(
        &mut self,
        view: &View<'_>,
        existing: &GroupCounts,
        free: &mut Vec<&Worker>,
        orders: &mut Vec<Command>,
    ) {
        let wanted = self.wanted_groups(view, free.len(), existing);
        for model in &view.engine.models {
            let present = existing.get(&model.name).copied().unwrap_or(0);
            let missing = wanted
                .get(&model.name)
                .copied()
                .unwrap_or(0)
                .saturating_sub(present);
            self.form_of(view, model, missing, free, orders);
        }
    }

    /// Forms so many groups of a model, as far as the free workers allow.
    pub(super) fn form_of(
        &mut self,
        view: &View<'_>,
        model: &Model,
        count: usize,
        free: &mut Vec<&Worker>,
        orders: &mut Vec<Command>,
    ) {
        for _ in 0..count {
            if let Some(members) = self.select_workers(view, free, &model.name, model.size) {
                free.retain(|w| !members.iter().any(|m| m.id == w.instance.id));
                self.form(view.now, model, members, orders);
            }
        }
    }

    /// Selects the free workers with the lowest cost to join a group.
    ///
    /// Workers that would have to load weights are selected only if all members
    /// have to; otherwise they load first, and the group is formed afterwards.
    fn select_workers(
        &self,
        view: &View<'_>,
        free: &[&Worker],
        model: &model::Name,
        size: usize,
    ) -> Option<Vec<Arc<Instance>>> {
        let mut ranked: Vec<_> = free
            .iter()
            .map(|w| (self.join_cost(&w.instance, model), &w.instance))
            .collect();
        ranked.sort_by_key(|(cost, instance)| (*cost, instance.id.clone()));
        ranked.truncate(size);
        let loads = ranked
            .iter()
            .filter(|(cost, _)| *cost >= JoinCost::Load)
            .count();
        let possible = ranked.len() == size && (loads == 0 || loads == size);
        let loads_allowed = loads == 0 || self.may_load(view, loads);
        let members = ranked.into_iter().map(|(_, instance)| instance.clone());
        (possible && loads_allowed).then(|| members.collect())
    }

    /// Returns the cost for a worker to become ready for a model.
    pub(super) fn join_cost(&self, instance: &Instance, model: &model::Name) -> JoinCost {
        let last = self.last_model.get(&instance.id);
        let same_incarnation = last.filter(|(incarnation, _)| *incarnation == instance.incarnation);
        if same_incarnation.is_some_and(|(_, last)| last == model) {
            JoinCost::Warm
        } else if instance.staged.contains(model) {
            JoinCost::Staged
        } else if instance.staged.is_empty() {
            JoinCost::Load
        } else {
            JoinCost::Replace
        }
    }

    fn form(
        &mut self,
        now: Time,
        model: &Model,
        members: Vec<Arc<Instance>>,
        orders: &mut Vec<Command>,
    ) {
        let fence = self.next_fence();
        let Ok(id) = format!("{}-{fence}", self.domain).parse::<group::Id>() else {
            return;
        };
        let must_load = !members.iter().all(|m| m.staged.contains(&model.name));
        if must_load {
            self.loads.record_joins(now, members.len());
        }
        let join_time = if must_load { model.load } else { model.warm };
        let join_deadline = now + self.options.join_timeout;
        let forming = Forming {
            model: model.name.clone(),
            fence,
            must_load,
            members,
            join_deadline,
            ready_deadline: join_deadline + join_time.saturating_mul(LOAD_TIMEOUT_FACTOR),
        };
        orders.extend(forming.members.iter().map(|m| join(&id, &forming, m)));
        self.forming.insert(id, forming);
    }
}

/// The cost for a worker to become ready for a model, in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum JoinCost {
    /// The worker's last group had this model.
    Warm,
    /// The worker's host holds the weights.
    Staged,
    /// The worker has to load weights.
    Load,
    /// The worker has to load weights in place of others.
    Replace,
}

fn join(id: &group::Id, forming: &Forming, member: &Instance) -> Command {
    Command {
        instance: member.id.clone(),
        address: member.address,
        order: Order::Join {
            group: id.clone(),
            fence: forming.fence,
            model: forming.model.clone(),
            members: forming.ids().cloned().collect(),
        },
    }
}

fn progress(
    view: &View<'_>,
    id: &group::Id,
    fence: group::Fence,
    rank: usize,
    member: &Instance,
) -> Progress {
    let Some(worker) = view.worker(&member.id) else {
        return Progress::Lost;
    };
    let current = &worker.instance;
    let restarted = current.incarnation != member.incarnation;
    if !worker.alive || restarted || current.status == Status::Leaving {
        return Progress::Lost;
    }
    let membership = current.membership.as_ref();
    let mine = membership.filter(|m| m.group == *id && m.fence == fence && m.rank == rank);
    match mine.map(|m| m.phase) {
        None => Progress::Waiting,
        Some(Phase::Joining) => Progress::Joining,
        Some(Phase::Broken) => Progress::Lost,
        Some(phase) => Progress::Ready(phase),
    }
}

/// Counts the free workers that hold the weights of each model.
pub(super) fn count_spares(free: &[&Worker]) -> BTreeMap<model::Name, usize> {
    let mut spares = BTreeMap::new();
    for model in free.iter().flat_map(|w| w.instance.staged.iter()) {
        *spares.entry(model.clone()).or_default() += 1;
    }
    spares
}

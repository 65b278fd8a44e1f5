//! Groups on their way from the first order to join until the head serves.

use std::collections::BTreeMap;
use std::sync::Arc;

use cyclamen_directory::Instance;
use cyclamen_directory::instance::{Phase, Status};
use cyclamen_types::{Time, group, instance, model};

use crate::counts::{GroupCounts, target_counts};
use crate::groups::Groups;
use crate::order::{Command, Order};
use crate::planner::{Planner, Scene, Worker, to_head};

/// How long a worker that did not begin to join is passed over.
const PASS_OVER: std::time::Duration = std::time::Duration::from_secs(3);

/// A group on its way from the first order to join until the head serves.
#[derive(Debug)]
pub(super) struct Forming {
    pub(super) model: model::Name,
    fence: group::Fence,
    members: Vec<Arc<Instance>>,
    since: Time,
}

impl Forming {
    pub(super) fn ids(&self) -> impl Iterator<Item = &instance::Id> {
        self.members.iter().map(|m| &m.id)
    }
}

/// How far a member is on its way into a group.
enum Progress {
    /// It has gone, leaves, or has started again.
    Lost,
    /// It does not show the membership yet.
    Waiting,
    /// It loads its part.
    Joining,
    /// It is ready, or serves as the head.
    Ready(Phase),
}

impl Planner {
    /// Sends joins again, opens groups whose members are all ready, drops failed ones.
    pub(super) fn follow_forming(
        &mut self,
        scene: &Scene<'_>,
        groups: &Groups,
        orders: &mut Vec<Command>,
    ) {
        let mut forming = std::mem::take(&mut self.forming);
        forming.retain(|id, group| self.follow(scene, groups, id, group, orders));
        self.forming = forming;
    }

    /// Takes the next step of one group; whether it is still to be followed.
    fn follow(
        &mut self,
        scene: &Scene<'_>,
        groups: &Groups,
        id: &group::Id,
        forming: &Forming,
        orders: &mut Vec<Command>,
    ) -> bool {
        let late = scene.now.since(forming.since) >= self.options.begin;
        let mut ready = 0;
        for (rank, member) in forming.members.iter().enumerate() {
            match progress(scene, id, forming.fence, rank, member) {
                Progress::Lost => return false,
                Progress::Waiting if late => {
                    let until = scene.now + PASS_OVER;
                    self.passed_over.insert(member.id.clone(), until);
                    return false;
                }
                Progress::Waiting => orders.push(join(id, forming, member)),
                Progress::Joining => {}
                Progress::Ready(Phase::Open) => return false,
                Progress::Ready(_) => ready += 1,
            }
        }
        if ready == forming.members.len()
            && let Some(group) = groups.get(id, forming.fence)
        {
            orders.extend(to_head(group, |group, fence| Order::Open { group, fence }));
        }
        true
    }

    /// Forms the groups that the mix lacks, as far as the free workers allow.
    pub(super) fn form_groups(
        &mut self,
        scene: &Scene<'_>,
        standing: &GroupCounts,
        free: &mut Vec<&Worker>,
        orders: &mut Vec<Command>,
    ) {
        let wanted = target_counts(scene.engine, free.len(), standing, scene.elsewhere);
        for model in &scene.engine.models {
            let there = standing.get(&model.name).copied().unwrap_or(0);
            let missing = wanted
                .get(&model.name)
                .copied()
                .unwrap_or(0)
                .saturating_sub(there);
            for _ in 0..missing {
                if let Some(members) = self.choose(scene, free, &model.name, model.size) {
                    free.retain(|w| !members.iter().any(|m| m.id == w.instance.id));
                    self.form(scene.now, &model.name, members, orders);
                }
            }
        }
    }

    /// The free workers that join a group soonest.
    ///
    /// Workers that would have to load weights are taken only if all members
    /// have to; otherwise they load first, and the group is formed afterwards.
    fn choose(
        &self,
        scene: &Scene<'_>,
        free: &[&Worker],
        model: &model::Name,
        size: usize,
    ) -> Option<Vec<Arc<Instance>>> {
        let mut ranked: Vec<_> = free
            .iter()
            .map(|w| (self.distance(&w.instance, model), &w.instance))
            .collect();
        ranked.sort_by_key(|(distance, instance)| (*distance, instance.id.clone()));
        ranked.truncate(size);
        let loads = ranked.iter().filter(|(d, _)| *d >= Distance::Load).count();
        let possible = ranked.len() == size && (loads == 0 || loads == size);
        let affordable = loads == 0 || self.may_load(scene, loads);
        let members = ranked.into_iter().map(|(_, instance)| instance.clone());
        (possible && affordable).then(|| members.collect())
    }

    /// How much a worker has to do before it is ready for a model.
    pub(super) fn distance(&self, instance: &Instance, model: &model::Name) -> Distance {
        let last = self.last_model.get(&instance.id);
        let same_start = last.filter(|(incarnation, _)| *incarnation == instance.incarnation);
        if same_start.is_some_and(|(_, last)| last == model) {
            Distance::Return
        } else if instance.staged.contains(model) {
            Distance::Staged
        } else if instance.staged.is_empty() {
            Distance::Load
        } else {
            Distance::Replace
        }
    }

    fn form(
        &mut self,
        now: Time,
        model: &model::Name,
        members: Vec<Arc<Instance>>,
        orders: &mut Vec<Command>,
    ) {
        let fence = self.next_fence();
        let Ok(id) = format!("{}-{fence}", self.domain).parse::<group::Id>() else {
            return;
        };
        let staged = members.iter().all(|m| m.staged.contains(model));
        if !staged {
            self.loads.extend(members.iter().map(|_| now));
        }
        let forming = Forming {
            model: model.clone(),
            fence,
            members,
            since: now,
        };
        orders.extend(forming.members.iter().map(|m| join(&id, &forming, m)));
        self.forming.insert(id, forming);
    }
}

/// How much a worker has to do before it is ready for a model, the least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Distance {
    /// Its last group had that model.
    Return,
    /// Its host holds the weights.
    Staged,
    /// It has to load weights.
    Load,
    /// It has to load weights in place of others.
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
    scene: &Scene<'_>,
    id: &group::Id,
    fence: group::Fence,
    rank: usize,
    member: &Instance,
) -> Progress {
    let Some(worker) = scene.worker(&member.id) else {
        return Progress::Lost;
    };
    let now = &worker.instance;
    let restarted = now.incarnation != member.incarnation;
    if !worker.answers || restarted || now.status == Status::Leaving {
        return Progress::Lost;
    }
    let membership = now.membership.as_ref();
    let mine = membership.filter(|m| m.group == *id && m.fence == fence && m.rank == rank);
    match mine.map(|m| m.phase) {
        None => Progress::Waiting,
        Some(Phase::Joining) => Progress::Joining,
        Some(Phase::Broken) => Progress::Lost,
        Some(phase) => Progress::Ready(phase),
    }
}

/// Workers by model whose weights they hold.
pub(super) fn spares_of(free: &[&Worker]) -> BTreeMap<model::Name, usize> {
    let mut spares = BTreeMap::new();
    for model in free.iter().flat_map(|w| w.instance.staged.iter()) {
        *spares.entry(model.clone()).or_default() += 1;
    }
    spares
}

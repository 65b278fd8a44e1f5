//! Spares: free workers that hold the weights of a model before they are needed.

use std::sync::Arc;

use cyclamen_directory::Instance;
use cyclamen_directory::instance::Phase;
use cyclamen_directory::service::Model;
use cyclamen_types::group;

use crate::counts::GroupCounts;
use crate::groups::Group;
use crate::order::{Command, Order};
use crate::planner::forming::{JoinCost, count_spares};
use crate::planner::{Planner, View, Worker};

/// The rate at which a member of a group is lost, per second.
const LOSSES_PER_MEMBER_SECOND: f64 = 0.004;
/// The factor by which a spare has to be more valuable to another model before it is restaged.
const RESTAGE_GAIN_FACTOR: f64 = 2.0;

/// The end of the name of a single-member group that a spare joins to warm up, so that a later
/// join of the same model is fast.
const WARM_UP_SUFFIX: &str = "-warm";

/// Returns whether a group is one that a spare joins to warm up; it never serves.
pub(super) fn is_warm_up(group: &group::Id) -> bool {
    group.as_str().ends_with(WARM_UP_SUFFIX)
}

/// Removes the workers from the idle ones that hold weights for missing groups, so that they
/// keep them until the others have loaded theirs.
fn reserve(missing: &[&Model], idle: &mut Vec<&Worker>) {
    for model in missing {
        let mut needed = model.size;
        idle.retain(|worker| {
            let reserved = needed > 0 && worker.instance.staged.contains(&model.name);
            needed -= usize::from(reserved);
            !reserved
        });
    }
}

/// Returns the value of the `count`th spare of a model, in worker-seconds: the
/// capacity that would be missing while a replacement loads, times the
/// probability that at least `count` members are lost in that time.
fn spare_value(model: &Model, groups: usize, count: usize) -> f64 {
    let load = model.load.as_secs_f64();
    let members = groups as f64 * model.size as f64;
    let expected = members * LOSSES_PER_MEMBER_SECOND * load;
    model.size as f64 * load * poisson_tail(count, expected)
}

/// Returns the Poisson probability of at least `count` events if `expected` are expected.
fn poisson_tail(count: usize, expected: f64) -> f64 {
    let mut term = (-expected).exp();
    let mut fewer = 0.0;
    for events in 1..=count {
        fewer += term;
        term *= expected / events as f64;
    }
    (1.0 - fewer).max(0.0)
}

impl Planner {
    /// Orders free workers to load weights: first those that missing groups need, then spares.
    pub(super) fn prepare_spares(
        &mut self,
        view: &View<'_>,
        existing: &GroupCounts,
        free: &[&Worker],
        orders: &mut Vec<Command>,
    ) {
        let mut spares = count_spares(free);
        let wanted = self.wanted_groups(view, free.len(), existing);
        let mut idle: Vec<&Worker> = free.to_vec();
        idle.retain(|w| self.is_idle(&w.instance));
        let mut missing: Vec<(&Model, usize)> = Vec::new();
        for model in &view.engine.models {
            let present = existing.get(&model.name).copied().unwrap_or(0);
            let held = spares.get(&model.name).copied().unwrap_or(0);
            let held = held + self.loads.staging_count(model);
            if wanted.get(&model.name).copied().unwrap_or(0) > present {
                missing.push((model, model.size.saturating_sub(held)));
            }
        }
        // The group that can be formed first goes first.
        missing.sort_by_key(|(model, lacking)| {
            model
                .load
                .saturating_mul(u32::try_from(*lacking).unwrap_or(u32::MAX))
        });
        let missing_models: Vec<&Model> = missing.iter().map(|(model, _)| *model).collect();
        for (model, lacking) in missing {
            for _ in 0..lacking.min(idle.len()) {
                self.stage(view, model, &mut idle, orders);
            }
        }
        self.warm_up(view, &mut idle, orders);
        reserve(&missing_models, &mut idle);
        for model in &view.engine.models {
            *spares.entry(model.name.clone()).or_default() += self.loads.staging_count(model);
        }
        while let Some((worker, model)) = self.next_spare(view, existing, &spares, &idle) {
            for held in &worker.instance.staged {
                let held = spares.entry(held.clone()).or_default();
                *held = held.saturating_sub(1);
            }
            *spares.entry(model.name.clone()).or_default() += 1;
            idle.retain(|w| w.instance.id != worker.instance.id);
            self.stage(view, model, &mut vec![worker], orders);
        }
    }

    /// Returns the idle worker that should load the weights of another model, and that model.
    ///
    /// Workers that hold no weights come first. A worker that holds weights replaces them only
    /// for a model that gains more than [`RESTAGE_GAIN_FACTOR`] times their value.
    fn next_spare<'a>(
        &self,
        view: &View<'a>,
        existing: &GroupCounts,
        spares: &GroupCounts,
        idle: &[&'a Worker],
    ) -> Option<(&'a Worker, &'a Model)> {
        let held = |model: &Model| spares.get(&model.name).copied().unwrap_or(0);
        // A domain that need not hold every model keeps no spares for those that it lacks.
        let least = usize::from(self.direction.shares.is_none());
        let groups = |model: &Model| {
            let count = existing.get(&model.name).copied().unwrap_or(0);
            count.max(least)
        };
        let gain = |model: &Model| spare_value(model, groups(model), held(model) + 1);
        let models = view.engine.models.iter();
        let best = models.max_by(|a, b| gain(a).total_cmp(&gain(b)))?;
        let empty = idle.iter().find(|w| w.instance.staged.is_empty());
        if let Some(worker) = empty {
            return Some((worker, best));
        }
        let held_value = |w: &Worker| {
            let staged = w.instance.staged.iter();
            let models = staged.filter_map(|name| view.engine.model(name));
            let losses = models.map(|model| spare_value(model, groups(model), held(model)));
            losses.fold(0.0, f64::max)
        };
        let worker = idle
            .iter()
            .filter(|w| !w.instance.staged.contains(&best.name))
            .min_by(|a, b| held_value(a).total_cmp(&held_value(b)))?;
        let enough = gain(best) > RESTAGE_GAIN_FACTOR * held_value(worker);
        enough.then_some((worker, best))
    }

    /// Orders spares that hold weights to join single-member groups.
    ///
    /// A worker whose last group had a model joins the next group of that model in
    /// a fraction of the time that joining from the host's copy of the weights takes.
    fn warm_up(&mut self, view: &View<'_>, idle: &mut Vec<&Worker>, orders: &mut Vec<Command>) {
        let mut warming = Vec::new();
        for worker in idle.iter() {
            let instance = &worker.instance;
            let Some(model) = instance.staged.last() else {
                continue;
            };
            if self.join_cost(instance, model) != JoinCost::Staged {
                continue;
            }
            let fence = self.next_fence();
            let name = format!("{}-{fence}{WARM_UP_SUFFIX}", self.domain);
            let Ok(group) = name.parse::<group::Id>() else {
                continue;
            };
            self.warm_ups.insert(instance.id.clone(), view.now);
            warming.push(instance.id.clone());
            orders.push(Command {
                instance: instance.id.clone(),
                address: instance.address,
                order: Order::Join {
                    group,
                    fence,
                    model: model.clone(),
                    members: vec![instance.id.clone()],
                },
            });
        }
        idle.retain(|w| !warming.contains(&w.instance.id));
    }

    /// Returns whether a free worker neither loads weights nor warms up.
    fn is_idle(&self, instance: &Instance) -> bool {
        let warming = instance.membership.is_some() || self.warm_ups.contains_key(&instance.id);
        !warming && !self.loads.is_staging(&instance.id)
    }

    /// Returns whether a group consists of a spare that is warming up.
    pub(super) fn is_warming(&self, view: &View<'_>, group: &Group) -> bool {
        let joining = |m: &Arc<Instance>| {
            let phase = m.membership.as_ref().map(|m| m.phase);
            let ordered = self.warm_ups.contains_key(&m.id);
            ordered && phase == Some(Phase::Joining) && !view.is_lost(m)
        };
        is_warm_up(&group.id) && group.members.values().any(joining)
    }

    /// Orders the idle worker with the lowest join cost to load the weights of a model.
    fn stage(
        &mut self,
        view: &View<'_>,
        model: &Model,
        idle: &mut Vec<&Worker>,
        orders: &mut Vec<Command>,
    ) {
        let lacking = idle
            .iter()
            .filter(|w| self.join_cost(&w.instance, &model.name) >= JoinCost::Load);
        let next = lacking.min_by_key(|w| self.join_cost(&w.instance, &model.name));
        let Some(worker) = next.copied().filter(|_| self.may_load(view, 1)) else {
            return;
        };
        idle.retain(|w| w.instance.id != worker.instance.id);
        let id = &worker.instance.id;
        self.loads.record_stage(view.now, id, &model.name);
        orders.push(Command {
            instance: worker.instance.id.clone(),
            address: worker.instance.address,
            order: Order::Stage {
                model: model.name.clone(),
            },
        });
    }
}

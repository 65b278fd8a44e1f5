//! Spares: free workers that hold the weights of a model before they are needed.

use std::sync::Arc;

use cyclamen_directory::Instance;
use cyclamen_directory::instance::Phase;
use cyclamen_directory::service::Model;
use cyclamen_types::{group, instance};

use crate::counts::{GroupCounts, target_counts};
use crate::groups::Group;
use crate::order::{Command, Order};
use crate::planner::forming::{JoinCost, count_spares};
use crate::planner::{Planner, View, Worker};

/// The rate at which a member of a group is lost, per second.
const LOSSES_PER_MEMBER_SECOND: f64 = 0.004;
/// The factor by which a spare has to be more valuable to another model before it is restaged.
const RESTAGE_GAIN_FACTOR: f64 = 2.0;

/// Returns the value of the `count`th spare of a model, in worker-seconds: the
/// capacity that would be missing while a replacement loads, times the
/// probability that at least `count` members are lost in that time.
fn spare_value(model: &Model, groups: usize, count: usize) -> f64 {
    let load = model.load.as_secs_f64();
    let members = (groups.max(1) * model.size) as f64;
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
        self.add_warming(view, &mut spares);
        let wanted = target_counts(view.engine, free.len(), existing, view.remote_groups);
        let mut idle: Vec<&Worker> = free.to_vec();
        idle.retain(|w| !self.is_staging(view, &w.instance.id));
        for model in &view.engine.models {
            let present = existing.get(&model.name).copied().unwrap_or(0);
            let missing = wanted.get(&model.name).copied().unwrap_or(0) > present;
            let held = spares.get(&model.name).copied().unwrap_or(0);
            let lacking = model
                .size
                .saturating_sub(held + self.staging_count(view, model));
            for _ in 0..if missing { lacking } else { 0 } {
                self.stage(view, model, &mut idle, orders);
            }
        }
        self.warm_up(view, &mut idle, orders);
        for model in &view.engine.models {
            *spares.entry(model.name.clone()).or_default() += self.staging_count(view, model);
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
        let groups = |model: &Model| existing.get(&model.name).copied().unwrap_or(0);
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
            let Ok(group) = format!("{}-{fence}", self.domain).parse::<group::Id>() else {
                continue;
            };
            self.warming.insert(group.clone(), view.now);
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

    /// Adds the spares that are warming up to the counts.
    fn add_warming(&self, view: &View<'_>, spares: &mut GroupCounts) {
        for worker in view.workers.iter().filter(|w| w.alive) {
            let membership = worker.instance.membership.as_ref();
            let warming = membership.is_some_and(|m| self.warming.contains_key(&m.group));
            for model in worker.instance.staged.iter().filter(|_| warming) {
                *spares.entry(model.clone()).or_default() += 1;
            }
        }
    }

    /// Returns whether a group consists of a spare that is warming up.
    pub(super) fn is_warming(&self, view: &View<'_>, group: &Group) -> bool {
        let joining = |m: &Arc<Instance>| {
            let phase = m.membership.as_ref().map(|m| m.phase);
            phase == Some(Phase::Joining) && !view.is_lost(m)
        };
        self.warming.contains_key(&group.id) && group.members.values().any(joining)
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
        self.load_times.push(view.now);
        orders.push(Command {
            instance: worker.instance.id.clone(),
            address: worker.instance.address,
            order: Order::Stage {
                model: model.name.clone(),
            },
        });
    }

    /// Counts the workers that are loading the weights of a model.
    fn staging_count(&self, view: &View<'_>, model: &Model) -> usize {
        let sent = self.sent.iter();
        sent.filter(|(id, (order, _))| {
            let this = matches!(order, Order::Stage { model: m } if *m == model.name);
            this && self.is_staging(view, id)
        })
        .count()
    }

    /// Returns whether a worker was ordered to load weights that its host does not hold yet, less
    /// than twice the load time ago.
    fn is_staging(&self, view: &View<'_>, id: &instance::Id) -> bool {
        let Some((Order::Stage { model }, at)) = self.sent.get(id) else {
            return false;
        };
        let holds = view
            .worker(id)
            .is_none_or(|w| w.instance.staged.contains(model));
        let load = view.engine.model(model).map(|m| m.load);
        let in_time = load.is_some_and(|load| view.now.since(*at) < 2 * load);
        !holds && in_time
    }

    /// Returns whether `count` loads of weights may begin now.
    ///
    /// The rate limit does not apply while no worker of the domain holds any weights.
    pub(super) fn may_load(&self, view: &View<'_>, count: usize) -> bool {
        let initial = view.workers.iter().all(|w| w.instance.staged.is_empty());
        initial || self.load_times.len() + count <= self.load_limit(view)
    }

    /// Returns how many loads may begin in a window: this domain's share of the weight store's
    /// rate limit, but at least one.
    fn load_limit(&self, view: &View<'_>) -> usize {
        let window = self.options.load_window.as_secs_f64();
        let all = view.engine.loads_per_second * window;
        let part = all / view.domain_count.max(1) as f64;
        (part as usize).max(1)
    }
}

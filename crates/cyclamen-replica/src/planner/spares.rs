//! Spares: free workers that hold the weights of a model before they are needed.

use std::sync::Arc;

use cyclamen_directory::Instance;
use cyclamen_directory::instance::Phase;
use cyclamen_directory::service::Model;
use cyclamen_types::{group, instance};

use crate::counts::{GroupCounts, target_counts};
use crate::groups::Group;
use crate::order::{Command, Order};
use crate::planner::forming::{Distance, spares_of};
use crate::planner::{Planner, Scene, Worker};

/// Members of a group that are lost in a second, for each member.
const LOSS_RATE: f64 = 0.004;
/// How much more a spare has to be worth for another model before it changes.
const CHANGE_GAIN: f64 = 2.0;

/// What the `count`th spare of a model is worth: the capacity that would be
/// missing while a replacement loads, times the chance that so many members
/// are lost in that time.
fn worth(model: &Model, groups: usize, count: usize) -> f64 {
    let load = model.load.as_secs_f64();
    let members = (groups.max(1) * model.size) as f64;
    let expected = members * LOSS_RATE * load;
    model.size as f64 * load * chance_of_at_least(count, expected)
}

/// The chance of `count` or more events where `expected` are expected.
fn chance_of_at_least(count: usize, expected: f64) -> f64 {
    let mut term = (-expected).exp();
    let mut fewer = 0.0;
    for events in 1..=count {
        fewer += term;
        term *= expected / events as f64;
    }
    (1.0 - fewer).max(0.0)
}

impl Planner {
    /// Has free workers load weights: first what a missing group lacks, then spares.
    pub(super) fn prepare_spares(
        &mut self,
        scene: &Scene<'_>,
        standing: &GroupCounts,
        free: &[&Worker],
        orders: &mut Vec<Command>,
    ) {
        let mut spares = spares_of(free);
        self.count_warming(scene, &mut spares);
        let wanted = target_counts(scene.engine, free.len(), standing, scene.elsewhere);
        let mut idle: Vec<&Worker> = free.to_vec();
        idle.retain(|w| !self.is_staging(scene, &w.instance.id));
        for model in &scene.engine.models {
            let there = standing.get(&model.name).copied().unwrap_or(0);
            let missing = wanted.get(&model.name).copied().unwrap_or(0) > there;
            let held = spares.get(&model.name).copied().unwrap_or(0);
            let lacking = model.size.saturating_sub(held + self.staging(scene, model));
            for _ in 0..if missing { lacking } else { 0 } {
                self.stage(scene, model, &mut idle, orders);
            }
        }
        self.warm(scene, &mut idle, orders);
        for model in &scene.engine.models {
            *spares.entry(model.name.clone()).or_default() += self.staging(scene, model);
        }
        while let Some((worker, model)) = self.next_spare(scene, standing, &spares, &idle) {
            for held in &worker.instance.staged {
                let held = spares.entry(held.clone()).or_default();
                *held = held.saturating_sub(1);
            }
            *spares.entry(model.name.clone()).or_default() += 1;
            idle.retain(|w| w.instance.id != worker.instance.id);
            self.stage(scene, model, &mut vec![worker], orders);
        }
    }

    /// The idle worker that should hold the weights of another model, and that model.
    ///
    /// Workers that hold none go first. One that holds weights changes only for
    /// a model that gains much more by it.
    fn next_spare<'a>(
        &self,
        scene: &Scene<'a>,
        standing: &GroupCounts,
        spares: &GroupCounts,
        idle: &[&'a Worker],
    ) -> Option<(&'a Worker, &'a Model)> {
        let held = |model: &Model| spares.get(&model.name).copied().unwrap_or(0);
        let groups = |model: &Model| standing.get(&model.name).copied().unwrap_or(0);
        let gain = |model: &Model| worth(model, groups(model), held(model) + 1);
        let models = scene.engine.models.iter();
        let best = models.max_by(|a, b| gain(a).total_cmp(&gain(b)))?;
        let empty = idle.iter().find(|w| w.instance.staged.is_empty());
        if let Some(worker) = empty {
            return Some((worker, best));
        }
        let held_models = |w: &Worker| {
            let staged = w.instance.staged.iter();
            let models = staged.filter_map(|name| scene.engine.model(name));
            let losses = models.map(|model| worth(model, groups(model), held(model)));
            losses.fold(0.0, f64::max)
        };
        let worker = idle
            .iter()
            .filter(|w| !w.instance.staged.contains(&best.name))
            .min_by(|a, b| held_models(a).total_cmp(&held_models(b)))?;
        let enough = gain(best) > CHANGE_GAIN * held_models(worker);
        enough.then_some((worker, best))
    }

    /// Has spares that hold weights join groups of their own.
    ///
    /// A worker whose last group had a model joins the next one of that model in
    /// a fraction of the time that it takes from the host's copy.
    fn warm(&mut self, scene: &Scene<'_>, idle: &mut Vec<&Worker>, orders: &mut Vec<Command>) {
        let mut warming = Vec::new();
        for worker in idle.iter() {
            let instance = &worker.instance;
            let Some(model) = instance.staged.last() else {
                continue;
            };
            if self.distance(instance, model) != Distance::Staged {
                continue;
            }
            let fence = self.next_fence();
            let Ok(group) = format!("{}-{fence}", self.domain).parse::<group::Id>() else {
                continue;
            };
            self.warming.insert(group.clone(), scene.now);
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

    /// Counts the spares that are getting ready for their model.
    fn count_warming(&self, scene: &Scene<'_>, spares: &mut GroupCounts) {
        for worker in scene.workers.iter().filter(|w| w.answers) {
            let membership = worker.instance.membership.as_ref();
            let warming = membership.is_some_and(|m| self.warming.contains_key(&m.group));
            for model in worker.instance.staged.iter().filter(|_| warming) {
                *spares.entry(model.clone()).or_default() += 1;
            }
        }
    }

    /// Whether a group consists of a spare that is getting ready for its model.
    pub(super) fn is_warming(&self, scene: &Scene<'_>, group: &Group) -> bool {
        let joining = |m: &Arc<Instance>| {
            let phase = m.membership.as_ref().map(|m| m.phase);
            phase == Some(Phase::Joining) && !scene.lost(m)
        };
        self.warming.contains_key(&group.id) && group.members.values().any(joining)
    }

    /// Has the worker with the least to lose load the weights of a model.
    fn stage(
        &mut self,
        scene: &Scene<'_>,
        model: &Model,
        idle: &mut Vec<&Worker>,
        orders: &mut Vec<Command>,
    ) {
        let lacking = idle
            .iter()
            .filter(|w| self.distance(&w.instance, &model.name) >= Distance::Load);
        let next = lacking.min_by_key(|w| self.distance(&w.instance, &model.name));
        let Some(worker) = next.copied().filter(|_| self.may_load(scene, 1)) else {
            return;
        };
        idle.retain(|w| w.instance.id != worker.instance.id);
        self.loads.push(scene.now);
        orders.push(Command {
            instance: worker.instance.id.clone(),
            address: worker.instance.address,
            order: Order::Stage {
                model: model.name.clone(),
            },
        });
    }

    /// Workers that load the weights of a model at present.
    fn staging(&self, scene: &Scene<'_>, model: &Model) -> usize {
        let sent = self.sent.iter();
        sent.filter(|(id, (order, _))| {
            let this = matches!(order, Order::Stage { model: m } if *m == model.name);
            this && self.is_staging(scene, id)
        })
        .count()
    }

    /// Whether a worker was told to load weights that its host does not hold yet.
    fn is_staging(&self, scene: &Scene<'_>, id: &instance::Id) -> bool {
        let Some((Order::Stage { model }, at)) = self.sent.get(id) else {
            return false;
        };
        let holds = scene
            .worker(id)
            .is_none_or(|w| w.instance.staged.contains(model));
        let load = scene.engine.model(model).map(|m| m.load);
        let in_time = load.is_some_and(|load| scene.now.since(*at) < 2 * load);
        !holds && in_time
    }

    /// Whether that many loads of weights may begin now.
    pub(super) fn may_load(&self, scene: &Scene<'_>, count: usize) -> bool {
        let fresh = scene.workers.iter().all(|w| w.instance.staged.is_empty());
        fresh || self.loads.len() + count <= self.load_limit(scene)
    }

    /// Loads that may begin in a window: this domain's part of what the weight store allows.
    fn load_limit(&self, scene: &Scene<'_>) -> usize {
        let window = self.options.load_window.as_secs_f64();
        let all = scene.engine.loads_per_second * window;
        let part = all / scene.domains.max(1) as f64;
        (part as usize).max(1)
    }
}

//! Loads of weights from the weight store, and the limits that all domains share.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cyclamen_directory::Instance;
use cyclamen_directory::instance::Phase;
use cyclamen_directory::service::{Engine, Model};
use cyclamen_types::{Time, domain, instance, model};

use crate::planner::{Planner, View};

/// The multiple of its normal time after which a load counts as failed.
pub(super) const LOAD_TIMEOUT_FACTOR: u32 = 3;

/// A load of weights onto the host of a worker.
#[derive(Debug)]
struct Staging {
    model: model::Name,
    since: Time,
    /// Whether the worker was in a group at the last plan, and so is no spare.
    is_member: bool,
}

/// The loads of weights that a planner has ordered.
#[derive(Debug, Default)]
pub(super) struct Loads {
    staging: BTreeMap<instance::Id, Staging>,
    /// When loads were ordered, within the window of the rate limit.
    ordered_at: Vec<Time>,
}

impl Loads {
    /// Records an order to load weights onto a host.
    pub(super) fn record_stage(&mut self, now: Time, id: &instance::Id, model: &model::Name) {
        let model = model.clone();
        self.staging.insert(
            id.clone(),
            Staging {
                model,
                since: now,
                is_member: false,
            },
        );
        self.ordered_at.push(now);
    }

    /// Records that `count` workers were ordered to join a group and to load weights for it.
    pub(super) fn record_joins(&mut self, now: Time, count: usize) {
        self.ordered_at.extend((0..count).map(|_| now));
    }

    /// Forgets the load of a worker that has refused the order.
    pub(super) fn record_refusal(&mut self, id: &instance::Id) {
        self.staging.remove(id);
    }

    /// Removes loads that have ended or failed.
    pub(super) fn update(&mut self, view: &View<'_>, window: Duration) {
        self.ordered_at.retain(|at| view.now.since(*at) < window);
        self.staging.retain(|id, staging| {
            let Some(worker) = view.worker(id).filter(|w| w.alive) else {
                return false;
            };
            let load = view.engine.model(&staging.model).map(|m| m.load);
            let timeout = load.unwrap_or_default();
            let timeout = timeout.saturating_mul(LOAD_TIMEOUT_FACTOR);
            staging.is_member = worker.instance.membership.is_some();
            let ended = worker.instance.staged.contains(&staging.model);
            !ended && view.now.since(staging.since) < timeout
        });
    }

    /// Returns whether weights are being loaded onto the host of a worker.
    pub(super) fn is_staging(&self, id: &instance::Id) -> bool {
        self.staging.contains_key(id)
    }

    /// Returns whether the weights of a model are being loaded onto the host of a worker.
    pub(super) fn is_loading(&self, id: &instance::Id, model: &Model) -> bool {
        let staging = self.staging.get(id);
        staging.is_some_and(|staging| staging.model == model.name)
    }

    /// Counts the hosts of workers outside groups onto which the weights of a model are being loaded.
    pub(super) fn staging_count(&self, model: &Model) -> usize {
        let staging = self.staging.values().filter(|s| !s.is_member);
        staging.filter(|s| s.model == model.name).count()
    }
}

impl Planner {
    /// Returns whether `count` loads of weights may begin now.
    ///
    /// No limit applies while no worker of the domain holds any weights.
    pub(super) fn may_load(&self, view: &View<'_>, count: usize) -> bool {
        let initial = view.workers.iter().all(|w| w.instance.staged.is_empty());
        initial || self.is_within_limits(view, count, 0)
    }

    /// Returns whether one load of weights may begin now while so many domains turn groups into
    /// groups of other models.
    pub(super) fn may_load_beside(&self, view: &View<'_>, shifting_domains: usize) -> bool {
        self.is_within_limits(view, 1, shifting_domains)
    }

    fn is_within_limits(&self, view: &View<'_>, count: usize, shifting_domains: usize) -> bool {
        let in_rate = self.loads.ordered_at.len().saturating_add(count) <= self.rate_limit(view);
        let in_progress = self.loads_in_progress(view).saturating_add(count);
        let sharing = view.loading_domains.saturating_add(shifting_domains);
        in_rate && in_progress <= concurrency_limit(view, sharing)
    }

    /// Returns how many loads may begin in a window: this domain's share of the weight store's
    /// rate limit, but at least one.
    fn rate_limit(&self, view: &View<'_>) -> usize {
        let window = self.options.load_window.as_secs_f64();
        let all = view.engine.loads_per_second * window;
        let part = all / view.domain_count.max(1) as f64;
        (part as usize).max(1)
    }

    /// Counts the workers of the domain that load weights, alone or to join a group.
    fn loads_in_progress(&self, view: &View<'_>) -> usize {
        let mut loading: BTreeSet<&instance::Id> = self.loads.staging.keys().collect();
        for worker in view.workers.iter().filter(|w| w.alive) {
            let instance = &worker.instance;
            let membership = instance.membership.as_ref();
            let joining = membership.is_some_and(|m| m.phase == Phase::Joining);
            let lacks = instance
                .model
                .as_ref()
                .is_some_and(|model| !instance.staged.contains(model));
            if joining && lacks {
                loading.insert(&instance.id);
            }
        }
        for forming in self.forming.values().filter(|f| f.must_load) {
            loading.extend(forming.ids());
        }
        loading.len()
    }
}

/// Counts the fabric domains that load weights: those with workers that hold none and enough
/// workers for a group of any model.
///
/// The instances are those of one service that are listed and accept new work.
pub fn loading_domains<'a>(
    engine: &Engine,
    instances: impl IntoIterator<Item = &'a Instance>,
) -> usize {
    let mut domains: BTreeMap<&domain::Name, (usize, bool)> = BTreeMap::new();
    for instance in instances {
        if let Some(domain) = &instance.domain {
            let (workers, any_empty) = domains.entry(domain).or_default();
            *workers += 1;
            *any_empty |= instance.staged.is_empty();
        }
    }
    let smallest = engine.smallest_group();
    let loading = domains
        .values()
        .filter(|(workers, any_empty)| *any_empty && *workers >= smallest);
    loading.count()
}

/// Returns how many loads may be in progress in this domain: its share of what the weight store
/// bears, but at least one.
///
/// Only domains that [`loading_domains`] counts, and those that turn groups into others, share it;
/// the others rarely load any.
fn concurrency_limit(view: &View<'_>, sharing: usize) -> usize {
    let all = view.engine.concurrent_loads.unwrap_or(usize::MAX);
    (all / sharing.max(1)).max(1)
}

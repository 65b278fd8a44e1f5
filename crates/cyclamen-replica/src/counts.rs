//! The target number of groups of each model in a fabric domain.

use std::collections::BTreeMap;

use cyclamen_directory::service::{Engine, Model};
use cyclamen_types::model;

/// The number of groups of each model.
pub type GroupCounts = BTreeMap<model::Name, usize>;

/// The relative amount of work of each model.
pub type Shares = BTreeMap<model::Name, f64>;

/// The number of groups of a model elsewhere with which a domain need not hold the model.
const ENOUGH_ELSEWHERE: usize = 2;

/// Returns the target number of groups of each model: the `existing` groups and
/// those that `workers` free workers should form.
///
/// Each step adds a group of the model that has the least capacity relative to
/// its share, in this domain and in others (`remote`). The first group of a model
/// takes precedence over spares; each further group must leave as many spares as
/// there are models.
pub fn target_counts(
    engine: &Engine,
    workers: usize,
    existing: &GroupCounts,
    remote: &GroupCounts,
) -> GroupCounts {
    let share = |model: &Model| model.share;
    add_groups(engine, workers, existing, remote, share, |_| false)
}

/// Returns the target number of groups of each model as [`target_counts`] does, with shares that
/// follow demand.
///
/// The first group of a model in the domain has no precedence if there are enough of them in
/// others.
pub fn following_counts(
    engine: &Engine,
    workers: usize,
    existing: &GroupCounts,
    remote: &GroupCounts,
    shares: &Shares,
) -> GroupCounts {
    let share = |model: &Model| shares.get(&model.name).copied().unwrap_or(model.share);
    let elsewhere = |model: &Model| {
        let count = remote.get(&model.name).copied().unwrap_or(0);
        count >= ENOUGH_ELSEWHERE
    };
    add_groups(engine, workers, existing, remote, share, elsewhere)
}

fn add_groups(
    engine: &Engine,
    workers: usize,
    existing: &GroupCounts,
    remote: &GroupCounts,
    share: impl Fn(&Model) -> f64,
    is_elsewhere: impl Fn(&Model) -> bool,
) -> GroupCounts {
    let mut counts = existing.clone();
    let count = |counts: &GroupCounts, model: &Model| counts.get(&model.name).copied().unwrap_or(0);
    let mut left = workers;
    loop {
        let has_one = |model: &Model| count(&counts, model) > 0 || is_elsewhere(model);
        let fits = |model: &&Model| {
            let spares = if has_one(model) {
                engine.models.len()
            } else {
                0
            };
            model.size > 0 && left >= model.size.saturating_add(spares)
        };
        let capacity = |model: &Model| {
            let here = count(&counts, model) as f64;
            let there = count(remote, model) as f64;
            (here + there) * model.size as f64 / share(model).max(f64::MIN_POSITIVE)
        };
        let candidates = engine.models.iter().filter(fits);
        let next = candidates.min_by(|a, b| {
            let by_here = has_one(a).cmp(&has_one(b));
            let by_capacity = capacity(a).total_cmp(&capacity(b));
            by_here.then(by_capacity).then(b.size.cmp(&a.size))
        });
        let Some(model) = next else {
            return counts;
        };
        left -= model.size;
        *counts.entry(model.name.clone()).or_default() += 1;
    }
}

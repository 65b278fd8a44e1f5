//! How many groups of each model a fabric domain should have.

use std::collections::BTreeMap;

use cyclamen_directory::service::{Engine, Model};
use cyclamen_types::model;

/// Groups of each model.
pub type GroupCounts = BTreeMap<model::Name, usize>;

/// How many groups of each model `workers` should form, beside those `standing`.
///
/// Each step adds a group of the model that has the least capacity for its
/// share, here and `elsewhere`. A first group of a model goes before spares; a
/// further one has to leave as many spares as there are models.
pub fn target_counts(
    engine: &Engine,
    workers: usize,
    standing: &GroupCounts,
    elsewhere: &GroupCounts,
) -> GroupCounts {
    let mut mix = standing.clone();
    let count = |mix: &GroupCounts, model: &Model| mix.get(&model.name).copied().unwrap_or(0);
    let mut left = workers;
    loop {
        let used: BTreeMap<_, _> = mix.iter().filter(|(_, n)| **n > 0).collect();
        let fits = |model: &&Model| {
            let spares = if used.contains_key(&model.name) {
                engine.models.len()
            } else {
                0
            };
            model.size > 0 && left >= model.size + spares
        };
        let capacity = |model: &Model| {
            let here = count(&mix, model) as f64;
            let there = count(elsewhere, model) as f64;
            (here + there) * model.size as f64 / model.share.max(f64::MIN_POSITIVE)
        };
        let here = |model: &Model| count(&mix, model);
        let candidates = engine.models.iter().filter(fits);
        let next = candidates.min_by(|a, b| {
            let by_here = here(a).min(1).cmp(&here(b).min(1));
            let by_capacity = capacity(a).total_cmp(&capacity(b));
            by_here.then(by_capacity).then(b.size.cmp(&a.size))
        });
        let Some(model) = next else {
            return mix;
        };
        left -= model.size;
        *mix.entry(model.name.clone()).or_default() += 1;
    }
}

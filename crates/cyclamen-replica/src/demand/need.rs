//! The groups that demanded work needs.

use std::collections::BTreeMap;

use cyclamen_directory::service::{Engine, Model};
use cyclamen_types::model;

use crate::demand::Demand;

/// The part of a group's time that its usual work may take. The rest is for waves and bursts, and
/// keeps the waiting time for a place in the group short.
const TARGET_UTILIZATION: f64 = 0.6;

/// The number of groups that each model needs, as a fraction.
pub type Needs = BTreeMap<model::Name, f64>;

/// Returns the number of groups that each model needs for the demand, at least one of each.
///
/// If `workers` workers are too few for all of them, the needs above one group shrink in proportion.
pub fn needs(engine: &Engine, workers: usize, demand: &BTreeMap<model::Name, Demand>) -> Needs {
    let models = engine.models.iter().filter(|model| model.size > 0);
    let needed = models.map(|model| {
        let work = demand
            .get(&model.name)
            .map_or(0.0, |demand| work(engine, model, demand));
        let groups = (work / TARGET_UTILIZATION).clamp(1.0, f64::MAX);
        (model, groups.min(workers.max(1) as f64))
    });
    let needed: Vec<_> = needed.collect();
    let first: f64 = needed.iter().map(|(model, _)| model.size as f64).sum();
    let further: f64 = needed
        .iter()
        .map(|(model, groups)| (groups - 1.0) * model.size as f64)
        .sum();
    let room = (workers as f64 - first).max(0.0);
    let scale = if further > room { room / further } else { 1.0 };
    needed
        .into_iter()
        .map(|(model, groups)| (model.name.clone(), 1.0 + (groups - 1.0) * scale))
        .collect()
}

/// Returns the number of full groups that the demand for a model keeps busy.
///
/// A full group shares each decode step among all of its requests.
fn work(engine: &Engine, model: &Model, demand: &Demand) -> f64 {
    let slots = f64::from(engine.slots.max(1));
    let step = engine.step.as_secs_f64() / slots + engine.step_per_request.as_secs_f64();
    let prefill = demand.prompt_tokens / engine.read_per_second.max(1.0);
    let work = model.pace * (demand.answer_tokens * step + prefill) * first_attempts(demand);
    if work.is_finite() { work.max(0.0) } else { 0.0 }
}

/// Returns the part of the requests that callers do not repeat after a refusal.
///
/// Of a request that is refused, and again when it is repeated, one of two refusals is of a
/// repeated one.
fn first_attempts(demand: &Demand) -> f64 {
    let refused = demand.refused / demand.requests.max(f64::MIN_POSITIVE);
    1.0 - 0.5 * refused.clamp(0.0, 1.0)
}

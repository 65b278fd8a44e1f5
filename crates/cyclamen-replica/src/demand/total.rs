//! The demand at all entries together.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::{model, pool};

use crate::demand::Demand;

/// The time constant with which a report of another entry loses weight.
const FADE: Duration = Duration::from_secs(3);
/// The age from which a report does not count.
const MAX_AGE: Duration = Duration::from_secs(30);
/// The least part of the entries whose demand has to be known, as a divisor.
const MIN_KNOWN_DIVISOR: usize = 4;
/// The maximum of any rate, so that sums stay finite.
const MAX_RATE: f64 = 1e12;

/// The demand at one entry, as last known.
#[derive(Debug, Clone, Copy)]
pub struct Report<'a> {
    /// Its demand for each model; empty if it has not said anything.
    pub demands: &'a [Demand],
    /// The time since the report arrived.
    pub age: Duration,
}

/// Returns the demand at all entries for each model of a service; `None` if too little is known.
///
/// An entry whose demand is unknown counts with the mean of the others. Fresh reports have more
/// weight in the mean, so that an old one fades instead of ending at once.
pub fn total<'a>(
    entries: usize,
    service: &pool::Service,
    reports: impl IntoIterator<Item = Report<'a>>,
) -> Option<BTreeMap<model::Name, Demand>> {
    let mut known = 0_usize;
    let mut weights = 0.0;
    let mut sums: BTreeMap<model::Name, Demand> = BTreeMap::new();
    for report in reports {
        let mut of_service = report.demands.iter().filter(|d| d.service == *service);
        let Some(first) = of_service.next().filter(|_| report.age < MAX_AGE) else {
            continue;
        };
        known += 1;
        let weight = (-report.age.as_secs_f64() / FADE.as_secs_f64()).exp();
        weights += weight;
        for demand in std::iter::once(first).chain(of_service) {
            let sum = sums.entry(demand.model.clone()).or_insert_with(|| Demand {
                service: service.clone(),
                model: demand.model.clone(),
                requests: 0.0,
                prompt_tokens: 0.0,
                answer_tokens: 0.0,
                refused: 0.0,
            });
            sum.requests += weight * rate(demand.requests);
            sum.prompt_tokens += weight * rate(demand.prompt_tokens);
            sum.answer_tokens += weight * rate(demand.answer_tokens);
            sum.refused += weight * rate(demand.refused);
        }
    }
    if known == 0 || known < entries.div_ceil(MIN_KNOWN_DIVISOR) || weights <= 0.0 {
        return None;
    }
    let factor = entries.max(known) as f64 / weights;
    for sum in sums.values_mut() {
        sum.requests *= factor;
        sum.prompt_tokens *= factor;
        sum.answer_tokens *= factor;
        sum.refused *= factor;
    }
    Some(sums)
}

/// Returns a rate; what is no rate counts as none.
fn rate(value: f64) -> f64 {
    if value.is_finite() {
        value.clamp(0.0, MAX_RATE)
    } else {
        0.0
    }
}

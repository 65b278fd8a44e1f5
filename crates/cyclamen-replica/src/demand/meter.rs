//! The demand at one entry.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::{Time, model, pool};

use crate::demand::Demand;

/// The time constant with which the rates decay.
const DECAY: Duration = Duration::from_secs(2);
/// The time since its start after which an entry knows its rates.
const MIN_AGE: Duration = Duration::from_secs(2);
/// The maximum number of tokens that a request counts with, whatever its caller states.
const MAX_TOKENS: u64 = 1 << 20;

/// Decayed rates of the requests of one model.
#[derive(Debug, Clone, Copy, Default)]
struct Rates {
    at: Time,
    requests: f64,
    prompt_tokens: f64,
    answer_tokens: f64,
    refused: f64,
}

impl Rates {
    fn at(self, now: Time) -> Self {
        let factor = (-now.since(self.at).as_secs_f64() / DECAY.as_secs_f64()).exp();
        Self {
            at: now.max(self.at),
            requests: self.requests * factor,
            prompt_tokens: self.prompt_tokens * factor,
            answer_tokens: self.answer_tokens * factor,
            refused: self.refused * factor,
        }
    }
}

/// Measures the demand of the callers of one entry.
///
/// Each request of a caller is to be recorded once, by the entry that got it from the caller.
#[derive(Debug, Default)]
pub struct Meter {
    rates: BTreeMap<(pool::Service, model::Name), Rates>,
}

impl Meter {
    /// Records a caller's request, with the numbers of prompt and answer tokens that it states.
    pub fn record(
        &mut self,
        now: Time,
        service: &pool::Service,
        model: &model::Name,
        prompt_tokens: u64,
        answer_tokens: u64,
    ) {
        let rates = self.rates(now, service, model);
        let weight = DECAY.as_secs_f64().recip();
        rates.requests += weight;
        rates.prompt_tokens += prompt_tokens.min(MAX_TOKENS) as f64 * weight;
        rates.answer_tokens += answer_tokens.min(MAX_TOKENS) as f64 * weight;
    }

    /// Records that a caller's request, which was recorded before, was refused.
    pub fn record_refusal(&mut self, now: Time, service: &pool::Service, model: &model::Name) {
        self.rates(now, service, model).refused += DECAY.as_secs_f64().recip();
    }

    /// Returns the demand for each of the given models, also if there is none; nothing if this
    /// entry has just started, at time zero.
    pub fn demands<'a>(
        &self,
        now: Time,
        models: impl IntoIterator<Item = (&'a pool::Service, &'a model::Name)>,
    ) -> Vec<Demand> {
        if now.since(Time::default()) < MIN_AGE {
            return Vec::new();
        }
        let demand = |(service, model): (&pool::Service, &model::Name)| {
            let key = (service.clone(), model.clone());
            let rates = self.rates.get(&key).copied().unwrap_or_default().at(now);
            Demand {
                service: key.0,
                model: key.1,
                requests: rates.requests,
                prompt_tokens: rates.prompt_tokens,
                answer_tokens: rates.answer_tokens,
                refused: rates.refused,
            }
        };
        models.into_iter().map(demand).collect()
    }

    /// Forgets models that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(&pool::Service, &model::Name) -> bool) {
        self.rates
            .retain(|(service, model), _| is_configured(service, model));
    }

    fn rates(&mut self, now: Time, service: &pool::Service, model: &model::Name) -> &mut Rates {
        let key = (service.clone(), model.clone());
        let rates = self.rates.entry(key).or_default();
        *rates = rates.at(now);
        rates
    }
}

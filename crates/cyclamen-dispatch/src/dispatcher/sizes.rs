//! Long and short prompts, if they are separated.

use cyclamen_types::Time;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::choice::Candidate;
use crate::request::Criteria;
use crate::split::Size;

impl Dispatcher {
    /// Records the size of the prompt of a request that is sent for the first time.
    pub(super) fn record_size(&mut self, now: Time, criteria: &Criteria<'_>) {
        let (Some(split), Some(model)) = (&mut self.split, criteria.model) else {
            return;
        };
        let mut workers = self.workers.of(criteria.service, criteria.model);
        let forecast = workers.find_map(|(_, worker)| worker.target.forecast);
        if let Some(forecast) = forecast.filter(|_| criteria.exclude.is_empty()) {
            let size = Size::of(criteria.tokens, forecast.chunk());
            split.record(now, criteria.service, model, criteria.tokens, size);
        }
    }

    /// Adds the costs of workers that are preferred for prompts of the other size.
    pub(super) fn add_split_costs(
        &self,
        criteria: &Criteria<'_>,
        candidates: &mut [Candidate<'_>],
    ) {
        let (Some(split), Some(model)) = (&self.split, criteria.model) else {
            return;
        };
        let forecast = candidates.iter().find_map(|c| c.worker.target.forecast);
        let workers = candidates.iter().map(|c| &c.worker.target.instance);
        let Some(forecast) = forecast else {
            return;
        };
        let Some(division) = split.division(criteria.service, model, workers) else {
            return;
        };
        let chunk = forecast.chunk() as f64;
        let queued = candidates
            .iter()
            .map(|c| c.in_progress.backlog as f64 / chunk);
        let queued = queued.map(|chunks| chunks.min(1.0)).sum::<f64>() / candidates.len() as f64;
        let size = Size::of(criteria.tokens, forecast.chunk());
        for candidate in candidates {
            let instance = &candidate.worker.target.instance;
            candidate.extra += division.cost(instance, size, queued);
        }
    }
}

//! The workers, by what they serve.

use std::collections::BTreeMap;

use cyclamen_types::{model, pool};

use crate::dispatcher::WorkerKey;
use crate::dispatcher::worker::Worker;
use crate::request::Target;

/// The service, and the model if the service runs models.
type Capability = (pool::Service, Option<model::Name>);

/// Workers that accept requests, by service and model, so that a decision looks at those of its
/// model only.
#[derive(Debug, Default)]
pub(super) struct Workers(BTreeMap<Capability, BTreeMap<WorkerKey, Worker>>);

impl Workers {
    pub(super) fn insert(&mut self, worker: Worker) {
        let target = &worker.target;
        let capability = (target.service.clone(), target.model.clone());
        let key = (target.instance.clone(), target.fence);
        self.0.entry(capability).or_default().insert(key, worker);
    }

    /// Returns the workers of a service and model.
    pub(super) fn of(
        &self,
        service: &pool::Service,
        model: Option<&model::Name>,
    ) -> impl Iterator<Item = (&WorkerKey, &Worker)> {
        let capability = (service.clone(), model.cloned());
        self.0.get(&capability).into_iter().flatten()
    }

    /// Returns the worker that a target describes.
    pub(super) fn get_mut(&mut self, target: &Target) -> Option<&mut Worker> {
        let capability = (target.service.clone(), target.model.clone());
        let key = (target.instance.clone(), target.fence);
        self.0.get_mut(&capability)?.get_mut(&key)
    }

    /// Returns a worker of any service and model.
    pub(super) fn find_mut(&mut self, key: &WorkerKey) -> Option<&mut Worker> {
        self.0.values_mut().find_map(|workers| workers.get_mut(key))
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&WorkerKey, &Worker)> {
        self.0.values().flatten()
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Worker> {
        self.0.values_mut().flat_map(BTreeMap::values_mut)
    }

    /// Takes all workers.
    pub(super) fn take(&mut self) -> BTreeMap<WorkerKey, Worker> {
        std::mem::take(&mut self.0)
            .into_values()
            .flatten()
            .collect()
    }
}

//! Which workers take requests, by what is believed of them.

use std::sync::Arc;

use cyclamen_directory::instance::Status;
use cyclamen_directory::service::{Engine, Service};
use cyclamen_directory::{Entry, Instance};
use cyclamen_dispatch::{Forecast, Target};
use cyclamen_replica::{Group, Groups, State as GroupState};
use cyclamen_types::{Time, group, instance, model, pool};

use crate::node::State;

/// How many workers of a service, or groups of a model, take requests.
#[derive(Debug)]
pub(crate) struct Serving {
    pub(crate) service: pool::Service,
    /// The model's name; empty for a plain service.
    pub(crate) model: String,
    pub(crate) count: u64,
}

impl State {
    /// How many workers or groups of each configured service and model take requests.
    pub(crate) fn serving(&self) -> Vec<Serving> {
        let count = |service: &Service, model: Option<&model::Name>| {
            let targets = self.dispatcher.targets();
            let same = |t: &&Target| t.service == service.name && t.model.as_ref() == model;
            Serving {
                service: service.name.clone(),
                model: model.map_or_else(String::new, ToString::to_string),
                count: targets.filter(same).count() as u64,
            }
        };
        let parts = self.catalog.services().flat_map(|service| {
            let models: Vec<_> = match &service.engine {
                Some(engine) => engine.models.iter().map(|m| Some(&m.name)).collect(),
                None => vec![None],
            };
            models.into_iter().map(move |model| count(service, model))
        });
        parts.collect()
    }

    /// Whether a target, or a member of the group whose head it is, does not answer any more.
    ///
    /// A target that has another membership by now has lost its group as well.
    pub(crate) fn lost_member(&self, target: &Target) -> bool {
        let Some(group) = self.group_of_head(&target.instance) else {
            return target.model.is_some();
        };
        let same_start = |m: &Arc<Instance>| m.incarnation == target.incarnation;
        let same = group.fence == target.fence && group.head().is_some_and(same_start);
        !same || group.members.values().any(|m| self.is_suspected(m))
    }

    /// Works out which workers take requests.
    pub(crate) fn refresh_targets(&mut self, now: Time) {
        let mut targets = Vec::new();
        for service in self.catalog.services() {
            match &service.engine {
                Some(engine) => targets.extend(self.heads(now, service, engine)),
                None => targets.extend(self.plain_workers(now, service)),
            }
        }
        self.dispatcher.refresh(targets);
        self.arrange_cell();
    }

    /// The replica groups of a service, as its listed workers show them.
    pub(crate) fn groups(&self, service: &Service) -> Groups {
        let listed = self.register.entries();
        let instances = listed
            .map(|entry| &entry.instance)
            .filter(|i| i.service == service.name);
        Groups::from_instances(instances)
    }

    /// The group whose head a worker is.
    pub(crate) fn group_of_head(&self, id: &instance::Id) -> Option<Group> {
        let entry = self.register.get(id)?;
        let membership = entry.instance.membership.as_ref()?;
        let service = self.catalog.service(&entry.instance.service)?;
        let groups = self.groups(service);
        groups.get(&membership.group, membership.fence).cloned()
    }

    fn heads(&self, now: Time, service: &Service, engine: &Engine) -> Vec<Target> {
        let groups = self.groups(service);
        let serving = groups.iter().filter(|group| {
            let state = group.state(engine, |m| self.is_suspected(m));
            let leaves = |m: &Arc<Instance>| m.status == Status::Leaving;
            state == GroupState::Serving && !group.members.values().any(leaves)
        });
        serving
            .filter_map(|group| {
                let head = self.register.get(&group.head()?.id)?;
                let model = engine.model(group.model.as_ref()?)?;
                let target = self.target(now, service, head, group.fence)?;
                Some(Target {
                    model: Some(model.name.clone()),
                    forecast: Some(Forecast::of(engine, model)),
                    slots: engine.slots,
                    ..target
                })
            })
            .collect()
    }

    fn plain_workers(&self, now: Time, service: &Service) -> Vec<Target> {
        let workers = self.register.entries();
        let mine = workers.filter(|entry| entry.instance.service == service.name);
        let answering = mine.filter(|entry| !self.is_suspected(&entry.instance));
        answering
            .filter_map(|entry| self.target(now, service, entry, group::Fence::default()))
            .collect()
    }

    fn target(
        &self,
        now: Time,
        service: &Service,
        entry: &Entry,
        fence: group::Fence,
    ) -> Option<Target> {
        let instance = &entry.instance;
        let out = self.zones_out.contains(&instance.zone);
        if out || !entry.is_ready() {
            return None;
        }
        let left = entry.remaining_cold(now);
        let cold = service.cold_per_second.filter(|_| !left.is_zero());
        Some(Target {
            instance: instance.id.clone(),
            incarnation: instance.incarnation,
            fence,
            service: service.name.clone(),
            model: None,
            forecast: None,
            address: instance.address,
            zone: instance.zone.clone(),
            domain: instance.domain.clone(),
            slots: instance.slots,
            cold: cold.map(|per_second| (now + left, per_second)),
        })
    }
}

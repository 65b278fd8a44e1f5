//! Selects the workers that take requests.

use std::sync::Arc;

use cyclamen_directory::instance::Status;
use cyclamen_directory::service::{Engine, Service};
use cyclamen_directory::{Instance, Record};
use cyclamen_dispatch::{Forecast, Target};
use cyclamen_quota::Rate;
use cyclamen_replica::{Group, Groups, State as GroupState};
use cyclamen_types::{Time, group, instance, model, pool};

use crate::node::State;

/// Why a group may no longer make progress on the requests that it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Loss {
    /// The head is not listed, or belongs to no group of a configured service.
    Unlisted,
    /// The head has joined another group or has restarted.
    Regrouped,
    /// A member did not respond to probes in time.
    Suspected,
    /// The entry to which the request was handed over is silent.
    EntrySilent,
}

impl Loss {
    /// Returns the name in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Unlisted => "unlisted",
            Self::Regrouped => "regrouped",
            Self::Suspected => "suspected",
            Self::EntrySilent => "entry_silent",
        }
    }
}

/// The number of workers of a service, or of groups of a model, that take requests.
#[derive(Debug)]
pub(crate) struct TargetCount {
    pub(crate) service: pool::Service,
    /// The model's name; empty for a plain service.
    pub(crate) model: String,
    pub(crate) count: u64,
}

impl State {
    /// Returns how many workers or groups of each configured service and model take requests.
    pub(crate) fn target_counts(&self) -> Vec<TargetCount> {
        let count = |service: &Service, model: Option<&model::Name>| {
            let targets = self.dispatcher.targets();
            let matches = |t: &&Target| t.service == service.name && t.model.as_ref() == model;
            TargetCount {
                service: service.name.clone(),
                model: model.map_or_else(String::new, ToString::to_string),
                count: targets.filter(matches).count() as u64,
            }
        };
        let counts = self.catalog.services().flat_map(|service| {
            let models: Vec<_> = match &service.engine {
                Some(engine) => engine.models.iter().map(|m| Some(&m.name)).collect(),
                None => vec![None],
            };
            models.into_iter().map(move |model| count(service, model))
        });
        counts.collect()
    }

    /// Returns why the group that a target heads may have lost a member, if it may; `None` for a
    /// worker of a plain service.
    pub(crate) fn group_loss(&self, target: &Target) -> Option<Loss> {
        target.model.as_ref()?;
        let Some(group) = self.group_of_head(&target.instance) else {
            return Some(Loss::Unlisted);
        };
        let same_incarnation = |m: &Arc<Instance>| m.incarnation == target.incarnation;
        if group.fence != target.fence || !group.head().is_some_and(same_incarnation) {
            return Some(Loss::Regrouped);
        }
        let is_suspected = group.members.values().any(|m| self.is_suspected(m));
        is_suspected.then_some(Loss::Suspected)
    }

    /// Recomputes which workers take requests.
    pub(crate) fn refresh_targets(&mut self, now: Time) {
        let mut targets = Vec::new();
        for service in self.catalog.services() {
            match &service.engine {
                Some(engine) => targets.extend(self.group_targets(now, service, engine)),
                None => targets.extend(self.plain_targets(now, service)),
            }
        }
        self.dispatcher.refresh(targets);
        self.update_cell();
    }

    /// Returns the replica groups of a service, derived from its listed workers.
    pub(crate) fn groups(&self, service: &Service) -> Groups {
        let listed = self.registry.records();
        let instances = listed
            .map(|record| &record.instance)
            .filter(|i| i.service == service.name);
        Groups::from_instances(instances)
    }

    /// Returns the group that a worker heads.
    pub(crate) fn group_of_head(&self, id: &instance::Id) -> Option<Group> {
        let record = self.registry.get(id)?;
        let membership = record.instance.membership.as_ref()?;
        let service = self.catalog.service(&record.instance.service)?;
        let is_member = |i: &&Arc<Instance>| {
            let other = i.membership.as_ref();
            let is_of_group =
                other.is_some_and(|m| m.group == membership.group && m.fence == membership.fence);
            i.service == service.name && is_of_group
        };
        // Only its members: this is asked for each silent stream, again and again.
        let instances = self.registry.records().map(|record| &record.instance);
        let groups = Groups::from_instances(instances.filter(is_member));
        groups.get(&membership.group, membership.fence).cloned()
    }

    fn group_targets(&self, now: Time, service: &Service, engine: &Engine) -> Vec<Target> {
        let groups = self.groups(service);
        let serving = groups.iter().filter(|group| {
            let state = group.state(engine, |m| self.has_failed_probes(m));
            let is_leaving = |m: &Arc<Instance>| m.status == Status::Leaving;
            state == GroupState::Serving && !group.members.values().any(is_leaving)
        });
        serving
            .filter_map(|group| {
                let head = self.registry.get(&group.head()?.id)?;
                let model = engine.model(group.model.as_ref()?)?;
                let target = self.target(now, service, head, group.fence)?;
                Some(Target {
                    model: Some(model.name.clone()),
                    forecast: Some(Forecast::of(engine, model)),
                    slots: engine.slots,
                    doubtful: group.members.values().any(|m| self.is_doubted(m)),
                    ..target
                })
            })
            .collect()
    }

    fn plain_targets(&self, now: Time, service: &Service) -> Vec<Target> {
        let workers = self.registry.records();
        let of_service = workers.filter(|record| record.instance.service == service.name);
        let responsive = of_service.filter(|record| !self.has_failed_probes(&record.instance));
        responsive
            .filter_map(|record| self.target(now, service, record, group::Fence::default()))
            .collect()
    }

    fn target(
        &self,
        now: Time,
        service: &Service,
        record: &Record,
        fence: group::Fence,
    ) -> Option<Target> {
        let instance = &record.instance;
        let zone_out = self.zones_out.contains(&instance.zone);
        if zone_out || !record.is_ready() {
            return None;
        }
        let cold_for = record.remaining_cold(now);
        let cold = service.cold_per_second.filter(|_| !cold_for.is_zero());
        let cold = cold.and_then(Rate::new);
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
            cold: cold.map(|rate| (now + cold_for, rate)),
            limit: self.limits.get(&instance.id, instance.incarnation),
            doubtful: self.is_doubted(instance),
        })
    }
}

//! The demand for each model, and the numbers of groups that follow it.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_directory::Catalog;
use cyclamen_directory::service::Service;
use cyclamen_replica::{Balance, Demand, Direction, Guidance, Meter, Report, sites, total};
use cyclamen_types::{Time, domain, model, pool};

use crate::node::State;

/// The interval between decisions on the numbers of groups.
const DECISION_INTERVAL: Duration = Duration::from_millis(500);

/// The demand for a model at all entries, and the groups that it needs.
#[derive(Debug)]
pub(crate) struct GroupNeed {
    pub(crate) service: pool::Service,
    pub(crate) model: model::Name,
    pub(crate) requests_per_second: f64,
    pub(crate) groups: f64,
}

/// What an entry knows and has decided of one service.
#[derive(Debug, Default)]
struct Followed {
    balance: Balance,
    demand: BTreeMap<model::Name, Demand>,
    guidance: Guidance,
}

/// The demand of this entry's callers, and the decisions that follow the demand of all.
#[derive(Debug, Default)]
pub(crate) struct Following {
    is_enabled: bool,
    meter: Meter,
    services: BTreeMap<pool::Service, Followed>,
    decided_at: Option<Time>,
}

impl Following {
    pub(super) fn new(is_enabled: bool) -> Self {
        Self {
            is_enabled,
            ..Self::default()
        }
    }

    /// Drops what is known of services and models that are no longer configured.
    pub(super) fn retain_configured(&mut self, catalog: &Catalog) {
        let engine = |name: &pool::Service| catalog.service(name)?.engine.as_ref();
        self.services.retain(|name, _| engine(name).is_some());
        self.meter
            .retain(|service, model| engine(service).is_some_and(|e| e.model(model).is_some()));
    }
}

impl State {
    /// Records a caller's request for a model.
    pub(crate) fn record_demand(
        &mut self,
        now: Time,
        service: &Service,
        model: &model::Name,
        prompt_tokens: u64,
        answer_tokens: u64,
    ) {
        if self.following.is_enabled && is_configured(service, model) {
            let meter = &mut self.following.meter;
            meter.record(now, &service.name, model, prompt_tokens, answer_tokens);
        }
    }

    /// Records that a caller's request for a model was refused.
    pub(crate) fn record_refused_demand(
        &mut self,
        now: Time,
        service: &Service,
        model: &model::Name,
    ) {
        if self.following.is_enabled && is_configured(service, model) {
            let meter = &mut self.following.meter;
            meter.record_refusal(now, &service.name, model);
        }
    }

    /// Returns the demand of this entry's callers; nothing if it is not known yet.
    pub(crate) fn demands_to_gossip(&self, now: Time) -> Vec<Demand> {
        if !self.following.is_enabled {
            return Vec::new();
        }
        let engines = self.catalog.services();
        let engines = engines.filter_map(|s| Some((&s.name, s.engine.as_ref()?)));
        let models = engines.flat_map(|(name, engine)| {
            let models = engine.models.iter();
            models.map(move |model| (name, &model.name))
        });
        self.following.meter.demands(now, models)
    }

    /// Decides on the numbers of groups of each model, if it is time.
    pub(crate) fn follow_demand(&mut self, now: Time, catalog: &Catalog) {
        let last = self.following.decided_at;
        let is_recent = last.is_some_and(|at| now.since(at) < DECISION_INTERVAL);
        if !self.following.is_enabled || is_recent {
            return;
        }
        self.following.decided_at = Some(now);
        let own = self.demands_to_gossip(now);
        for service in catalog.services() {
            let Some(engine) = &service.engine else {
                continue;
            };
            let demand = self.total_demand(now, &service.name, &own);
            let records = self.registry.records();
            let listed = records.filter(|r| r.instance.service == service.name && r.is_listed());
            let instances = listed.map(|record| &record.instance);
            let sites = sites(engine, instances, |i| self.is_suspected(i));
            let followed = self.following.services.entry(service.name.clone());
            let followed = followed.or_default();
            followed.guidance = followed
                .balance
                .update(now, engine, demand.as_ref(), &sites);
            followed.demand = demand.unwrap_or_default();
        }
    }

    /// Returns what the planner of a domain is to do.
    pub(crate) fn direction(&self, service: &pool::Service, domain: &domain::Name) -> Direction {
        let Some(followed) = self.following.services.get(service) else {
            return Direction::default();
        };
        let guidance = &followed.guidance;
        Direction {
            shares: guidance.shares.clone(),
            shift: guidance.shifts.get(domain).cloned(),
            shifting_domains: guidance.shifts.len(),
        }
    }

    /// Returns the demand for each model and the groups that it needs, if they are known.
    pub(crate) fn group_needs(&self) -> Vec<GroupNeed> {
        let services = self.following.services.iter();
        let needs = services.flat_map(|(service, followed)| {
            let needs = followed.guidance.needs.iter().flatten();
            needs.map(|(model, groups)| GroupNeed {
                service: service.clone(),
                model: model.clone(),
                requests_per_second: followed.demand.get(model).map_or(0.0, |d| d.requests),
                groups: *groups,
            })
        });
        needs.collect()
    }

    /// Returns the demand at all entries for each model of a service, if enough is known.
    fn total_demand(
        &self,
        now: Time,
        service: &pool::Service,
        own: &[Demand],
    ) -> Option<BTreeMap<model::Name, Demand>> {
        let own = Report {
            demands: own,
            age: Duration::ZERO,
        };
        let peers = self.peers.values();
        let reports = peers.filter_map(|peer| {
            let (at, demands) = peer.knowledge.demands.as_ref()?;
            Some(Report {
                demands,
                age: now.since(*at),
            })
        });
        total(
            self.entry_count(),
            service,
            std::iter::once(own).chain(reports),
        )
    }
}

fn is_configured(service: &Service, model: &model::Name) -> bool {
    let engine = service.engine.as_ref();
    engine.is_some_and(|engine| engine.model(model).is_some())
}

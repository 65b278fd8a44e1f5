//! Whether this entry has lost its path to the workers of a service.

use std::sync::Arc;

use cyclamen_directory::Instance;
use cyclamen_directory::service::Service;
use cyclamen_replica::{Change, Start};
use cyclamen_types::{Time, model, pool};
use rand::seq::IteratorRandom;

use crate::node::{Peer, State};

/// The number of workers that are probed to check the path to a service. So many that a loss of half
/// of the workers is seldom taken for a lost path.
const PATH_PROBES: usize = 6;
/// The number of these that failed probes before, if there are others too.
const FAILED_PROBES: usize = 2;

impl State {
    /// Records that a worker of a service was reached or that a connection to it failed.
    pub(crate) fn record_contact(
        &mut self,
        now: Time,
        service: &pool::Service,
        worker: &Start,
        ok: bool,
    ) {
        if ok {
            self.detector.record_contact(now, worker);
            if self.detector.is_suspected(worker) {
                self.restore(now, worker);
            }
            let change = self.reach.record_success(now, service);
            self.log_change(service, change);
            if matches!(change, Some(Change::Reached(_))) {
                self.renew_suspicions(now, service);
            }
            return;
        }
        let record = self.registry.get(&worker.instance);
        let is_listed =
            record.is_some_and(|r| r.is_listed() && r.instance.incarnation == worker.incarnation);
        if !is_listed || self.detector.has_failed_probes(worker) {
            return;
        }
        if self.reach.record_failure(service, &worker.instance) {
            self.judge_path(now, service);
        }
    }

    /// Makes the suspicions of a service's workers count as new.
    fn renew_suspicions(&mut self, now: Time, service: &pool::Service) {
        let registry = &self.registry;
        let is_of_service = |start: &Start| {
            let record = registry.get(&start.instance);
            record.is_some_and(|record| record.instance.service == *service)
        };
        self.detector.renew_suspicions(now, is_of_service);
    }

    /// Returns whether this entry reaches no worker of a service although others do.
    pub(crate) fn is_cut_off(&self, now: Time, service: &pool::Service) -> bool {
        self.reach.is_lost(service) && self.is_reached_by_others(now, service)
    }

    /// Decides again from which services this entry is cut off.
    pub(crate) fn judge_paths(&mut self, now: Time) {
        let doubtful: Vec<pool::Service> = self.reach.doubtful().cloned().collect();
        for service in doubtful {
            let is_configured = self.catalog.service(&service).is_some();
            if is_configured && self.listed(&service).next().is_some() {
                self.judge_path(now, &service);
            } else {
                self.reach.forget(&service);
            }
        }
    }

    /// Returns the workers to probe now in order to check the path to a service.
    pub(crate) fn start_path_check(
        &mut self,
        now: Time,
        service: &pool::Service,
    ) -> Vec<Arc<Instance>> {
        if !self.reach.is_check_due(now, service) {
            return Vec::new();
        }
        let workers = self.listed(service).cloned();
        let (failed, others): (Vec<_>, Vec<_>) =
            workers.partition(|worker| self.has_failed_probes(worker));
        let count = FAILED_PROBES.max(PATH_PROBES.saturating_sub(others.len()));
        let mut chosen = failed.into_iter().choose_multiple(&mut self.rng, count);
        let count = PATH_PROBES.saturating_sub(chosen.len());
        chosen.extend(others.into_iter().choose_multiple(&mut self.rng, count));
        self.reach.record_check(now, service, chosen.len());
        chosen
    }

    /// Records that a probe that checks the path to a service has failed.
    pub(crate) fn record_failed_check(&mut self, now: Time, service: &pool::Service) {
        if self.reach.record_failed_check(service) {
            self.judge_path(now, service);
        }
    }

    /// Returns the workers that failed probes of this entry, of a service that it reaches again, at
    /// most `limit`.
    pub(crate) fn failed_workers(
        &self,
        service: &pool::Service,
        limit: usize,
    ) -> Vec<Arc<Instance>> {
        let failed = self
            .listed(service)
            .filter(|worker| self.has_failed_probes(worker));
        failed.take(limit).cloned().collect()
    }

    /// Returns whether a worker failed probes of this entry and has not responded since.
    pub(crate) fn has_failed_probes(&self, worker: &Instance) -> bool {
        self.detector.has_failed_probes(&Start::from(worker))
    }

    fn judge_path(&mut self, now: Time, service: &pool::Service) {
        let all_failed = self.listed(service).all(|worker| {
            self.reach.has_failed(service, &worker.id) || self.has_failed_probes(worker)
        });
        let others_reach = self.is_reached_by_others(now, service);
        let change = self.reach.judge(now, service, all_failed, others_reach);
        self.log_change(service, change);
    }

    /// Returns the listed workers of a service.
    fn listed(&self, service: &pool::Service) -> impl Iterator<Item = &Arc<Instance>> {
        let listed = self.registry.records().filter(|record| record.is_listed());
        let instances = listed.map(|record| &record.instance);
        instances.filter(move |instance| instance.service == *service)
    }

    /// Returns whether another entry that was heard lately reaches workers of a service.
    fn is_reached_by_others(&self, now: Time, service: &pool::Service) -> bool {
        let Some(service) = self.catalog.service(service) else {
            return false;
        };
        let mut peers = self.peers.values();
        peers.any(|peer| peer.is_heard(now) && peer.reaches(service))
    }

    pub(super) fn log_change(&self, service: &pool::Service, change: Option<Change>) {
        match change {
            Some(Change::CutOff) => {
                let workers = self.listed(service).count();
                log::warn!("event=cut_off service={service} workers={workers}");
            }
            Some(Change::Reached(lasted)) => {
                let lasted = lasted.as_millis();
                log::info!("event=reached_again service={service} lasted_ms={lasted}");
            }
            None => {}
        }
    }
}

impl Peer {
    /// Returns whether the entry reaches workers of a service, by its last gossip.
    fn reaches(&self, service: &Service) -> bool {
        let knowledge = &self.knowledge;
        let serves = |model: Option<&model::Name>| {
            let mut unserved = knowledge.unserved.iter();
            !unserved.any(|lacks| lacks.service == service.name && lacks.model.as_ref() == model)
        };
        let serves_any = match &service.engine {
            Some(engine) => engine.models.iter().any(|model| serves(Some(&model.name))),
            None => serves(None),
        };
        serves_any && !knowledge.cut_off.contains(&service.name)
    }
}

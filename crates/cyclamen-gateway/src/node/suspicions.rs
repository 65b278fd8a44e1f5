//! What this entry finds out about workers by itself or hears from other entries.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_directory::Instance;
use cyclamen_dispatch::Target;
use cyclamen_replica::Start;
use cyclamen_types::{Time, entry, group, instance};

use crate::node::State;
use crate::tasks::SMALL_FLEET_PEERS;

/// How long other entries are told of a worker that said that it is leaving.
const LEAVING_GOSSIP_DURATION: Duration = Duration::from_secs(5);
/// The maximum number of leaving workers in a gossip message.
const MAX_LEAVING: usize = 64;

/// What runs a request.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Unit {
    Worker(instance::Id),
    Group(group::Id, group::Fence),
}

impl Unit {
    /// Returns the group that a worker belongs to, or the worker.
    fn of(worker: &Instance) -> Self {
        match &worker.membership {
            Some(membership) => Self::Group(membership.group.clone(), membership.fence),
            None => Self::Worker(worker.id.clone()),
        }
    }
}

impl State {
    /// Records that a worker failed its probes; returns whether the suspicion is new.
    pub(crate) fn suspect(&mut self, now: Time, start: &Start) -> bool {
        let is_new = self.detector.suspect(now, start);
        if is_new {
            log::info!(
                "event=instance_suspected instance={} incarnation={}",
                start.instance,
                start.incarnation
            );
            self.refresh_targets(now);
        }
        is_new
    }

    /// Records that a worker responded to a probe.
    pub(crate) fn restore(&mut self, now: Time, start: &Start) {
        let was_doubted = self.detector.is_doubted(start);
        let was_suspected = self.detector.restore(now, start);
        if was_suspected {
            log::info!(
                "event=instance_restored instance={} incarnation={}",
                start.instance,
                start.incarnation
            );
        }
        if was_suspected || was_doubted {
            self.refresh_targets(now);
        }
    }

    /// Records that a worker said that it is leaving, to this entry or another: it gets no new
    /// requests from this entry, whatever the list says of this incarnation. Returns whether that
    /// is new.
    pub(crate) fn record_leaving(&mut self, now: Time, worker: &Start) -> bool {
        let (id, incarnation) = (&worker.instance, worker.incarnation);
        let is_new = self.registry.record_leaving(now, id, incarnation);
        if is_new {
            log::info!("event=instance_leaving instance={id} incarnation={incarnation}");
            self.refresh_targets(now);
        }
        is_new
    }

    /// Returns the workers that said lately that they are leaving, to tell other entries.
    pub(crate) fn leaving_to_gossip(&self, now: Time) -> Vec<Start> {
        let leaving = self.registry.leaving_since(now, LEAVING_GOSSIP_DURATION);
        let starts = leaving.map(|(id, incarnation)| Start {
            instance: id.clone(),
            incarnation,
        });
        starts.take(MAX_LEAVING).collect()
    }

    /// Returns the workers of which other entries are told that they failed probes of this entry.
    /// While it is cut off from a service, that says nothing about the service's workers.
    pub(crate) fn suspicions_to_gossip(&self, now: Time) -> Vec<Start> {
        let cut_off = self.cut_off(now);
        let suspicions = self.detector.local_suspicions(now).filter(|start| {
            let worker = self.registry.get(&start.instance);
            !worker.is_some_and(|worker| cut_off.contains(&worker.instance.service))
        });
        suspicions.cloned().collect()
    }

    /// Records that the group that a target heads makes progress on a request: none of its members
    /// has failed, even if it does not respond to probes in time.
    pub(crate) fn record_progress(&mut self, now: Time, target: &Target) {
        let change = self.reach.record_success(now, &target.service);
        self.log_change(&target.service, change);
        let head = self.registry.get(&target.instance);
        let Some(group) = head.and_then(|head| head.instance.membership.clone()) else {
            return;
        };
        if group.fence != target.fence {
            return;
        }
        let is_member = |start: &&Start| {
            let worker = self.registry.get(&start.instance);
            let membership = worker.and_then(|worker| worker.instance.membership.as_ref());
            membership.is_some_and(|m| m.group == group.group && m.fence == group.fence)
        };
        let suspected = self.detector.suspected().filter(is_member);
        for start in suspected.cloned().collect::<Vec<_>>() {
            self.restore(now, &start);
        }
    }

    /// Records which workers another entry suspects, and which of those that others suspect it
    /// reaches; returns the listed workers to probe now.
    ///
    /// The entries that a worker concerns probe it, so that the number of its probes does not grow
    /// with the number of entries. The others prefer other workers for a while.
    pub(crate) fn record_suspicions(
        &mut self,
        now: Time,
        entry: &entry::Name,
        suspected: impl IntoIterator<Item = Start>,
        reached: impl IntoIterator<Item = Start>,
    ) -> Vec<Arc<Instance>> {
        let registry = &self.registry;
        let listed = suspected.into_iter().filter(|start| {
            let known = registry.get(&start.instance);
            known.is_some_and(|e| e.instance.incarnation == start.incarnation)
        });
        let to_probe = self.detector.record_report(now, entry, listed, reached);
        let doubted = to_probe
            .iter()
            .filter_map(|s| self.registry.get(&s.instance));
        let doubted: Vec<Arc<Instance>> = doubted.map(|record| record.instance.clone()).collect();
        let in_use = self.workers_in_use();
        let is_concerned =
            |worker: &Arc<Instance>| in_use.contains(&Unit::of(worker)) || self.is_near(worker);
        let (concerned, others): (Vec<_>, Vec<_>) = doubted.into_iter().partition(is_concerned);
        for worker in &others {
            self.detector.leave_to_others(&Start::from(worker.as_ref()));
        }
        if !to_probe.is_empty() {
            self.refresh_targets(now);
        }
        concerned
    }

    /// Returns the workers and groups that run requests of this entry.
    fn workers_in_use(&self) -> BTreeSet<Unit> {
        let loads = self.dispatcher.loads();
        let heads = loads.iter().filter_map(|l| self.registry.get(&l.instance));
        heads.map(|head| Unit::of(&head.instance)).collect()
    }

    /// Returns whether this entry is one of the few that probe a worker on behalf of all entries: all
    /// of a small fleet, otherwise those of its cell and the owner of its fabric domain.
    pub(crate) fn is_near(&self, worker: &Instance) -> bool {
        let in_cell = |domain| self.cell.domains.contains(domain);
        let is_small = self.peers.len() <= SMALL_FLEET_PEERS;
        is_small || worker.domain.as_ref().is_some_and(in_cell) || self.is_owned(worker)
    }

    /// Returns whether a worker is in a fabric domain that this entry owns.
    pub(crate) fn is_owned(&self, worker: &Instance) -> bool {
        let domain = worker.domain.as_ref();
        domain.is_some_and(|domain| self.ownership.planners.contains_key(domain))
    }

    /// Returns whether a worker is suspected and should get no new work.
    pub(crate) fn is_suspected(&self, instance: &Instance) -> bool {
        self.detector.is_suspected(&Start::from(instance))
    }

    /// Returns whether another entry suspects a worker that this entry is probing now.
    pub(crate) fn is_doubted(&self, instance: &Instance) -> bool {
        self.detector.is_doubted(&Start::from(instance))
    }
}

//! The instances that the platform lists.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::{Time, instance};

use crate::instance::{Instance, Status};

/// How long an unlisted instance stays in the registry while it finishes its work.
const DEPARTED_RETENTION: Duration = Duration::from_secs(12);
/// How long a worker that said itself that it is leaving, or that left, is remembered, should the
/// list name it as ready again.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);
/// How long after a store outage a removed instance may be listed again before the removal
/// takes effect.
const OUTAGE_GRACE: Duration = Duration::from_millis(2_500);

/// The record of an instance.
#[derive(Debug, Clone)]
pub struct Record {
    /// The instance as last listed.
    pub instance: Arc<Instance>,
    /// When it was first listed with these attributes.
    pub listed_at: Time,
    /// When it was removed from the list during an outage; the removal is not yet confirmed.
    removed_at: Option<Time>,
    /// When its removal from the list took effect.
    departed_at: Option<Time>,
}

impl Record {
    /// Returns whether the instance accepts new work.
    pub fn is_ready(&self) -> bool {
        self.instance.status == Status::Ready
    }

    /// Returns whether the instance is still listed.
    pub fn is_listed(&self) -> bool {
        self.removed_at.is_none() && self.departed_at.is_none()
    }

    /// Returns whether the removal of the instance from the list has taken effect.
    pub fn has_departed(&self) -> bool {
        self.departed_at.is_some()
    }

    /// Marks the instance as departed and leaving; it may still finish its work.
    fn mark_departed(&mut self, now: Time) {
        if self.departed_at.is_some() {
            return;
        }
        self.departed_at = Some(now);
        self.removed_at = None;
        self.instance = Arc::new(Instance {
            status: Status::Leaving,
            ..Instance::clone(&self.instance)
        });
    }

    /// Returns the remaining time for which the instance stays cold.
    pub fn remaining_cold(&self, now: Time) -> Duration {
        self.instance.cold.saturating_sub(now.since(self.listed_at))
    }
}

/// The instances that the platform lists.
///
/// A removal takes effect immediately while the list is reliable. A removal
/// during or soon after an outage of the store may concern an instance that is
/// still alive; it takes effect only if the instance is not listed again. An
/// instance whose removal took effect gets no new work, but is retained for a
/// while, since some instances finish their work unlisted.
#[derive(Debug, Default)]
pub struct Registry {
    records: BTreeMap<instance::Id, Record>,
    unreliable_until: Option<Time>,
    /// Incarnations that said themselves that they are leaving, and when they first did.
    leaving: BTreeMap<instance::Id, (instance::Incarnation, Time)>,
    /// Incarnations whose removal took effect, and when.
    departed: BTreeMap<instance::Id, (instance::Incarnation, Time)>,
}

impl Registry {
    /// Records that the store did not respond; `now` is when the outage was detected.
    pub fn record_outage(&mut self, now: Time) {
        self.unreliable_until = Some(now + OUTAGE_GRACE);
    }

    /// Records that an instance said itself that it is leaving, whatever the list says of this
    /// incarnation; returns whether that is new. A former incarnation is ignored.
    pub fn record_leaving(
        &mut self,
        now: Time,
        id: &instance::Id,
        incarnation: instance::Incarnation,
    ) -> bool {
        let known = self.leaving.get(id);
        if known.is_some_and(|(known, _)| *known >= incarnation) {
            return false;
        }
        self.leaving.insert(id.clone(), (incarnation, now));
        let record = self.records.get_mut(id);
        if let Some(record) = record.filter(|r| r.instance.incarnation == incarnation) {
            record.instance = Arc::new(Instance {
                status: Status::Leaving,
                ..Instance::clone(&record.instance)
            });
        }
        true
    }

    /// Returns the incarnations that first said within the given time that they are leaving.
    pub fn leaving_since(
        &self,
        now: Time,
        within: Duration,
    ) -> impl Iterator<Item = (&instance::Id, instance::Incarnation)> {
        let recent = self
            .leaving
            .iter()
            .filter(move |(_, (_, at))| now.since(*at) < within);
        recent.map(|(id, (incarnation, _))| (id, *incarnation))
    }

    fn is_leaving(&self, id: &instance::Id, incarnation: instance::Incarnation) -> bool {
        let leaving = self.leaving.get(id);
        leaving.is_some_and(|(known, _)| *known == incarnation)
    }

    /// Inserts or updates a listed instance; returns whether anything changed.
    pub fn upsert(&mut self, now: Time, mut instance: Instance) -> bool {
        if self.is_leaving(&instance.id, instance.incarnation) {
            instance.status = Status::Leaving;
        }
        let same = self
            .records
            .get(&instance.id)
            .is_some_and(|r| r.is_listed() && *r.instance == instance);
        if !same {
            let record = Record {
                listed_at: now,
                removed_at: None,
                departed_at: None,
                instance: Arc::new(instance),
            };
            self.records.insert(record.instance.id.clone(), record);
        }
        !same
    }

    /// Records that an instance is no longer listed.
    pub fn remove(&mut self, now: Time, id: &instance::Id) {
        let reliable = self.unreliable_until.is_none_or(|until| now >= until);
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        if reliable {
            self.withdraw(now, id);
        } else if record.departed_at.is_none() {
            record.removed_at.get_or_insert(now);
        }
    }

    /// Records that the list no longer says what an instance is, although it lists it; unlike a
    /// removal, this is no loss of an outage.
    pub fn withdraw(&mut self, now: Time, id: &instance::Id) {
        if let Some(record) = self.records.get_mut(id) {
            record.mark_departed(now);
            let incarnation = record.instance.incarnation;
            self.departed.insert(id.clone(), (incarnation, now));
        }
    }

    /// Applies a complete list: upserts the listed instances and removes all others.
    pub fn replace(&mut self, now: Time, listed: impl IntoIterator<Item = Instance>) {
        let mut missing: Vec<_> = self.records.keys().cloned().collect();
        for instance in listed {
            missing.retain(|id| *id != instance.id);
            self.upsert(now, instance);
        }
        for id in missing {
            self.remove(now, &id);
        }
    }

    /// Removes instances whose retention has ended, and marks instances as departed that were not
    /// listed again after an outage; returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let is_remembered = |at: Time| now.since(at) < LEAVING_RETENTION;
        self.leaving.retain(|_, (_, at)| is_remembered(*at));
        self.departed.retain(|_, (_, at)| is_remembered(*at));
        let before = self.records.len();
        let is_retained = |at: Time| now.since(at) < DEPARTED_RETENTION;
        self.records
            .retain(|_, record| record.departed_at.is_none_or(is_retained));
        let dropped = self.records.len() < before;
        if self.unreliable_until.is_some_and(|until| now < until) {
            return dropped;
        }
        let mut departed = false;
        for record in self.records.values_mut().filter(|r| r.removed_at.is_some()) {
            record.mark_departed(now);
            let Instance {
                id, incarnation, ..
            } = &*record.instance;
            self.departed.insert(id.clone(), (*incarnation, now));
            departed = true;
        }
        dropped || departed
    }

    /// Returns whether the incarnation of an instance is known to have been replaced by a later
    /// one, to leave or to have left.
    pub fn is_obsolete(&self, instance: &Instance) -> bool {
        let Some(record) = self.records.get(&instance.id) else {
            let departed = self.departed.get(&instance.id);
            return self.is_leaving(&instance.id, instance.incarnation)
                || departed.is_some_and(|(last, _)| instance.incarnation <= *last);
        };
        match instance.incarnation.cmp(&record.instance.incarnation) {
            Ordering::Less => true,
            Ordering::Equal => !record.is_ready(),
            Ordering::Greater => false,
        }
    }

    /// Returns whether an instance is listed.
    pub fn is_listed(&self, id: &instance::Id) -> bool {
        self.records.get(id).is_some_and(Record::is_listed)
    }

    /// Returns the record of the instance with the given id.
    pub fn get(&self, id: &instance::Id) -> Option<&Record> {
        self.records.get(id)
    }

    /// Returns the records of all instances, including unlisted ones that are still retained.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }
}

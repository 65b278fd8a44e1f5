//! The instances that the platform lists.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::{Time, instance};

use crate::instance::{Instance, Status};

/// How long an instance that is no longer listed may go on with its work.
const DEPARTING_TIME: Duration = Duration::from_secs(12);
/// How long instances that a store outage removed from the list may take to come back.
const RETURN_TIME: Duration = Duration::from_millis(2_500);

/// An instance in the register.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The instance as it was last listed.
    pub instance: Arc<Instance>,
    /// When it was listed like that.
    pub listed: Time,
    /// When it was removed from the list during an outage, if it was.
    removed: Option<Time>,
    /// When it was removed from the list for good, if it was.
    departed: Option<Time>,
}

impl Entry {
    /// Whether the instance takes new work.
    pub fn is_ready(&self) -> bool {
        self.instance.status == Status::Ready
    }

    /// Whether it is still listed.
    pub fn is_listed(&self) -> bool {
        self.removed.is_none() && self.departed.is_none()
    }

    /// Whether it was removed from the list for good.
    pub fn has_departed(&self) -> bool {
        self.departed.is_some()
    }

    /// Takes note that it is gone from the list; it may still end its work.
    fn depart(&mut self, now: Time) {
        if self.departed.is_some() {
            return;
        }
        self.departed = Some(now);
        self.removed = None;
        self.instance = Arc::new(Instance {
            status: Status::Leaving,
            ..Instance::clone(&self.instance)
        });
    }

    /// How much longer it stays cold.
    pub fn cold(&self, now: Time) -> Duration {
        self.instance.cold.saturating_sub(now.since(self.listed))
    }
}

/// The instances that the platform lists.
///
/// A removal counts at once while the list is reliable. One that comes with or
/// soon after an outage of the store may be of an instance that lives; it
/// counts only if the instance does not come back. An instance that was removed gets
/// no new work, and is remembered for a while, since some end their work unlisted.
#[derive(Debug, Default)]
pub struct Register {
    entries: BTreeMap<instance::Id, Entry>,
    unreliable_until: Option<Time>,
}

impl Register {
    /// Takes note that the store did not answer; `now` is when that was noticed.
    pub fn outage(&mut self, now: Time) {
        self.unreliable_until = Some(now + RETURN_TIME);
    }

    /// Takes note of a listed instance; whether that changes anything.
    pub fn list(&mut self, now: Time, instance: Instance) -> bool {
        let same = self
            .entries
            .get(&instance.id)
            .is_some_and(|e| e.is_listed() && *e.instance == instance);
        if !same {
            let entry = Entry {
                listed: now,
                removed: None,
                departed: None,
                instance: Arc::new(instance),
            };
            self.entries.insert(entry.instance.id.clone(), entry);
        }
        !same
    }

    /// Takes note that an instance is not listed any more.
    pub fn remove(&mut self, now: Time, id: &instance::Id) {
        let reliable = self.unreliable_until.is_none_or(|until| now >= until);
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if reliable {
            entry.depart(now);
        } else if entry.departed.is_none() {
            entry.removed.get_or_insert(now);
        }
    }

    /// Takes note of the whole list, from which others are missing.
    pub fn replace(&mut self, now: Time, listed: impl IntoIterator<Item = Instance>) {
        let mut missing: Vec<_> = self.entries.keys().cloned().collect();
        for instance in listed {
            missing.retain(|id| *id != instance.id);
            self.list(now, instance);
        }
        for id in missing {
            self.remove(now, &id);
        }
    }

    /// Lets instances depart that have not come back after an outage, and forgets those that
    /// departed long ago; whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let before = self.entries.len();
        let stays = |at: Time| now.since(at) < DEPARTING_TIME;
        self.entries
            .retain(|_, entry| entry.departed.is_none_or(stays));
        let forgotten = self.entries.len() < before;
        if self.unreliable_until.is_some_and(|until| now < until) {
            return forgotten;
        }
        let mut departed = false;
        for entry in self.entries.values_mut().filter(|e| e.removed.is_some()) {
            entry.depart(now);
            departed = true;
        }
        forgotten || departed
    }

    /// The instance of that id.
    pub fn get(&self, id: &instance::Id) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// All instances, also those that may have gone.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }
}

//! What one entry knows of the permits of limited workers.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::{Time, instance};

/// The time since an entry asked for a permit in which the request may be sent.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(250);

/// A permit for one request to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Permit {
    /// The worker.
    pub instance: instance::Id,
    /// Its incarnation.
    pub incarnation: instance::Incarnation,
    /// When it expires.
    pub expires_at: Time,
}

/// Permits whose requests were not sent, and the workers for which this entry waits before it asks
/// for another one.
#[derive(Debug, Default)]
pub struct Permits {
    unused: Vec<Permit>,
    holds: BTreeMap<(instance::Id, instance::Incarnation), Hold>,
}

/// For how long this entry asks for no permit, for requests of a priority and less urgent ones.
#[derive(Debug, Clone, Copy)]
struct Hold {
    priority: u8,
    until: Time,
}

impl Permits {
    /// Takes an unused permit of a worker, if there is one.
    pub fn take(
        &mut self,
        now: Time,
        (id, incarnation): (&instance::Id, instance::Incarnation),
    ) -> Option<Permit> {
        self.unused.retain(|permit| now < permit.expires_at);
        let is_of_worker = |p: &Permit| p.instance == *id && p.incarnation == incarnation;
        let index = self.unused.iter().position(is_of_worker)?;
        Some(self.unused.swap_remove(index))
    }

    /// Returns a permit whose request was not sent.
    pub fn put_back(&mut self, now: Time, permit: Permit) {
        self.unused.retain(|permit| now < permit.expires_at);
        self.unused.push(permit);
    }

    /// Records that no permit of a worker is to be had for a while.
    pub fn record_hold(
        &mut self,
        now: Time,
        (id, incarnation): (&instance::Id, instance::Incarnation),
        priority: u8,
        wait: Duration,
    ) {
        self.holds.retain(|_, hold| now < hold.until);
        let until = now + wait;
        self.holds
            .insert((id.clone(), incarnation), Hold { priority, until });
    }

    /// Returns how long a request of a priority waits before a permit of a worker is asked for, if it
    /// has to.
    pub fn hold(
        &self,
        now: Time,
        (id, incarnation): (&instance::Id, instance::Incarnation),
        priority: u8,
    ) -> Option<Duration> {
        let hold = self.holds.get(&(id.clone(), incarnation))?;
        let applies = hold.priority <= priority && now < hold.until;
        applies.then(|| hold.until.since(now))
    }
}

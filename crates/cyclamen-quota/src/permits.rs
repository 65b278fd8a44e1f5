//! What one entry knows of the permits of limited workers.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::{Time, instance};

/// The time since an entry asked for a permit in which the request may be sent.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(250);

/// The number of holds that are kept for a worker.
const MAX_HOLDS: usize = 64;

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
    /// The holds of each worker, one for each denial, in the order of their ends.
    holds: BTreeMap<(instance::Id, instance::Incarnation), Vec<Hold>>,
}

/// For how long this entry asks for no permit, for requests of a priority and less urgent ones.
///
/// The issuer expects one request for a permit at the end of each hold.
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

    /// Records that this entry asks for a permit of a worker, for a request of a priority; one hold
    /// that is over is used up.
    pub fn record_ask(
        &mut self,
        now: Time,
        (id, incarnation): (&instance::Id, instance::Incarnation),
        priority: u8,
    ) {
        let Some(holds) = self.holds.get_mut(&(id.clone(), incarnation)) else {
            return;
        };
        let is_over = |hold: &Hold| hold.priority <= priority && hold.until <= now;
        if let Some(index) = holds.iter().position(is_over) {
            holds.remove(index);
        }
    }

    /// Records that no permit of a worker is to be had for a while.
    ///
    /// A hold that lasts stays beside the new one: of requests that ask at the same time, each is
    /// told another time, and the permits of the earlier ones would lapse.
    pub fn record_hold(
        &mut self,
        now: Time,
        (id, incarnation): (&instance::Id, instance::Incarnation),
        priority: u8,
        wait: Duration,
    ) {
        self.holds.retain(|_, holds| {
            holds.retain(|hold| now < hold.until);
            !holds.is_empty()
        });
        let until = now + wait;
        let holds = self.holds.entry((id.clone(), incarnation)).or_default();
        let index = holds.partition_point(|hold| hold.until <= until);
        holds.insert(index, Hold { priority, until });
        holds.truncate(MAX_HOLDS);
    }

    /// Returns how long a request of a priority waits before a permit of a worker is asked for, if it
    /// has to.
    pub fn hold(
        &self,
        now: Time,
        (id, incarnation): (&instance::Id, instance::Incarnation),
        priority: u8,
    ) -> Option<Duration> {
        let holds = self.holds.get(&(id.clone(), incarnation))?;
        let first = holds.iter().find(|hold| hold.priority <= priority)?;
        (now < first.until).then(|| first.until.since(now))
    }
}

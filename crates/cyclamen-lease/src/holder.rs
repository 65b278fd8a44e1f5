//! The holder's side of a lease.

use cyclamen_types::Time;

use crate::types::{Options, Renewal};

/// The lease of this entry, as far as the entry can know.
#[derive(Debug)]
pub struct Holder {
    options: Options,
    until: Option<Time>,
    next: Time,
}

impl Holder {
    /// A lease that has not been obtained yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            until: None,
            next: Time::default(),
        }
    }

    /// Whether the lease is held at this moment.
    pub fn holds(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// The renewal to send now, if one is due.
    pub fn renew(&mut self, now: Time) -> Option<Renewal> {
        if now < self.next {
            return None;
        }
        self.next = now + self.options.renew_every;
        Some(Renewal { sent: now })
    }

    /// Takes note that a renewal was written.
    pub fn renewed(&mut self, renewal: Renewal) {
        let until = renewal.sent + self.options.lifetime;
        self.until = Some(self.until.map_or(until, |old| old.max(until)));
    }

    /// Takes note that the row was deleted or replaced by another entry.
    pub fn lost(&mut self) {
        self.until = None;
    }
}

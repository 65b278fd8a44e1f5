//! The holder's side of a lease.

use cyclamen_types::Time;

use crate::types::{Options, Renewal};

/// The lease of this entry, measured by its confirmed renewals only.
#[derive(Debug)]
pub struct Holder {
    options: Options,
    expires_at: Option<Time>,
    next_renewal_at: Time,
}

impl Holder {
    /// Creates a lease that has not been obtained yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            expires_at: None,
            next_renewal_at: Time::default(),
        }
    }

    /// Returns whether the lease is held at `now`.
    pub fn is_held(&self, now: Time) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    /// Returns when the lease expires or has expired, if it was obtained and not lost.
    pub fn expires_at(&self) -> Option<Time> {
        self.expires_at
    }

    /// Starts a renewal, which the caller sends, if one is due.
    pub fn start_renewal(&mut self, now: Time) -> Option<Renewal> {
        if now < self.next_renewal_at {
            return None;
        }
        self.next_renewal_at = now + self.options.renewal_interval;
        Some(Renewal { sent_at: now })
    }

    /// Records that a renewal was written.
    pub fn record_renewal(&mut self, renewal: Renewal) {
        let expires_at = renewal.sent_at + self.options.lifetime;
        self.expires_at = Some(
            self.expires_at
                .map_or(expires_at, |old| old.max(expires_at)),
        );
    }

    /// Discards the lease because its renewals are lost; the next one is due at once.
    pub fn discard(&mut self) {
        *self = Self::new(self.options);
    }

    /// Records that the row was deleted or replaced by another entry.
    pub fn record_loss(&mut self) {
        self.expires_at = None;
    }
}

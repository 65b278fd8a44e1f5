//! Lease options and renewals.

use std::time::Duration;

use cyclamen_types::Time;

/// The durations of a lease.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// How long a renewal is valid for its holder.
    pub lifetime: Duration,
    /// How much longer an observer waits, to allow for clock drift.
    pub margin: Duration,
    /// The interval between renewals.
    pub renewal_interval: Duration,
}

impl Options {
    /// Creates options for a lease of the given lifetime, with a margin of a sixth of it.
    pub fn with_lifetime(lifetime: Duration, renewal_interval: Duration) -> Self {
        Self {
            lifetime,
            margin: lifetime / 6,
            renewal_interval,
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(6),
            margin: Duration::from_secs(1),
            renewal_interval: Duration::from_secs(2),
        }
    }
}

/// A renewal that has been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Renewal {
    /// The time just before the renewal was sent.
    pub sent_at: Time,
}

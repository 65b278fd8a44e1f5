//! Settings of leases and the renewal in progress.

use std::time::Duration;

use cyclamen_types::Time;

/// Durations of a lease.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// How long a renewal lasts for its holder.
    pub lifetime: Duration,
    /// How much longer an observer waits, against drift of the clocks.
    pub margin: Duration,
    /// The time between two renewals.
    pub renew_every: Duration,
}

impl Options {
    /// A lease of that lifetime, for which observers wait a sixth longer.
    pub fn lasting(lifetime: Duration, renew_every: Duration) -> Self {
        Self {
            lifetime,
            margin: lifetime / 6,
            renew_every,
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(6),
            margin: Duration::from_secs(1),
            renew_every: Duration::from_secs(2),
        }
    }
}

/// A renewal that has been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Renewal {
    /// The moment before the renewal was sent.
    pub sent: Time,
}

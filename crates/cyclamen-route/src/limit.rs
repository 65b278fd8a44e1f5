//! Team limits that hold over all entries together.
//!
//! Each live entry has an equal quota, up to rounding, of every team's rate and
//! concurrency; the quotas add up to the contract. A quota that grows takes effect
//! only after the entries that left can no longer use theirs.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_tables::routes::Contract;
use cyclamen_types::{Time, team};

/// The position of this entry among the live entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// The rank of this entry, from zero.
    pub rank: u32,
    /// The number of live entries.
    pub entries: u32,
}

impl Position {
    /// Returns this entry's quota of a limit; the quotas of all ranks add up to the limit.
    pub fn quota(self, limit: u32) -> u32 {
        let entries = u64::from(self.entries.max(1));
        let up_to = |rank: u32| u64::from(limit) * u64::from(rank) / entries;
        let quota = up_to(self.rank + 1) - up_to(self.rank);
        u32::try_from(quota).unwrap_or(u32::MAX)
    }
}

/// The reason for refusing a team's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The rate limit is reached; a retry may succeed after the duration.
    Rate(Duration),
    /// Too many requests are in progress.
    Concurrency,
}

/// Enforces the limits of teams at one entry.
#[derive(Debug)]
pub struct Limiter {
    convergence_delay: Duration,
    position: Position,
    pending: Option<Pending>,
    teams: BTreeMap<team::Name, Usage>,
}

#[derive(Debug)]
struct Pending {
    position: Position,
    effective_at: Time,
}

#[derive(Debug)]
struct Usage {
    /// Level of the token bucket, in billionths of a request.
    nanotokens: u64,
    refilled_at: Time,
    in_progress: u32,
}

/// Billionths in a whole; a rate per second is the same number of billionths per nanosecond.
const BILLIONTHS: u64 = 1_000_000_000;

impl Limiter {
    /// Creates a limiter without any quota. `convergence_delay` is how long an entry that left
    /// may still use its quota.
    pub fn new(convergence_delay: Duration) -> Self {
        Self {
            convergence_delay,
            position: Position {
                rank: 0,
                entries: u32::MAX,
            },
            pending: None,
            teams: BTreeMap::new(),
        }
    }

    /// Sets the position of this entry. The smaller of the old and the new quota applies
    /// until the convergence delay has passed and this method is called again; call it
    /// periodically.
    pub fn set_position(&mut self, now: Time, position: Position) {
        let latest = self.pending.as_ref().map_or(self.position, |p| p.position);
        if position != latest {
            let effective_at = now + self.convergence_delay;
            self.pending = Some(Pending {
                position,
                effective_at,
            });
        }
        if let Some(pending) = self.pending.take_if(|p| now >= p.effective_at) {
            self.position = pending.position;
        }
    }

    fn quota(&self, limit: u32) -> u32 {
        let current = self.position.quota(limit);
        let next = self
            .pending
            .as_ref()
            .map_or(current, |p| p.position.quota(limit));
        current.min(next)
    }

    /// Starts a request of a team, or returns why it is refused.
    pub fn start(
        &mut self,
        now: Time,
        team: &team::Name,
        contract: &Contract,
    ) -> Result<(), Refusal> {
        let rate = u64::from(self.quota(contract.rate));
        let max_in_progress = self.quota(contract.concurrency);
        let usage = self.teams.entry(team.clone()).or_insert(Usage {
            nanotokens: rate * BILLIONTHS,
            refilled_at: now,
            in_progress: 0,
        });
        usage.refill(now, rate);
        if usage.in_progress >= max_in_progress {
            return Err(Refusal::Concurrency);
        }
        if usage.nanotokens < BILLIONTHS {
            let missing = BILLIONTHS - usage.nanotokens;
            // Without a quota, a retry is allowed after one second.
            let wait_ns = if rate == 0 {
                BILLIONTHS
            } else {
                missing.div_ceil(rate)
            };
            return Err(Refusal::Rate(Duration::from_nanos(wait_ns)));
        }
        usage.nanotokens -= BILLIONTHS;
        usage.in_progress += 1;
        Ok(())
    }

    /// Records that a request of a team ended.
    pub fn end(&mut self, team: &team::Name) {
        if let Some(usage) = self.teams.get_mut(team) {
            usage.in_progress = usage.in_progress.saturating_sub(1);
        }
    }
}

impl Usage {
    fn refill(&mut self, now: Time, rate: u64) {
        let nanos = u64::try_from(now.since(self.refilled_at).as_nanos()).unwrap_or(u64::MAX);
        let capacity = rate * BILLIONTHS;
        self.nanotokens = self
            .nanotokens
            .saturating_add(nanos.saturating_mul(rate))
            .min(capacity);
        self.refilled_at = now;
    }
}

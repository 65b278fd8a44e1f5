//! Limits of teams that hold over all entries together.
//!
//! Each entry has a fixed part of every team's rate and concurrency; the
//! parts of all live entries add up to the contract. A part that grows is
//! used only after the entries that are gone can no longer use theirs.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_tables::routes::Contract;
use cyclamen_types::{Time, team};

/// This entry's place among the live entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// The rank of this entry, from zero.
    pub rank: u32,
    /// How many entries there are.
    pub of: u32,
}

impl Place {
    /// This entry's part of a limit; the parts of all ranks add up to it.
    pub fn part(self, limit: u32) -> u32 {
        let of = u64::from(self.of.max(1));
        let up_to = |rank: u32| u64::from(limit) * u64::from(rank) / of;
        let part = up_to(self.rank + 1) - up_to(self.rank);
        u32::try_from(part).unwrap_or(u32::MAX)
    }
}

/// Why a team's request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The rate is used up; the duration says when to come back.
    Rate(Duration),
    /// Too many requests are in progress.
    Concurrency,
}

/// The limits of teams at one entry.
#[derive(Debug)]
pub struct Limiter {
    settle: Duration,
    place: Place,
    pending: Option<Pending>,
    teams: BTreeMap<team::Name, Usage>,
}

#[derive(Debug)]
struct Pending {
    place: Place,
    from: Time,
}

#[derive(Debug)]
struct Usage {
    /// Requests that may start now, in thousandths.
    tokens: u64,
    refilled: Time,
    running: u32,
}

const THOUSANDTHS: u64 = 1_000;

impl Limiter {
    /// A limiter without any part; `settle` is the time that gone entries may still work.
    pub fn new(settle: Duration) -> Self {
        Self {
            settle,
            place: Place {
                rank: 0,
                of: u32::MAX,
            },
            pending: None,
            teams: BTreeMap::new(),
        }
    }

    /// Takes note of the live entries. The smaller of old and new parts holds until it settles.
    pub fn arrange(&mut self, now: Time, place: Place) {
        let latest = self.pending.as_ref().map_or(self.place, |p| p.place);
        if place != latest {
            let from = now + self.settle;
            self.pending = Some(Pending { place, from });
        }
        if let Some(pending) = self.pending.take_if(|p| now >= p.from) {
            self.place = pending.place;
        }
    }

    fn part(&self, limit: u32) -> u32 {
        let now = self.place.part(limit);
        let next = self.pending.as_ref().map_or(now, |p| p.place.part(limit));
        now.min(next)
    }

    /// Starts a request of a team, or says why not.
    pub fn start(
        &mut self,
        now: Time,
        team: &team::Name,
        contract: &Contract,
    ) -> Result<(), Refusal> {
        let rate = u64::from(self.part(contract.rate));
        let most = self.part(contract.concurrency);
        let usage = self.teams.entry(team.clone()).or_insert(Usage {
            tokens: rate * THOUSANDTHS,
            refilled: now,
            running: 0,
        });
        usage.refill(now, rate);
        if usage.running >= most {
            return Err(Refusal::Concurrency);
        }
        if usage.tokens < THOUSANDTHS {
            let missing = THOUSANDTHS - usage.tokens;
            let wait = if rate == 0 {
                THOUSANDTHS
            } else {
                missing.div_ceil(rate)
            };
            return Err(Refusal::Rate(Duration::from_millis(wait)));
        }
        usage.tokens -= THOUSANDTHS;
        usage.running += 1;
        Ok(())
    }

    /// Takes note that a request of a team ended.
    pub fn end(&mut self, team: &team::Name) {
        if let Some(usage) = self.teams.get_mut(team) {
            usage.running = usage.running.saturating_sub(1);
        }
    }
}

impl Usage {
    fn refill(&mut self, now: Time, rate: u64) {
        let millis = u64::try_from(now.since(self.refilled).as_millis()).unwrap_or(u64::MAX);
        let full = rate * THOUSANDTHS;
        self.tokens = self
            .tokens
            .saturating_add(millis.saturating_mul(rate))
            .min(full);
        self.refilled = now;
    }
}

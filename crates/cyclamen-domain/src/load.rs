//! The work in progress on one replica group, and how much more it bears.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_tables::pools::Limits;
use cyclamen_types::{Time, group};

use crate::row::Owner;

/// The work in progress on one replica group.
#[derive(Debug)]
pub(crate) struct Load {
    pub(crate) tickets: BTreeMap<group::Ticket, Issued>,
    fence: group::Fence,
    start_within: Duration,
    stage: Stage,
    running: Running,
}

/// A ticket that has not been given back.
#[derive(Debug)]
pub(crate) struct Issued {
    pub(crate) at: Time,
    pub(crate) holder: Owner,
    pub(crate) suspect: bool,
}

/// How warm the group is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// No work before a report that was asked for after this moment.
    Unknown(Time),
    /// Cold; a report asked for after this moment may say otherwise.
    Cold(Time),
    /// Warm since this moment; the limit still doubles.
    Warm(Time),
}

/// The requests in progress by the worker's own report.
#[derive(Debug, Clone, Copy, Default)]
struct Running {
    asked: Time,
    count: u32,
}

impl Load {
    /// The load of a group that nothing is known of before `from`.
    pub(crate) fn unknown(from: Time, fence: group::Fence, start_within: Duration) -> Self {
        Self {
            tickets: BTreeMap::new(),
            fence,
            start_within,
            stage: Stage::Unknown(from),
            running: Running::default(),
        }
    }

    /// Begins a cold start if the group has a new membership.
    pub(crate) fn refence(&mut self, now: Time, fence: group::Fence) {
        if fence != self.fence {
            self.fence = fence;
            self.stage = Stage::Unknown(now);
        }
    }

    /// Begins a cold start.
    pub(crate) fn chill(&mut self, now: Time) {
        self.stage = Stage::Cold(now);
    }

    /// Begins a cold start of a group that serves again, as after the return of its zone.
    pub(crate) fn chill_if_known(&mut self, now: Time) {
        if !matches!(self.stage, Stage::Unknown(_)) {
            self.chill(now);
        }
    }

    /// Takes note of what the group's first member reported.
    pub(crate) fn report(&mut self, asked: Time, cold: bool, running: u32) {
        self.running = Running {
            asked,
            count: running,
        };
        self.stage = match self.stage {
            Stage::Unknown(from) | Stage::Cold(from) if asked < from => self.stage,
            Stage::Warm(since) if !cold => Stage::Warm(since),
            _ if cold => Stage::Cold(asked),
            _ => Stage::Warm(asked),
        };
    }

    /// Requests in progress, counting those of earlier owners.
    pub(crate) fn in_progress(&self) -> u32 {
        let issued = count(self.tickets.len());
        let later = self.tickets.values().filter(|t| t.at >= self.running.asked);
        issued.max(self.running.count.saturating_add(count(later.count())))
    }

    /// How many requests the group bears at this moment.
    pub(crate) fn limit(&self, now: Time, limits: &Limits) -> u32 {
        match self.stage {
            Stage::Unknown(_) => 0,
            Stage::Cold(_) => limits.cold,
            Stage::Warm(since) => ramped(limits, now.since(since)),
        }
    }

    /// How many more requests the group bears at this moment.
    pub(crate) fn free(&self, now: Time, limits: &Limits) -> u32 {
        let in_progress = match self.stage {
            Stage::Unknown(_) | Stage::Cold(_) => self.most_in_progress(),
            Stage::Warm(_) => self.in_progress(),
        };
        self.limit(now, limits).saturating_sub(in_progress)
    }

    /// The most requests that can be in progress, for a group that bears no more.
    ///
    /// A ticket issued shortly before the last report may have been used after
    /// it, while what the report counted was another owner's.
    fn most_in_progress(&self) -> u32 {
        let asked = self.running.asked;
        let unseen = self
            .tickets
            .values()
            .filter(|t| t.at + self.start_within >= asked);
        let seen = self.running.count.saturating_add(count(unseen.count()));
        seen.max(count(self.tickets.len()))
    }

    /// Whether a request that is suspected of crashing workers is in progress.
    pub(crate) fn has_suspect(&self) -> bool {
        self.tickets.values().any(|t| t.suspect)
    }
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

fn ramped(limits: &Limits, warm_for: Duration) -> u32 {
    let step = limits.ramp().as_millis().max(1);
    let doublings = u32::try_from(warm_for.as_millis() / step).unwrap_or(u32::MAX);
    let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
    limits.cold.saturating_mul(factor).min(limits.warm)
}

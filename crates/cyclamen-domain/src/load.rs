//! Requests in progress on one replica group, and its admission limit.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_tables::pools::Limits;
use cyclamen_types::{Time, group};

use crate::row::Owner;

/// The requests in progress on one replica group.
#[derive(Debug)]
pub(crate) struct Load {
    pub(crate) tickets: BTreeMap<group::Ticket, IssuedTicket>,
    fence: group::Fence,
    start_within: Duration,
    stage: Stage,
    reported: ReportedLoad,
}

/// An issued ticket that has not been released.
#[derive(Debug)]
pub(crate) struct IssuedTicket {
    pub(crate) at: Time,
    pub(crate) holder: Owner,
    pub(crate) suspect: bool,
}

/// The warm-up stage of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Unknown until a report answers a probe sent at or after this time; the limit is 0.
    Unknown(Time),
    /// Cold; a report that answers a probe sent at or after this time may change the stage.
    Cold(Time),
    /// Warm since this time; the limit doubles every [`Limits::ramp`] up to the warm limit.
    Warm(Time),
}

/// The number of requests in progress that the worker reported.
#[derive(Debug, Clone, Copy, Default)]
struct ReportedLoad {
    probed_at: Time,
    running: u32,
}

impl Load {
    /// Creates the load of a group that is unknown until a probe sent at or after `probe_from`
    /// is answered.
    pub(crate) fn unknown(probe_from: Time, fence: group::Fence, start_within: Duration) -> Self {
        Self {
            tickets: BTreeMap::new(),
            fence,
            start_within,
            stage: Stage::Unknown(probe_from),
            reported: ReportedLoad::default(),
        }
    }

    /// Sets the fencing token; a new token means a new membership, whose stage is unknown.
    pub(crate) fn set_fence(&mut self, now: Time, fence: group::Fence) {
        if fence != self.fence {
            self.fence = fence;
            self.stage = Stage::Unknown(now);
        }
    }

    /// Begins a cold start.
    pub(crate) fn start_cold(&mut self, now: Time) {
        self.stage = Stage::Cold(now);
    }

    /// Begins a cold start of a group that resumes serving, for example after its zone returned.
    ///
    /// A group whose stage is unknown stays at a limit of 0.
    pub(crate) fn start_cold_if_known(&mut self, now: Time) {
        if !matches!(self.stage, Stage::Unknown(_)) {
            self.start_cold(now);
        }
    }

    /// Records a report of the group's head.
    pub(crate) fn record_report(&mut self, probed_at: Time, cold: bool, running: u32) {
        self.reported = ReportedLoad { probed_at, running };
        self.stage = match self.stage {
            Stage::Unknown(from) | Stage::Cold(from) if probed_at < from => self.stage,
            Stage::Warm(since) if !cold => Stage::Warm(since),
            _ if cold => Stage::Cold(probed_at),
            _ => Stage::Warm(probed_at),
        };
    }

    /// Returns the number of requests in progress, including those of former owners.
    pub(crate) fn in_progress(&self) -> u32 {
        let issued = saturating_u32(self.tickets.len());
        let issued_since = self
            .tickets
            .values()
            .filter(|t| t.at >= self.reported.probed_at);
        issued.max(
            self.reported
                .running
                .saturating_add(saturating_u32(issued_since.count())),
        )
    }

    /// Returns whether the group is known to have no request in progress.
    ///
    /// Requests of former owners are known only once the head has reported them.
    pub(crate) fn is_idle(&self) -> bool {
        !matches!(self.stage, Stage::Unknown(_)) && self.in_progress() == 0
    }

    /// Returns the maximum number of requests in progress at this time.
    pub(crate) fn limit(&self, now: Time, limits: &Limits) -> u32 {
        match self.stage {
            Stage::Unknown(_) => 0,
            Stage::Cold(_) => limits.cold,
            Stage::Warm(since) => ramped_limit(limits, now.since(since)),
        }
    }

    /// Returns how many more requests the group can take at this time.
    pub(crate) fn free(&self, now: Time, limits: &Limits) -> u32 {
        let in_progress = match self.stage {
            Stage::Unknown(_) | Stage::Cold(_) => self.max_in_progress(),
            Stage::Warm(_) => self.in_progress(),
        };
        self.limit(now, limits).saturating_sub(in_progress)
    }

    /// Returns an upper bound of the requests in progress, for a group that must not exceed
    /// its limit.
    ///
    /// A ticket issued shortly before the last probe may have been used after
    /// it, and the requests that the report counted may be those of another owner.
    fn max_in_progress(&self) -> u32 {
        let probed_at = self.reported.probed_at;
        let uncounted = self
            .tickets
            .values()
            .filter(|t| t.at + self.start_within >= probed_at);
        let total = self
            .reported
            .running
            .saturating_add(saturating_u32(uncounted.count()));
        total.max(saturating_u32(self.tickets.len()))
    }

    /// Returns whether a request that is suspected of crashing workers is in progress.
    pub(crate) fn has_suspect(&self) -> bool {
        self.tickets.values().any(|t| t.suspect)
    }
}

fn saturating_u32(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

fn ramped_limit(limits: &Limits, warm_for: Duration) -> u32 {
    let step = limits.ramp().as_millis().max(1);
    let doublings = u32::try_from(warm_for.as_millis() / step).unwrap_or(u32::MAX);
    let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
    limits.cold.saturating_mul(factor).min(limits.warm)
}

//! What part of a worker's room a request may use.

use std::time::Duration;

use crate::request::Reason;

/// A worker queues up to its number of slots divided by this.
const QUEUE_DIVISOR: f64 = 4.0;
/// The part of the slots under which requests that can be in time are not refused.
const FREE_OCCUPANCY: f64 = 0.5;
/// The part of the slots that late requests may use.
const LATE_OCCUPANCY: f64 = 0.85;
/// The same for those that were refused before.
const RETURNING_LATE_OCCUPANCY: f64 = 0.9;
/// The part of the accepted wait that late requests may use.
const LATE_WAIT: f64 = 0.5;
/// How much of the reserve a team over its share leaves to the others.
const OVER_SHARE: f64 = 1.0;
/// The part of the reserve that is left to more urgent requests if all others are.
const BEHIND: f64 = 0.75;
/// How much longer a wait is accepted for a request that was refused before.
const RETURNING: f64 = 1.25;

/// Why a request may use a part of the room.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Claim {
    /// It can no longer be in time.
    Late,
    /// Its team has more than its fair share.
    OverShare,
    /// It was refused before, and its goal has passed since.
    ReturningLate,
    /// It was refused before; this share of the demand is more urgent.
    Returning(f64),
    /// It belongs to a kind that is served less than others.
    Full,
    /// This share of the demand is more urgent.
    Behind(f64),
}

/// A worker as it is seen by admission.
#[derive(Debug, Clone, Copy)]
pub(crate) struct View {
    pub(crate) slots: u32,
    pub(crate) running: u32,
    /// The forecast wait with an empty queue.
    pub(crate) idle_wait: Duration,
    /// The forecast wait.
    pub(crate) wait: Duration,
}

/// What part of the room a request may use.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Standing {
    pub(super) claim: Claim,
    /// The shortest goal among the requests that its wait may harm.
    pub(super) goal: Duration,
    pub(super) remaining: Duration,
    pub(super) margin: f64,
    pub(super) reserve: f64,
    /// How many requests this entry may have in progress now that there is little room.
    pub(super) own_slots: f64,
    /// How many it has.
    pub(super) own: f64,
    /// The part of the slots of all workers that is taken, as far as it is known.
    pub(super) pool_occupancy: f64,
    /// The ratio of actual to forecast waits.
    pub(super) error: f64,
    /// The seconds that a request occupies a slot, if they are known.
    pub(super) occupancy: Option<f64>,
}

impl Standing {
    /// Returns whether a worker may get the request.
    pub(crate) fn admits(&self, worker: &View) -> bool {
        if worker.wait.as_secs_f64() * self.error > self.remaining.as_secs_f64() {
            return false;
        }
        let slots = f64::from(worker.slots.max(1));
        let running = f64::from(worker.running);
        let added = worker.wait.saturating_sub(worker.idle_wait);
        let added = added.as_secs_f64() * self.error;
        let limit = self.accepted_wait(worker);
        if let Some(occupancy) = self.late_occupancy() {
            let has_free_slots = running < slots * occupancy && self.pool_occupancy < occupancy;
            return has_free_slots && added <= limit * LATE_WAIT;
        }
        let part = self.part();
        let is_free = running < slots * FREE_OCCUPANCY;
        let kept = (1.0 - part).max(0.0) * self.reserve;
        let places = slots * (1.0 - kept) + self.queue(slots, limit);
        let has_own = self.own == 0.0 || self.own + 1.0 <= self.own_slots * (1.0 - kept);
        has_own && running < places && (is_free || added <= limit * part)
    }

    /// Returns the cost of waiting for a slot, as a multiple of the latency goal.
    pub(crate) fn slot_cost(&self, worker: &View) -> f64 {
        let slots = f64::from(worker.slots.max(1));
        let ahead = (f64::from(worker.running) + 1.0 - slots).max(0.0);
        let wait = self.occupancy.unwrap_or_default() / slots * ahead;
        wait / self.goal.as_secs_f64().max(0.001)
    }

    /// Returns the accepted wait behind other requests, in seconds.
    fn accepted_wait(&self, worker: &View) -> f64 {
        let goal = self.goal.as_secs_f64();
        let idle = worker.idle_wait.as_secs_f64() * self.error;
        (goal - idle).max(goal * self.margin)
    }

    /// Returns how many requests may wait for a slot, so that the last one waits for no longer than
    /// the accepted time.
    fn queue(&self, slots: f64, limit: f64) -> f64 {
        let most = (slots / QUEUE_DIVISOR).max(1.0);
        let turn = self.occupancy.map(|seconds| seconds / slots);
        turn.map_or(most, |turn| (limit / turn.max(1e-6)).clamp(1.0, most))
    }

    /// Returns the part of the slots that a late request may use.
    fn late_occupancy(&self) -> Option<f64> {
        match self.claim {
            Claim::Late => Some(LATE_OCCUPANCY),
            Claim::ReturningLate => Some(RETURNING_LATE_OCCUPANCY),
            _ => None,
        }
    }

    /// Returns the part of the room that the request may use.
    fn part(&self) -> f64 {
        match self.claim {
            Claim::Late | Claim::ReturningLate => 0.0,
            Claim::OverShare => 1.0 - OVER_SHARE,
            Claim::Returning(share) => RETURNING - BEHIND * share.clamp(0.0, 1.0),
            Claim::Full => 1.0,
            Claim::Behind(share) => 1.0 - BEHIND * share.clamp(0.0, 1.0),
        }
    }

    /// Returns the reason if the request is refused for want of room.
    pub(crate) fn reason(&self) -> Reason {
        match self.claim {
            Claim::Late | Claim::ReturningLate => Reason::Late,
            Claim::OverShare => Reason::OverShare,
            Claim::Returning(_) | Claim::Full | Claim::Behind(_) => Reason::Overloaded,
        }
    }
}

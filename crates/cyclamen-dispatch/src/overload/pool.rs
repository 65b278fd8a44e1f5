//! What is known of the demand and the speed of the workers of one service and model.

use std::time::Duration;

use cyclamen_types::Time;

use crate::overload::Options;
use crate::overload::decayed::{Mean, Sum};
use crate::overload::kinds::{Kind, Kinds};
use crate::overload::shares::Shares;
use crate::overload::standing::{Claim, Standing};
use crate::request::{Criteria, Dispatch};

/// How many measurements a mean stands on at least.
const MIN_MEASURED: f64 = 3.0;
/// Measurements are forgotten more slowly than demand.
const MEASURE_WINDOWS: u32 = 5;
/// The bounds of the ratio of actual to forecast waits.
const ERROR_BOUNDS: (f64, f64) = (0.3, 2.0);
/// The recent refusals from which on room is scarce.
const MIN_REFUSED: f64 = 0.5;
/// Of the time that a caller has left, the divisor of what it waits until it returns.
const RETURN_DIVISOR: u32 = 3;
/// How many requests' worth of work a team may exceed its share by.
const TEAM_SLACK_REQUESTS: f64 = 2.0;

/// The part of all slots under which an entry is not kept to its own part of them.
const AMPLE_OCCUPANCY: f64 = 0.97;
/// An entry whose part is fewer slots than this has too few requests for it to be known.
const MIN_ENTRY_SLOTS: f64 = 8.0;
/// The part of an equal share of the slots that an entry may always use.
const MIN_ENTRY_SHARE: f64 = 0.5;

/// The requests in progress on the workers of one service and model.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Load {
    /// The entries whose requests are known, this one included.
    pub(crate) entries: usize,
    pub(crate) slots: f64,
    /// Requests of this entry.
    pub(crate) own: f64,
    /// Requests of all entries, as far as they are known.
    pub(crate) all: f64,
}

/// The recent past of one service and model.
#[derive(Debug, Default)]
pub(super) struct Pool {
    kinds: Kinds,
    teams: Shares,
    refused: Sum,
    /// The part of the requests in progress that is this entry's.
    part: Mean,
    /// The seconds that a request occupies a slot.
    occupancy: Mean,
    /// The ratio of actual to forecast waits.
    error: Mean,
}

impl Pool {
    /// Records a request and returns what part of the room it may use.
    pub(super) fn standing(
        &mut self,
        now: Time,
        options: &Options,
        criteria: &Criteria<'_>,
        load: Load,
        draw: f64,
    ) -> Standing {
        let window = options.window;
        let kind = kind(criteria);
        let allowed = criteria.remaining.saturating_add(criteria.caller.waited);
        let returns = self.kinds.record_asked(now, window, kind, allowed);
        let is_below = self.kinds.is_below(now, window, kind, options.floor);
        let is_over = self.is_over(now, options, criteria);
        let more_urgent = self.kinds.more_urgent_share(now, window, kind);
        let claim = if criteria.late {
            Claim::Late
        } else if is_over {
            Claim::OverShare
        } else if is_below {
            Claim::Full
        } else if returns.is_some_and(|since| since >= kind.goal) {
            Claim::ReturningLate
        } else if returns.is_some() {
            Claim::Returning(more_urgent)
        } else {
            Claim::Behind(more_urgent)
        };
        let goal = match claim {
            Claim::Full => kind.goal,
            _ => self.kinds.shortest_goal(now, window, kind),
        };
        let entry_slots = self.entry_slots(now, window, load);
        let window = window * MEASURE_WINDOWS;
        let error = self.error.value(now, window, MIN_MEASURED);
        Standing {
            claim,
            goal,
            remaining: criteria.remaining,
            margin: options.margin,
            reserve: options.reserve,
            own_slots: entry_slots + draw,
            own: load.own,
            pool_occupancy: load.all / load.slots.max(1.0),
            error: error.map_or(1.0, |e| e.clamp(ERROR_BOUNDS.0, ERROR_BOUNDS.1)),
            occupancy: self.occupancy.value(now, window, MIN_MEASURED),
        }
    }

    /// Returns the part of the slots that this entry may use once there is little room: what other
    /// entries report is old, but what each one has in progress itself it knows exactly.
    fn entry_slots(&mut self, now: Time, window: Duration, load: Load) -> f64 {
        if load.all > 0.0 {
            self.part.add(now, window, load.own / load.all);
        }
        let least = MIN_ENTRY_SHARE / load.entries.max(1) as f64;
        let part = self.part.value(now, window, MIN_MEASURED);
        let own_slots = load.slots * part.unwrap_or(1.0).max(least);
        if load.all < load.slots * AMPLE_OCCUPANCY || own_slots < MIN_ENTRY_SLOTS {
            return load.slots;
        }
        own_slots + 1.0
    }

    fn is_over(&mut self, now: Time, options: &Options, criteria: &Criteria<'_>) -> bool {
        let Some(team) = criteria.caller.team else {
            return false;
        };
        if !self.is_pressed(now, options.window) {
            return false;
        }
        let slack = TEAM_SLACK_REQUESTS * work(criteria) / options.window.as_secs_f64();
        self.teams
            .is_over(now, options.window, team, slack, options.floor)
    }

    /// Records whether a request was admitted.
    pub(super) fn record(
        &mut self,
        now: Time,
        options: &Options,
        criteria: &Criteria<'_>,
        is_admitted: bool,
    ) {
        let window = options.window;
        if is_admitted {
            self.kinds.record_admitted(now, window, kind(criteria));
        } else {
            self.refused.add(now, window, 1.0);
        }
        if let Some(team) = criteria.caller.team {
            self.teams
                .record(now, window, team, work(criteria), is_admitted);
        }
    }

    /// Returns when a refused caller may return: a random time until the callers refused lately
    /// have been served from the room left at the usual demand, the more urgent in the first half.
    pub(super) fn return_after(
        &self,
        now: Time,
        options: &Options,
        criteria: &Criteria<'_>,
        least: Duration,
        draw: f64,
    ) -> Duration {
        let window = options.window;
        let (_, admitted) = self.kinds.totals(now, window);
        let spare = (admitted * options.spare / window.as_secs_f64()).max(0.001);
        let drain = self.refused.value(now, window) / spare;
        let behind = self.kinds.more_urgent_share(now, window, kind(criteria));
        let spread = drain * if behind > 0.0 { 1.0 } else { 0.5 };
        let longest = criteria.remaining / RETURN_DIVISOR;
        let spread = Duration::try_from_secs_f64(spread).unwrap_or(Duration::MAX);
        // Room for all comes later than they wait: the later half of the time is the better one.
        let is_long = spread >= longest;
        let least = if is_long {
            longest / 2
        } else {
            least.min(longest / 2)
        };
        least + spread.min(longest.saturating_sub(least)).mul_f64(draw)
    }

    /// Records a wait for the first part of a response.
    pub(super) fn record_started(&mut self, now: Time, window: Duration, dispatch: &Dispatch) {
        let forecast = dispatch.forecast.as_secs_f64();
        if dispatch.target.forecast.is_some() && forecast > 0.0 {
            let actual = now.since(dispatch.chosen_at).as_secs_f64();
            let ratio = (actual / forecast).min(ERROR_BOUNDS.1);
            self.error.add(now, window * MEASURE_WINDOWS, ratio);
        }
    }

    /// Records the time that a request took.
    pub(super) fn record_complete(&mut self, now: Time, window: Duration, dispatch: &Dispatch) {
        let took = now.since(dispatch.chosen_at).as_secs_f64();
        self.occupancy.add(now, window * MEASURE_WINDOWS, took);
    }

    /// Returns whether requests were refused lately.
    pub(super) fn is_pressed(&self, now: Time, window: Duration) -> bool {
        self.refused.value(now, window) >= MIN_REFUSED
    }

    /// Returns the share of the requests that were lately refused.
    pub(super) fn refused_share(&self, now: Time, window: Duration) -> f64 {
        let (asked, _) = self.kinds.totals(now, window);
        let refused = self.refused.value(now, window);
        if asked > 0.0 { refused / asked } else { 0.0 }
    }

    pub(super) fn teams(&self) -> &Shares {
        &self.teams
    }

    pub(super) fn teams_mut(&mut self) -> &mut Shares {
        &mut self.teams
    }
}

fn kind(criteria: &Criteria<'_>) -> Kind {
    Kind {
        priority: criteria.priority,
        goal: criteria.goal,
        timeout: criteria.caller.timeout,
    }
}

/// Returns the work of a request: tokens of its prompt, or one request.
fn work(criteria: &Criteria<'_>) -> f64 {
    criteria.tokens.max(1) as f64
}

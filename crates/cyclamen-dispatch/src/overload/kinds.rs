//! Demand for a service and model by kind of request.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::Time;

use crate::overload::decayed::Sum;

/// A kind with a smaller share of the demand has no claim on the room of others.
const MIN_SHARE: f64 = 0.02;
/// Requests asked lately from which on a kind can be found to be served too seldom.
const MIN_ASKED: f64 = 3.0;
/// The most kinds that are kept.
const MAX_KINDS: usize = 64;
/// How much shorter the time that a caller gives must be than the longest one lately given, for it
/// to count as refused before.
const RETURN_MARGIN: Duration = Duration::from_millis(100);

/// Requests of the same priority, goal and timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Kind {
    /// The priority; zero is the most urgent.
    pub(crate) priority: u8,
    /// The latency goal.
    pub(crate) goal: Duration,
    /// The longest time that the route lets a request take.
    pub(crate) timeout: Duration,
}

#[derive(Debug, Default)]
struct Demand {
    asked: Sum,
    admitted: Sum,
    /// The longest time that callers gave.
    longest: Duration,
}

/// The recent demand of each kind.
#[derive(Debug, Default)]
pub(crate) struct Kinds(BTreeMap<Kind, Demand>);

impl Kinds {
    /// Records a request, and returns how long ago its caller seems to have been refused before, if it
    /// has: by so much less time than others of the same kind it gives.
    pub(crate) fn record_asked(
        &mut self,
        now: Time,
        window: Duration,
        kind: Kind,
        allowed: Duration,
    ) -> Option<Duration> {
        if self.0.len() >= MAX_KINDS {
            self.0
                .retain(|_, demand| demand.asked.value(now, window) >= MIN_SHARE);
        }
        let demand = self.0.entry(kind).or_default();
        if demand.asked.value(now, window) < MIN_SHARE {
            demand.longest = Duration::ZERO;
        }
        demand.asked.add(now, window, 1.0);
        let since = demand.longest.saturating_sub(allowed);
        demand.longest = demand.longest.max(allowed);
        (since > RETURN_MARGIN).then_some(since)
    }

    pub(crate) fn record_admitted(&mut self, now: Time, window: Duration, kind: Kind) {
        if let Some(demand) = self.0.get_mut(&kind) {
            demand.admitted.add(now, window, 1.0);
        }
    }

    /// Returns the requests lately asked and admitted of all kinds.
    pub(crate) fn totals(&self, now: Time, window: Duration) -> (f64, f64) {
        let sums = self.0.values().map(|demand| {
            let asked = demand.asked.value(now, window);
            (asked, demand.admitted.value(now, window))
        });
        sums.fold((0.0, 0.0), |(asked, admitted), (a, b)| {
            (asked + a, admitted + b)
        })
    }

    /// Returns the share of the demand that is more urgent than a kind.
    pub(crate) fn more_urgent_share(&self, now: Time, window: Duration, kind: Kind) -> f64 {
        let (all, _) = self.totals(now, window);
        let more_urgent = self.0.iter().filter(|(k, _)| k.priority < kind.priority);
        let asked: f64 = more_urgent.map(|(_, d)| d.asked.value(now, window)).sum();
        if all > 0.0 { asked / all } else { 0.0 }
    }

    /// Returns the shortest goal among a kind and those present that are as urgent or more.
    pub(crate) fn shortest_goal(&self, now: Time, window: Duration, kind: Kind) -> Duration {
        let (all, _) = self.totals(now, window);
        let present = self.0.iter().filter(|(k, demand)| {
            k.priority <= kind.priority && demand.asked.value(now, window) >= all * MIN_SHARE
        });
        let goals = present.map(|(k, _)| k.goal);
        goals.fold(kind.goal, Duration::min)
    }

    /// Returns whether a kind is served less than `floor` times as often as all.
    pub(crate) fn is_below(&self, now: Time, window: Duration, kind: Kind, floor: f64) -> bool {
        let Some(demand) = self.0.get(&kind) else {
            return false;
        };
        let (all, all_admitted) = self.totals(now, window);
        let asked = demand.asked.value(now, window);
        asked >= MIN_ASKED
            && demand.admitted.value(now, window) * all < floor * all_admitted * asked
    }
}

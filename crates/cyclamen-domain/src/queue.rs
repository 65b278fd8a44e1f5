//! Requests that wait for a place, shared fairly between teams.

use std::collections::BTreeMap;
use std::fmt;

use cyclamen_tables::routes::Priority;
use cyclamen_types::team;

use crate::admission::Request;

/// The virtual cost of one request of a team with share 1.
const UNIT: u64 = 1 << 20;

/// One waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueId(pub u64);

impl fmt::Display for QueueId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The waiting requests, by priority and then by start-time fair queueing.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    clock: u64,
    finish: BTreeMap<team::Name, u64>,
    waiting: BTreeMap<Place, Request>,
    next: u64,
}

/// The order of service: the higher priority, then the lower tag, then the first to come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    priority: std::cmp::Reverse<Priority>,
    tag: u64,
    id: QueueId,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Requests that would be served before a new one of the same kind.
    pub(crate) fn ahead(&self, ask: &Request) -> usize {
        let place = self.place(ask);
        self.waiting
            .range(..place)
            .filter(|(_, w)| w.pool == ask.pool)
            .count()
    }

    fn place(&self, ask: &Request) -> Place {
        let begin = self
            .finish
            .get(&ask.team)
            .copied()
            .unwrap_or(0)
            .max(self.clock);
        Place {
            priority: std::cmp::Reverse(ask.priority),
            tag: begin + UNIT / u64::from(ask.share.max(1)),
            id: QueueId(self.next),
        }
    }

    pub(crate) fn push(&mut self, ask: Request) -> QueueId {
        let place = self.place(&ask);
        self.next += 1;
        self.finish.insert(ask.team.clone(), place.tag);
        self.waiting.insert(place, ask);
        place.id
    }

    pub(crate) fn retain(&mut self, keep: impl Fn(&Request) -> bool) {
        self.waiting.retain(|_, ask| keep(ask));
        self.forget_idle_teams();
    }

    /// Removes and returns the requests for which `take` decides something.
    pub(crate) fn drain<T>(
        &mut self,
        mut take: impl FnMut(&Request) -> Option<T>,
    ) -> Vec<(QueueId, T)> {
        let mut taken = Vec::new();
        let mut clock = self.clock;
        self.waiting.retain(|place, ask| match take(ask) {
            Some(decision) => {
                clock = clock.max(place.tag.saturating_sub(UNIT / u64::from(ask.share.max(1))));
                taken.push((place.id, decision));
                false
            }
            None => true,
        });
        self.clock = clock;
        self.forget_idle_teams();
        taken
    }

    fn forget_idle_teams(&mut self) {
        let clock = self.clock;
        self.finish.retain(|_, finish| *finish > clock);
    }
}

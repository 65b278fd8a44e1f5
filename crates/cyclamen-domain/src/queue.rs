//! Queue of requests that wait for a slot, shared fairly between teams.

use std::collections::BTreeMap;
use std::fmt;

use cyclamen_tables::routes::Priority;
use cyclamen_types::team;

use crate::admission::Request;

/// The virtual cost of one request of a team with share 1.
const UNIT_COST: u64 = 1 << 20;

/// Identifies one queued request of a domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueId(pub u64);

impl fmt::Display for QueueId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The queued requests, ordered by priority and then by start-time fair queueing.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    virtual_time: u64,
    finish_tags: BTreeMap<team::Name, u64>,
    requests: BTreeMap<Position, Request>,
    next_id: u64,
}

/// The order of service: higher priority first, then the lower tag, then arrival order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    priority: std::cmp::Reverse<Priority>,
    tag: u64,
    id: QueueId,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns how many queued requests for the same pool would be served before `request`.
    pub(crate) fn count_ahead(&self, request: &Request) -> usize {
        let position = self.position(request);
        self.requests
            .range(..position)
            .filter(|(_, queued)| queued.pool == request.pool)
            .count()
    }

    fn position(&self, request: &Request) -> Position {
        let start_tag = self
            .finish_tags
            .get(&request.team)
            .copied()
            .unwrap_or(0)
            .max(self.virtual_time);
        Position {
            priority: std::cmp::Reverse(request.priority),
            tag: start_tag + UNIT_COST / u64::from(request.share.max(1)),
            id: QueueId(self.next_id),
        }
    }

    pub(crate) fn push(&mut self, request: Request) -> QueueId {
        let position = self.position(&request);
        self.next_id += 1;
        self.finish_tags.insert(request.team.clone(), position.tag);
        self.requests.insert(position, request);
        position.id
    }

    pub(crate) fn retain(&mut self, keep: impl Fn(&Request) -> bool) {
        self.requests.retain(|_, request| keep(request));
        self.remove_idle_teams();
    }

    /// Removes the requests for which `decide` returns a decision, and returns the decisions.
    pub(crate) fn drain<T>(
        &mut self,
        mut decide: impl FnMut(&Request) -> Option<T>,
    ) -> Vec<(QueueId, T)> {
        let mut drained = Vec::new();
        let mut virtual_time = self.virtual_time;
        self.requests
            .retain(|position, request| match decide(request) {
                Some(decision) => {
                    virtual_time = virtual_time.max(
                        position
                            .tag
                            .saturating_sub(UNIT_COST / u64::from(request.share.max(1))),
                    );
                    drained.push((position.id, decision));
                    false
                }
                None => true,
            });
        self.virtual_time = virtual_time;
        self.remove_idle_teams();
        drained
    }

    fn remove_idle_teams(&mut self) {
        let virtual_time = self.virtual_time;
        self.finish_tags.retain(|_, finish| *finish > virtual_time);
    }
}

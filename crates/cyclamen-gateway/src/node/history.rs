//! When a table was known up to which revision.

use std::collections::VecDeque;
use std::time::Duration;

use cyclamen_cache::Revision;
use cyclamen_types::Time;

/// Revisions whose times are kept.
const LIMIT: usize = 64;

/// When each revision of a table was reached, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct Reached(VecDeque<(Time, Revision)>);

impl Reached {
    /// Takes note that a table is known up to a revision.
    pub(crate) fn note(&mut self, now: Time, revision: Revision) {
        if self.0.back().is_some_and(|(_, last)| *last >= revision) {
            return;
        }
        self.0.push_back((now, revision));
        while self.0.len() > LIMIT {
            self.0.pop_front();
        }
    }

    /// The revision that has been known for a time; the lowest one without any.
    pub(crate) fn known_for(&self, now: Time, time: Duration) -> Revision {
        let mut newest_first = self.0.iter().rev();
        let old = newest_first.find(|(at, _)| now.since(*at) >= time);
        old.map(|(_, revision)| *revision).unwrap_or_default()
    }
}

//! The times at which a table reached its recent revisions.

use std::collections::VecDeque;
use std::time::Duration;

use cyclamen_cache::Revision;
use cyclamen_types::Time;

/// The number of revisions whose times are retained.
const MAX_REVISIONS: usize = 64;

/// The time at which each recent revision of a table was reached, oldest first.
#[derive(Debug, Default)]
pub(crate) struct History(VecDeque<(Time, Revision)>);

impl History {
    /// Records that the table is complete up to a revision.
    pub(crate) fn record(&mut self, now: Time, revision: Revision) {
        if self.0.back().is_some_and(|(_, last)| *last >= revision) {
            return;
        }
        self.0.push_back((now, revision));
        while self.0.len() > MAX_REVISIONS {
            self.0.pop_front();
        }
    }

    /// Returns the newest revision that was reached at least `age` ago, or the lowest revision
    /// if there is none.
    pub(crate) fn reached_before(&self, now: Time, age: Duration) -> Revision {
        let mut newest_first = self.0.iter().rev();
        let old = newest_first.find(|(at, _)| now.since(*at) >= age);
        old.map(|(_, revision)| *revision).unwrap_or_default()
    }
}

//! Per-entry rate limit for requests to a cold worker.

use std::collections::VecDeque;
use std::time::Duration;

use cyclamen_types::Time;

/// The span in which requests to a cold worker are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// The position of this entry among the entries that divide a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Zero-based position in the order of the entries.
    pub rank: usize,
    /// Number of entries.
    pub entries: usize,
}

impl Position {
    /// Returns this entry's quota of `total`, with the order of the entries rotated by `offset`.
    ///
    /// The quotas of all entries add up to at most `total`.
    pub fn quota(self, total: usize, offset: usize) -> usize {
        let entries = self.entries.max(1);
        let rotated_rank = (self.rank + offset) % entries;
        total / entries + usize::from(rotated_rank < total % entries)
    }
}

/// Sliding-window limit on the requests that this entry sends to a cold worker in one second.
#[derive(Debug, Default)]
pub struct Limiter {
    sent: VecDeque<Time>,
}

impl Limiter {
    /// Returns whether one more request may be sent under a quota of `quota` per second.
    ///
    /// The quota is fixed, so an entry that receives no load reports from other entries stays
    /// within it as well.
    pub fn allows(&mut self, now: Time, quota: usize) -> bool {
        while self.sent.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.sent.pop_front();
        }
        self.sent.len() < quota
    }

    /// Records a request that is sent.
    pub fn record_request(&mut self, now: Time) {
        self.sent.push_back(now);
    }
}

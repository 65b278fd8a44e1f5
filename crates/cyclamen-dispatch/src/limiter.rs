//! This entry's part of the work that a cold worker bears.

use std::collections::VecDeque;
use std::time::Duration;

use cyclamen_types::Time;

/// The span in which requests to a cold worker are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// This entry's place among those that share what is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Its place in their order, from zero.
    pub rank: usize,
    /// How many there are.
    pub of: usize,
}

impl Share {
    /// How many of `total` things are this entry's, where the order of the entries is
    /// turned by `turn`; the parts of all entries add up to `total` at most.
    pub fn part(self, total: usize, turn: usize) -> usize {
        let of = self.of.max(1);
        let place = (self.rank + turn) % of;
        total / of + usize::from(place < total % of)
    }
}

/// Requests that this entry has sent to a cold worker within a second.
#[derive(Debug, Default)]
pub struct Allowance {
    sent: VecDeque<Time>,
}

impl Allowance {
    /// Whether one more may be sent, where this entry's part in a second is `part`.
    ///
    /// The part is fixed, so that an entry which hears of no other keeps to it as well.
    pub fn allows(&mut self, now: Time, part: usize) -> bool {
        while self.sent.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.sent.pop_front();
        }
        self.sent.len() < part
    }

    /// Takes note of a request that is sent.
    pub fn spend(&mut self, now: Time) {
        self.sent.push_back(now);
    }
}

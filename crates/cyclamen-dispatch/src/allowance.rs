//! This entry's part of the work that a cold worker bears.

use std::collections::VecDeque;
use std::time::Duration;

use cyclamen_types::Time;

/// The span in which requests to a cold worker are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Requests that this entry has sent to a cold worker within a second.
#[derive(Debug, Default)]
pub struct Allowance {
    sent: VecDeque<Time>,
}

impl Allowance {
    /// Whether one more may be sent, where all entries may send `per_second` together.
    ///
    /// Each of the entries has a fixed part, so that one which hears of no other
    /// keeps to it as well.
    pub fn allows(&mut self, now: Time, per_second: f64, entries: usize) -> bool {
        while self.sent.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.sent.pop_front();
        }
        let part = (per_second / entries.max(1) as f64).floor().max(1.0);
        (self.sent.len() as f64) < part
    }

    /// Takes note of a request that is sent.
    pub fn spend(&mut self, now: Time) {
        self.sent.push_back(now);
    }
}

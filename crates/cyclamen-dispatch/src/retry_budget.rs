//! Per-entry retry budget of a service.

use std::collections::VecDeque;
use std::time::Duration;

use cyclamen_types::Time;

/// One entry's part of the retry budget of a service.
///
/// In each window an entry may retry a fraction of its own first attempts, plus
/// its share of a fixed reserve that is divided among all entries.
#[derive(Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    reserve: f64,
    first_attempts: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per first attempt in a window, plus a reserve of
    /// `reserve` retries for all entries together.
    pub fn new(window: Duration, ratio: f64, reserve: f64) -> Self {
        Self {
            window,
            ratio,
            reserve,
            first_attempts: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self, now: Time) {
        self.first_attempts.push_back(now);
        self.expire(now);
    }

    /// Spends one retry and returns true if the budget, with the reserve divided among
    /// `entries` entries, has one left.
    pub fn try_spend(&mut self, now: Time, entries: usize) -> bool {
        self.expire(now);
        let enough = (self.retries.len() as f64) + 1.0 <= self.limit(entries);
        if enough {
            self.retries.push_back(now);
        }
        enough
    }

    /// Puts back a retry that was spent a moment ago and not used.
    pub fn put_back(&mut self) {
        self.retries.pop_back();
    }

    /// Returns the number of retries left as of the last update.
    pub fn remaining(&self, entries: usize) -> f64 {
        (self.limit(entries) - self.retries.len() as f64).max(0.0)
    }

    fn limit(&self, entries: usize) -> f64 {
        self.ratio * self.first_attempts.len() as f64 + self.reserve / entries.max(1) as f64
    }

    fn expire(&mut self, now: Time) {
        let window = self.window;
        for times in [&mut self.first_attempts, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) >= window) {
                times.pop_front();
            }
        }
    }
}

//! The part of an entry in the retries that a service may get.

use std::collections::VecDeque;
use std::time::Duration;

use cyclamen_types::Time;

/// The retry budget of one service, as one of several entries spends it.
///
/// In each window an entry may send a fraction of its own first attempts again,
/// and its part of a fixed number that all entries share.
#[derive(Debug)]
pub struct Retries {
    window: Duration,
    ratio: f64,
    reserve: f64,
    firsts: VecDeque<Time>,
    spent: VecDeque<Time>,
}

impl Retries {
    /// A budget of `ratio` times the first attempts in a window, and of `reserve` beside that.
    pub fn new(window: Duration, ratio: f64, reserve: f64) -> Self {
        Self {
            window,
            ratio,
            reserve,
            firsts: VecDeque::new(),
            spent: VecDeque::new(),
        }
    }

    /// Takes note of a first attempt.
    pub fn earn(&mut self, now: Time) {
        self.firsts.push_back(now);
        self.expire(now);
    }

    /// Spends one retry, if there is one left for each of `entries` entries.
    pub fn spend(&mut self, now: Time, entries: usize) -> bool {
        self.expire(now);
        let enough = (self.spent.len() as f64) + 1.0 <= self.limit(entries);
        if enough {
            self.spent.push_back(now);
        }
        enough
    }

    /// Retries left at this moment.
    pub fn left(&self, entries: usize) -> f64 {
        (self.limit(entries) - self.spent.len() as f64).max(0.0)
    }

    fn limit(&self, entries: usize) -> f64 {
        self.ratio * self.firsts.len() as f64 + self.reserve / entries.max(1) as f64
    }

    fn expire(&mut self, now: Time) {
        let window = self.window;
        for times in [&mut self.firsts, &mut self.spent] {
            while times.front().is_some_and(|at| now.since(*at) >= window) {
                times.pop_front();
            }
        }
    }
}

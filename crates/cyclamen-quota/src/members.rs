//! The number of entries that divide a limit into equal parts.

use std::collections::VecDeque;
use std::time::Duration;

use cyclamen_types::Time;

/// The numbers of entries of late.
///
/// An entry that has left may have used its part up to the moment at which it left, so its part counts
/// for as long as the limit looks back.
#[derive(Debug)]
pub struct Members {
    window: Duration,
    /// The times from which on a number of entries was known, in order.
    counts: VecDeque<(Time, usize)>,
}

impl Members {
    /// Creates a count for limits that look back so far; no entries are known.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            counts: VecDeque::new(),
        }
    }

    /// Records the number of entries, this one included, as read from the store.
    pub fn record(&mut self, now: Time, count: usize) {
        let is_known = self.counts.back().is_some_and(|(_, last)| *last == count);
        if !is_known {
            self.counts.push_back((now, count));
        }
    }

    /// Returns the number of parts into which a limit is divided: the largest number of entries in the
    /// window. While none is known, this entry has no part.
    pub fn parts(&mut self, now: Time) -> Option<usize> {
        // A count is in force until the next one is known.
        while self
            .counts
            .get(1)
            .is_some_and(|(next, _)| now.since(*next) >= self.window)
        {
            self.counts.pop_front();
        }
        self.counts.iter().map(|(_, count)| *count).max()
    }
}

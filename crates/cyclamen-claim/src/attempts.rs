//! The progress of an entry's own attempts.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::Time;

use crate::record::Attempt;

/// The progress of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The claim is being written; the call has not been sent.
    Claiming,
    /// The call may have been sent.
    Sent,
    /// The call was not sent and never will be.
    Abandoned,
    /// There is no record of the attempt.
    Unknown,
}

/// A claimant's response to a query for the progress of one of its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// The attempt.
    pub attempt: Attempt,
    /// Its progress.
    pub progress: Progress,
}

/// The progress of an entry's own attempts, kept in memory.
#[derive(Debug)]
pub struct Attempts {
    retention: Duration,
    attempts: BTreeMap<Attempt, Tracked>,
}

#[derive(Debug)]
struct Tracked {
    progress: Progress,
    updated_at: Time,
}

impl Attempts {
    /// Creates an empty set of attempts, which keeps each for `retention` after its last change.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            attempts: BTreeMap::new(),
        }
    }

    /// Records a new attempt, before its claim is written, and removes expired attempts.
    pub fn begin(&mut self, now: Time, attempt: Attempt) {
        let retention = self.retention;
        self.attempts
            .retain(|_, tracked| now.since(tracked.updated_at) <= retention);
        self.set(now, attempt, Progress::Claiming);
    }

    /// Returns whether the call may be sent and, if so, marks the attempt as sent.
    pub fn mark_sent(&mut self, now: Time, attempt: Attempt) -> bool {
        let allowed = self.progress(attempt) == Progress::Claiming;
        if allowed {
            self.set(now, attempt, Progress::Sent);
        }
        allowed
    }

    /// Abandons an attempt that has not been sent; returns whether it is abandoned now.
    pub fn abandon(&mut self, now: Time, attempt: Attempt) -> bool {
        let allowed = matches!(
            self.progress(attempt),
            Progress::Claiming | Progress::Abandoned
        );
        if allowed {
            self.set(now, attempt, Progress::Abandoned);
        }
        allowed
    }

    /// Resets a sent attempt to [`Progress::Claiming`] after the endpoint reported that the call
    /// did not run.
    ///
    /// The claim is still held, and the call may be sent again.
    pub fn reset(&mut self, now: Time, attempt: Attempt) {
        if self.progress(attempt) == Progress::Sent {
            self.set(now, attempt, Progress::Claiming);
        }
    }

    /// Returns the progress of an attempt.
    pub fn progress(&self, attempt: Attempt) -> Progress {
        self.attempts
            .get(&attempt)
            .map_or(Progress::Unknown, |tracked| tracked.progress)
    }

    fn set(&mut self, now: Time, attempt: Attempt, progress: Progress) {
        self.attempts.insert(
            attempt,
            Tracked {
                progress,
                updated_at: now,
            },
        );
    }
}

//! How long calls for the changes of a table may take.

use std::time::Duration;

use cyclamen_types::Time;

/// The part of the time within which a change has to be known that is left for the retry of a call
/// that was not answered.
const RETRY_MARGIN: Duration = Duration::from_millis(300);
/// The time after the hold of a poll within which its answer is awaited.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// The shortest hold of a poll after one that was answered.
const MIN_HOLD: Duration = Duration::from_millis(200);

/// The duration of a call for the changes of a table.
///
/// A call that the store holds open cannot be told from one that it will never answer. So no call
/// takes longer than a change may remain unknown. After a failure the store is asked to answer at
/// once, and a slow one has the whole time to do so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Poll {
    /// How long the store may hold the call open until there are changes.
    pub hold: Duration,
    /// The time after which the call is given up, including the hold.
    pub timeout: Duration,
}

impl Poll {
    /// Returns the time at which what the response to this poll tells was complete, as far as that is
    /// certain.
    ///
    /// A poll without changes was held open to the end. One with changes was answered at any moment
    /// since the call: its response may have been on the way, or unread, for the rest of the time.
    pub fn complete_at(&self, called_at: Time, now: Time, has_changes: bool) -> Time {
        if has_changes {
            called_at
        } else {
            (called_at + self.hold).min(now)
        }
    }
}

/// The options from which polls of a table are derived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The time within which a change has to be known while the store can be reached.
    pub freshness: Duration,
    /// The longest hold.
    pub max_hold: Duration,
    /// The timeout of a call that is not held.
    pub timeout: Duration,
}

impl Options {
    /// Returns the shortest freshness that these options can keep.
    pub fn min_freshness(timeout: Duration) -> Duration {
        timeout.max(MIN_HOLD + ANSWER_TIME) + RETRY_MARGIN
    }

    /// Returns the next poll after one that was answered `age` ago.
    pub fn next(&self, age: Duration) -> Poll {
        let timeout = self.timeout_at(age);
        Poll {
            hold: self.max_hold.min(timeout - ANSWER_TIME),
            timeout,
        }
    }

    /// Returns the next poll after one that was not answered.
    pub fn retry(&self) -> Poll {
        Poll {
            hold: Duration::ZERO,
            timeout: self.timeout_at(Duration::ZERO),
        }
    }

    fn timeout_at(&self, age: Duration) -> Duration {
        let timeout = self.freshness.saturating_sub(age + RETRY_MARGIN);
        timeout.max(self.timeout).max(MIN_HOLD + ANSWER_TIME)
    }

    /// Returns the longest delay between the answer to a poll and the next one.
    pub fn max_delay(&self) -> Duration {
        self.freshness
            .saturating_sub(Self::min_freshness(self.timeout))
    }
}

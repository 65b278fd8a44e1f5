//! When the steps of a shutdown are due, and which requests are accepted meanwhile.

use std::time::Duration;

use cyclamen_types::Time;

/// The time that a response needs to be sent to its caller after its request has ended.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);

/// The times of the steps of a shutdown, counted from its signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How long new connections are accepted.
    pub notice: Duration,
    /// How long requests may take; those that remain are then aborted.
    pub limit: Duration,
}

/// What an entry that shuts down still does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It accepts new connections, since the balancer may not know yet.
    Notice,
    /// It accepts no new connections; requests complete.
    Completion,
    /// It aborts the remaining requests.
    Abortion,
}

/// What decides whether a request is accepted during a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// When it ends at the latest, if that is bounded.
    pub deadline: Option<Time>,
    /// How long requests of its kind last, if that is known.
    pub expected: Option<Duration>,
    /// Whether it may be repeated or resumed if it is aborted.
    pub is_repeatable: bool,
}

/// A shutdown that has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    begun_at: Time,
    options: Options,
}

impl Schedule {
    /// Begins a shutdown at the time of its signal.
    pub fn begin(now: Time, options: Options) -> Self {
        Self {
            begun_at: now,
            options,
        }
    }

    /// Returns the times of the steps, counted from the signal.
    pub fn options(&self) -> Options {
        self.options
    }

    /// Returns the time since the signal.
    pub fn elapsed(&self, now: Time) -> Duration {
        now.since(self.begun_at)
    }

    /// Returns when new connections are refused.
    pub fn refuses_at(&self) -> Time {
        self.begun_at + self.options.notice.min(self.options.limit)
    }

    /// Returns when the remaining requests are aborted.
    pub fn aborts_at(&self) -> Time {
        self.begun_at + self.options.limit
    }

    /// Returns what the entry does at a time.
    pub fn phase(&self, now: Time) -> Phase {
        if now >= self.aborts_at() {
            Phase::Abortion
        } else if now >= self.refuses_at() {
            Phase::Completion
        } else {
            Phase::Notice
        }
    }

    /// Returns whether work that lasts as long as expected ends in time.
    pub fn leaves(&self, now: Time, expected: Duration) -> bool {
        now + expected <= self.ends_by()
    }

    /// Returns when work has to end for its response to be sent in time.
    fn ends_by(&self) -> Time {
        self.aborts_at() - RESPONSE_MARGIN
    }

    /// Returns whether a request that has not been sent to any worker is accepted.
    pub fn accepts(&self, now: Time, request: &Request) -> bool {
        let ends_by = self.ends_by();
        if now < ends_by && request.deadline.is_some_and(|deadline| deadline <= ends_by) {
            return true;
        }
        let is_expected_to_end = request.expected.is_some_and(|e| self.leaves(now, e));
        self.phase(now) == Phase::Notice && request.is_repeatable && is_expected_to_end
    }
}

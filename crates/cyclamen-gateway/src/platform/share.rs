//! When an entry asks the store for the changes of a table that other entries follow too.

use std::time::Duration;

use cyclamen_types::Time;
use rand::Rng;

use crate::platform::poll::{self, Poll};

/// The mean number of entries of an availability zone that hold polls of a table.
const HOLDERS_PER_ZONE: usize = 1;
/// The time for which changes of a table accumulate if they are urgent; a planner makes its plans at
/// about this interval.
const URGENT_WINDOW: Duration = Duration::from_millis(100);
/// The shortest time for which an entry holds polls, or does not.
const MIN_TERM: Duration = Duration::from_secs(4);
/// The longest time for which an entry holds polls, or does not.
const MAX_TERM: Duration = Duration::from_secs(8);
/// The longest time until a decision not to ask is made again, as the situation may change.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// The interval between calls to other entries once what is known has reached half of the age at which
/// the store is asked.
const ASK_INTERVAL: Duration = Duration::from_millis(60);

/// What an entry does about a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Asks the store for changes.
    Ask(Poll),
    /// Asks other entries, and decides again after this time.
    AskOthers(Duration),
    /// Decides again after this time.
    Wait(Duration),
}

/// What a decision depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Situation {
    /// The age of what is known of the table, proved by the store or by another entry.
    pub age: Duration,
    /// The number of entries of the availability zone, this one included.
    pub zone_entries: usize,
    /// Whether changes have to be known at once.
    pub is_urgent: bool,
    /// Whether the store answered the last call.
    pub is_reachable: bool,
}

/// Decides when one entry asks the store about one table.
///
/// For a random term, the entry either holds polls or asks the store only if what it knows becomes
/// too old. Roles and thresholds are drawn by each entry for itself.
#[derive(Debug, Clone, Copy)]
pub struct Schedule {
    options: poll::Options,
    term_ends_at: Time,
    holds: bool,
    threshold: Duration,
}

impl Schedule {
    /// Creates a schedule whose first term begins with the first decision.
    pub fn new(options: poll::Options) -> Self {
        Self {
            options,
            term_ends_at: Time::default(),
            holds: true,
            threshold: Duration::ZERO,
        }
    }

    /// Returns whether this entry holds polls in its present term.
    pub fn holds(&self) -> bool {
        self.holds
    }

    /// Decides what to do now.
    pub fn step(&mut self, now: Time, situation: Situation, rng: &mut impl Rng) -> Step {
        if now >= self.term_ends_at {
            self.begin_term(now, situation.zone_entries, rng);
        }
        let Situation {
            age, is_reachable, ..
        } = situation;
        let holds = situation.is_urgent || self.holds;
        let is_old = age >= self.threshold;
        if is_old {
            self.threshold = self.draw_threshold(rng);
        }
        if !is_reachable && (is_old || situation.is_urgent) {
            return Step::Ask(self.options.retry());
        }
        if is_reachable && (is_old || holds) {
            let poll = self.options.next(age);
            let hold = if holds { poll.hold } else { Duration::ZERO };
            return Step::Ask(Poll { hold, ..poll });
        }
        let rest = self.threshold.saturating_sub(age);
        if rest <= self.threshold / 2 {
            Step::AskOthers(rest.min(ASK_INTERVAL))
        } else {
            Step::Wait(rest.min(MAX_WAIT))
        }
    }

    /// Returns the time until the next poll after a response with changes, so that more of them
    /// accumulate: entries that hold polls are answered at different times and tell each other.
    pub fn window(&self, age: Duration, is_urgent: bool) -> Duration {
        let window = self.options.max_delay() / 2;
        let window = if is_urgent {
            window.min(URGENT_WINDOW)
        } else {
            window
        };
        window.saturating_sub(age)
    }

    fn begin_term(&mut self, now: Time, zone_entries: usize, rng: &mut impl Rng) {
        self.term_ends_at = now + rng.random_range(MIN_TERM..=MAX_TERM);
        self.holds = rng.random_range(0..zone_entries.max(1)) < HOLDERS_PER_ZONE;
        self.threshold = self.draw_threshold(rng);
    }

    /// Returns the age at which the store is asked; the time of a call and of its retry is left.
    fn draw_threshold(&self, rng: &mut impl Rng) -> Duration {
        let max = self.options.max_delay();
        rng.random_range(max * 3 / 4..=max)
    }
}

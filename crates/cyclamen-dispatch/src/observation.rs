//! What is known of a worker from its reports.

use std::collections::VecDeque;
use std::time::Duration;

use cyclamen_types::Time;

use crate::pace::{self, Pace};
use crate::request::Observation;

/// How long an observation counts in full.
const FRESH: Duration = Duration::from_millis(500);
/// The age at which an observation no longer counts.
const EXPIRY: Duration = Duration::from_secs(2);
/// Two observations are the same if their ages differ by less: it covers the time on the way.
const SAME: Duration = Duration::from_millis(30);
/// What is added to the age of an observation from another entry, for the time on the way.
const TRANSIT: Duration = Duration::from_millis(2);
/// The interval between reports of a busy or slow worker.
const BUSY_INTERVAL: Duration = Duration::from_millis(400);
/// The interval between reports of other workers.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);
/// A worker is busy from its slots divided by this on.
const BUSY_DIVISOR: u32 = 4;
/// The pace from which a worker is slow, and that below which it is no longer.
const SLOW: (f64, f64) = (2.0, 1.4);
/// Counts above the slots multiplied by this are absurd.
const MAX_SLOTS_RATIO: u32 = 4;

/// One observation, with the time of this process.
#[derive(Debug, Clone, Copy)]
struct Sighting {
    at: Time,
    /// When this entry learnt of it.
    learnt_at: Time,
    running: u32,
    queued: u32,
    pace: f64,
}

/// The load and the speed of a worker as far as they were observed.
#[derive(Debug, Default)]
pub(crate) struct Knowledge {
    newest: Option<Sighting>,
    pace: Pace,
    /// When this entry sent the requests of the last seconds.
    sent: VecDeque<Time>,
    asked_at: Option<Time>,
    is_slow: bool,
}

/// What counts of the observations of a worker at some time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct View {
    /// Requests that the worker runs, own ones sent since then included.
    pub(crate) running: u32,
    /// Requests that it has queued.
    pub(crate) queued: u32,
    pub(crate) pace: f64,
    /// The part that is not known: 0 for a fresh observation, 1 without any.
    pub(crate) staleness: f64,
}

impl Knowledge {
    /// Records an observation, unless a newer one is known; returns whether it is new.
    pub(crate) fn record(&mut self, now: Time, slots: u32, observation: &Observation) -> bool {
        if observation.age >= EXPIRY {
            return false;
        }
        let max = slots.saturating_mul(MAX_SLOTS_RATIO);
        let sighting = Sighting {
            at: now - (observation.age + TRANSIT),
            learnt_at: now,
            running: observation.running.min(max),
            queued: observation.queued.min(max),
            pace: pace::bounded(observation.pace).max(1.0),
        };
        match &mut self.newest {
            Some(known) if sighting.at.since(known.at) < SAME => {
                let is_same = known.at.since(sighting.at) < SAME;
                let is_slower = sighting.pace > known.pace * 1.1;
                if is_same && is_slower {
                    known.pace = sighting.pace;
                    known.learnt_at = now;
                }
                is_same && is_slower
            }
            newest => {
                *newest = Some(sighting);
                true
            }
        }
    }

    /// Returns the newest observation for another entry, if it was learnt after `since`.
    pub(crate) fn to_tell(
        &self,
        now: Time,
        since: Option<Time>,
    ) -> Option<(u32, u32, f64, Duration)> {
        let newest = self.newest.as_ref()?;
        let age = now.since(newest.at);
        let is_new = since.is_none_or(|since| newest.learnt_at > since);
        let pace = newest.pace.max(self.pace.value(now));
        (is_new && age < EXPIRY).then_some((newest.running, newest.queued, pace, age))
    }

    /// Records that this entry sent a request.
    pub(crate) fn record_sent(&mut self, now: Time, slots: u32) {
        self.sent.push_back(now);
        let max = slots.saturating_mul(MAX_SLOTS_RATIO).max(1) as usize;
        let is_old = |at: &Time| now.since(*at) >= EXPIRY;
        while self.sent.len() > max || self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
    }

    /// Records that a response began after `ratio` times its forecast.
    pub(crate) fn record_ratio(&mut self, now: Time, ratio: f64) {
        self.pace.record(now, ratio);
    }

    /// Returns what counts now; `own` is the number of own requests in progress.
    pub(crate) fn view(&self, now: Time, own: u32) -> View {
        let Some(newest) = &self.newest else {
            return View {
                running: 0,
                queued: 0,
                pace: self.pace.value(now),
                staleness: 1.0,
            };
        };
        let weight = weight(now.since(newest.at));
        let scaled = |count: u32| (f64::from(count) * weight).round() as u32;
        let since = self.sent.iter().filter(|at| **at > newest.at).count();
        let since = u32::try_from(since).unwrap_or(u32::MAX).min(own);
        View {
            running: scaled(newest.running).saturating_add(since),
            queued: scaled(newest.queued),
            pace: pace::bounded(newest.pace.powf(weight).max(self.pace.value(now))),
            staleness: 1.0 - weight,
        }
    }

    /// Returns whether the worker is to be asked for a report now, and if so counts it as asked.
    pub(crate) fn ask(&mut self, now: Time, slots: u32, known: u32) -> bool {
        let observed = self
            .newest
            .as_ref()
            .map_or(0, |n| n.running.saturating_add(n.queued));
        let is_busy = known.max(observed) >= (slots / BUSY_DIVISOR).max(1) || self.is_slow;
        let interval = if is_busy {
            BUSY_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        let is_due = |at: Option<Time>| at.is_none_or(|at| now.since(at) >= interval);
        let due = is_due(self.asked_at) && is_due(self.newest.map(|n| n.at));
        if due {
            self.asked_at = Some(now);
        }
        due
    }

    /// Returns the pace if the worker has become slow since the last call.
    pub(crate) fn became_slow(&mut self, now: Time) -> Option<f64> {
        let pace = self.view(now, 0).pace;
        let was_slow = self.is_slow;
        self.is_slow = pace >= if was_slow { SLOW.1 } else { SLOW.0 };
        (self.is_slow && !was_slow).then_some(pace)
    }

    /// Returns the age of the newest observation.
    pub(crate) fn age(&self, now: Time) -> Option<Duration> {
        self.newest.map(|newest| now.since(newest.at))
    }
}

/// Returns how much an observation of an age counts.
fn weight(age: Duration) -> f64 {
    let fading = age.saturating_sub(FRESH).as_secs_f64() / (EXPIRY - FRESH).as_secs_f64();
    (1.0 - fading).max(0.0)
}

//! A failure detector of workers, from this entry's own questions and other entries' suspicions.
//!
//! An entry reports only what it has found out itself. A suspicion of another
//! entry makes it ask the worker, and an answer outweighs such suspicions, so
//! that a wrong one does not spread.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cyclamen_directory::Instance;
use cyclamen_types::{Time, entry, instance};

/// One start of a worker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Start {
    /// The worker.
    pub instance: instance::Id,
    /// Its start.
    pub incarnation: instance::Incarnation,
}

impl From<&Instance> for Start {
    fn from(instance: &Instance) -> Self {
        Self {
            instance: instance.id.clone(),
            incarnation: instance.incarnation,
        }
    }
}

/// Durations of a failure detector.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// How long an answer outweighs the suspicions of others.
    pub alive: Duration,
    /// How long a worker has to leave questions unanswered before it counts as
    /// failed where no other entry suspects it.
    pub alone: Duration,
    /// How long a suspicion holds that no further question or report has confirmed.
    pub memory: Duration,
    /// The time between two questions to a worker that is newly suspected.
    pub ask_new: Duration,
    /// How long a suspicion is new.
    pub new: Duration,
    /// The time between two questions to a worker that is suspected for longer.
    pub ask_old: Duration,
    /// How long after an unanswered question other entries are told of the suspicion;
    /// longer than `ask_old`.
    pub tell: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            alive: Duration::from_secs(1),
            alone: Duration::from_millis(600),
            memory: Duration::from_secs(3),
            ask_new: Duration::from_millis(250),
            new: Duration::from_secs(1),
            ask_old: Duration::from_secs(1),
            tell: Duration::from_millis(1_600),
        }
    }
}

/// A suspicion of this entry.
#[derive(Debug, Clone, Copy)]
struct Suspicion {
    since: Time,
    /// When a question was last left unanswered.
    asked: Time,
    /// When a question or a report last confirmed it.
    confirmed: Time,
}

/// A failure detector of workers.
#[derive(Debug, Default)]
pub struct Detector {
    limits: Limits,
    own: BTreeMap<Start, Suspicion>,
    /// What each other entry suspected when it last reported.
    reported: BTreeMap<entry::Name, (Time, BTreeSet<Start>)>,
    /// Workers that are being asked since another entry suspects them.
    asked: BTreeMap<Start, Time>,
    /// When each worker last answered.
    alive: BTreeMap<Start, Time>,
}

impl Detector {
    /// Takes note that a worker left questions unanswered; whether that is news.
    pub fn suspect(&mut self, now: Time, start: &Start) -> bool {
        self.asked.remove(start);
        self.alive.remove(start);
        let known = self.own.get(start);
        let suspicion = Suspicion {
            since: known.map_or(now, |known| known.since),
            asked: now,
            confirmed: now,
        };
        self.own.insert(start.clone(), suspicion).is_none()
    }

    /// Takes note that a worker answered; whether it was suspected.
    pub fn restore(&mut self, now: Time, start: &Start) -> bool {
        self.alive.insert(start.clone(), now);
        let asked = self.asked.remove(start).is_some();
        self.own.remove(start).is_some() || asked
    }

    /// Takes note of all that another entry suspects; the workers to be asked now.
    pub fn report(
        &mut self,
        now: Time,
        entry: &entry::Name,
        suspected: impl IntoIterator<Item = Start>,
    ) -> Vec<Start> {
        let suspected: BTreeSet<Start> = suspected.into_iter().collect();
        for start in &suspected {
            if let Some(suspicion) = self.own.get_mut(start) {
                suspicion.confirmed = now;
            }
        }
        let alive = |start: &Start| {
            let answered = self.alive.get(start);
            answered.is_some_and(|at| now.since(*at) < self.limits.alive)
        };
        let known = |start: &Start| self.own.contains_key(start) || self.asked.contains_key(start);
        let to_ask = suspected.iter().filter(|s| !alive(s) && !known(s));
        let to_ask: Vec<Start> = to_ask.cloned().collect();
        for start in &to_ask {
            self.asked.insert(start.clone(), now);
        }
        self.reported.insert(entry.clone(), (now, suspected));
        to_ask
    }

    /// Whether a worker should get no new work.
    pub fn is_suspected(&self, start: &Start) -> bool {
        self.own.contains_key(start) || self.asked.contains_key(start)
    }

    /// Whether a worker is to be replaced.
    pub fn is_failed(&self, now: Time, start: &Start) -> bool {
        let Some(suspicion) = self.own.get(start) else {
            return false;
        };
        let fresh = |at: Time| now.since(at) < self.limits.memory;
        let mut reports = self.reported.values();
        let others = reports.any(|(at, reported)| fresh(*at) && reported.contains(start));
        others || now.since(suspicion.since) >= self.limits.alone
    }

    /// Whether a suspected worker should be asked again.
    ///
    /// Of a worker that is not `near`, the reports of the entries nearer to it are enough.
    pub fn is_due(&self, now: Time, start: &Start, near: bool) -> bool {
        let Some(suspicion) = self.own.get(start) else {
            return false;
        };
        let is_new = now.since(suspicion.since) < self.limits.new;
        let pause = if is_new {
            self.limits.ask_new
        } else {
            self.limits.ask_old
        };
        let confirmed = now.since(suspicion.confirmed) < self.limits.ask_old;
        now.since(suspicion.asked) >= pause && (near || !confirmed)
    }

    /// What this entry has found out itself of late, for other entries.
    pub fn own(&self, now: Time) -> impl Iterator<Item = &Start> {
        let tell = self.limits.tell;
        let fresh = self
            .own
            .iter()
            .filter(move |(_, s)| now.since(s.asked) < tell);
        fresh.map(|(start, _)| start)
    }

    /// Forgets what is too old; whether any worker is suspected no more.
    pub fn expire(&mut self, now: Time) -> bool {
        let Limits { alive, memory, .. } = self.limits;
        let before = self.own.len() + self.asked.len();
        self.own
            .retain(|_, suspicion| now.since(suspicion.confirmed) < memory);
        self.asked.retain(|_, at| now.since(*at) < alive);
        self.reported.retain(|_, (at, _)| now.since(*at) < memory);
        self.alive.retain(|_, at| now.since(*at) < alive);
        self.own.len() + self.asked.len() < before
    }
}

//! Which workers are there, by this entry's own questions and by the word of others.
//!
//! An entry passes on only what it has found out itself. What it hears makes it
//! ask the worker, and an answer outweighs what is heard, so that a wrong
//! belief dies out where it arose.

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

/// Durations of doubts.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// How long an answer outweighs what others say.
    pub vouched: Duration,
    /// How long a worker has to leave questions unanswered before it counts as
    /// lost where no other entry says the same.
    pub alone: Duration,
    /// How long a doubt holds that no further question has confirmed.
    pub memory: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            vouched: Duration::from_secs(1),
            alone: Duration::from_millis(600),
            memory: Duration::from_secs(3),
        }
    }
}

/// A doubt of this entry.
#[derive(Debug, Clone, Copy)]
struct Doubt {
    since: Time,
    confirmed: Time,
}

/// Which workers are there, as far as this entry knows.
#[derive(Debug, Default)]
pub struct Doubts {
    limits: Limits,
    own: BTreeMap<Start, Doubt>,
    heard: BTreeMap<entry::Name, BTreeSet<Start>>,
    /// Workers that are being asked because of what others say.
    asked: BTreeMap<Start, Time>,
    vouched: BTreeMap<Start, Time>,
}

impl Doubts {
    /// Takes note that a worker left questions unanswered; whether that is news.
    pub fn silent(&mut self, now: Time, start: &Start) -> bool {
        self.asked.remove(start);
        self.vouched.remove(start);
        let first = Doubt {
            since: now,
            confirmed: now,
        };
        let news = !self.own.contains_key(start);
        self.own.entry(start.clone()).or_insert(first).confirmed = now;
        news
    }

    /// Takes note that a worker answered; whether it was doubted.
    pub fn answered(&mut self, now: Time, start: &Start) -> bool {
        self.vouched.insert(start.clone(), now);
        let asked = self.asked.remove(start).is_some();
        self.own.remove(start).is_some() || asked
    }

    /// Takes note of all that another entry doubts; the workers to be asked now.
    pub fn hear(
        &mut self,
        now: Time,
        entry: &entry::Name,
        doubted: impl IntoIterator<Item = Start>,
    ) -> Vec<Start> {
        let doubted: BTreeSet<Start> = doubted.into_iter().collect();
        let vouched = |start: &Start| {
            let answered = self.vouched.get(start);
            answered.is_some_and(|at| now.since(*at) < self.limits.vouched)
        };
        let known = |start: &Start| self.own.contains_key(start) || self.asked.contains_key(start);
        let to_ask = doubted.iter().filter(|s| !vouched(s) && !known(s));
        let to_ask: Vec<Start> = to_ask.cloned().collect();
        for start in &to_ask {
            self.asked.insert(start.clone(), now);
        }
        self.heard.insert(entry.clone(), doubted);
        to_ask
    }

    /// Whether a worker should get no new work.
    pub fn is_doubted(&self, start: &Start) -> bool {
        self.own.contains_key(start) || self.asked.contains_key(start)
    }

    /// Whether a worker is to be replaced.
    pub fn is_lost(&self, now: Time, start: &Start) -> bool {
        let Some(doubt) = self.own.get(start) else {
            return false;
        };
        let others = self.heard.values().any(|heard| heard.contains(start));
        others || now.since(doubt.since) >= self.limits.alone
    }

    /// Whether this entry has found out itself that a worker does not answer.
    pub fn is_own(&self, start: &Start) -> bool {
        self.own.contains_key(start)
    }

    /// What this entry has found out itself, for other entries.
    pub fn own(&self) -> impl Iterator<Item = &Start> {
        self.own.keys()
    }

    /// Forgets what is too old; whether any worker is doubted no more.
    pub fn expire(&mut self, now: Time) -> bool {
        let Limits {
            vouched, memory, ..
        } = self.limits;
        let before = self.own.len() + self.asked.len();
        self.own
            .retain(|_, doubt| now.since(doubt.confirmed) < memory);
        self.asked.retain(|_, at| now.since(*at) < vouched);
        self.vouched.retain(|_, at| now.since(*at) < vouched);
        self.own.len() + self.asked.len() < before
    }
}

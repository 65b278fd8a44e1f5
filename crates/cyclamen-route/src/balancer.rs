//! What an entry knows of the domains of all owners, and the choice between them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cyclamen_types::{Time, domain, pool};
use rand::Rng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

/// The state of one pool in one domain, as told by its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Replica groups that serve.
    pub serving: u32,
    /// Requests that could start at once.
    pub free: u32,
    /// The expected wait of one more request, in milliseconds.
    pub wait_ms: u64,
}

/// How an entry chooses between domains.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// An own domain with a free place, else the better of two others.
    #[default]
    OwnFirst,
    /// The better of two domains by their last summaries.
    TwoChoices,
    /// Any domain that serves the pool.
    Random,
}

/// Durations and the policy of a board.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// How the entry chooses.
    pub policy: Policy,
    /// A summary older than this is no longer believed.
    pub stale_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            stale_after: Duration::from_secs(30),
        }
    }
}

/// The last summary of each pool in each domain.
#[derive(Debug)]
pub struct Board {
    options: Options,
    notes: BTreeMap<pool::Name, BTreeMap<domain::Name, Note>>,
}

#[derive(Debug)]
struct Note {
    own: bool,
    read: Time,
    summary: Summary,
    sent: u32,
}

impl Note {
    /// Free places left after what this entry sent since the summary was made.
    fn free(&self) -> u32 {
        self.summary.free.saturating_sub(self.sent)
    }

    /// Lower is better: any free place comes before any wait.
    fn cost(&self) -> (u64, std::cmp::Reverse<u32>) {
        let wait = if self.free() > 0 {
            0
        } else {
            self.summary.wait_ms + u64::from(self.sent)
        };
        (wait, std::cmp::Reverse(self.free()))
    }
}

impl Board {
    /// A board that knows nothing.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            notes: BTreeMap::new(),
        }
    }

    /// Takes note of a summary; `own` tells whether this entry owns the domain.
    pub fn note(
        &mut self,
        read: Time,
        domain: &domain::Name,
        pool: &pool::Name,
        summary: Summary,
        own: bool,
    ) {
        let note = Note {
            own,
            read,
            summary,
            sent: 0,
        };
        let domains = self.notes.entry(pool.clone()).or_default();
        domains.insert(domain.clone(), note);
    }

    /// Forgets the domains of this entry, before their present state is noted.
    pub fn forget_own(&mut self) {
        for domains in self.notes.values_mut() {
            domains.retain(|_, note| !note.own);
        }
    }

    /// Forgets a domain, as when its owner refused or did not answer.
    pub fn forget(&mut self, domain: &domain::Name, pool: &pool::Name) {
        if let Some(domains) = self.notes.get_mut(pool) {
            domains.remove(domain);
        }
    }

    /// The summaries of this entry's own domains.
    pub fn own(&self) -> impl Iterator<Item = (&pool::Name, &domain::Name, Summary)> {
        self.notes.iter().flat_map(|(pool, domains)| {
            let own = domains.iter().filter(|(_, note)| note.own);
            own.map(move |(domain, note)| (pool, domain, note.summary))
        })
    }

    /// The summaries that are still believed.
    pub fn fresh(&self, now: Time) -> impl Iterator<Item = (&pool::Name, &domain::Name, Summary)> {
        let fresh = move |note: &&Note| now.since(note.read) <= self.options.stale_after;
        self.notes.iter().flat_map(move |(pool, domains)| {
            let domains = domains.iter().filter(move |(_, note)| fresh(note));
            domains.map(move |(domain, note)| (pool, domain, note.summary))
        })
    }

    /// Chooses a domain for a request that has been refused by the domains in `tried`.
    pub fn choose(
        &mut self,
        now: Time,
        pool: &pool::Name,
        tried: &BTreeSet<domain::Name>,
        rng: &mut impl Rng,
    ) -> Option<domain::Name> {
        let stale_after = self.options.stale_after;
        let domains = self.notes.get_mut(pool)?;
        let usable = |(name, note): &(&domain::Name, &Note)| {
            let fresh = note.own || now.since(note.read) <= stale_after;
            fresh && note.summary.serving > 0 && !tried.contains(*name)
        };
        let open: Vec<_> = domains.iter().filter(usable).collect();
        let chosen = match self.options.policy {
            Policy::OwnFirst => own_with_place(&open).or_else(|| better_of_two(&open, rng)),
            Policy::TwoChoices => better_of_two(&open, rng),
            Policy::Random => open.choose(rng).map(|(name, _)| (*name).clone()),
        }?;
        if let Some(note) = domains.get_mut(&chosen) {
            note.sent = note.sent.saturating_add(1);
        }
        Some(chosen)
    }
}

fn own_with_place(open: &[(&domain::Name, &Note)]) -> Option<domain::Name> {
    let own = open.iter().filter(|(_, note)| note.own && note.free() > 0);
    own.max_by_key(|(_, note)| note.free())
        .map(|(name, _)| (*name).clone())
}

fn better_of_two(open: &[(&domain::Name, &Note)], rng: &mut impl Rng) -> Option<domain::Name> {
    let weight = |item: &(&domain::Name, &Note)| f64::from(item.1.summary.serving);
    let two = open.choose_multiple_weighted(rng, 2, weight).ok()?;
    two.min_by_key(|(_, note)| note.cost())
        .map(|(name, _)| (*name).clone())
}

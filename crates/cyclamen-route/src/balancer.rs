//! Load balancing of requests over the fabric domains of all owners.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cyclamen_types::{Time, domain, pool};
use rand::Rng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

/// The state of one pool in one domain, as reported by the domain's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of serving replica groups.
    pub serving: u32,
    /// Number of requests that can start without waiting.
    pub free: u32,
    /// Expected wait of one more request, in milliseconds.
    pub wait_ms: u64,
}

/// The policy by which an entry chooses a domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// The entry's own domain with the most free slots. If no own domain has a free slot, the
    /// domain is chosen as by [`Policy::TwoChoices`].
    #[default]
    OwnFirst,
    /// The less loaded of two domains, by their last summaries. The two are sampled at
    /// random, weighted by the number of serving groups.
    TwoChoices,
    /// A random domain that serves the pool.
    Random,
}

/// Options of a [`Balancer`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The policy by which a domain is chosen.
    pub policy: Policy,
    /// Age beyond which a summary is ignored. The age of summaries of the entry's own domains
    /// does not matter when a domain is chosen.
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

/// Chooses domains by the last summary of each pool in each domain.
#[derive(Debug)]
pub struct Balancer {
    options: Options,
    candidates: BTreeMap<pool::Name, BTreeMap<domain::Name, Candidate>>,
}

#[derive(Debug)]
struct Candidate {
    own: bool,
    received_at: Time,
    summary: Summary,
    sent: u32,
}

impl Candidate {
    /// Returns the free slots left after the requests this entry sent since the summary
    /// was recorded.
    fn free(&self) -> u32 {
        self.summary.free.saturating_sub(self.sent)
    }

    /// Returns the cost of one more request; lower is better. A domain with a free slot
    /// costs less than any domain without one. Without a free slot, each request sent since
    /// the summary adds one millisecond to the reported wait.
    fn cost(&self) -> (u64, std::cmp::Reverse<u32>) {
        let wait = if self.free() > 0 {
            0
        } else {
            self.summary.wait_ms.saturating_add(u64::from(self.sent))
        };
        (wait, std::cmp::Reverse(self.free()))
    }
}

impl Balancer {
    /// Creates a balancer without any summaries.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            candidates: BTreeMap::new(),
        }
    }

    /// Records a summary; `own` is set if this entry owns the domain.
    pub fn record_summary(
        &mut self,
        received_at: Time,
        domain: &domain::Name,
        pool: &pool::Name,
        summary: Summary,
        own: bool,
    ) {
        let candidate = Candidate {
            own,
            received_at,
            summary,
            sent: 0,
        };
        let domains = self.candidates.entry(pool.clone()).or_default();
        domains.insert(domain.clone(), candidate);
    }

    /// Removes the domains of this entry, before their current state is recorded.
    pub fn remove_own(&mut self) {
        for domains in self.candidates.values_mut() {
            domains.retain(|_, candidate| !candidate.own);
        }
    }

    /// Removes a domain, for example after its owner refused a request or did not respond.
    pub fn remove(&mut self, domain: &domain::Name, pool: &pool::Name) {
        if let Some(domains) = self.candidates.get_mut(pool) {
            domains.remove(domain);
        }
    }

    /// Returns the summaries of this entry's own domains.
    pub fn own_summaries(&self) -> impl Iterator<Item = (&pool::Name, &domain::Name, Summary)> {
        self.candidates.iter().flat_map(|(pool, domains)| {
            let own = domains.iter().filter(|(_, candidate)| candidate.own);
            own.map(move |(domain, candidate)| (pool, domain, candidate.summary))
        })
    }

    /// Returns the summaries that are not stale.
    pub fn fresh_summaries(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (&pool::Name, &domain::Name, Summary)> {
        let is_fresh = move |candidate: &&Candidate| {
            now.since(candidate.received_at) <= self.options.stale_after
        };
        self.candidates.iter().flat_map(move |(pool, domains)| {
            let domains = domains
                .iter()
                .filter(move |(_, candidate)| is_fresh(candidate));
            domains.map(move |(domain, candidate)| (pool, domain, candidate.summary))
        })
    }

    /// Chooses a domain for a request, other than those in `tried`, which refused it before.
    pub fn choose(
        &mut self,
        now: Time,
        pool: &pool::Name,
        tried: &BTreeSet<domain::Name>,
        rng: &mut impl Rng,
    ) -> Option<domain::Name> {
        let stale_after = self.options.stale_after;
        let domains = self.candidates.get_mut(pool)?;
        let is_usable = |(name, candidate): &(&domain::Name, &Candidate)| {
            let is_fresh = candidate.own || now.since(candidate.received_at) <= stale_after;
            is_fresh && candidate.summary.serving > 0 && !tried.contains(*name)
        };
        let usable: Vec<_> = domains.iter().filter(is_usable).collect();
        let chosen = match self.options.policy {
            Policy::OwnFirst => {
                own_with_free_slot(&usable).or_else(|| less_loaded_of_two(&usable, rng))
            }
            Policy::TwoChoices => less_loaded_of_two(&usable, rng),
            Policy::Random => usable.choose(rng).map(|(name, _)| (*name).clone()),
        }?;
        if let Some(candidate) = domains.get_mut(&chosen) {
            candidate.sent = candidate.sent.saturating_add(1);
        }
        Some(chosen)
    }
}

fn own_with_free_slot(usable: &[(&domain::Name, &Candidate)]) -> Option<domain::Name> {
    let own = usable
        .iter()
        .filter(|(_, candidate)| candidate.own && candidate.free() > 0);
    own.max_by_key(|(_, candidate)| candidate.free())
        .map(|(name, _)| (*name).clone())
}

fn less_loaded_of_two(
    usable: &[(&domain::Name, &Candidate)],
    rng: &mut impl Rng,
) -> Option<domain::Name> {
    let weight = |item: &(&domain::Name, &Candidate)| f64::from(item.1.summary.serving);
    let two = usable.choose_multiple_weighted(rng, 2, weight).ok()?;
    two.min_by_key(|(_, candidate)| candidate.cost())
        .map(|(name, _)| (*name).clone())
}

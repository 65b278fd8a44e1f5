//! Rendezvous hashing: assigns keys to candidates without coordination.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

use sha2::{Digest, Sha256};

/// Returns the candidate with the highest score for `key`.
///
/// Every process with the same candidates selects the same one, and removing a
/// candidate moves only the keys assigned to it.
pub fn select<'a, T: Display>(
    key: impl Display,
    candidates: impl IntoIterator<Item = &'a T>,
) -> Option<&'a T> {
    candidates
        .into_iter()
        .max_by_key(|candidate| score(&key, candidate))
}

/// Returns all candidates by descending score for `key`.
pub fn ranked<'a, T: Display>(
    key: impl Display,
    candidates: impl IntoIterator<Item = &'a T>,
) -> Vec<&'a T> {
    let mut ranked: Vec<&T> = candidates.into_iter().collect();
    ranked.sort_by_cached_key(|candidate| std::cmp::Reverse(score(&key, candidate)));
    ranked
}

/// The highest-ranked candidates of each key, kept until the keys or the candidates change.
///
/// Ranking all candidates for all keys costs their product, too much to repeat at each check of
/// a large fleet.
#[derive(Debug)]
pub struct Ranking<K, T> {
    candidates: Vec<T>,
    ranked: BTreeMap<K, Vec<T>>,
}

impl<K, T> Default for Ranking<K, T> {
    fn default() -> Self {
        Self {
            candidates: Vec::new(),
            ranked: BTreeMap::new(),
        }
    }
}

impl<K, T> Ranking<K, T>
where
    K: Clone + Display + Ord,
    T: Clone + Display + Ord,
{
    /// Ranks the candidates for all keys that are new, or for all keys if the candidates have
    /// changed; keeps the first `count` of each.
    ///
    /// The candidates must be given in the same order each time.
    pub fn update<'a>(
        &mut self,
        keys: &BTreeSet<K>,
        candidates: impl IntoIterator<Item = &'a T>,
        count: usize,
    ) where
        T: 'a,
    {
        let candidates: Vec<&T> = candidates.into_iter().collect();
        if !candidates.iter().copied().eq(self.candidates.iter()) {
            self.candidates = candidates.iter().copied().cloned().collect();
            self.ranked.clear();
        }
        self.ranked.retain(|key, _| keys.contains(key));
        for key in keys {
            if !self.ranked.contains_key(key) {
                let first = ranked(key, candidates.iter().copied());
                let first = first.into_iter().take(count).cloned().collect();
                self.ranked.insert(key.clone(), first);
            }
        }
    }

    /// Returns the candidates of a key by descending score; none for an unknown key.
    pub fn of(&self, key: &K) -> &[T] {
        self.ranked.get(key).map_or(&[], Vec::as_slice)
    }

    /// Returns all keys with their candidates.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &[T])> {
        self.ranked
            .iter()
            .map(|(key, first)| (key, first.as_slice()))
    }
}

/// Assigns each key to a candidate, with at most `keys / candidates`, rounded up, per
/// candidate.
///
/// Keys are assigned in order, each to the candidate with the highest score that
/// has capacity left. The cost is proportional to keys times candidates, so callers
/// should keep the result until either set changes.
pub fn assign_balanced<K, T>(
    keys: impl IntoIterator<Item = K>,
    candidates: impl IntoIterator<Item = T>,
) -> BTreeMap<K, T>
where
    K: Clone + Display + Ord,
    T: Clone + Display,
{
    let keys: BTreeSet<K> = keys.into_iter().collect();
    let mut assignees: Vec<Assignee<T>> = candidates.into_iter().map(Assignee::new).collect();
    let capacity = keys.len().div_ceil(assignees.len().max(1));
    let mut assignment = BTreeMap::new();
    for key in keys {
        let available = assignees.iter_mut().filter(|a| a.assigned < capacity);
        if let Some(assignee) = available.max_by_key(|a| score(&key, &a.candidate)) {
            assignee.assigned += 1;
            assignment.insert(key, assignee.candidate.clone());
        }
    }
    assignment
}

/// A candidate and the number of keys assigned to it.
struct Assignee<T> {
    candidate: T,
    assigned: usize,
}

impl<T> Assignee<T> {
    fn new(candidate: T) -> Self {
        Self {
            candidate,
            assigned: 0,
        }
    }
}

fn score(key: &impl Display, candidate: &impl Display) -> [u8; 32] {
    Sha256::digest(format!("{key}\n{candidate}")).into()
}

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

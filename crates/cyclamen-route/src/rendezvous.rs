//! Rendezvous hashing: who of several is responsible for a thing.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

use sha2::{Digest, Sha256};

/// The candidate with the highest score for `key`.
///
/// All who know the same candidates name the same one, and a candidate that
/// leaves moves only what it was responsible for.
pub fn first<'a, T: Display>(
    key: impl Display,
    candidates: impl IntoIterator<Item = &'a T>,
) -> Option<&'a T> {
    candidates
        .into_iter()
        .max_by_key(|candidate| score(&key, candidate))
}

/// All candidates by their score for `key`, the highest first.
pub fn ranked<'a, T: Display>(
    key: impl Display,
    candidates: impl IntoIterator<Item = &'a T>,
) -> Vec<&'a T> {
    let mut ranked: Vec<&T> = candidates.into_iter().collect();
    ranked.sort_by_cached_key(|candidate| std::cmp::Reverse(score(&key, candidate)));
    ranked
}

/// Who is responsible for each key, with no one responsible for more than its part.
///
/// Keys are taken in order; each goes to the candidate with the highest score
/// that has room left. The cost grows with keys times candidates, so the result
/// is to be kept until either set changes.
pub fn balanced<K, T>(
    keys: impl IntoIterator<Item = K>,
    candidates: impl IntoIterator<Item = T>,
) -> BTreeMap<K, T>
where
    K: Clone + Display + Ord,
    T: Clone + Display,
{
    let keys: BTreeSet<K> = keys.into_iter().collect();
    let mut rooms: Vec<Room<T>> = candidates.into_iter().map(Room::empty).collect();
    let part = keys.len().div_ceil(rooms.len().max(1));
    let mut responsible = BTreeMap::new();
    for key in keys {
        let open = rooms.iter_mut().filter(|room| room.held < part);
        if let Some(room) = open.max_by_key(|room| score(&key, &room.candidate)) {
            room.held += 1;
            responsible.insert(key, room.candidate.clone());
        }
    }
    responsible
}

/// A candidate and how many keys it is responsible for.
struct Room<T> {
    candidate: T,
    held: usize,
}

impl<T> Room<T> {
    fn empty(candidate: T) -> Self {
        Self { candidate, held: 0 }
    }
}

fn score(key: &impl Display, candidate: &impl Display) -> [u8; 32] {
    Sha256::digest(format!("{key}\n{candidate}")).into()
}

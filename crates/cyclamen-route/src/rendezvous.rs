//! Rendezvous hashing: who of several is responsible for a thing.

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

fn score(key: &impl Display, candidate: &impl Display) -> [u8; 32] {
    Sha256::digest(format!("{key}\n{candidate}")).into()
}

//! The cache and its merge rule.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;

use crate::types::{Delta, Key, Revision, Row};

/// The number of deleted rows at which the older half of them is forgotten.
const MAX_DELETED_ROWS: usize = 2_048;

/// A copy of the shared rows, complete up to one revision.
///
/// Deleted rows are kept for a while, so that older versions of them are recognised and other
/// entries learn of the deletions.
#[derive(Debug, Clone, Default)]
pub struct Cache {
    as_of: Revision,
    rows: BTreeMap<Key, Row>,
    /// The number of deleted rows.
    deleted: usize,
    /// The revision up to which deleted rows are forgotten.
    forgotten_up_to: Revision,
}

/// The result of a merge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The delta was merged; these keys changed.
    Merged(Vec<Key>),
    /// The delta contains nothing newer.
    Stale,
    /// The delta starts after the revision of this cache; one with an earlier start is needed.
    Gap,
}

impl Cache {
    /// Returns the revision up to which the cache is complete.
    pub fn as_of(&self) -> Revision {
        self.as_of
    }

    /// Merges a delta; the revisions of rows and of the cache never decrease.
    pub fn merge(&mut self, delta: Delta) -> Outcome {
        if delta.as_of <= self.as_of {
            return Outcome::Stale;
        }
        if delta.since > self.as_of {
            return Outcome::Gap;
        }
        self.as_of = delta.as_of;
        let changed = delta
            .rows
            .into_iter()
            .filter_map(|row| self.insert_if_newer(row));
        Outcome::Merged(changed.collect())
    }

    /// Records a row that this process has just written.
    pub fn record_write(&mut self, row: Row) {
        self.insert_if_newer(row);
    }

    /// Records a row whatever its revision, for a row whose value tells itself how new it is.
    pub fn replace(&mut self, row: Row) {
        self.insert(row);
    }

    fn insert_if_newer(&mut self, row: Row) -> Option<Key> {
        let newer = self
            .rows
            .get(&row.key)
            .is_none_or(|old| old.revision < row.revision);
        newer.then(|| self.insert(row))
    }

    fn insert(&mut self, row: Row) -> Key {
        let key = row.key.clone();
        let is_deleted = row.value.is_none();
        let old = self.rows.insert(key.clone(), row);
        let was_deleted = old.is_some_and(|old| old.value.is_none());
        self.deleted += usize::from(is_deleted);
        self.deleted -= usize::from(was_deleted);
        if self.deleted >= MAX_DELETED_ROWS {
            self.forget_deleted();
        }
        key
    }

    /// Forgets the older half of the deleted rows.
    fn forget_deleted(&mut self) {
        let deleted = self.rows.values().filter(|row| row.value.is_none());
        let mut revisions: Vec<_> = deleted.map(|row| row.revision).collect();
        revisions.sort_unstable();
        let Some(up_to) = revisions.get(revisions.len() / 2).copied() else {
            return;
        };
        self.rows
            .retain(|_, row| row.value.is_some() || row.revision > up_to);
        self.deleted = revisions.iter().filter(|r| **r > up_to).count();
        self.forgotten_up_to = up_to;
    }

    /// Returns whether a row that another entry sent may be an old version of a deleted row that
    /// is forgotten.
    pub fn may_be_forgotten(&self, row: &Row) -> bool {
        row.revision <= self.forgotten_up_to && !self.rows.contains_key(&row.key)
    }

    /// Returns all rows changed after `since`, to send to another entry.
    ///
    /// If deletions after `since` are forgotten, the delta starts later.
    pub fn changes_since(&self, since: Revision) -> Delta {
        let since = since.max(self.forgotten_up_to);
        Delta {
            since,
            as_of: self.as_of,
            rows: self.rows_since(since).cloned().collect(),
        }
    }

    /// Returns whether no deletion after `since` is forgotten.
    pub fn retains_since(&self, since: Revision) -> bool {
        self.forgotten_up_to <= since
    }

    /// Returns all rows changed after `since`.
    pub fn rows_since(&self, since: Revision) -> impl Iterator<Item = &Row> {
        self.rows.values().filter(move |row| row.revision > since)
    }

    /// Returns the number of rows that are held, including deleted ones.
    pub fn row_count(&self) -> usize {
        self.rows.len()
    }

    /// Returns the row of a key, including deleted rows.
    pub fn row(&self, key: &Key) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Returns the decoded value of a key, if it is present and well formed.
    pub fn get<T: DeserializeOwned>(&self, key: &Key) -> Option<T> {
        let text = self.rows.get(key)?.value.as_deref()?;
        serde_json::from_str(text).ok()
    }

    /// Returns the rows whose keys start with a prefix, except deleted rows.
    pub fn rows_with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Row> {
        let from = Key(prefix.into());
        self.rows
            .range(from..)
            .map(|(_, row)| row)
            .take_while(move |row| row.key.0.starts_with(prefix))
            .filter(|row| row.value.is_some())
    }
}

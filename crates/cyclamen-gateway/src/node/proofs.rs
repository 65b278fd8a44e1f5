//! Until when a followed table is known completely, as proved by the store or by another entry.

use std::time::Duration;

use cyclamen_cache::Revision;
use cyclamen_types::Time;

use crate::node::State;
use crate::platform::Table;

/// The number of versions by which the position of another entry may be ahead; no store gives out
/// as many within the time that knowledge is used.
const MAX_ADVANCE: u64 = 1_000_000;

/// A claim that all changes of a table up to a revision are known, and that the store had no later
/// ones at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Proof {
    /// The table.
    pub(crate) table: Table,
    /// The revision.
    pub(crate) position: Revision,
    /// The time.
    pub(crate) complete_at: Time,
}

impl State {
    /// Records that the store told all that had changed in a table by a time.
    pub(crate) fn record_answer(&mut self, table: Table, complete_at: Time) {
        if self.shares_following {
            let known = self.proved_at.entry(table).or_default();
            *known = complete_at.max(*known);
        }
    }

    /// Records a proof of another entry whose rows have been applied.
    ///
    /// One with an earlier position than the own tells nothing new, and one that is far ahead of it
    /// cannot be true. Returns whether what is known became fresher.
    pub(crate) fn record_proof(&mut self, now: Time, proof: Proof) -> bool {
        let Proof {
            table,
            position,
            complete_at,
        } = proof;
        let own = self.as_of(table);
        let is_odd = position.version > own.version.saturating_add(MAX_ADVANCE);
        if position < own || position.era != self.era || is_odd || self.is_recovering() {
            return false;
        }
        let known = self.proved_at.entry(table).or_default();
        let is_fresher = complete_at > *known;
        if is_fresher {
            *known = complete_at;
            self.store_calls.record_proof(table);
        }
        self.positions.insert(table, position);
        let history = self.histories.entry(table).or_default();
        history.record(now, position);
        is_fresher
    }

    /// Returns what this entry can prove of a table; `None` if nothing.
    ///
    /// While a new era of the store recovers, rows are held back.
    pub(crate) fn proof(&self, table: Table) -> Option<Proof> {
        let position = *self.positions.get(&table)?;
        let complete_at = *self.proved_at.get(&table)?;
        let is_current = position.era == self.era && !self.is_recovering();
        is_current.then_some(Proof {
            table,
            position,
            complete_at,
        })
    }

    /// Returns the age of what is proved to be known of a table.
    pub(crate) fn proof_age(&self, now: Time, table: Table) -> Duration {
        let known = self.proved_at.get(&table);
        now.since(known.copied().unwrap_or_default())
    }

    /// Forgets the proofs of a table, which is to be read again.
    pub(crate) fn distrust(&mut self, table: Table) {
        self.proved_at.remove(&table);
    }

    /// Corrects a position that the store has not reached, as a complete table shows.
    ///
    /// One that another entry has told in the meantime is corrected too; its rows are known.
    pub(crate) fn reset_position(&mut self, table: Table, as_of: Revision) {
        let position = self.positions.get_mut(&table);
        if let Some(position) = position.filter(|position| position.era == as_of.era) {
            *position = as_of.min(*position);
        }
    }

    /// Returns when the store last answered this entry or, as far as is proved, another one.
    pub(crate) fn store_known_at(&self) -> Time {
        let proved = self.proved_at.values().copied().max();
        proved.unwrap_or_default().max(self.store_answered_at)
    }
}

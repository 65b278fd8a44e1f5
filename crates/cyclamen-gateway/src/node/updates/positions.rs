//! The revisions up to which this entry and others know the tables.

use std::time::Duration;

use cyclamen_cache::Revision;
use cyclamen_directory::catalog::Version;
use cyclamen_types::Time;

use crate::node::State;
use crate::platform::Table;

/// The time after which other entries should have read a change of the instance list from the
/// store themselves.
const INSTANCES_PROPAGATION_TIME: Duration = Duration::from_secs(1);
/// The time after which other entries should have read the operators' rows from the store
/// themselves.
const OPERATORS_PROPAGATION_TIME: Duration = Duration::from_millis(300);

impl State {
    /// Records that the store has delivered a table up to a revision.
    pub(crate) fn record_position(&mut self, now: Time, table: Table, as_of: Revision) {
        let position = self.positions.entry(table).or_default();
        *position = as_of.max(*position);
        let position = *position;
        self.answered_at.insert(table, now);
        self.histories
            .entry(table)
            .or_default()
            .record(now, position);
    }

    /// Returns the time since the store last delivered a followed table, or another entry proved that
    /// all of it is known, or since the start of this process.
    pub(crate) fn table_age(&self, now: Time, table: Table) -> Duration {
        let answered_at = self.answered_at.get(&table);
        let known_at = answered_at.max(self.proved_at.get(&table));
        now.since(known_at.copied().unwrap_or_default())
    }

    /// Records that gossip has delivered the rows of a followed table up to a revision.
    pub(crate) fn record_gossip_position(&mut self, now: Time, table: Table, revision: Revision) {
        let position = self.gossip_positions.entry(table).or_default();
        *position = revision.max(*position);
        // Of workers, only what the store has told an entry itself is told on: the others read it soon,
        // and would get it from everyone.
        if table == Table::Operators {
            let position = *position;
            let history = self.histories.entry(table).or_default();
            history.record(now, position);
        }
    }

    /// Returns the row with the operators' configuration that is in force.
    pub(crate) fn catalog_row(&self) -> Option<&cyclamen_cache::Row> {
        self.rows.row(self.catalog_key.as_ref()?)
    }

    /// Returns whether other entries should have read the operators' configuration that is in
    /// force from the store themselves, but one that reports this version has not.
    pub(crate) fn has_propagated_catalog(&self, now: Time, reported: Version) -> bool {
        let is_older = reported != Version::default() && reported < self.catalog.version();
        is_older && now.since(self.catalog_since) >= OPERATORS_PROPAGATION_TIME
    }

    /// Returns the revision up to which other entries should have read a followed table from the
    /// store themselves.
    pub(crate) fn propagated_revision(&self, now: Time, table: Table) -> Revision {
        let propagation_time = match table {
            Table::Operators => OPERATORS_PROPAGATION_TIME,
            Table::Instances
            | Table::Entries
            | Table::Domains
            | Table::Parts
            | Table::Combinations => INSTANCES_PROPAGATION_TIME,
        };
        let history = self.histories.get(&table);
        history.map_or_else(Revision::default, |h| {
            h.reached_before(now, propagation_time)
        })
    }

    /// Returns the revision up to which the store has delivered a followed table.
    pub(crate) fn as_of(&self, table: Table) -> Revision {
        self.positions.get(&table).copied().unwrap_or_default()
    }

    /// Returns the revision up to which the store or gossip has delivered a followed table: other
    /// entries send only later rows.
    pub(crate) fn known_as_of(&self, table: Table) -> Revision {
        let by_gossip = self.gossip_positions.get(&table).copied();
        self.as_of(table).max(by_gossip.unwrap_or_default())
    }
}

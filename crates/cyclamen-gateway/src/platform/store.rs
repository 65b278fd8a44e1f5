//! Tables, rows and transactions of a platform's store.

use std::fmt;
use std::sync::Arc;

use cyclamen_cache::{Era, Revision};
use cyclamen_directory::{Catalog, Instance};
use cyclamen_types::excerpt::Excerpt;
use cyclamen_types::{instance, zone};

/// A table of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Table {
    /// Rows written by operators.
    Operators,
    /// Rows written by workers.
    Instances,
    /// Leases of entries.
    Entries,
    /// Owners of fabric domains.
    Domains,
    /// Evidence against contained parts of prompts, by the part.
    Parts,
    /// Evidence against parts that are contained together. Entries of earlier builds do not read it;
    /// from such evidence they would contain one of the parts.
    Combinations,
}

impl Table {
    /// Returns the table's name in logs and in gossip between entries.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Instances => "instances",
            Self::Entries => "entries",
            Self::Domains => "domains",
            Self::Parts => "parts",
            Self::Combinations => "combinations",
        }
    }
}

/// A row at one revision; a deleted row has no value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The table.
    pub table: Table,
    /// The key within the table; empty if it cannot be read.
    pub key: Arc<str>,
    /// The revision of the transaction that wrote the row.
    pub revision: Revision,
    /// The value, which is empty if the row cannot be read, or `None` if the row is deleted.
    pub value: Option<Arc<str>>,
}

/// Rows of a table as of one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The rows.
    pub rows: Vec<Row>,
    /// The revision.
    pub as_of: Revision,
}

/// Changes of a table after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Changes {
    /// The rows that changed, up to the snapshot's revision.
    Rows(Snapshot),
    /// The store no longer has the changes, or is in a new era; the table must be read again.
    Expired,
}

/// Conditional writes that are committed atomically.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The revision that each of these rows must have, or [`Revision::ABSENT`] if the row must
    /// not exist.
    pub conditions: Vec<(Table, Arc<str>, Revision)>,
    /// Rows to write.
    pub puts: Vec<(Table, Arc<str>, Arc<str>)>,
    /// Rows to delete.
    pub deletes: Vec<(Table, Arc<str>)>,
}

impl Transaction {
    /// Returns the table that the first write is to, for metrics.
    pub(crate) fn table(&self) -> Table {
        let put = self.puts.first().map(|(table, ..)| *table);
        let deleted = self.deletes.first().map(|(table, _)| *table);
        put.or(deleted).unwrap_or(Table::Entries)
    }

    /// Returns whether no condition has a revision of another era than this.
    pub fn conditions_are_of(&self, era: Era) -> bool {
        let mut conditions = self.conditions.iter();
        conditions.all(|(_, _, revision)| *revision == Revision::ABSENT || revision.era == era)
    }
}

/// The outcome of a transaction to which the store responded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Commit {
    /// The transaction was committed at this revision.
    Done(Revision),
    /// A condition did not hold, and nothing was written.
    Conflict,
}

/// Errors of a store call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The call had no effect: the store refused it with this status, or could not be reached.
    Refused(Option<u16>),
    /// The response was lost; the call may have taken effect or may still do so.
    Lost,
    /// The response cannot be decoded.
    Malformed,
    /// The response is of a former era of the store, or the store has begun a new era during the
    /// call, which may have taken effect.
    EraEnded,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(Some(status)) => write!(f, "store refused the call with status {status}"),
            Self::Refused(None) => f.write_str("store could not be reached"),
            Self::Lost => f.write_str("response of the store was lost"),
            Self::Malformed => f.write_str("response of the store cannot be decoded"),
            Self::EraEnded => f.write_str("store has come back from a copy"),
        }
    }
}

impl std::error::Error for Error {}

/// What a row describes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// The operators' configuration.
    Catalog,
    /// Whether an availability zone is out of service.
    ZoneOut(zone::Name),
    /// An instance.
    Instance(instance::Id),
    /// Nothing: the key is not one that a row of the table may have.
    Nothing,
    /// A row that the gateway ignores.
    Other,
}

/// A decoded row.
#[derive(Debug)]
pub enum Record {
    /// The operators' configuration.
    Catalog(Catalog),
    /// An availability zone that is out of service.
    ZoneOut(zone::Name),
    /// An instance.
    Instance(Instance),
    /// A row that the gateway ignores.
    Other,
}

/// The reason why a row cannot be decoded: one line of a bounded length.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError(String);

impl DecodeError {
    /// Creates the reason from a text, which may quote what was read.
    pub fn new(reason: impl fmt::Display) -> Self {
        Self(Excerpt(&reason.to_string()).to_string())
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for DecodeError {}

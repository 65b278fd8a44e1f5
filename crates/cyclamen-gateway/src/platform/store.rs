//! Tables, rows and transactions of a platform's store.

use std::fmt;
use std::sync::Arc;

use cyclamen_cache::Revision;
use cyclamen_directory::{Catalog, Instance};
use cyclamen_types::{instance, zone};

/// A table of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Table {
    /// What operators write.
    Operators,
    /// What workers write.
    Instances,
    /// The entries' leases.
    Entries,
    /// The owners of fabric domains.
    Domains,
}

impl Table {
    /// The table's name in logs and in news between entries.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Instances => "instances",
            Self::Entries => "entries",
            Self::Domains => "domains",
        }
    }
}

/// A row as of one revision; a deleted row has no value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The table.
    pub table: Table,
    /// The key within the table.
    pub key: Arc<str>,
    /// The revision of the transaction that wrote it.
    pub revision: Revision,
    /// The value, or nothing once deleted.
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

/// What became of rows after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Followed {
    /// These rows changed, up to the snapshot's revision.
    Changed(Snapshot),
    /// The store no longer knows; the table has to be read again.
    Forgotten,
}

/// Rows written together on a condition.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The revision that each of these rows must have; zero if it must not exist.
    pub conditions: Vec<(Table, Arc<str>, Revision)>,
    /// Rows to write.
    pub puts: Vec<(Table, Arc<str>, Arc<str>)>,
    /// Rows to delete.
    pub deletes: Vec<(Table, Arc<str>)>,
}

/// What became of a transaction that was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Commit {
    /// It was committed at this revision.
    Done(Revision),
    /// A condition did not hold, and nothing was written.
    Conflict,
}

/// Why the store gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Nothing was done; the store refused with this status or was not reached.
    Refused(Option<u16>),
    /// The answer was lost; the call may have taken effect or still may.
    Lost,
    /// The answer cannot be understood.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(Some(status)) => write!(f, "refused with status {status}"),
            Self::Refused(None) => f.write_str("not reached"),
            Self::Lost => f.write_str("answer lost"),
            Self::Malformed => f.write_str("answer not understood"),
        }
    }
}

impl std::error::Error for Error {}

/// What a row is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// The operators' configuration.
    Catalog,
    /// Whether an availability zone is out.
    ZoneOut(zone::Name),
    /// An instance.
    Instance(instance::Id),
    /// Something that is of no concern here.
    Other,
}

/// A decoded row.
#[derive(Debug)]
pub enum Record {
    /// The operators' configuration.
    Catalog(Catalog),
    /// An availability zone that is out.
    ZoneOut(zone::Name),
    /// An instance.
    Instance(Instance),
    /// Something that is of no concern here.
    Other,
}

/// Why a row cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault(pub String);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Fault {}

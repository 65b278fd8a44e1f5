//! Rows, revisions and deltas of the table service.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A revision of the table service; each committed transaction increases it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision in a condition that a row does not exist.
    pub const ABSENT: Self = Self(0);
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Revision {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// The key of a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub Arc<str>);

impl Key {
    /// Creates a key from a prefix and a name.
    pub fn new(prefix: &str, name: impl fmt::Display) -> Self {
        Self(format!("{prefix}{name}").into())
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Key {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.into()))
    }
}

/// A row as of one revision; a deleted row has no value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key of the row.
    pub key: Key,
    /// The revision of the transaction that wrote it.
    pub revision: Revision,
    /// The value as JSON text, or `None` if the row is deleted.
    pub value: Option<Arc<str>>,
}

/// All rows changed after one revision, up to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The revision after which changes are listed.
    pub since: Revision,
    /// The revision up to which changes are complete.
    pub as_of: Revision,
    /// The changed rows, each key once.
    pub rows: Vec<Row>,
}

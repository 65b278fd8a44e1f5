//! Rows, revisions and deltas of the table service.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;

use serde::ser::Error;
use serde::{Deserialize, Serialize, Serializer};

/// How often a store has come back from a copy of its contents, as it counts itself; zero for a
/// store that does not tell.
///
/// In each era the store may give out versions again that it gave out in the former one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Era {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A revision of a store: an era and a version, which each committed transaction increases.
///
/// Every revision of an era is higher than all of the former eras. The text form is the version
/// alone in the era zero, otherwise `era:version`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(from = "u64")]
pub struct Revision {
    /// The era.
    pub era: Era,
    /// The version within the era.
    pub version: u64,
}

impl Revision {
    /// The revision in a condition that a row does not exist.
    pub const ABSENT: Self = Self {
        era: Era(0),
        version: 0,
    };
}

impl From<u64> for Revision {
    /// Returns a revision of a store that knows no eras.
    fn from(version: u64) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }
}

impl Serialize for Revision {
    /// Writes the version; fails for a revision with an era, which the own table service doesn't
    /// know.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if self.era != Era::default() {
            return Err(S::Error::custom("a revision with an era"));
        }
        serializer.serialize_u64(self.version)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era != Era::default() {
            write!(f, "{}:", self.era)?;
        }
        write!(f, "{}", self.version)
    }
}

impl FromStr for Revision {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, version) = text.split_once(':').unwrap_or(("0", text));
        Ok(Self {
            era: era.parse()?,
            version: version.parse()?,
        })
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

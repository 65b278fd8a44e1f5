//! Versioned edits of a table.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The version of a table; each accepted edit has the next one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
pub struct Version(pub u64);

impl Version {
    /// The version that the next accepted edit has.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Version {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A table with its version and the edit that made it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document<T> {
    /// The version of the table.
    pub version: Version,
    /// The edit that gave this version.
    pub edit: Arc<str>,
    /// The table itself.
    pub body: T,
}

/// A proposed edit: a whole table that replaces a named version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit<T> {
    /// The edit's own id, by which a lost answer is resolved.
    pub id: Arc<str>,
    /// The version that the edit replaces.
    pub replaces: Version,
    /// The new table.
    pub body: T,
}

/// What becomes of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The edit is to be written as this document.
    Accepted(Document<T>),
    /// The edit has been written before; its answer was lost.
    Repeated(Version),
    /// Another edit came first.
    Stale {
        /// The version in force.
        current: Version,
    },
}

impl<T> Edit<T> {
    /// Decides the edit against the document in force.
    pub fn decide(self, current: &Document<T>) -> Outcome<T> {
        if self.id == current.edit {
            return Outcome::Repeated(current.version);
        }
        if self.replaces != current.version {
            return Outcome::Stale {
                current: current.version,
            };
        }
        Outcome::Accepted(Document {
            version: current.version.next(),
            edit: self.id,
            body: self.body,
        })
    }
}

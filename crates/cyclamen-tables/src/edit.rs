//! Versioned edits of a table.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The version of a table; each accepted edit increments it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
pub struct Version(pub u64);

impl Version {
    /// Returns the version of the next accepted edit.
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

/// A table with its version and the id of the edit that created that version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document<T> {
    /// The version of the table.
    pub version: Version,
    /// The id of the edit that created this version.
    pub edit: Arc<str>,
    /// The table itself.
    pub body: T,
}

/// A proposed edit: a complete table that replaces a given version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit<T> {
    /// The id of the edit, which identifies a retry after a lost response.
    pub id: Arc<str>,
    /// The version that the edit replaces.
    pub replaces: Version,
    /// The new table.
    pub body: T,
}

/// The result of checking an edit against the current document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The edit is accepted; this document is to be written.
    Accepted(Document<T>),
    /// The edit is a retry: it was written with this version, but the response was lost.
    Repeated(Version),
    /// The version that the edit replaces is no longer the current one.
    Stale {
        /// The current version.
        current: Version,
    },
}

impl<T> Edit<T> {
    /// Checks the edit against the current document.
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

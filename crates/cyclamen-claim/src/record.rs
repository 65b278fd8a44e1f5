//! The row of a claim.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use cyclamen_types::entry;
use serde::{Deserialize, Serialize};

/// The id of one attempt at a call: a random number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt(pub u64);

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Attempt {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// The digest of a call's content; a key can be used for one content only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(pub Arc<str>);

/// The entry that claimed a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claimant {
    /// The entry.
    pub entry: entry::Name,
    /// The incarnation of the entry.
    pub incarnation: entry::Incarnation,
}

/// The row of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The entry that claimed the call.
    pub claimant: Claimant,
    /// The attempt that holds the claim.
    pub attempt: Attempt,
    /// The digest of the call's content.
    pub digest: Digest,
    /// The last recorded state of the attempt.
    pub state: State,
}

/// The recorded state of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The attempt may be sent or has been sent.
    Claimed,
    /// The endpoint answered.
    Done(Answer),
    /// The attempt was not sent and never will be.
    NotRun,
    /// The attempt was sent, and its answer was lost.
    Unknown,
}

/// The answer of an endpoint, stored for replay to callers that retry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Arc<str>,
    /// The body, as text.
    pub body: Arc<str>,
}

//! Containment of requests that crash the groups running them.
//!
//! A request is identified by its content, so that it is recognised under a new
//! id and at another entry. Each group that closes its connection while a
//! request runs counts as one strike against the request. A request with a
//! strike is a suspect: at most one suspect runs on a group at a time, so that
//! a second crash counts against one request only. A request at the strike
//! limit is refused for as long as its strikes count. A request that received a
//! complete response does not crash groups; its earlier strikes no longer count.
//!
//! Requests also share parts of their prompts, and one part may crash every group that begins to
//! answer a prompt with it. Strikes against requests that have nothing in common but a part add
//! up against that part, see [`Attribution`]. All requests with a contained part are refused, and
//! the crashes that it explains no longer count against anything else. Where crashes do not tell
//! parts apart, only requests with all of them are refused.

mod answers;
mod attribution;
mod combination;
mod fingerprint;
mod parts;
mod strikes;

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::{domain, group};
use serde::{Deserialize, Serialize};

pub use attribution::{Attribution, Observation};
pub use combination::Combination;
pub use fingerprint::Fingerprint;
pub use parts::Verdict;
pub use strikes::Strikes;

/// A part of a prompt that several requests may share, by its id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Part(Arc<str>);

impl Part {
    /// Creates a part from its id.
    pub fn new(id: impl Into<Arc<str>>) -> Self {
        Self(id.into())
    }

    /// Creates a part that is identified by its content.
    pub fn of_content(content: &[u8]) -> Self {
        Self(fingerprint::digest(content))
    }

    /// Returns the id.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Part {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self::new(text))
    }
}

/// One crash of a group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The group's fabric domain.
    pub domain: domain::Name,
    /// The group.
    pub group: group::Id,
    /// The fencing token of its membership.
    pub fence: group::Fence,
}

/// A strike, as exchanged between entries.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Strike {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The crash during which it ran.
    pub crash: Crash,
    /// The parts of its prompt that other requests may share.
    pub parts: Arc<[Part]>,
}

/// The last answer to a request with a part in its prompt, as exchanged between entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The part.
    pub part: Part,
    /// The time since the answer.
    pub age: Duration,
}

impl Answer {
    /// Creates an answer that was given just now.
    pub fn now(part: &Part) -> Self {
        Self {
            part: part.clone(),
            age: Duration::ZERO,
        }
    }
}

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request may run on any group.
    Allow,
    /// The request may run only on a group without another suspect.
    Isolate,
    /// The request must not run.
    Refuse,
}

/// Options of containment.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Number of crashed groups at which a request is refused.
    pub strike_limit: usize,
    /// Number of crashed groups, under as many requests, at which a part of prompts is contained.
    pub part_strike_limit: usize,
    /// Crashes of two groups of one domain in less than this time are attributed to a
    /// common cause and do not count.
    pub common_cause_window: Duration,
    /// How long a strike counts.
    pub strike_lifetime: Duration,
    /// How long a strike is sent to entries that may have received it already.
    pub gossip_duration: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            strike_limit: 2,
            part_strike_limit: 3,
            common_cause_window: Duration::from_secs(3),
            strike_lifetime: Duration::from_secs(3600),
            gossip_duration: Duration::from_secs(600),
        }
    }
}

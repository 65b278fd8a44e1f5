//! What the settings files of all commands share.

use std::fmt;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The shortest secret or token, in bytes.
const SECRET_BYTES: usize = 16;

/// A text that is never printed.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Secret(Arc<str>);

impl Secret {
    /// A secret of that text.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// The text, to be compared in constant time or sent.
    pub fn reveal(&self) -> &Arc<str> {
        &self.0
    }

    /// Whether it is too short to be one.
    pub fn is_short(&self) -> bool {
        self.0.len() < SECRET_BYTES
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// One thing wrong with the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The key.
    pub key: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

/// A rule of the settings: a key, what is wrong if the rule is broken, and whether it is.
pub type Rule = (&'static str, &'static str, bool);

/// The faults that broken rules make.
pub fn faults(rules: impl IntoIterator<Item = Rule>) -> Vec<Fault> {
    let broken = rules.into_iter().filter(|(_, _, broken)| *broken);
    broken
        .map(|(key, reason, _)| Fault { key, reason })
        .collect()
}

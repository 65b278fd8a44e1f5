//! Types shared by the settings files of all commands.

use std::fmt;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The minimum length of a secret or token, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// A secret text, which is never printed.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Wraps a text as a secret.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// Returns the text, for a comparison in constant time or for sending.
    pub fn reveal(&self) -> &Arc<str> {
        &self.0
    }

    /// Returns whether the secret is shorter than the minimum length.
    pub fn is_short(&self) -> bool {
        self.0.len() < MIN_SECRET_BYTES
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// A setting whose value is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The key of the setting.
    pub key: &'static str,
    /// Why its value is invalid.
    pub reason: &'static str,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

/// A rule for a setting: its key, the reason reported for a violation, and whether the rule is
/// violated.
pub type Rule = (&'static str, &'static str, bool);

/// Returns one fault for each violated rule.
pub fn faults(rules: impl IntoIterator<Item = Rule>) -> Vec<Fault> {
    let violated = rules.into_iter().filter(|(_, _, violated)| *violated);
    violated
        .map(|(key, reason, _)| Fault { key, reason })
        .collect()
}

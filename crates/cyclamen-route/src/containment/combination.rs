//! Parts of prompts that are refused together.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use crate::containment::{Part, fingerprint};

/// Parts of one prompt that crash groups, and that crashes do not tell apart.
///
/// Only requests with all of its parts are refused. A combination of one part is the part itself.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Combination(BTreeSet<Part>);

impl Combination {
    /// Creates a combination of these parts.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a Part>) -> Self {
        Self(parts.into_iter().cloned().collect())
    }

    /// Returns the part, if there is only one.
    pub fn single(&self) -> Option<&Part> {
        self.0.first().filter(|_| self.0.len() == 1)
    }

    /// Returns the parts.
    pub fn parts(&self) -> impl Iterator<Item = &Part> {
        self.0.iter()
    }

    /// Returns whether a part is one of the combination.
    pub fn contains(&self, part: &Part) -> bool {
        self.0.contains(part)
    }

    /// Returns whether a prompt with these parts has all parts of the combination.
    pub fn is_in(&self, prompt: &[Part]) -> bool {
        self.0.iter().all(|part| prompt.contains(part))
    }

    /// Returns a digest of the parts, which names the combination.
    pub fn digest(&self) -> Arc<str> {
        let ids: Vec<&str> = self.0.iter().map(Part::as_str).collect();
        fingerprint::digest(ids.join("\n").as_bytes())
    }
}

impl From<Part> for Combination {
    fn from(part: Part) -> Self {
        Self([part].into())
    }
}

impl fmt::Display for Combination {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}

//! Teams and their API keys.

use std::fmt;
use std::sync::Arc;

use cyclamen_types::team;

use crate::route::Priority;

/// A team of callers, identified by API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: team::Name,
    /// The priority of its requests, which overrides the route's.
    pub priority: Option<Priority>,
}

/// An API key that callers present; its text is never printed.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(Arc<str>);

impl Key {
    /// Creates a key from its text.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

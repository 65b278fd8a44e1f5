//! Teams and their keys.

use std::fmt;
use std::sync::Arc;

use cyclamen_types::team;

use crate::route::Priority;

/// A team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: team::Name,
    /// The rank of its requests, if it is not the route's.
    pub priority: Option<Priority>,
}

/// A key that callers present; it is never printed.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(Arc<str>);

impl Key {
    /// The key with that text.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

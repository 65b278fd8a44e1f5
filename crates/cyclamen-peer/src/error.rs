//! Errors of calls between entries.

use std::fmt;

/// Why a call to another entry has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// No connection could be made, or the secret was refused.
    Unreachable,
    /// The connection broke or the time ran out; the call may have taken effect.
    Lost,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "the entry cannot be reached",
            Self::Lost => "the entry's answer was lost",
        })
    }
}

impl std::error::Error for Error {}

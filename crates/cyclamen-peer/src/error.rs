//! Errors of calls between entries.

use std::fmt;

/// The reason why a call to another entry returned no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The call was not made: the connection could not be established, the peer rejected the
    /// secret, or the queue of calls is full.
    Unreachable,
    /// The connection failed or the call timed out; the call may have taken effect.
    Lost,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "the entry is unreachable",
            Self::Lost => "no response from the entry",
        })
    }
}

impl std::error::Error for Error {}

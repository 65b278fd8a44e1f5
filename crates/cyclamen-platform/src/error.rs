//! Errors of the platform's services.

use std::fmt;

/// The reason why a call to the platform returned no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The call was not made, because a value to write could not be encoded.
    NotEncoded,
    /// The call did not reach the service.
    Unreachable,
    /// No valid response was received; the call may have taken effect.
    Lost,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotEncoded => "a value cannot be encoded",
            Self::Unreachable => "the platform is unreachable",
            Self::Lost => "no valid response from the platform",
        })
    }
}

impl std::error::Error for Error {}

impl From<cyclamen_http::Error> for Error {
    fn from(error: cyclamen_http::Error) -> Self {
        match error {
            cyclamen_http::Error::NotSent => Self::Unreachable,
            _ => Self::Lost,
        }
    }
}

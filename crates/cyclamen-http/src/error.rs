//! Errors of an HTTP call.

use std::fmt;
use std::io;

/// Why a call has no answer.
#[derive(Debug)]
pub enum Error {
    /// No connection was made; the request was certainly not sent.
    NotSent,
    /// The peer closed the connection before its answer was whole.
    Closed,
    /// The time ran out after a connection was made.
    TimedOut,
    /// The answer cannot be understood.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotSent => "no connection was made",
            Self::Closed => "the connection was closed before the answer was whole",
            Self::TimedOut => "the time ran out",
            Self::Malformed => "the answer cannot be understood",
        })
    }
}

impl std::error::Error for Error {}

impl From<trillium_http::Error> for Error {
    fn from(error: trillium_http::Error) -> Self {
        match error {
            trillium_http::Error::Io(e) if e.kind() == io::ErrorKind::NotConnected => Self::NotSent,
            trillium_http::Error::Io(_) | trillium_http::Error::Closed => Self::Closed,
            _ => Self::Malformed,
        }
    }
}

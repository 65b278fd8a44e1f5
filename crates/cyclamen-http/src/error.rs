//! Errors of HTTP calls.

use std::fmt;
use std::io;

/// The reason why a call returned no response.
#[derive(Debug)]
pub enum Error {
    /// No connection was established, so the request was certainly not sent.
    NotSent,
    /// The peer closed the connection before the response was complete.
    Closed,
    /// The call timed out; the request may have been sent.
    TimedOut,
    /// The response is malformed or has an unexpected status, or the request could not be encoded.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotSent => "could not connect",
            Self::Closed => "connection closed before the response was complete",
            Self::TimedOut => "call timed out",
            Self::Malformed => "malformed or unexpected response",
        })
    }
}

impl std::error::Error for Error {}

impl From<trillium_http::Error> for Error {
    fn from(error: trillium_http::Error) -> Self {
        match error {
            trillium_http::Error::Io(e) if e.kind() == io::ErrorKind::NotConnected => Self::NotSent,
            trillium_http::Error::Io(e) if e.kind() == io::ErrorKind::InvalidData => {
                Self::Malformed
            }
            trillium_http::Error::Io(_) | trillium_http::Error::Closed => Self::Closed,
            _ => Self::Malformed,
        }
    }
}

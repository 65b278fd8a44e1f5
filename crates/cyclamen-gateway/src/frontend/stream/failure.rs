//! Why an attempt to run a streaming request ended without a complete response.

use std::fmt;
use std::io;

use crate::frontend::refusal::Refusal;
use crate::frontend::way::SendError;

/// How a connection on which a worker streamed came to an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Break {
    /// Reading failed with an error of this kind.
    Failed(io::ErrorKind),
    /// The body ended within an event or before the first one.
    EndedEarly,
    /// An event is too large.
    TooLarge,
    /// The response does not go on at the next event of the stream that another worker began.
    Gap,
}

/// Why an attempt ended without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Failure {
    /// No connection was made.
    NotSent,
    /// No permit for the limited worker is to be had now.
    Held,
    /// The other entry did not send the request to a worker.
    Refused(Refusal),
    /// The worker did not run the request.
    NotRun,
    /// The worker closed the connection before the response head.
    Closed,
    /// No usable response head was received; the request may have run.
    Unknown,
    /// The worker failed the request.
    Failed,
    /// The response broke off.
    Broken(Break),
}

/// Writes the name in log lines.
impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => write!(f, "Refused({})", refusal.reason),
            _ => write!(f, "{self:?}"),
        }
    }
}

impl From<SendError> for Failure {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent => Self::NotSent,
            SendError::Held => Self::Held,
            SendError::Refused(refusal) => Self::Refused(refusal),
            SendError::NotRun => Self::NotRun,
            SendError::Closed => Self::Closed,
            SendError::TimedOut | SendError::Unknown => Self::Unknown,
        }
    }
}

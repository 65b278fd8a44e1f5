//! Error responses to callers.

use std::time::Duration;

use trillium::{Conn, KnownHeaderName};

use crate::frontend::request::DEADLINE;
use crate::handover::{Reply, as_millis};

/// The retry delay sent to callers while the entry has no configuration yet.
const UNCONFIGURED_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The retry delay sent to callers when the entry may not retry a request again.
const RETRIES_SPENT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The retry delay sent to entries whose requests this one finds invalid.
const INVALID_RETRY_DELAY: Duration = Duration::from_secs(1);

/// An error response to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) status: u16,
    /// The reason as it stands in the response body, logs and metrics.
    pub(crate) reason: &'static str,
    /// The retry delay, only for requests that did not run.
    pub(crate) retry_after: Option<Duration>,
    /// Whether a worker received the request.
    pub(crate) was_sent: bool,
}

impl Refusal {
    /// A refusal without a retry delay, such as that of an invalid request.
    pub(crate) fn invalid(status: u16, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
            was_sent: false,
        }
    }

    /// A request that certainly did not run and may be retried.
    pub(crate) fn retry_later(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: 503,
            reason,
            retry_after: Some(retry_after),
            was_sent: false,
        }
    }

    /// A request that a worker received and certainly did not run.
    pub(crate) fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            was_sent: true,
            ..Self::retry_later(reason, retry_after)
        }
    }

    /// A request that another entry did not send to any worker.
    pub(crate) fn by_entry(retry_after_ms: u64) -> Self {
        Self::retry_later("refused_by_entry", Duration::from_millis(retry_after_ms))
    }

    /// Returns what a request that ends with this refusal is for the entry that handed it over.
    pub(crate) fn reply(self) -> Reply {
        match self.retry_after {
            Some(_) if self.was_sent => Reply::NotRun,
            Some(_) => self.reply_unsent(),
            None => Reply::Unknown,
        }
    }

    /// Returns the same for a request that was not sent to any worker.
    pub(crate) fn reply_unsent(self) -> Reply {
        Reply::Refused(as_millis(self.retry_after.unwrap_or(INVALID_RETRY_DELAY)))
    }

    /// A request that arrived before the entry had a configuration.
    pub(crate) fn unconfigured() -> Self {
        Self::retry_later("unconfigured", UNCONFIGURED_RETRY_DELAY)
    }

    /// A request that a worker did not run and that the entry may not retry again.
    pub(crate) fn retries_spent() -> Self {
        Self::not_run("retries_spent", RETRIES_SPENT_RETRY_DELAY)
    }

    /// A request that an endpoint failed, whose outcome is unknown or whose caller disconnected.
    pub(crate) fn failed(reason: &'static str) -> Self {
        Self::invalid(502, reason)
    }

    /// A request whose deadline passed before a response could be forwarded.
    pub(crate) fn deadline_exceeded() -> Self {
        Self::invalid(504, DEADLINE)
    }

    /// Writes the response, with the retry delay in seconds if there is one.
    pub(crate) fn respond(self, conn: Conn) -> Conn {
        let mut conn = conn
            .with_status(self.status)
            .with_response_header(KnownHeaderName::ContentType, "text/plain")
            .with_body(self.reason);
        if let Some(wait) = self.retry_after {
            let seconds = format!("{:.3}", wait.as_secs_f64());
            conn = conn.with_response_header(KnownHeaderName::RetryAfter, seconds);
        }
        conn.halt()
    }
}

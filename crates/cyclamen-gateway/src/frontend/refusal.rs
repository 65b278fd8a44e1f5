//! Error responses to callers.

use std::time::Duration;

use trillium::{Conn, KnownHeaderName};

/// The retry delay sent to callers while the entry has no configuration yet.
const UNCONFIGURED_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The retry delay sent to callers when the retry budget is spent.
const BUDGET_RETRY_DELAY: Duration = Duration::from_secs(1);

/// An error response to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) status: u16,
    /// The reason as it stands in the response body, logs and metrics.
    pub(crate) reason: &'static str,
    /// The retry delay, only for requests that did not run.
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// An invalid request.
    pub(crate) fn invalid(status: u16, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// A request that certainly did not run and may be retried.
    pub(crate) fn unavailable(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: 503,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// A request that arrived before the entry had a configuration.
    pub(crate) fn unconfigured() -> Self {
        Self::unavailable("unconfigured", UNCONFIGURED_RETRY_DELAY)
    }

    /// A request that did not run and that the entry may not retry any more.
    pub(crate) fn retries_spent() -> Self {
        Self::unavailable("retries_spent", BUDGET_RETRY_DELAY)
    }

    /// A request that an endpoint failed, or whose outcome is unknown.
    pub(crate) fn failed(reason: &'static str) -> Self {
        Self::invalid(502, reason)
    }

    /// A request that was sent and received no response before its deadline.
    pub(crate) fn deadline_exceeded() -> Self {
        Self::invalid(504, "deadline")
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

//! Answers to callers that are not the answer they asked for.

use std::time::Duration;

use trillium::{Conn, KnownHeaderName};

/// The time after which callers may come back when a configuration is still awaited.
const UNCONFIGURED_WAIT: Duration = Duration::from_millis(500);
/// The time after which callers may come back when the retry budget is spent.
const BUDGET_WAIT: Duration = Duration::from_secs(1);

/// An answer that is not the one asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) status: u16,
    /// The reason, as logs and metrics name it.
    pub(crate) reason: &'static str,
    /// When to come back, for requests that did not run.
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// A request that is wrong in itself.
    pub(crate) fn invalid(status: u16, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// A request that certainly did not run and may come back.
    pub(crate) fn not_now(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: 503,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// A request that reached an entry which knows no configuration yet.
    pub(crate) fn unconfigured() -> Self {
        Self::not_now("unconfigured", UNCONFIGURED_WAIT)
    }

    /// A request that did not run and for which no retry is left.
    pub(crate) fn retries_spent() -> Self {
        Self::not_now("retries_spent", BUDGET_WAIT)
    }

    /// A request that an endpoint failed, or whose fate is not known.
    pub(crate) fn failed(reason: &'static str) -> Self {
        Self::invalid(502, reason)
    }

    /// A request that was sent and not answered in time.
    pub(crate) fn late() -> Self {
        Self::invalid(504, "deadline")
    }

    pub(crate) fn answer(self, conn: Conn) -> Conn {
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

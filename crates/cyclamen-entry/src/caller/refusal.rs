//! Error responses to callers.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_endpoint::OUTCOME_HEADER;
use serde::Serialize;
use serde_json::json;
use trillium::{Conn, KnownHeaderName};

use crate::node;

/// The outcome of a request without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Outcome {
    /// The request is known not to have run.
    NotRun,
    /// The request may or may not have run.
    Unknown,
    /// The request ran without a complete response, or was rejected by an endpoint or as harmful.
    Failed,
}

impl Outcome {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => cyclamen_endpoint::NOT_RUN,
            Self::Unknown => "unknown",
            Self::Failed => "failed",
        }
    }
}

/// An error response to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) status: u16,
    pub(crate) code: &'static str,
    pub(crate) message: Arc<str>,
    pub(crate) outcome: Outcome,
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns the refusal of an invalid request, which was not run.
    pub(crate) fn invalid(status: u16, code: &'static str, message: impl Into<Arc<str>>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            outcome: Outcome::NotRun,
            retry_after: None,
        }
    }

    /// Returns the refusal of a request that was not run and may be retried later.
    pub(crate) fn retry_later(status: u16, code: &'static str, retry_after: Duration) -> Self {
        Self {
            status,
            code,
            message: "the request was not run; come back later".into(),
            outcome: Outcome::NotRun,
            retry_after: Some(retry_after),
        }
    }

    /// Returns the refusal of a request that may or may not have run.
    pub(crate) fn unknown(message: &str, retry_after: Option<Duration>) -> Self {
        Self {
            status: 502,
            code: "outcome_unknown",
            message: message.into(),
            outcome: Outcome::Unknown,
            retry_after,
        }
    }

    /// Returns the refusal of a request that ran without a complete response.
    pub(crate) fn failed(code: &'static str, message: &str, retry_after: Option<Duration>) -> Self {
        Self {
            status: 502,
            code,
            message: message.into(),
            outcome: Outcome::Failed,
            retry_after,
        }
    }

    /// Returns the refusal as JSON in the format of OpenAI's errors.
    pub(crate) fn json(&self) -> serde_json::Value {
        let kind = if self.status < 500 {
            "invalid_request_error"
        } else {
            "server_error"
        };
        json!({
            "error": {
                "message": &*self.message,
                "type": kind,
                "code": self.code,
                "outcome": self.outcome,
            }
        })
    }

    pub(crate) fn respond(self, conn: Conn) -> Conn {
        let mut conn = conn
            .with_status(self.status)
            .with_response_header(KnownHeaderName::ContentType, "application/json")
            .with_response_header(OUTCOME_HEADER, self.outcome.as_str())
            .with_body(self.json().to_string());
        if let Some(delay) = self.retry_after {
            conn = conn.with_response_header(KnownHeaderName::RetryAfter, seconds(delay));
        }
        conn.halt()
    }
}

impl From<node::Refusal> for Refusal {
    fn from(refusal: node::Refusal) -> Self {
        match refusal {
            node::Refusal::NotServing(wait) => Self::retry_later(503, "no_endpoint", wait),
            node::Refusal::Busy(wait) => Self::retry_later(503, "overloaded", wait),
            node::Refusal::Late(wait) => Self::retry_later(503, "deadline", wait),
        }
    }
}

/// Returns whole seconds, rounded up, at least one.
fn seconds(delay: Duration) -> String {
    delay.as_millis().div_ceil(1_000).max(1).to_string()
}

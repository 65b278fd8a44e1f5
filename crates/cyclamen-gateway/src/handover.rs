//! Messages with which entries hand requests over to each other.
//!
//! An entry that does not reach the workers of a request sends it over HTTP to one that does, with
//! the caller's method, path, end-to-end headers and body, and an [`Envelope`]. The receiver sends it
//! to one worker and never to another entry. Its response is the worker's, or says what became of
//! the request ([`Reply`]).

use std::time::Duration;

use cyclamen_directory::route::Repeat;
use cyclamen_types::{entry, instance, pool, route, team};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;
use trillium::Headers;

/// The header with the secret that entries share.
const SECRET_HEADER: &str = "Cyclamen-Secret";
/// The header with the envelope, in JSON.
const ENVELOPE_HEADER: &str = "Cyclamen-Handover";
/// The header with the reply, in JSON.
const REPLY_HEADER: &str = "Cyclamen-Reply";

/// The headers of a request or response that go from entry to entry only.
pub(crate) const INTERNAL_HEADERS: [&str; 3] = [SECRET_HEADER, ENVELOPE_HEADER, REPLY_HEADER];

/// What the receiver of a request has to know besides what the caller sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Envelope {
    /// The entry that hands the request over.
    pub(crate) sender: entry::Name,
    pub(crate) route: route::Name,
    pub(crate) service: pool::Service,
    /// The team that holds the caller's key.
    pub(crate) team: Option<team::Name>,
    pub(crate) priority: u8,
    pub(crate) repeat: Repetition,
    pub(crate) streaming: bool,
    /// The latency goal of the route, in milliseconds.
    pub(crate) goal_ms: u64,
    /// The time since the request arrived at the sender, in milliseconds.
    pub(crate) waited_ms: u64,
    /// The time left until the deadline, in milliseconds.
    pub(crate) remaining_ms: u64,
    /// Workers that the sender chose before; it may only have lost its path to them.
    pub(crate) tried: Vec<instance::Id>,
    /// Those of them that received the request and did not run it; earlier builds do not name them.
    #[serde(default)]
    pub(crate) shed: Vec<instance::Id>,
}

/// Whether and how a request may be retried, see [`Repeat`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Repetition {
    /// It may be sent again.
    Idempotent,
    /// It may run at most once.
    Never,
    /// Its stream may be resumed.
    Resume,
}

/// What became of a request that was handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Reply {
    /// The response is that of a worker.
    Answered,
    /// The request was not sent to any worker, and the sender may hand it over again after this
    /// time in milliseconds.
    Refused(u64),
    /// A worker received the request and did not run it.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Envelope {
    /// Adds the envelope to the headers of a request.
    pub(crate) fn write(&self, secret: &str, headers: &mut Headers) {
        headers.insert(SECRET_HEADER, secret.to_string());
        insert_json(headers, ENVELOPE_HEADER, self);
    }

    /// Removes the envelope from the headers of a request; `None` if there is no valid one with the
    /// secret.
    pub(crate) fn take(secret: &str, headers: &mut Headers) -> Option<Self> {
        let presented = headers.get_str(SECRET_HEADER)?;
        let is_valid: bool = presented.as_bytes().ct_eq(secret.as_bytes()).into();
        let envelope = headers.get_str(ENVELOPE_HEADER);
        let envelope = envelope.and_then(|text| serde_json::from_str(text).ok());
        headers.remove_all([SECRET_HEADER, ENVELOPE_HEADER]);
        envelope.filter(|_| is_valid)
    }
}

impl Reply {
    /// Adds the reply to the headers of a response.
    pub(crate) fn write(self, headers: &mut Headers) {
        insert_json(headers, REPLY_HEADER, &self);
    }

    /// Removes the reply from the headers of a response; without a valid one, the request may have
    /// run.
    pub(crate) fn take(headers: &mut Headers) -> Self {
        let reply = headers.get_str(REPLY_HEADER);
        let reply = reply.and_then(|text| serde_json::from_str(text).ok());
        headers.remove(REPLY_HEADER);
        reply.unwrap_or(Self::Unknown)
    }
}

/// Inserts a header whose value is JSON; names and numbers always encode.
fn insert_json(headers: &mut Headers, name: &'static str, value: &impl Serialize) {
    if let Ok(text) = serde_json::to_string(value) {
        headers.insert(name, text);
    }
}

impl From<Repeat> for Repetition {
    fn from(repeat: Repeat) -> Self {
        match repeat {
            Repeat::Idempotent => Self::Idempotent,
            Repeat::Never => Self::Never,
            Repeat::Resume => Self::Resume,
        }
    }
}

impl From<Repetition> for Repeat {
    fn from(repetition: Repetition) -> Self {
        match repetition {
            Repetition::Idempotent => Self::Idempotent,
            Repetition::Never => Self::Never,
            Repetition::Resume => Self::Resume,
        }
    }
}

/// Returns a duration in whole milliseconds.
pub(crate) fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

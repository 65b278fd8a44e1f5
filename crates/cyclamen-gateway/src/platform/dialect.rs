//! A platform's names of headers and paths.

use cyclamen_quota::Naming;
use trillium::Headers;

use crate::platform::Notices;

/// A platform's names of headers and paths.
///
/// All fields but `ready_path`, `worker_paths` and `key_scheme` are names of headers; their comments describe the
/// values of the headers.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// The path of the readiness check.
    pub ready_path: &'static str,
    /// The paths of the calls that the system makes to workers itself, apart from the health checks
    /// of services.
    pub worker_paths: [&'static str; 2],
    /// The scheme that precedes a key in the `Authorization` header.
    pub key_scheme: &'static str,
    /// The id of a request, which endpoints echo.
    pub request_id: &'static str,
    /// The time left until the deadline of a request, in milliseconds.
    pub deadline_ms: &'static str,
    /// The requested model.
    pub model: &'static str,
    /// The prompt tokens of a request and the maximum tokens of its response, separated by a
    /// comma.
    pub tokens: &'static str,
    /// The parts of a request's prompt in order, each an id and a number of tokens separated by a
    /// colon, separated by commas. Requests share parts, but for the last one.
    pub prompt_parts: &'static str,
    /// The id of the last event that the caller received, which is a number.
    pub last_event_id: &'static str,
    /// The name of the team that holds the caller's key, set by the gateway.
    pub team: &'static str,
    /// The instance that a request is addressed to; any other rejects it without running it.
    pub instance: &'static str,
    /// The urgency of a request; zero is the most urgent.
    pub urgency: &'static str,
    /// Present on responses to requests that did not run.
    pub not_run: &'static str,
    /// Present on all responses of a worker that is leaving.
    pub leaving: &'static str,
    /// The requests per second that a worker in need takes from all entries together, a decimal
    /// number; present on all its responses while it is in need.
    pub limit: &'static str,
}

impl Dialect {
    /// Reads what the head of a worker's response says of the worker.
    pub fn notices(&self, headers: &Headers) -> Notices {
        let limits = headers.get_values(self.limit);
        let limits = limits.into_iter().flat_map(|values| values.iter());
        Notices {
            is_leaving: headers.has_header(self.leaving),
            limit: Naming::read(limits.map(|value| value.as_str().unwrap_or_default())),
        }
    }
}

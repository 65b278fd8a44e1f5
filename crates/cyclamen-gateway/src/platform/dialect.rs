//! The names that a platform gives to headers and paths.

/// The names that a platform gives to headers and paths.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// The path of the readiness check.
    pub ready_path: &'static str,
    /// The word before a key in the `Authorization` header.
    pub key_scheme: &'static str,
    /// The id of a request, which endpoints echo.
    pub request_id: &'static str,
    /// The milliseconds for which the caller, or the sender, waits.
    pub deadline_ms: &'static str,
    /// The model that a request asks for.
    pub model: &'static str,
    /// The prompt tokens of a request and the most tokens of its answer, with a comma between.
    pub tokens: &'static str,
    /// The number of the last event that the caller has.
    pub last_event_id: &'static str,
    /// The name of the team that holds the caller's key, set by the system.
    pub team: &'static str,
    /// The instance that is meant; any other refuses the request as not run.
    pub instance: &'static str,
    /// The urgency of a request; zero is the most urgent.
    pub urgency: &'static str,
    /// Present on answers to requests that did not run.
    pub not_run: &'static str,
}

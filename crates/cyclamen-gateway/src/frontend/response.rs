//! Classification of workers' responses.

use cyclamen_http::StreamingResponse;

use crate::frontend::request::Request;

/// What the head of a worker's response implies about the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Class {
    /// A response to this request, to be forwarded to the caller.
    Answered,
    /// The request did not run.
    NotRun,
    /// The request ran and the worker failed it.
    Failed,
    /// A response to another request, or one whose status would claim that the request did not
    /// run although the worker did not state so.
    Invalid,
}

/// Statuses from which callers conclude that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Classifies a worker's response by its head.
pub(crate) fn classify(request: &Request, response: &StreamingResponse) -> Class {
    let dialect = request.node.platform.dialect();
    if response.headers.has_header(dialect.not_run) || response.status == 421 {
        return Class::NotRun;
    }
    let echoed = response.headers.get_str(dialect.request_id);
    if echoed.is_some_and(|echoed| *echoed != *request.id) {
        return Class::Invalid;
    }
    if NOT_RUN_STATUSES.contains(&response.status) {
        return Class::Invalid;
    }
    if response.status >= 500 {
        return Class::Failed;
    }
    Class::Answered
}

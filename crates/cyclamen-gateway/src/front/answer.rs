//! What a worker's answer says of the request.

use cyclamen_http::StreamingResponse;

use crate::front::job::Job;

/// What a worker's answer says of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It is an answer to this request, to be passed on.
    Answered,
    /// The request did not run.
    NotRun,
    /// The worker failed the request, which has run.
    Failed,
    /// It is not an answer to this request, or its status says more than the worker did.
    Foreign,
}

/// Statuses by which callers learn that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Judges the head of a worker's answer.
pub(crate) fn judge(job: &Job, answer: &StreamingResponse) -> Verdict {
    let dialect = job.node.platform.dialect();
    if answer.headers.has_header(dialect.not_run) || answer.status == 421 {
        return Verdict::NotRun;
    }
    let echoed = answer.headers.get_str(dialect.request_id);
    if echoed.is_some_and(|echoed| *echoed != *job.id) {
        return Verdict::Foreign;
    }
    if NOT_RUN_STATUSES.contains(&answer.status) {
        return Verdict::Foreign;
    }
    if answer.status >= 500 {
        return Verdict::Failed;
    }
    Verdict::Answered
}

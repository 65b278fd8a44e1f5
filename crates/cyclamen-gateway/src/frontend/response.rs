//! Classification of workers' responses.

use std::time::Duration;

use cyclamen_dispatch::Dispatch;
use cyclamen_http::StreamingResponse;
use cyclamen_replica::Start;
use trillium::KnownHeaderName;

use crate::frontend::call::Call;
use crate::node::LimitSource;
use crate::tasks;

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

/// Returns whether a status says that the request was answered.
pub(crate) fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

/// Records what the head of a response to this request says of the worker, whatever the response is:
/// that it is leaving or in need, or that it wants no requests from this entry for a while.
///
/// A misdirected request got to another worker.
pub(crate) fn record_notices(call: &Call, dispatch: &Dispatch, response: &StreamingResponse) {
    if belonging(call, response) != Belonging::Own || response.status == 421 {
        return;
    }
    let node = &call.node;
    let now = node.now();
    let worker = Start {
        instance: dispatch.target.instance.clone(),
        incarnation: dispatch.target.incarnation,
    };
    let notices = node.platform.dialect().notices(&response.headers);
    let source = LimitSource::Response;
    tasks::record_notices(node, &worker, dispatch.chosen_at, notices, source);
    if response.status != 503 {
        return;
    }
    let retry_after = response.headers.get_str(KnownHeaderName::RetryAfter);
    if let Some(pause) = retry_after.and_then(pause) {
        log::info!(
            "event=worker_paused instance={} pause_ms={}",
            dispatch.target.instance,
            pause.as_millis()
        );
        node.state().dispatcher.record_pause(now, dispatch, pause);
    }
}

/// Returns the pause for which a value of `Retry-After` asks; none if it is not a finite number of
/// seconds above zero.
fn pause(retry_after: &str) -> Option<Duration> {
    let seconds: f64 = retry_after.trim().parse().ok()?;
    let is_pause = seconds.is_finite() && seconds > 0.0;
    is_pause.then(|| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// What the id that a response echoes says of the request that it belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Belonging {
    /// It belongs to this request.
    Own,
    /// It names no request.
    Unnamed,
    /// It belongs to another request.
    Foreign,
}

fn belonging(call: &Call, response: &StreamingResponse) -> Belonging {
    let dialect = call.node.platform.dialect();
    match response.headers.get_str(dialect.request_id) {
        Some(echoed) if *echoed == *call.id => Belonging::Own,
        Some(_) => Belonging::Foreign,
        None => Belonging::Unnamed,
    }
}

/// Classifies a worker's response by its head.
///
/// A statement that the request did not run counts only in a response that names the request: an
/// earlier one that a worker sends once more is no promise.
pub(crate) fn classify(call: &Call, response: &StreamingResponse) -> Class {
    let dialect = call.node.platform.dialect();
    let belonging = belonging(call, response);
    if belonging == Belonging::Foreign {
        return Class::Invalid;
    }
    if response.headers.has_header(dialect.not_run) || response.status == 421 {
        return match belonging {
            Belonging::Own => Class::NotRun,
            Belonging::Unnamed | Belonging::Foreign => {
                log::warn!(
                    "event=refusal_without_id id={} status={}",
                    call.id,
                    response.status
                );
                Class::Invalid
            }
        };
    }
    if NOT_RUN_STATUSES.contains(&response.status) {
        return Class::Invalid;
    }
    if response.status >= 500 {
        return Class::Failed;
    }
    Class::Answered
}

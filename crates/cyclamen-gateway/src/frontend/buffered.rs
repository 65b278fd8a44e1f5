//! Requests whose response is read completely before it is forwarded.

use cyclamen_dispatch::Outcome;
use cyclamen_http::StreamingResponse;
use cyclamen_relay::Reservation;
use cyclamen_server::or_closed;
use futures::{AsyncRead, AsyncReadExt};
use smol::Timer;
use smol::future::or;
use trillium::{Conn, Headers};

use crate::frontend::call::Call;
use crate::frontend::refusal::Refusal;
use crate::frontend::request::{ANSWERED, Request};
use crate::frontend::response::{Class, classify, is_success, record_notices};
use crate::frontend::way::{SendError, Way};

/// The maximum size of a response body in memory, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// The number of bytes of a body that are read at once.
const READ_BYTES: usize = 8 << 10;

/// A complete response of a worker.
struct Response {
    status: u16,
    headers: Headers,
    body: Vec<u8>,
    memory: Reservation,
}

/// Why an attempt has no response to forward.
enum Failure {
    /// The request did not get to a worker.
    NotSent,
    /// No permit for the limited worker is to be had now.
    Held,
    /// The worker did not run the request.
    NotRun,
    /// The worker responded with an error status.
    Failed(Box<Response>),
    /// The worker closed the connection; the request may have run.
    Closed,
    /// The request may have run.
    Unknown,
    /// The response is too large to be read into memory.
    TooLarge,
    /// The responses in memory leave no room for this one.
    NoMemory,
    /// The deadline has passed.
    TimedOut,
}

/// Forwards a request and responds to the caller once the response is complete.
pub(crate) async fn forward(mut request: Request, conn: &mut Conn) -> Result<(), Refusal> {
    let node = request.call.node.clone();
    let running = node.abortion.or_aborted(run(&mut request));
    let result = match or_closed(conn, running).await {
        Some(Some(result)) => result,
        Some(None) => return Err(request.record_abortion()),
        None => {
            request.finish("caller_gone", 0, None);
            return Err(Refusal::failed("caller_gone"));
        }
    };
    let (response, way) = result.map_err(|refusal| request.record_refusal(refusal))?;
    request.finish(ANSWERED, response.status, Some(&way));
    conn.set_status(response.status);
    conn.response_headers_mut().append_all(response.headers);
    conn.set_body(response.body);
    // The state of the connection lives until the body is sent.
    conn.insert_state(response.memory);
    Ok(())
}

/// Sends the request to workers until one responds or no retry is allowed; the last response with
/// which one failed it counts if no later attempt brings another.
async fn run(request: &mut Request) -> Result<(Response, Way), Refusal> {
    let mut failed = None;
    let result = attempts(request, &mut failed).await;
    result.or_else(|refusal| failed.ok_or(refusal))
}

/// Sends the request to workers until one responds or no retry is allowed, and keeps the last
/// response with which one failed it.
async fn attempts(
    request: &mut Request,
    failed: &mut Option<(Response, Way)>,
) -> Result<(Response, Way), Refusal> {
    loop {
        let way = request.choose()?;
        match attempt(&request.call, &way).await {
            Ok(response) => {
                request.call.record_completion(is_success(response.status));
                return Ok((response, way));
            }
            Err(Failure::NotSent) => {
                request.record_unsent(&way);
                if request.call.remaining().is_zero() {
                    return Err(Refusal::deadline_exceeded());
                }
            }
            Err(Failure::Held) => {
                request.record_held(&way);
                if request.call.remaining().is_zero() {
                    return Err(Refusal::deadline_exceeded());
                }
            }
            Err(Failure::NotRun) => {
                request.record_shed(&way);
                if !request.try_spend_retry() {
                    return Err(Refusal::retries_spent());
                }
            }
            Err(Failure::Failed(response)) => {
                request.may_have_run = true;
                if !request.call.is_repeatable() || !request.try_spend_retry() {
                    return Ok((*response, way));
                }
                *failed = Some((*response, way));
            }
            Err(failure @ (Failure::Closed | Failure::Unknown)) => {
                if let (Failure::Closed, Way::Worker(dispatch)) = (&failure, &way) {
                    request.call.record_disconnect(dispatch, &request.stage);
                }
                request.may_have_run = true;
                if !request.call.is_repeatable() || !request.try_spend_retry() {
                    return Err(Refusal::failed("outcome_unknown"));
                }
            }
            Err(Failure::TooLarge) => {
                request.may_have_run = true;
                return Err(Refusal::failed("response_too_large"));
            }
            Err(Failure::NoMemory) => {
                request.may_have_run = true;
                return Err(Refusal::failed("memory_spent"));
            }
            Err(Failure::TimedOut) => return Err(Refusal::deadline_exceeded()),
        }
    }
}

/// Sends the request once.
async fn attempt(call: &Call, way: &Way) -> Result<Response, Failure> {
    let mut in_progress = InProgress {
        call,
        way,
        outcome: Outcome::Cancelled,
    };
    let result = exchange(call, way).await;
    in_progress.outcome = match &result {
        Ok(_) => Outcome::Complete,
        Err(Failure::NotRun) => Outcome::Shed,
        Err(Failure::TimedOut | Failure::NoMemory | Failure::Held) => Outcome::Cancelled,
        Err(_) => Outcome::Failed,
    };
    result
}

/// A request in progress on a worker; records the outcome on drop, also if the caller
/// disconnects.
struct InProgress<'a> {
    call: &'a Call,
    way: &'a Way,
    outcome: Outcome,
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.way.record_outcome(self.call, self.outcome, false);
    }
}

async fn exchange(call: &Call, way: &Way) -> Result<Response, Failure> {
    let response = way.send(call, None).await.map_err(|error| match error {
        SendError::NotSent | SendError::Refused(_) => Failure::NotSent,
        SendError::Held => Failure::Held,
        SendError::NotRun => Failure::NotRun,
        SendError::TimedOut => Failure::TimedOut,
        SendError::Closed => Failure::Closed,
        SendError::Unknown => Failure::Unknown,
    })?;
    if let Way::Worker(dispatch) = way {
        record_notices(call, dispatch, &response);
    }
    let class = classify(call, &response);
    match class {
        Class::NotRun => return Err(Failure::NotRun),
        Class::Invalid => return Err(Failure::Unknown),
        Class::Answered | Class::Failed => {}
    }
    let response = read_body(call, response).await?;
    if class == Class::Failed {
        return Err(Failure::Failed(Box::new(response)));
    }
    Ok(response)
}

async fn read_body(call: &Call, mut response: StreamingResponse) -> Result<Response, Failure> {
    let reading = collect(&mut response.body, call.node.response_memory.reservation());
    let timeout = async {
        Timer::after(call.remaining()).await;
        Err(Failure::TimedOut)
    };
    let (body, memory) = or(reading, timeout).await?;
    Ok(Response {
        status: response.status,
        headers: cyclamen_relay::end_to_end(&response.headers),
        body,
        memory,
    })
}

/// Reads a body to its end, as far as the memory for it can be reserved.
///
/// The parts are joined at the end, since a buffer that grows is copied again and again.
async fn collect(
    mut reader: impl AsyncRead + Unpin,
    mut memory: Reservation,
) -> Result<(Vec<u8>, Reservation), Failure> {
    let mut parts: Vec<Box<[u8]>> = Vec::new();
    let mut len = 0;
    let mut part = vec![0; READ_BYTES];
    loop {
        let count = reader.read(&mut part).await;
        let count = count.map_err(|_| Failure::Closed)?;
        if count == 0 {
            return Ok((parts.concat(), memory));
        }
        len += count;
        if len > MAX_RESPONSE_BYTES {
            return Err(Failure::TooLarge);
        }
        if !memory.grow(count) {
            return Err(Failure::NoMemory);
        }
        parts.push(part[..count].into());
    }
}

//! The ways by which a request gets to a worker.

use std::fmt;
use std::sync::Arc;

use cyclamen_dispatch::{Dispatch, Outcome};
use cyclamen_http::{Error, StreamingResponse};
use cyclamen_replica::Start;
use cyclamen_types::{Time, instance};

use crate::frontend::call::Call;
use crate::frontend::permit;
use crate::frontend::refusal::Refusal;
use crate::frontend::send::{send, send_to_entry};
use crate::handover::Reply;
use crate::node::Receiver;

/// The way by which a request gets to a worker.
#[derive(Debug, Clone)]
pub(crate) enum Way {
    /// This entry sends it to a worker.
    Worker(Dispatch),
    /// Another entry does.
    Entry(Handover),
}

/// A request that is handed over to another entry.
#[derive(Debug, Clone)]
pub(crate) struct Handover {
    pub(crate) receiver: Receiver,
    pub(crate) chosen_at: Time,
    /// Workers that this entry chose for the request before.
    pub(crate) tried: Arc<[instance::Id]>,
    /// Those of them that received the request and did not run it.
    pub(crate) shed: Arc<[instance::Id]>,
}

/// Why a request got no response head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No connection was made.
    NotSent,
    /// No permit for the limited worker is to be had now.
    Held,
    /// The other entry did not send the request to a worker.
    Refused(Refusal),
    /// A worker received the request and did not run it.
    NotRun,
    /// The worker closed the connection.
    Closed,
    /// The deadline has passed.
    TimedOut,
    /// The request may have run.
    Unknown,
}

impl Way {
    /// Sends a request and returns the response once its head is received.
    ///
    /// `last_event_id` is the id of the last event that the caller received, if a stream is resumed.
    pub(crate) async fn send(
        &self,
        call: &Call,
        last_event_id: Option<u64>,
    ) -> Result<StreamingResponse, SendError> {
        match self {
            Self::Worker(dispatch) => {
                let permit = permit::acquire(call, dispatch).await;
                let permit = permit.map_err(|permit::Held| SendError::Held)?;
                let result = send(call, dispatch, last_event_id).await;
                if let (Some(permit), Err(Error::NotSent)) = (permit, &result) {
                    let mut state = call.node.state();
                    state.dispatcher.put_permit_back(call.node.now(), permit);
                }
                record_contact(call, dispatch, &result);
                Ok(result?)
            }
            Self::Entry(handover) => {
                let mut response = send_to_entry(call, handover, last_event_id).await?;
                match Reply::take(&mut response.headers) {
                    Reply::Answered => Ok(response),
                    Reply::Refused(ms) => Err(SendError::Refused(Refusal::by_entry(ms))),
                    Reply::NotRun => Err(SendError::NotRun),
                    Reply::Unknown => Err(SendError::Unknown),
                }
            }
        }
    }

    /// Returns when the way was chosen.
    pub(crate) fn chosen_at(&self) -> Time {
        match self {
            Self::Worker(dispatch) => dispatch.chosen_at,
            Self::Entry(handover) => handover.chosen_at,
        }
    }

    /// Returns the worker, unless another entry chooses it.
    pub(crate) fn dispatch(&self) -> Option<&Dispatch> {
        match self {
            Self::Worker(dispatch) => Some(dispatch),
            Self::Entry(_) => None,
        }
    }

    /// Records that the response to a request has begun.
    pub(crate) fn record_started(&self, call: &Call) {
        if let Self::Worker(dispatch) = self {
            let now = call.node.now();
            let mut state = call.node.state();
            state.dispatcher.record_started(dispatch);
            // A worker puts requests that were late when they were sent behind all others.
            if call.waited(dispatch.chosen_at) < call.route.goal {
                state.dispatcher.record_first_part(now, dispatch);
            }
        }
    }

    /// Records how a request ended; `started` is whether its response had begun.
    pub(crate) fn record_outcome(&self, call: &Call, outcome: Outcome, started: bool) {
        let now = call.node.now();
        let mut state = call.node.state();
        match self {
            Self::Worker(dispatch) => {
                let dispatcher = &mut state.dispatcher;
                dispatcher.record_outcome(now, dispatch, outcome, started);
            }
            Self::Entry(handover) => {
                state.record_handover_end(&handover.receiver);
                drop(state);
                let took = now.since(handover.chosen_at);
                call.node.metrics.record_handover(outcome, took);
            }
        }
    }
}

/// Records whether a worker was reached over a new connection.
fn record_contact(call: &Call, dispatch: &Dispatch, result: &Result<StreamingResponse, Error>) {
    let is_reached = match result {
        Ok(_) => true,
        Err(Error::NotSent) => false,
        Err(Error::Closed | Error::TimedOut | Error::Malformed) => return,
    };
    let worker = Start {
        instance: dispatch.target.instance.clone(),
        incarnation: dispatch.target.incarnation,
    };
    let now = call.node.now();
    let mut state = call.node.state();
    state.record_contact(now, call.service_name(), &worker, is_reached);
}

/// Writes the key and value that name the way in log lines.
impl fmt::Display for Way {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Worker(dispatch) => write!(f, "instance={}", dispatch.target.instance),
            Self::Entry(handover) => write!(f, "peer={}", handover.receiver.entry),
        }
    }
}

impl From<Error> for SendError {
    fn from(error: Error) -> Self {
        match error {
            Error::NotSent => Self::NotSent,
            Error::Closed => Self::Closed,
            Error::TimedOut => Self::TimedOut,
            Error::Malformed => Self::Unknown,
        }
    }
}

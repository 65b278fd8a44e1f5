//! Finds a worker that starts to respond to a streaming request.

use std::time::Duration;

use cyclamen_dispatch::{Dispatch, Outcome};
use cyclamen_http::{Error, StreamingResponse};
use cyclamen_relay::EventBuffer;
use smol::Timer;
use smol::future::or;

use crate::frontend::refusal::Refusal;
use crate::frontend::response::{Class, classify, record_notices};
use crate::frontend::send::send;
use crate::frontend::stream::upstream::{Upstream, first_event_probe_delay};
use crate::frontend::stream::{Head, Part, Relay, SILENCE_CHECK_INTERVAL};
use crate::settings::millis;
use crate::tasks;

/// The retry delay sent to callers when no worker accepted their stream.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Why a worker did not start to respond.
enum Failure {
    /// No connection was made; another worker may be tried.
    NotSent,
    /// Another worker may be tried if the retry budget allows it.
    Retryable(Refusal),
    /// No other worker may be tried.
    Final(Refusal),
}

impl Relay {
    /// Sends the request to workers until one starts to respond.
    pub(super) async fn connect(&mut self) -> Result<Head, Refusal> {
        loop {
            let dispatch = self.request.choose()?;
            match self.open(dispatch).await {
                Ok(head) => return Ok(head),
                Err(Failure::Final(refusal)) => return Err(refusal),
                Err(Failure::NotSent) if self.request.remaining().is_zero() => {
                    return Err(Refusal::deadline_exceeded());
                }
                Err(Failure::NotSent) => {}
                Err(Failure::Retryable(_)) if self.request.try_spend_retry() => {}
                Err(Failure::Retryable(refusal)) => return Err(refusal),
            }
        }
    }

    /// Sends the request to one worker.
    async fn open(&mut self, dispatch: Dispatch) -> Result<Head, Failure> {
        let in_progress = InProgress {
            relay: self,
            dispatch: &dispatch,
            finished: false,
        };
        let result = in_progress.run().await;
        match result {
            Ok(response) => self.accept(dispatch, response),
            Err(Error::NotSent) => {
                self.request
                    .record_outcome(&dispatch, Outcome::Failed, false);
                tasks::probe_group(&self.request.node, &dispatch.target);
                if self.request.record_failed_connect(&dispatch) {
                    return Err(Failure::NotSent);
                }
                let refusal = Refusal::retry_later("not_connected", CONNECT_RETRY_DELAY);
                Err(Failure::Final(refusal))
            }
            Err(error) => {
                let timed_out =
                    matches!(error, Error::TimedOut) && self.request.remaining().is_zero();
                self.request.record_outcome(
                    &dispatch,
                    if timed_out {
                        Outcome::Cancelled
                    } else {
                        Outcome::Failed
                    },
                    false,
                );
                self.request.tried.push(dispatch.target.instance.clone());
                if matches!(error, Error::Closed) {
                    self.request.record_disconnect(&dispatch);
                }
                tasks::probe_group(&self.request.node, &dispatch.target);
                Err(if timed_out {
                    Failure::Final(Refusal::deadline_exceeded())
                } else {
                    self.record_unknown_outcome()
                })
            }
        }
    }

    /// Records that the request may have run without a response, and returns the resulting
    /// failure.
    fn record_unknown_outcome(&mut self) -> Failure {
        self.request.may_have_run = true;
        let refusal = Refusal::failed("outcome_unknown");
        if self.may_resume() {
            Failure::Retryable(refusal)
        } else {
            Failure::Final(refusal)
        }
    }

    /// Accepts a response, unless its head shows that the request must be retried or refused.
    fn accept(&mut self, dispatch: Dispatch, response: StreamingResponse) -> Result<Head, Failure> {
        record_notices(&self.request, &dispatch, &response);
        match classify(&self.request, &response) {
            Class::NotRun => {
                self.request.record_outcome(&dispatch, Outcome::Shed, false);
                tasks::probe_group(&self.request.node, &dispatch.target);
                self.request.tried.push(dispatch.target.instance.clone());
                let refusal = Refusal::retry_later("shed", CONNECT_RETRY_DELAY);
                Err(Failure::Retryable(refusal))
            }
            Class::Invalid => {
                self.request
                    .record_outcome(&dispatch, Outcome::Failed, false);
                self.request.tried.push(dispatch.target.instance.clone());
                Err(self.record_unknown_outcome())
            }
            Class::Failed if self.may_resume() => {
                self.request
                    .record_outcome(&dispatch, Outcome::Failed, false);
                self.request.tried.push(dispatch.target.instance.clone());
                self.request.may_have_run = true;
                Err(Failure::Retryable(Refusal::failed("endpoint_failed")))
            }
            Class::Answered | Class::Failed => {
                self.request.tried.push(dispatch.target.instance.clone());
                self.request.may_have_run = true;
                let head = Head {
                    status: response.status,
                    headers: cyclamen_relay::end_to_end(&response.headers),
                    part: Part::End,
                };
                self.upstream = Some(Upstream {
                    last_event_at: self.request.node.now(),
                    events: EventBuffer::new(&self.request.node.response_memory),
                    started_at: None,
                    response,
                    dispatch,
                });
                Ok(head)
            }
        }
    }
}

/// A request in progress on a worker; recorded as cancelled if the caller disconnects.
struct InProgress<'a> {
    relay: &'a Relay,
    dispatch: &'a Dispatch,
    finished: bool,
}

impl InProgress<'_> {
    async fn run(mut self) -> Result<StreamingResponse, Error> {
        let result = self.wait().await;
        self.finished = true;
        result
    }

    /// Waits for the response head; fails if the worker's group loses a member and the request
    /// may be repeated.
    async fn wait(&self) -> Result<StreamingResponse, Error> {
        let request = &self.relay.request;
        let sending = send(request, self.dispatch, self.relay.last_event_id);
        let monitoring = async {
            loop {
                Timer::after(SILENCE_CHECK_INTERVAL).await;
                let waited = request.node.now().since(self.dispatch.chosen_at);
                if waited < millis(request.node.settings.timing.stall_ms) {
                    continue;
                }
                let loss = request.node.state().group_loss(&self.dispatch.target);
                if let Some(loss) = loss.filter(|_| self.relay.may_resume()) {
                    log::info!(
                        "event=response_given_up id={} instance={} loss={} silent_ms={}",
                        request.id,
                        self.dispatch.target.instance,
                        loss.as_str(),
                        waited.as_millis()
                    );
                    return Err(Error::Closed);
                }
                if waited >= first_event_probe_delay(self.dispatch) {
                    tasks::probe_group(&request.node, &self.dispatch.target);
                }
            }
        };
        or(sending, monitoring).await
    }
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        if !self.finished {
            self.relay
                .request
                .record_outcome(self.dispatch, Outcome::Cancelled, false);
        }
    }
}

//! Runs a streaming request on one worker after another until the response is complete.

mod silence;

use std::sync::Arc;
use std::time::Duration;

use cyclamen_dispatch::Outcome;
use cyclamen_types::Time;
use futures::future::select_all;
use smol::Timer;
use smol::future::or;
use trillium::Headers;

use crate::frontend::call::Call;
use crate::frontend::refusal::Refusal;
use crate::frontend::request::{ANSWERED, Request};
use crate::frontend::stream::attempt::{Attempt, Part};
use crate::frontend::stream::failure::Failure;
use crate::frontend::stream::sequence::Sequence;
use crate::frontend::way::Way;
use crate::tasks;

/// The interval at which the group of a silent worker is checked.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// The retry delay sent to callers when no worker accepted their stream.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The status of a response that a worker has not begun.
const BAD_GATEWAY: u16 = 502;

/// The head of a response and the first part of its body.
pub(super) struct Head {
    pub(super) status: u16,
    pub(super) headers: Headers,
    pub(super) part: Part,
}

/// A streaming request, forwarded to one worker after another until the response is complete.
///
/// A worker that may have failed but has not closed its connection keeps the request while a
/// replacement is sought: the first of them that makes the next event goes on, and the others are
/// cancelled. No more workers run it at a time than its route allows attempts.
pub(super) struct Relay {
    pub(super) request: Request,
    /// The workers that run the request, the first one first.
    attempts: Vec<Attempt>,
    /// The ids of the events that the caller received.
    ids: Sequence,
    /// Whether the caller has received the head of a response.
    has_head: bool,
    /// Whether the request may be sent to a worker without spending a retry.
    may_send: bool,
    /// When a replacement of a silent worker was last sought.
    replacement_sought_at: Option<Time>,
}

/// What a relay waited for.
enum Event {
    /// The attempt with this index made a part of the response, or failed.
    Attempt(usize, Result<Part, Failure>),
    /// The workers are to be checked for silence.
    Check,
}

impl Relay {
    pub(super) fn new(request: Request, last_event_id: Option<u64>) -> Self {
        Self {
            request,
            attempts: Vec::new(),
            ids: Sequence::after(last_event_id),
            has_head: false,
            may_send: true,
            replacement_sought_at: None,
        }
    }

    fn call(&self) -> &Arc<Call> {
        &self.request.call
    }

    /// Returns the response head once the first event is received.
    pub(super) async fn begin(&mut self) -> Result<Head, Refusal> {
        let part = self.next().await?;
        let Some(attempt) = self.attempts.first() else {
            return Err(Refusal::failed("endpoint_failed"));
        };
        let head = Head {
            status: attempt.status().unwrap_or(BAD_GATEWAY),
            headers: attempt.headers(),
            part,
        };
        let call = self.call();
        let wait = call.node.now().since(call.arrived_at);
        let service = call.service_name().as_str();
        call.node.metrics.record_first_byte(service, wait);
        self.has_head = true;
        self.request.record_begin();
        Ok(head)
    }

    /// Returns the next complete events, from another worker if one fails or is silent.
    pub(super) async fn next(&mut self) -> Result<Part, Refusal> {
        loop {
            if self.attempts.is_empty() {
                self.start_attempt()?;
            }
            match self.wait().await {
                Event::Attempt(index, Ok(part)) => {
                    self.continue_with(index);
                    return Ok(self.deliver(part));
                }
                Event::Attempt(index, Err(failure)) => self.end_attempt(index, failure)?,
                Event::Check if self.call().remaining().is_zero() => {
                    self.log_deadline();
                    return Err(Refusal::deadline_exceeded());
                }
                Event::Check => self.check_silence(),
            }
        }
    }

    /// Waits for the next part of any attempt, or until workers are to be checked for silence.
    async fn wait(&mut self) -> Event {
        let interval = SILENCE_CHECK_INTERVAL.min(self.call().remaining());
        let after = self.ids;
        let parts = self.attempts.iter_mut().map(|a| Box::pin(a.next(after)));
        let first = async {
            let (result, index, _) = select_all(parts).await;
            Event::Attempt(index, result)
        };
        let check = async {
            Timer::after(interval).await;
            Event::Check
        };
        or(first, check).await
    }

    /// Sends the request to another worker, which costs a retry unless it is the first one or the
    /// one before was not reached.
    fn start_attempt(&mut self) -> Result<(), Refusal> {
        let way = if self.may_send {
            self.request.choose()?
        } else {
            self.choose_for_retry()?
        };
        self.may_send = false;
        let attempt = Attempt::start(self.call(), way, self.ids.last(), self.has_head);
        self.attempts.push(attempt);
        Ok(())
    }

    /// Chooses a worker for a retry, which is spent only if there is one.
    fn choose_for_retry(&mut self) -> Result<Way, Refusal> {
        if !self.request.try_reserve_retry() {
            return Err(Refusal::retries_spent());
        }
        let chosen = self.request.choose();
        match &chosen {
            Ok(_) => self.call().node.metrics.record_retry(),
            Err(_) => self.request.return_retry(),
        }
        chosen
    }

    /// Cancels all attempts but one, which made the next part of the response; those that it
    /// replaces, which are before it, count as failed.
    fn continue_with(&mut self, index: usize) {
        let attempt = self.attempts.remove(index);
        let others = std::mem::replace(&mut self.attempts, vec![attempt]);
        for (position, mut other) in others.into_iter().enumerate() {
            let is_replaced = position < index;
            let call = self.call();
            log::info!(
                "event=attempt_cancelled id={} {} replaced={is_replaced} after={:?} \
                 silent_ms={}",
                call.id,
                other.way,
                self.ids.last(),
                call.node.now().since(other.last_event_at).as_millis()
            );
            if is_replaced {
                other.record_outcome(Outcome::Failed);
            }
            self.request.may_have_run = true;
        }
        let goes_on = self
            .attempts
            .first_mut()
            .is_some_and(Attempt::take_resumption);
        if goes_on {
            self.call().node.metrics.record_resumed_stream();
        }
    }

    /// Records the part that the caller gets next.
    fn deliver(&mut self, part: Part) -> Part {
        match &part {
            Part::Events { ids, .. } => self.ids = *ids,
            Part::End => self.finish(),
        }
        part
    }

    /// Records the end of a complete response.
    fn finish(&mut self) {
        let Some(attempt) = self.attempts.first_mut() else {
            return;
        };
        attempt.record_outcome(Outcome::Complete);
        let was_answered = attempt.has_started() && attempt.is_success();
        let status = attempt.status().unwrap_or(BAD_GATEWAY);
        let way = attempt.way.clone();
        self.call().record_completion(was_answered);
        self.request.finish(ANSWERED, status, Some(&way));
    }

    /// Ends a failed attempt; fails if no other one runs and the request may not be sent again.
    fn end_attempt(&mut self, index: usize, failure: Failure) -> Result<(), Refusal> {
        let attempt = self.attempts.remove(index);
        let call = self.call().clone();
        let level = if failure == Failure::Held {
            log::Level::Debug
        } else {
            log::Level::Info
        };
        log::log!(
            level,
            "event=attempt_failed id={} {} cause={failure} after={:?} silent_ms={}",
            call.id,
            attempt.way,
            self.ids.last(),
            call.node.now().since(attempt.last_event_at).as_millis()
        );
        if call.remaining().is_zero() {
            return Err(Refusal::deadline_exceeded());
        }
        self.record_failure(attempt, failure);
        if !self.attempts.is_empty() {
            return Ok(());
        }
        let refusal = refusal(failure, self.has_head);
        let may_retry = match failure {
            Failure::NotSent | Failure::Held | Failure::Refused(_) => {
                return self.start_attempt();
            }
            Failure::NotRun => true,
            Failure::Closed | Failure::Unknown | Failure::Failed | Failure::Broken(_) => {
                call.is_resumable()
            }
        };
        if !may_retry || !(self.may_send || self.request.try_spend_retry()) {
            return Err(refusal);
        }
        self.may_send = true;
        self.start_attempt()
    }

    /// Records how a failed attempt ended.
    fn record_failure(&mut self, mut attempt: Attempt, failure: Failure) {
        let call = self.call().clone();
        let outcome = match failure {
            Failure::NotRun => Outcome::Shed,
            Failure::Held => Outcome::Cancelled,
            Failure::NotSent
            | Failure::Refused(_)
            | Failure::Closed
            | Failure::Unknown
            | Failure::Failed
            | Failure::Broken(_) => Outcome::Failed,
        };
        attempt.record_outcome(outcome);
        match failure {
            Failure::NotSent | Failure::Refused(_) => {
                self.request.record_unsent(&attempt.way);
                self.may_send = true;
            }
            Failure::Held => {
                self.request.record_held(&attempt.way);
                self.may_send = true;
            }
            Failure::NotRun => self.request.record_shed(&attempt.way),
            Failure::Closed | Failure::Unknown | Failure::Failed | Failure::Broken(_) => {
                self.request.may_have_run = true;
            }
        }
        let Way::Worker(dispatch) = &attempt.way else {
            return;
        };
        match failure {
            Failure::Closed | Failure::Broken(_) if attempt.is_beginning(call.node.now()) => {
                call.record_disconnect(dispatch, &self.request.stage);
            }
            _ => {}
        }
        if matches!(
            failure,
            Failure::NotRun | Failure::Closed | Failure::Unknown
        ) {
            tasks::probe_group(&call.node, &dispatch.target);
        }
    }
}

/// Returns the refusal of a request whose last attempt failed and that may not be sent again.
fn refusal(failure: Failure, has_head: bool) -> Refusal {
    match failure {
        Failure::NotSent => Refusal::retry_later("not_connected", CONNECT_RETRY_DELAY),
        Failure::Held => Refusal::retry_later("limited", CONNECT_RETRY_DELAY),
        Failure::Refused(refusal) => refusal,
        Failure::NotRun => Refusal::not_run("shed", CONNECT_RETRY_DELAY),
        Failure::Closed | Failure::Unknown => Refusal::failed("outcome_unknown"),
        Failure::Broken(_) if has_head => Refusal::failed("stream_broken"),
        Failure::Failed | Failure::Broken(_) => Refusal::failed("endpoint_failed"),
    }
}

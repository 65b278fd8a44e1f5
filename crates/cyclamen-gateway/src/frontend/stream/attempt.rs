//! One attempt to run a streaming request.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_dispatch::Outcome;
use cyclamen_http::StreamingResponse;
use cyclamen_relay::EventBuffer;
use cyclamen_types::Time;
use futures::AsyncReadExt;
use smol::future::yield_now;
use trillium::{Headers, KnownHeaderName};

use crate::frontend::call::Call;
use crate::frontend::response::{Class, classify, is_success, record_notices};
use crate::frontend::stream::failure::{Break, Failure};
use crate::frontend::stream::sequence::Sequence;
use crate::frontend::way::{SendError, Way};
use crate::node::Loss;
use crate::tasks;

/// The media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";
/// Size of the buffer for reads from a worker, in bytes.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// The delay of a first event beyond its forecast that is tolerated before the group is
/// probed.
const FORECAST_SLACK: Duration = Duration::from_millis(100);
/// The silence of another entry after which a request that was handed over to it is sent elsewhere
/// besides.
const HANDOVER_SILENCE: Duration = Duration::from_secs(1);
/// How long after its first bytes a response counts as beginning.
const BEGINNING_DURATION: Duration = Duration::from_millis(500);

/// A part of a response body.
#[derive(Debug)]
pub(super) enum Part {
    /// Complete events, with the ids that the caller has received after them.
    Events { bytes: Vec<u8>, ids: Sequence },
    /// The end of a complete response.
    End,
}

/// A response that a worker has begun.
struct Response {
    inner: StreamingResponse,
    events: EventBuffer,
}

type Opening = Pin<Box<dyn Future<Output = Result<StreamingResponse, SendError>> + Send>>;

enum State {
    /// The request is being sent, or the response head is awaited.
    Opening(Opening),
    Open(Box<Response>),
}

/// One attempt to run a streaming request, on a worker of this entry's or another entry's choice.
///
/// Dropping it cancels the request there.
pub(super) struct Attempt {
    call: Arc<Call>,
    pub(super) way: Way,
    state: State,
    /// When a complete event was last received; at first, when the response head was received, or
    /// else when the way was chosen.
    pub(super) last_event_at: Time,
    /// When the first bytes of the body were received.
    started_at: Option<Time>,
    /// Whether the caller has received the head of another response, which this one has not gone on
    /// with yet.
    continues: bool,
    is_recorded: bool,
}

impl Attempt {
    /// Sends a request.
    ///
    /// The response begins after the event with the id `after`; `continues` is whether the caller
    /// has received the head of another response.
    pub(super) fn start(call: &Arc<Call>, way: Way, after: Option<u64>, continues: bool) -> Self {
        let opening = {
            let (call, way) = (call.clone(), way.clone());
            async move { way.send(&call, after).await }
        };
        Self {
            call: call.clone(),
            last_event_at: way.chosen_at(),
            way,
            state: State::Opening(Box::pin(opening)),
            started_at: None,
            continues,
            is_recorded: false,
        }
    }

    /// Returns the next complete events after those that the caller has received.
    ///
    /// Dropping the future loses nothing.
    pub(super) async fn next(&mut self, after: Sequence) -> Result<Part, Failure> {
        loop {
            match &mut self.state {
                State::Opening(opening) => {
                    let response = opening.as_mut().await.map_err(Failure::from)?;
                    self.accept(response)?;
                }
                State::Open(response) => {
                    if let Some(part) = response.take_events(after, self.continues)? {
                        self.record_progress();
                        return Ok(part);
                    }
                    let mut buffer = [0; READ_BUFFER_BYTES];
                    let count = response.inner.body.read(&mut buffer).await;
                    let count = count.map_err(|e| Failure::Broken(Break::Failed(e.kind())))?;
                    if count == 0 {
                        return self.end(after);
                    }
                    let pushed = response.events.push(&buffer[..count]);
                    pushed.map_err(|_| Failure::Broken(Break::TooLarge))?;
                    self.record_started();
                    // Bytes without end must not keep the deadline from being checked.
                    yield_now().await;
                }
            }
        }
    }

    /// Accepts a response, unless its head shows that the request must be retried or refused.
    fn accept(&mut self, response: StreamingResponse) -> Result<(), Failure> {
        if let Way::Worker(dispatch) = &self.way {
            record_notices(&self.call, dispatch, &response);
        }
        match classify(&self.call, &response) {
            Class::NotRun => return Err(Failure::NotRun),
            Class::Invalid => return Err(Failure::Unknown),
            Class::Failed if self.call.is_resumable() => return Err(Failure::Failed),
            Class::Answered if self.continues && !is_event_stream(&response) => {
                return Err(Failure::Failed);
            }
            Class::Answered | Class::Failed => {}
        }
        self.last_event_at = self.call.node.now();
        self.state = State::Open(Box::new(Response {
            inner: response,
            events: EventBuffer::new(&self.call.node.response_memory),
        }));
        Ok(())
    }

    /// Returns the end of the response, unless it has ended within an event, or a successful one
    /// before the first event of the stream.
    fn end(&self, after: Sequence) -> Result<Part, Failure> {
        let is_first = after.last().is_none();
        let lacks_events = !self.has_started() && is_first && self.is_success();
        let State::Open(response) = &self.state else {
            return Err(Failure::Unknown);
        };
        if response.events.has_partial_event() || lacks_events {
            return Err(Failure::Broken(Break::EndedEarly));
        }
        Ok(Part::End)
    }

    fn record_started(&mut self) {
        if self.has_started() {
            return;
        }
        self.started_at = Some(self.call.node.now());
        self.way.record_started(&self.call);
        self.log_first_event();
    }

    /// Records that the worker has made a complete event, for which it needs its whole group.
    fn record_progress(&mut self) {
        let node = &self.call.node;
        let now = node.now();
        self.last_event_at = now;
        if let Way::Worker(dispatch) = &self.way {
            node.state().record_progress(now, &dispatch.target);
        }
    }

    fn log_first_event(&self) {
        let now = self.call.node.now();
        let wait = now.since(self.way.chosen_at());
        let wait_ms = wait.as_millis();
        let is_late = self.call.is_late();
        let Way::Worker(dispatch) = &self.way else {
            log::info!(
                "event=first_event id={} {} wait_ms={wait_ms} late={is_late}",
                self.call.id,
                self.way
            );
            return;
        };
        let target = &dispatch.target;
        log::info!(
            "event=first_event id={} instance={} model={} wait_ms={wait_ms} forecast_ms={} \
             running={} backlog={} tokens={} late={is_late} pace={:.2} observed_ms={}",
            self.call.id,
            target.instance,
            target.model.as_ref().map_or("none", |m| m.as_str()),
            dispatch.forecast.as_millis(),
            dispatch.running,
            dispatch.backlog,
            dispatch.tokens,
            dispatch.pace,
            dispatch.observed.map_or(-1, |age| age.as_millis() as i64)
        );
        if !self.is_success() {
            return;
        }
        let mut state = self.call.node.state();
        let slow = state.dispatcher.record_first_event(now, dispatch, wait);
        drop(state);
        if let Some(pace) = slow {
            tasks::log_slow(target, pace, "first_event");
        }
    }

    /// Records how the attempt ended; only the first call has an effect.
    pub(super) fn record_outcome(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.is_recorded, true) {
            let started = self.has_started();
            self.way.record_outcome(&self.call, outcome, started);
        }
    }

    /// Returns whether the attempt now goes on with the response of another one; only the first call
    /// does.
    pub(super) fn take_resumption(&mut self) -> bool {
        std::mem::take(&mut self.continues)
    }

    pub(super) fn has_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Returns the status of the response, if it has begun.
    pub(super) fn status(&self) -> Option<u16> {
        match &self.state {
            State::Opening(_) => None,
            State::Open(response) => Some(response.inner.status),
        }
    }

    pub(super) fn is_success(&self) -> bool {
        self.status().is_some_and(is_success)
    }

    /// Returns the response headers for the caller, if the response has begun.
    pub(super) fn headers(&self) -> Headers {
        match &self.state {
            State::Opening(_) => Headers::new(),
            State::Open(response) => cyclamen_relay::end_to_end(&response.inner.headers),
        }
    }

    /// Returns whether the worker has only begun to answer, so that a crash may be due to the
    /// request.
    pub(super) fn is_beginning(&self, now: Time) -> bool {
        self.started_at
            .is_none_or(|at| now.since(at) < BEGINNING_DURATION)
    }

    /// Returns why the worker or the other entry may not make progress, if it may not, after a
    /// silence of this duration.
    pub(super) fn loss(&self, now: Time, silent: Duration) -> Option<Loss> {
        let state = self.call.node.state();
        match &self.way {
            Way::Worker(dispatch) => state.group_loss(&dispatch.target),
            Way::Entry(handover) if !state.is_heard(now, &handover.receiver.entry) => {
                Some(Loss::EntrySilent)
            }
            Way::Entry(_) => (silent >= HANDOVER_SILENCE).then_some(Loss::EntrySilent),
        }
    }

    /// Probes the group of the worker if its silence of this duration is a reason to.
    pub(super) fn probe(&self, silent: Duration) {
        if let Way::Worker(dispatch) = &self.way
            && (self.has_started() || silent >= dispatch.forecast + FORECAST_SLACK)
        {
            tasks::probe_group(&self.call.node, &dispatch.target);
        }
    }
}

impl Part {
    fn is_empty(&self) -> bool {
        matches!(self, Self::Events { bytes, .. } if bytes.is_empty())
    }
}

/// Returns whether a response may go on with the stream that another worker began: it is successful and
/// says nothing else of its media type.
fn is_event_stream(response: &StreamingResponse) -> bool {
    let content_type = response.headers.get_str(KnownHeaderName::ContentType);
    let media_type = content_type.and_then(|text| text.split(';').next());
    let is_stream = media_type.is_none_or(|t| t.trim().eq_ignore_ascii_case(EVENT_STREAM));
    response.status == 200 && is_stream
}

impl Response {
    /// Removes the complete events after those that the caller has received from the buffer.
    ///
    /// The first of them in a response that `continues` that of another worker must be the next one.
    fn take_events(&mut self, after: Sequence, continues: bool) -> Result<Option<Part>, Failure> {
        let mut bytes = Vec::new();
        let mut ids = after;
        while let Some(event) = self.events.next_event() {
            if ids.contains(event.id) {
                continue;
            }
            if continues && bytes.is_empty() && !ids.is_next(event.id) {
                return Err(Failure::Broken(Break::Gap));
            }
            ids.record(event.id);
            bytes.extend_from_slice(&event.bytes);
        }
        let part = Part::Events { bytes, ids };
        Ok(Some(part).filter(|part| !part.is_empty()))
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.record_outcome(Outcome::Cancelled);
    }
}

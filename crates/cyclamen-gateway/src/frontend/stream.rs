//! Event streams, which are resumed on another worker if one fails.

mod connect;
mod upstream;

use std::io;
use std::time::Duration;

use cyclamen_directory::route::Repeat;
use cyclamen_dispatch::{Dispatch, Outcome};
use futures::{AsyncReadExt, TryStreamExt, stream};
use smol::Timer;
use smol::future::or;
use trillium::{Body, Conn, Headers};

use crate::frontend::refusal::Refusal;
use crate::frontend::request::Request;
use crate::frontend::response::is_success;
use crate::frontend::stream::upstream::{Upstream, first_event_probe_delay};
use crate::node::Loss;
use crate::settings::millis;
use crate::tasks;

/// Size of the buffer for reads from a worker, in bytes.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// The interval at which the group of a silent worker is checked.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Forwards a request and streams the response once its first event, or the end of a response
/// without events, is received.
pub(crate) async fn forward(request: Request, conn: &mut Conn) -> Result<(), Refusal> {
    let header = request.node.platform.dialect().last_event_id;
    let last_event_id = conn.request_headers().get_str(header);
    let mut relay = Relay {
        last_event_id: last_event_id.and_then(|text| text.parse().ok()),
        request,
        upstream: None,
    };
    let head = conn.cancel_on_disconnect(relay.begin()).await;
    let Some(head) = head else {
        relay.request.finish("caller_gone", 0, None);
        return Err(Refusal::failed("caller_gone"));
    };
    let Head {
        status,
        headers,
        part,
    } = head.map_err(|refusal| relay.request.record_refusal(refusal))?;
    conn.set_status(status);
    conn.response_headers_mut().append_all(headers);
    let rest = stream::try_unfold((relay, Some(part)), next_part);
    let body = rest.into_async_read();
    conn.set_body(Body::new_streaming(body, None));
    Ok(())
}

/// A relay, and a part that was read ahead.
type BodyState = (Relay, Option<Part>);

/// Returns the next bytes for the caller, starting with the part that was read ahead.
async fn next_part((mut relay, read_ahead): BodyState) -> io::Result<Option<(Vec<u8>, BodyState)>> {
    let part = match read_ahead {
        Some(part) => part,
        None => relay.next().await?,
    };
    match part {
        Part::Bytes(bytes) => Ok(Some((bytes, (relay, None)))),
        Part::End => Ok(None),
    }
}

/// The head of a response and the first part of its body.
struct Head {
    status: u16,
    headers: Headers,
    part: Part,
}

/// A part of a response body.
enum Part {
    /// Complete events.
    Bytes(Vec<u8>),
    /// The end of a complete response.
    End,
}

/// Why a worker's stream ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Interruption {
    /// The connection failed, the body ended within an event or before the first one, or an event
    /// is too large.
    Closed(Break),
    /// The group lost a member.
    GroupLost(Loss),
    /// The deadline has passed.
    Late,
}

/// How a connection on which a worker streamed came to an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Break {
    /// Reading failed with an error of this kind.
    Failed(io::ErrorKind),
    /// The body ended within an event or before the first one.
    EndedEarly,
    /// An event is too large.
    TooLarge,
}

/// A streaming request, forwarded to one worker after another until the response is complete.
struct Relay {
    request: Request,
    upstream: Option<Upstream>,
    /// The id of the last event that the caller received.
    last_event_id: Option<u64>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some(upstream) = self.upstream.take() {
            self.request.record_outcome(
                &upstream.dispatch,
                Outcome::Cancelled,
                upstream.has_started(),
            );
        }
    }
}

impl Relay {
    /// Returns the response head once the first event is received.
    async fn begin(&mut self) -> Result<Head, Refusal> {
        let mut head = self.connect().await?;
        let Ok(part) = self.next().await else {
            return Err(if self.request.remaining().is_zero() {
                Refusal::deadline_exceeded()
            } else {
                Refusal::failed("endpoint_failed")
            });
        };
        let now = self.request.node.now();
        let wait = now.since(self.request.arrived_at);
        let service = self.request.service_name().as_str();
        self.request.node.metrics.record_first_byte(service, wait);
        head.part = part;
        Ok(head)
    }

    fn may_resume(&self) -> bool {
        self.request.route.repeat == Repeat::Resume
    }

    /// Returns the next complete events, from another worker if one fails.
    async fn next(&mut self) -> io::Result<Part> {
        loop {
            let Some(mut upstream) = self.upstream.take() else {
                return Err(io::ErrorKind::ConnectionAborted.into());
            };
            match self.read(&mut upstream).await {
                Ok(Part::End) => {
                    self.request.record_outcome(
                        &upstream.dispatch,
                        Outcome::Complete,
                        upstream.has_started(),
                    );
                    let status = upstream.response.status;
                    let was_answered = upstream.has_started() && is_success(status);
                    self.request.record_completion(was_answered);
                    self.request
                        .finish("answered", status, Some(&upstream.dispatch));
                    return Ok(Part::End);
                }
                Ok(part) => {
                    self.upstream = Some(upstream);
                    return Ok(part);
                }
                Err(cause) => self.resume(upstream, cause).await?,
            }
        }
    }

    /// Resumes the stream on another worker after the last delivered event.
    async fn resume(&mut self, upstream: Upstream, cause: Interruption) -> io::Result<()> {
        let outcome = if cause == Interruption::Late {
            Outcome::Cancelled
        } else {
            Outcome::Failed
        };
        self.request
            .record_outcome(&upstream.dispatch, outcome, upstream.has_started());
        let now = self.request.node.now();
        if matches!(cause, Interruption::Closed(_)) && upstream.is_beginning(now) {
            self.request.record_disconnect(&upstream.dispatch);
        }
        let id = &self.request.id;
        let instance = &upstream.dispatch.target.instance;
        let silent = now.since(upstream.last_event_at).as_millis();
        log::info!(
            "event=stream_broken id={id} instance={instance} cause={cause:?} after={:?} silent_ms={silent}",
            self.last_event_id
        );
        drop(upstream);
        if cause == Interruption::Late {
            self.request.finish("deadline", 504, None);
            return Err(io::ErrorKind::TimedOut.into());
        }
        if !self.may_resume() || !self.request.try_spend_retry() {
            self.request.finish("stream_broken", 502, None);
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        self.request.node.metrics.record_resumed_stream();
        match self.connect().await {
            Ok(_) => Ok(()),
            Err(refusal) => {
                self.request.finish(refusal.reason, refusal.status, None);
                Err(io::ErrorKind::ConnectionAborted.into())
            }
        }
    }

    /// Returns the next complete events of one worker.
    async fn read(&mut self, upstream: &mut Upstream) -> Result<Part, Interruption> {
        loop {
            let mut bytes = Vec::new();
            while let Some(event) = upstream.events.next_event() {
                self.record_progress(upstream);
                let ids = event.id.zip(self.last_event_id);
                if ids.is_some_and(|(id, last)| id <= last) {
                    continue;
                }
                self.last_event_id = event.id.or(self.last_event_id);
                bytes.extend_from_slice(&event.bytes);
            }
            if !bytes.is_empty() {
                return Ok(Part::Bytes(bytes));
            }
            if !self.fill(upstream).await? {
                return if upstream.events.has_partial_event() || self.lacks_events(upstream) {
                    Err(Interruption::Closed(Break::EndedEarly))
                } else {
                    Ok(Part::End)
                };
            }
        }
    }

    /// Returns whether a successful response ended before the first event of its stream.
    fn lacks_events(&self, upstream: &Upstream) -> bool {
        let has_none = !upstream.has_started() && self.last_event_id.is_none();
        has_none && is_success(upstream.response.status)
    }

    /// Reads more bytes from a worker; returns whether there were any.
    async fn fill(&mut self, upstream: &mut Upstream) -> Result<bool, Interruption> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            let remaining = self.request.remaining();
            if remaining.is_zero() {
                return Err(Interruption::Late);
            }
            let reading = async { Some(upstream.response.body.read(&mut buffer).await) };
            let interval = async {
                Timer::after(SILENCE_CHECK_INTERVAL.min(remaining)).await;
                None
            };
            match or(reading, interval).await {
                Some(Ok(count)) => {
                    if count > 0 && !upstream.has_started() {
                        upstream.started_at = Some(self.request.node.now());
                        self.request.record_started(&upstream.dispatch);
                        self.log_first_event(upstream);
                    }
                    let pushed = upstream.events.push(&buffer[..count]);
                    pushed.map_err(|_| Interruption::Closed(Break::TooLarge))?;
                    return Ok(count > 0);
                }
                Some(Err(error)) => {
                    let broken = Break::Failed(error.kind());
                    return Err(Interruption::Closed(broken));
                }
                None => self.check_silence(upstream)?,
            }
        }
    }

    /// Records that a worker has made a complete event, for which it needs its whole group.
    fn record_progress(&self, upstream: &mut Upstream) {
        let node = &self.request.node;
        let now = node.now();
        upstream.last_event_at = now;
        node.state().record_progress(now, &upstream.dispatch.target);
    }

    fn log_first_event(&self, upstream: &Upstream) {
        let Dispatch { target, .. } = &upstream.dispatch;
        log::info!(
            "event=first_event id={} instance={} model={} wait_ms={} forecast_ms={} \
             running={} backlog={} tokens={} late={}",
            self.request.id,
            target.instance,
            target.model.as_ref().map_or("none", |m| m.as_str()),
            self.request
                .node
                .now()
                .since(upstream.dispatch.chosen_at)
                .as_millis(),
            upstream.dispatch.forecast.as_millis(),
            upstream.dispatch.running,
            upstream.dispatch.backlog,
            upstream.dispatch.tokens,
            self.request.is_late()
        );
    }

    /// Probes the group of a silent worker; fails if the group has lost a member and the stream
    /// may be resumed on another one.
    ///
    /// Members that only do not respond to probes in time may still run the request, so one that
    /// must not be repeated is not given up.
    fn check_silence(&self, upstream: &Upstream) -> Result<(), Interruption> {
        let node = &self.request.node;
        let silent = node.now().since(upstream.last_event_at);
        if silent < millis(node.settings.timing.stall_ms) {
            return Ok(());
        }
        let loss = node.state().group_loss(&upstream.dispatch.target);
        if let Some(loss) = loss.filter(|_| self.may_resume()) {
            return Err(Interruption::GroupLost(loss));
        }
        if upstream.has_started() || silent >= first_event_probe_delay(&upstream.dispatch) {
            tasks::probe_group(node, &upstream.dispatch.target);
        }
        Ok(())
    }
}

//! Streams of events, which go on at another worker where one fails.

mod connect;

use std::io;
use std::time::Duration;

use cyclamen_directory::route::Repeat;
use cyclamen_dispatch::{Dispatch, Outcome};
use cyclamen_http::StreamingResponse;
use cyclamen_relay::EventBuffer;
use cyclamen_types::Time;
use futures::{AsyncReadExt, TryStreamExt, stream};
use smol::Timer;
use smol::future::or;
use trillium::{Body, Conn, Headers};

use crate::front::job::Job;
use crate::front::refusal::Refusal;
use crate::settings::span;
use crate::tasks;

/// Bytes that are read from a worker at a time.
const READ_BYTES: usize = 8 << 10;
/// The time between two looks at whether a silent worker still serves.
const SILENCE_TICK: Duration = Duration::from_millis(40);

/// Answers with a stream, once its first event or another whole answer is there.
pub(crate) async fn answer(job: Job, conn: &mut Conn) -> Result<(), Refusal> {
    let last = job.node.platform.dialect().last_event_id;
    let last = conn.request_headers().get_str(last);
    let mut relay = Relay {
        delivered: last.and_then(|text| text.parse().ok()),
        job,
        open: None,
    };
    let first = conn.cancel_on_disconnect(relay.begin()).await;
    let Some(first) = first else {
        relay.job.end("caller_gone", 0, None);
        return Err(Refusal::failed("caller_gone"));
    };
    let Begun {
        status,
        headers,
        part,
    } = first.map_err(|refusal| relay.job.refused(refusal))?;
    conn.set_status(status);
    conn.response_headers_mut().append_all(headers);
    let rest = stream::try_unfold((relay, Some(part)), next_part);
    let body = rest.into_async_read();
    conn.set_body(Body::new_streaming(body, None));
    Ok(())
}

type Parts = (Relay, Option<Part>);

/// The next bytes for the caller, the first of which were read already.
async fn next_part((mut relay, first): Parts) -> io::Result<Option<(Vec<u8>, Parts)>> {
    let part = match first {
        Some(part) => part,
        None => relay.next().await?,
    };
    match part {
        Part::Bytes(bytes) => Ok(Some((bytes, (relay, None)))),
        Part::End => Ok(None),
    }
}

/// The head of an answer and its first part.
struct Begun {
    status: u16,
    headers: Headers,
    part: Part,
}

/// A part of an answer.
enum Part {
    /// Whole events.
    Bytes(Vec<u8>),
    /// The end of a whole answer.
    End,
}

/// The time beyond its forecast after which a first event is late enough to have the group
/// checked.
const FORECAST_SLACK: Duration = Duration::from_millis(100);

/// The stream of the worker that runs the request at present.
struct Open {
    sent: Dispatch,
    answer: StreamingResponse,
    events: EventBuffer,
    /// When the last bytes came, or the request was sent.
    heard: Time,
    /// Whether an event has come.
    started: bool,
}

/// Why a worker's stream does not go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Break {
    /// The connection ended or its bytes make no sense.
    Closed,
    /// The group lost a member.
    GroupLost,
    /// The deadline has passed.
    Late,
}

/// A request for a stream, on its way through one worker or more.
struct Relay {
    job: Job,
    open: Option<Open>,
    /// The last event that the caller has.
    delivered: Option<u64>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some(open) = self.open.take() {
            self.job
                .release(&open.sent, Outcome::Cancelled, open.started);
        }
    }
}

impl Relay {
    /// The head of the answer, once its first event is there.
    async fn begin(&mut self) -> Result<Begun, Refusal> {
        let mut head = self.connect().await?;
        let Ok(part) = self.next().await else {
            return Err(if self.job.left().is_zero() {
                Refusal::late()
            } else {
                Refusal::failed("endpoint_failed")
            });
        };
        let now = self.job.node.now();
        let wait = now.since(self.job.arrived);
        let service = self.job.service_name().as_str();
        self.job.node.metrics.first_byte(service, wait);
        head.part = part;
        Ok(head)
    }

    fn may_resume(&self) -> bool {
        self.job.route.repeat == Repeat::Resume
    }

    /// The next whole events, from another worker if one fails.
    async fn next(&mut self) -> io::Result<Part> {
        loop {
            let Some(mut open) = self.open.take() else {
                return Err(io::ErrorKind::ConnectionAborted.into());
            };
            match self.read(&mut open).await {
                Ok(Part::End) => {
                    self.job
                        .release(&open.sent, Outcome::Complete, open.started);
                    self.job.answered_whole();
                    self.job
                        .end("answered", open.answer.status, Some(&open.sent));
                    return Ok(Part::End);
                }
                Ok(part) => {
                    self.open = Some(open);
                    return Ok(part);
                }
                Err(cause) => self.resume(open, cause).await?,
            }
        }
    }

    /// Goes on at another worker after the last event that was delivered.
    async fn resume(&mut self, open: Open, cause: Break) -> io::Result<()> {
        let end = if cause == Break::Late {
            Outcome::Cancelled
        } else {
            Outcome::Failed
        };
        self.job.release(&open.sent, end, open.started);
        if cause == Break::Closed && !open.started {
            self.job.cut_off(&open.sent);
        }
        let id = &self.job.id;
        let instance = &open.sent.target.instance;
        let silent = self.job.node.now().since(open.heard).as_millis();
        log::info!(
            "event=stream_broken id={id} instance={instance} cause={cause:?} after={:?} silent_ms={silent}",
            self.delivered
        );
        drop(open);
        if cause == Break::Late {
            self.job.end("deadline", 504, None);
            return Err(io::ErrorKind::TimedOut.into());
        }
        if !self.may_resume() || !self.job.may_retry() {
            self.job.end("stream_broken", 502, None);
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        self.job.node.metrics.resumed();
        match self.connect().await {
            Ok(_) => Ok(()),
            Err(refusal) => {
                self.job.end(refusal.reason, refusal.status, None);
                Err(io::ErrorKind::ConnectionAborted.into())
            }
        }
    }

    /// The next whole events of one worker.
    async fn read(&mut self, open: &mut Open) -> Result<Part, Break> {
        loop {
            let mut bytes = Vec::new();
            while let Some(event) = open.events.next_event() {
                let known = event.id.zip(self.delivered);
                if known.is_some_and(|(id, delivered)| id <= delivered) {
                    continue;
                }
                self.delivered = event.id.or(self.delivered);
                bytes.extend_from_slice(&event.bytes);
            }
            if !bytes.is_empty() {
                return Ok(Part::Bytes(bytes));
            }
            if !self.fill(open).await? {
                return if open.events.has_partial_event() {
                    Err(Break::Closed)
                } else {
                    Ok(Part::End)
                };
            }
        }
    }

    /// Reads more bytes of a worker; whether there were any.
    async fn fill(&mut self, open: &mut Open) -> Result<bool, Break> {
        let mut buffer = [0; READ_BYTES];
        loop {
            let left = self.job.left();
            if left.is_zero() {
                return Err(Break::Late);
            }
            let reading = async { Some(open.answer.body.read(&mut buffer).await) };
            let tick = async {
                Timer::after(SILENCE_TICK.min(left)).await;
                None
            };
            match or(reading, tick).await {
                Some(Ok(count)) => {
                    open.heard = self.job.node.now();
                    if count > 0 && !open.started {
                        open.started = true;
                        self.job.started(&open.sent);
                        self.log_first(open);
                    }
                    let pushed = open.events.push(&buffer[..count]);
                    pushed.map_err(|_| Break::Closed)?;
                    return Ok(count > 0);
                }
                Some(Err(_)) => return Err(Break::Closed),
                None => self.watch(open)?,
            }
        }
    }

    fn log_first(&self, open: &Open) {
        let Dispatch { target, .. } = &open.sent;
        log::info!(
            "event=first_event id={} instance={} model={} wait_ms={} forecast_ms={} \
             running={} backlog={} tokens={} late={}",
            self.job.id,
            target.instance,
            target.model.as_ref().map_or("none", |m| m.as_str()),
            open.heard.since(open.sent.chosen_at).as_millis(),
            open.sent.forecast.as_millis(),
            open.sent.running,
            open.sent.backlog,
            open.sent.tokens,
            self.job.is_late()
        );
    }

    /// Has the group of a silent worker checked, and gives up one that lost a member.
    fn watch(&self, open: &Open) -> Result<(), Break> {
        let node = &self.job.node;
        let silent = node.now().since(open.heard);
        if silent < span(node.settings.timing.stall_ms) {
            return Ok(());
        }
        if open.sent.target.model.is_some() && node.state().lost_member(&open.sent.target) {
            return Err(Break::GroupLost);
        }
        if open.started || silent >= first_event_due(&open.sent) {
            tasks::check_target(node, &open.sent.target);
        }
        Ok(())
    }
}

/// The time from sending a request within which its first event should come.
fn first_event_due(sent: &Dispatch) -> Duration {
    sent.forecast + FORECAST_SLACK
}

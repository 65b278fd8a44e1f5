//! Event streams, which are resumed on another worker if one fails.

mod attempt;
mod failure;
mod relay;
mod sequence;

use std::io;
use std::time::Duration;

use cyclamen_server::{Peer, or_closed};
use futures::{TryStreamExt, stream};
use smol::future::{or, pending};
use trillium::{Body, Conn};

use crate::frontend::refusal::Refusal;
use crate::frontend::request::Request;
use crate::frontend::stream::attempt::Part;
use crate::frontend::stream::relay::{Head, Relay};

/// The caller of a response that has begun.
struct Caller {
    peer: Option<Peer>,
    /// Whether it is an entry, which closes its connection only to give a request up.
    is_entry: bool,
}

/// Forwards a request and streams the response once its first event, or the end of a response
/// without events, is received.
pub(crate) async fn forward(request: Request, conn: &mut Conn) -> Result<(), Refusal> {
    let header = request.call.node.platform.dialect().last_event_id;
    let last_event_id = conn.request_headers().get_str(header);
    let last_event_id = last_event_id.and_then(|text| text.parse().ok());
    let mut relay = Relay::new(request, last_event_id);
    let node = relay.request.call.node.clone();
    let beginning = node.abortion.or_aborted(relay.begin());
    let head = match or_closed(conn, beginning).await {
        Some(Some(head)) => head,
        Some(None) => return Err(relay.request.record_abortion()),
        None => {
            relay.request.finish("caller_gone", 0, None);
            return Err(Refusal::failed("caller_gone"));
        }
    };
    let Head {
        status,
        headers,
        part,
    } = head.map_err(|refusal| relay.request.record_refusal(refusal))?;
    conn.set_status(status);
    conn.response_headers_mut().append_all(headers);
    let caller = Caller::take(conn, &relay.request);
    let rest = stream::try_unfold((relay, caller, Some(part)), next_part);
    let body = rest.into_async_read();
    conn.set_body(Body::new_streaming(body, None));
    Ok(())
}

impl Caller {
    fn take(conn: &mut Conn, request: &Request) -> Self {
        Self {
            peer: conn.take_state(),
            is_entry: request.call.sender.is_some(),
        }
    }

    /// Waits until the caller has left; returns how long ago it was seen to have closed its connection.
    async fn left(&self) -> Duration {
        match &self.peer {
            Some(peer) if self.is_entry => {
                peer.closed().await;
                Duration::ZERO
            }
            Some(peer) => peer.left().await,
            None => pending().await,
        }
    }
}

/// A relay, its caller, and a part that was read ahead.
type BodyState = (Relay, Caller, Option<Part>);

/// Returns the next bytes for the caller, starting with the part that was read ahead; an error closes
/// the caller's connection, since its response has begun.
async fn next_part(
    (mut relay, caller, read_ahead): BodyState,
) -> io::Result<Option<(Vec<u8>, BodyState)>> {
    let part = match read_ahead {
        Some(part) => part,
        None => {
            let id = relay.request.call.id.clone();
            or(next(&mut relay), left(&caller, &id)).await?
        }
    };
    match part {
        Part::Events { bytes, .. } => Ok(Some((bytes, (relay, caller, None)))),
        Part::End => Ok(None),
    }
}

/// Returns the next part.
async fn next(relay: &mut Relay) -> io::Result<Part> {
    let node = relay.request.call.node.clone();
    match node.abortion.or_aborted(relay.next()).await {
        Some(Ok(part)) => return Ok(part),
        Some(Err(refusal)) => relay.request.record_refusal(refusal),
        None => relay.request.record_abortion(),
    };
    Err(io::ErrorKind::ConnectionAborted.into())
}

/// Fails once the caller has left.
async fn left(caller: &Caller, id: &str) -> io::Result<Part> {
    let known = caller.left().await;
    log::info!("event=caller_left id={id} known_ms={}", known.as_millis());
    Err(io::ErrorKind::ConnectionAborted.into())
}

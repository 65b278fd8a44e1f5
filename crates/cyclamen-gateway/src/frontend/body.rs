//! Reads the bodies of requests, as far as there is memory for them.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_relay::intake::{Growth, Upload};
use cyclamen_server::Reader;
use smol::Timer;
use smol::future::{or, yield_now};
use trillium::{Conn, Headers, KnownHeaderName};

use crate::frontend::refusal::Refusal;
use crate::node::Node;

/// The timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The size of the parts in which a body is kept until it is complete, in bytes.
const PART_BYTES: usize = 16 << 10;
/// The memory that a field of a head takes besides its bytes, in the head and in what is sent on.
const FIELD_BYTES: usize = 400;
/// How often a request yields to an evicted one, which then gives back its memory.
const MAX_YIELDS: usize = 64;
/// The retry delay sent to callers whose requests find no memory.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reads the body of a request, of `limit` bytes at most, and reserves memory for it and for the head.
pub(super) async fn read_body(
    node: &Node,
    conn: &mut Conn,
    limit: u64,
    memory: &mut Upload,
) -> Result<Arc<[u8]>, Refusal> {
    let evicted = memory.evicted();
    let eviction = async {
        evicted.await;
        Err(no_memory())
    };
    let timeout = async {
        Timer::after(BODY_TIMEOUT).await;
        Err(Refusal::invalid(408, "body_late"))
    };
    let body = or(read(node, conn, limit, memory), or(eviction, timeout)).await?;
    if memory.complete() {
        Ok(body)
    } else {
        Err(no_memory())
    }
}

async fn read(
    node: &Node,
    conn: &mut Conn,
    limit: u64,
    memory: &mut Upload,
) -> Result<Arc<[u8]>, Refusal> {
    let headers = conn.request_headers();
    let len = content_length(headers);
    if len.is_some_and(|len| len > limit) {
        return Err(Refusal::invalid(413, "body_too_long"));
    }
    // A head has come already: it is not kept while another request goes.
    if memory.grow(node.now(), headers.len() * FIELD_BYTES) != Growth::Granted {
        return Err(no_memory());
    }
    let mut body = Reader::new(conn, limit);
    let mut parts: Vec<Vec<u8>> = Vec::new();
    loop {
        let come = parts.len() * PART_BYTES;
        // The end of a body shows only when more is asked for.
        let most = len.map_or(PART_BYTES, |len| {
            usize::try_from(len).map_or(PART_BYTES, |len| len.saturating_sub(come) + 1)
        });
        let size = most.min(PART_BYTES);
        reserve(node, memory, size).await?;
        let mut part = vec![0; size];
        let mut filled = 0;
        while filled < size {
            let count = body.read(&mut part[filled..]).await.map_err(unreadable)?;
            if count == 0 {
                part.truncate(filled);
                parts.push(part);
                return Ok(join(&parts));
            }
            filled += count;
            memory.record(node.now(), count);
        }
        parts.push(part);
    }
}

/// Joins the parts of a body; nothing else runs on this thread meanwhile, so that at most one body is held
/// twice.
fn join(parts: &[Vec<u8>]) -> Arc<[u8]> {
    if let [part] = parts {
        return part.as_slice().into();
    }
    let len = parts.iter().map(Vec::len).sum();
    let mut body: Arc<[u8]> = std::iter::repeat_n(0, len).collect();
    // Nobody else has it yet.
    let mut rest = Arc::get_mut(&mut body).unwrap_or_default();
    for part in parts {
        let (place, after) = rest.split_at_mut(part.len());
        place.copy_from_slice(part);
        rest = after;
    }
    body
}

fn content_length(headers: &Headers) -> Option<u64> {
    headers
        .get_str(KnownHeaderName::ContentLength)?
        .parse()
        .ok()
}

fn unreadable(error: trillium_http::Error) -> Refusal {
    if cyclamen_server::is_too_long(&error) {
        Refusal::invalid(413, "body_too_long")
    } else {
        Refusal::invalid(400, "body_not_read")
    }
}

/// Reserves memory, for which another request may have to be evicted.
async fn reserve(node: &Node, memory: &mut Upload, bytes: usize) -> Result<(), Refusal> {
    for _ in 0..MAX_YIELDS {
        match memory.grow(node.now(), bytes) {
            Growth::Granted => return Ok(()),
            Growth::Evicting => yield_now().await,
            Growth::Refused => break,
        }
    }
    Err(no_memory())
}

/// A request that finds no memory, or does not come on while others need it; no worker has received it.
fn no_memory() -> Refusal {
    Refusal::retry_later("no_request_memory", MEMORY_RETRY_DELAY)
}

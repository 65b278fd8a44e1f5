//! One connection of a server.

use std::future::pending;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::AsyncReadExt;
use rustix::net::sockopt::set_socket_linger;
use smol::Timer;
use smol::future::{or, yield_now};
use swansong::Swansong;
use trillium::{Conn, Handler};
use trillium_http::KnownHeaderName::TransferEncoding;
use trillium_http::{HttpContext, Version};
use trillium_smol::async_net::TcpStream;

use crate::body;
use crate::peer::Peer;
use crate::server::{Place, Shared};
use crate::transport::{Progress, Transport};

/// How long a peer may send nothing, and not close, after this side has closed a connection.
pub(crate) const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a peer may go on sending after this side has closed a connection.
const MAX_LINGER: Duration = Duration::from_secs(5);
/// The number of fields of a head after which a connection closes: it would keep the memory for as many.
const MANY_FIELDS: usize = 256;
/// The size of the buffer for bytes that are discarded.
const DISCARD_BYTES: usize = 4 << 10;

/// Serves a connection, and holds its place until it is closed: parameters are dropped in reverse
/// order.
pub(crate) async fn serve(
    _place: Place,
    shared: Arc<Shared>,
    stream: TcpStream,
    handler: Arc<impl Handler>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=nodelay_not_set reason=\"{error}\"");
    }
    // Shut down once this connection is to close after the current response, at the latest with the
    // server.
    let last = shared.closing.child();
    match Box::pin(respond(&shared, &stream, &last, handler)).await {
        // On the heap, so that connections don't hold its buffer all the time.
        End::Closed => Box::pin(or(linger(&stream, MAX_LINGER), closed(&shared))).await,
        End::Broken => reset(&stream),
    }
}

/// Waits until the server closes, and then for as long as a peer may take to close.
async fn closed(shared: &Shared) {
    shared.closing.interrupt(pending::<()>()).await;
    Timer::after(LINGER_TIMEOUT).await;
}

/// How the last response of a connection has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Whole, or so that its framing shows that it isn't.
    Closed,
    /// Before its end, which only the end of the connection would mark.
    Broken,
}

/// Responds to the requests of a connection.
async fn respond(
    shared: &Arc<Shared>,
    stream: &TcpStream,
    last: &Swansong,
    handler: Arc<impl Handler>,
) -> End {
    let is_unframed = Arc::new(AtomicBool::new(false));
    let context = HttpContext::new()
        .with_config(shared.options.http)
        .with_swansong(last.clone());
    let progress = Arc::new(Progress::default());
    let timeouts = shared.options.timeouts.clone();
    let transport = Transport::new(stream.clone(), timeouts, progress.clone());
    let served = Arc::new(context).run(transport, |conn| {
        let (shared, last, handler) = (shared.clone(), last.clone(), handler.clone());
        let peer = Peer::new(stream.clone(), progress.clone());
        let progress = progress.clone();
        let headers = conn.request_headers();
        let has_waited = progress.begin_request(headers.has_header(TransferEncoding));
        // Responses to HTTP/1.0 have no chunks.
        is_unframed.store(conn.http_version() == Version::Http1_0, Ordering::Relaxed);
        async move {
            // A peer that sends requests ahead does not keep others waiting.
            if !has_waited {
                yield_now().await;
            }
            let conn = Conn::from(conn).with_state(peer);
            // On the heap: handlers are large, and each poll of the connection is below them on the stack.
            let conn = Box::pin(handler.run(conn)).await;
            let conn = handler.before_send(conn).await;
            let mut conn = conn.into_inner::<Transport>();
            // What is left of a body would be read as the next request.
            let has_many_fields = conn.request_headers().len() > MANY_FIELDS;
            if shared.says_close() || has_many_fields || !body::is_at_end(&mut conn) {
                last.shut_down();
            }
            progress.begin_response();
            conn
        }
    });
    let Err(error) = served.await else {
        return End::Closed;
    };
    log::debug!("event=connection_failed reason=\"{error}\"");
    if is_unframed.load(Ordering::Relaxed) || progress.is_stalled() {
        End::Broken
    } else {
        End::Closed
    }
}

/// Makes a connection be reset when it is closed.
fn reset(stream: &TcpStream) {
    if let Err(error) = set_socket_linger(stream, Some(Duration::ZERO)) {
        log::debug!("event=connection_not_reset reason=\"{error}\"");
    }
}

/// Ends the responses of a connection, and discards what its peer still sends until it closes, too, or a
/// limit has passed.
pub(crate) async fn linger(stream: &TcpStream, limit: Duration) {
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let discarding = async {
        let mut stream = stream.clone();
        while discard(&mut stream).await {}
    };
    let timeout = async {
        Timer::after(limit).await;
    };
    or(discarding, timeout).await;
}

/// Discards what a peer sends next; returns whether it has sent something in time.
async fn discard(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; DISCARD_BYTES];
    let reading = async { matches!(stream.read(&mut buffer).await, Ok(count) if count > 0) };
    let timeout = async {
        Timer::after(LINGER_TIMEOUT).await;
        false
    };
    or(reading, timeout).await
}

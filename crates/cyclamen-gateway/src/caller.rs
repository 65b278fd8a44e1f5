//! Finds out, while nothing is sent to a caller, whether it has closed its connection.
//!
//! A caller that closes its connection and one that closes only its writing side look the same
//! until something is sent: the first one resets the connection in response. In a chunked response
//! a zero that precedes the size of the next chunk is sent for this. It is a byte of the chunk's
//! size, which may begin with zeros (RFC 9112, section 7.1), and not of the body. It is sent only
//! after the caller has closed its writing side, and once between two chunks at most.

mod connection;

use std::any::Any;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::{SendFlags, send};
use trillium::{Conn, Handler, KnownHeaderName, Method, Transport, Version};
use trillium_smol::async_net::TcpStream;

pub(crate) use connection::Acceptor;
use connection::Connection;

/// The first digit of the size of the next chunk, whatever that size is.
const LEADING_ZERO: &[u8] = b"0";
/// A digit after the leading zero, without which the zero might be taken for an empty last chunk.
const NONZERO_DIGIT: &[u8] = b"1";
/// A timeout with which a poll does not wait.
const NO_WAIT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};

/// What the server has sent on a connection.
#[derive(Debug, Default)]
struct Progress {
    /// Whether all bytes that the server had to send are sent, and no leading zero after them.
    may_probe: AtomicBool,
    /// Whether the last byte sent is a leading zero.
    is_probed: AtomicBool,
}

impl Progress {
    fn record_write(&self) {
        self.may_probe.store(false, Ordering::Relaxed);
        self.is_probed.store(false, Ordering::Relaxed);
    }

    fn record_flush(&self) {
        let is_probed = self.is_probed.load(Ordering::Relaxed);
        self.may_probe.store(!is_probed, Ordering::Relaxed);
    }
}

/// The caller of one request, at the other end of its connection.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    stream: TcpStream,
    progress: Arc<Progress>,
    /// Whether the response is sent in chunks.
    is_chunked: bool,
}

impl Caller {
    /// Takes the caller of a request, if it is known, once the response's headers are set.
    ///
    /// The response's body must be of unknown length.
    pub(crate) fn take(conn: &mut Conn) -> Option<Self> {
        let mut caller: Self = conn.take_state()?;
        let connection = conn.response_headers().get_str(KnownHeaderName::Connection);
        caller.is_chunked = conn.http_version() == Version::Http1_1
            && conn.method() != Method::Head
            && connection.is_none();
        Some(caller)
    }

    /// Returns whether the caller has closed its connection, which shows at the second call or later
    /// if nothing was sent in between.
    ///
    /// To be called while the body of the response is polled.
    pub(crate) fn is_gone(&self) -> bool {
        let mut polled = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        if poll(&mut polled, Some(&NO_WAIT)).is_err() {
            return false;
        }
        let [polled] = polled;
        let events = polled.revents();
        if events.intersects(PollFlags::ERR | PollFlags::HUP) {
            return true;
        }
        if events.contains(PollFlags::RDHUP) {
            self.probe();
        }
        false
    }

    /// Sends a leading zero if the last chunk is sent whole.
    fn probe(&self) {
        if !self.is_chunked || !self.progress.may_probe.load(Ordering::Relaxed) {
            return;
        }
        if self.send(LEADING_ZERO) {
            self.progress.may_probe.store(false, Ordering::Relaxed);
            self.progress.is_probed.store(true, Ordering::Relaxed);
        }
    }

    /// Ensures that a response which is broken off here does not look complete.
    pub(crate) fn break_off(&self) {
        if self.progress.is_probed.swap(false, Ordering::Relaxed) {
            self.send(NONZERO_DIGIT);
        }
    }

    /// Returns whether the bytes are on their way; does not wait for room.
    fn send(&self, bytes: &[u8]) -> bool {
        let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
        send(&self.stream, bytes, flags).is_ok()
    }
}

/// Notes each request's caller in the state of the request.
pub(crate) struct Identify;

impl Handler for Identify {
    async fn run(&self, conn: Conn) -> Conn {
        if !matches!(conn.http_version(), Version::Http1_0 | Version::Http1_1) {
            return conn;
        }
        // The server boxes the connections of its acceptor.
        let inner = conn.into_inner::<Box<dyn Transport>>();
        let connection: &dyn Any = inner.transport().as_ref();
        let connection = connection.downcast_ref::<Connection>();
        let caller = connection.and_then(Connection::caller);
        let conn = Conn::from(inner);
        match caller {
            Some(caller) => conn.with_state(caller),
            None => conn,
        }
    }
}

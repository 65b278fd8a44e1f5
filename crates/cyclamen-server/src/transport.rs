//! A transport that fails if the peer takes too long.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures::{AsyncRead, AsyncWrite};
use smol::Timer;
use trillium_smol::async_net::TcpStream;

use crate::timeouts::Timeouts;

/// No request has begun.
const IDLE: u8 = 0;
/// The head of a request comes.
const HEAD: u8 = 1;
/// A handler runs, which has timeouts of its own.
const REQUEST: u8 = 2;
/// A response is sent.
const RESPONSE: u8 = 3;

/// The number of bytes of the framing of a body in chunks, its trailers included, that may come without
/// any content. The HTTP library keeps them all, and the fields of trailers take a multiple of their bytes.
const MAX_FRAMING_BYTES: usize = 8 << 10;
/// The number of bytes of a body in chunks that are read at once. The library may read twice before it
/// returns content that has come, so this is a part of the above.
const CHUNKED_READ_BYTES: usize = 2 << 10;

/// What happens on a connection, shared with what runs its requests.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    phase: AtomicU8,
    has_waited: AtomicBool,
    is_stalled: AtomicBool,
    /// Whether the body of the current request comes in chunks.
    is_chunked: AtomicBool,
    /// The number of bytes of this body that were read since its last content.
    framing: AtomicUsize,
}

impl Progress {
    /// Records that a handler runs, for a request whose body comes in chunks or not; returns whether the
    /// request was waited for.
    pub(crate) fn begin_request(&self, is_chunked: bool) -> bool {
        self.phase.store(REQUEST, Ordering::Relaxed);
        self.is_chunked.store(is_chunked, Ordering::Relaxed);
        self.record_content();
        self.has_waited.swap(false, Ordering::Relaxed)
    }

    /// Records that content of the body was read.
    pub(crate) fn record_content(&self) {
        self.framing.store(0, Ordering::Relaxed);
    }

    /// Returns how many bytes may be read now; `None` if there is no limit.
    fn readable(&self) -> Option<usize> {
        let is_body = self.phase.load(Ordering::Relaxed) == REQUEST;
        let is_limited = is_body && self.is_chunked.load(Ordering::Relaxed);
        let framing = self.framing.load(Ordering::Relaxed);
        let left = MAX_FRAMING_BYTES.saturating_sub(framing);
        is_limited.then(|| left.min(CHUNKED_READ_BYTES))
    }

    /// Records that a response begins.
    pub(crate) fn begin_response(&self) {
        self.phase.store(RESPONSE, Ordering::Relaxed);
    }

    /// Returns whether the peer has not taken a response.
    pub(crate) fn is_stalled(&self) -> bool {
        self.is_stalled.load(Ordering::Relaxed)
    }
}

/// The transport of a connection.
#[derive(Debug)]
pub(crate) struct Transport {
    inner: TcpStream,
    timeouts: Arc<Timeouts>,
    progress: Arc<Progress>,
    /// When the peer is too late with what is waited for, and the phase for which this holds.
    deadline: Option<(u8, Instant)>,
    /// Wakes the connection, at its deadline or before.
    alarm: Option<(Instant, Timer)>,
}

impl Transport {
    pub(crate) fn new(inner: TcpStream, timeouts: Arc<Timeouts>, progress: Arc<Progress>) -> Self {
        Self {
            inner,
            timeouts,
            progress,
            deadline: None,
            alarm: None,
        }
    }

    /// Returns whether the peer is too late; wakes the task at the time at which it is.
    fn poll_late(&mut self, cx: &mut Context<'_>, limit: Option<Duration>) -> bool {
        let Some(limit) = limit else {
            return false;
        };
        let now = Instant::now();
        let phase = self.progress.phase.load(Ordering::Relaxed);
        self.deadline = self.deadline.filter(|(since, _)| *since == phase);
        let (_, deadline) = *self.deadline.get_or_insert((phase, now + limit));
        if now >= deadline {
            return true;
        }
        // An alarm that is set for an earlier time stays: most connections end a wait before it.
        if self.alarm.as_ref().is_none_or(|(at, _)| *at > deadline) {
            self.alarm = Some((deadline, Timer::at(deadline)));
        }
        while let Some((_, timer)) = &mut self.alarm
            && Pin::new(timer).poll(cx).is_ready()
        {
            self.alarm = Some((deadline, Timer::at(deadline)));
            if Instant::now() >= deadline {
                return true;
            }
        }
        false
    }

    /// Returns how long the next bytes may take.
    fn read_limit(&self) -> Option<Duration> {
        match self.progress.phase.load(Ordering::Relaxed) {
            IDLE => self.timeouts.idle(),
            HEAD => self.timeouts.head(),
            _ => None,
        }
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let phase = &self.progress.phase;
        // The response is sent once the next request is read.
        if phase.load(Ordering::Relaxed) == RESPONSE {
            phase.store(IDLE, Ordering::Relaxed);
            self.deadline = None;
        }
        let readable = self.progress.readable().unwrap_or(buf.len());
        if readable == 0 && !buf.is_empty() {
            let reason = "framing without content";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let readable = readable.min(buf.len());
        let read = Pin::new(&mut self.inner).poll_read(cx, &mut buf[..readable]);
        let phase = &self.progress.phase;
        match read {
            Poll::Ready(result) => {
                if let Ok(count) = result {
                    self.progress.framing.fetch_add(count, Ordering::Relaxed);
                }
                if phase.load(Ordering::Relaxed) == IDLE {
                    phase.store(HEAD, Ordering::Relaxed);
                }
                Poll::Ready(result)
            }
            Poll::Pending => {
                if phase.load(Ordering::Relaxed) != REQUEST {
                    self.progress.has_waited.store(true, Ordering::Relaxed);
                }
                let limit = self.read_limit();
                if self.poll_late(cx, limit) {
                    log::debug!("event=connection_closed reason=\"late request\"");
                    return Poll::Ready(Ok(0));
                }
                Poll::Pending
            }
        }
    }
}

impl Transport {
    /// Fails if the peer has taken nothing for too long.
    fn check_write<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.deadline = None;
            return written;
        }
        let limit = self.timeouts.idle();
        if self.poll_late(cx, limit) {
            self.progress.is_stalled.store(true, Ordering::Relaxed);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.check_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.check_write(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

impl trillium_server_common::Transport for Transport {
    fn set_nodelay(&mut self, nodelay: bool) -> io::Result<()> {
        self.inner.set_nodelay(nodelay)
    }

    fn set_ip_ttl(&mut self, ttl: u32) -> io::Result<()> {
        self.inner.set_ttl(ttl)
    }

    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.inner.peer_addr().map(Some)
    }
}

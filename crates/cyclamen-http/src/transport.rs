//! A transport that writes targets as they are, and fails if a server sends interim responses
//! without end.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures::{AsyncRead, AsyncWrite};

use crate::request_line::RequestLine;

/// The number of interim responses to one request that are skipped.
const MAX_INTERIM_RESPONSES: usize = 16;
/// The beginning of the status line of an interim response.
const INTERIM_PREFIX: &[u8] = b"HTTP/1.1 1";

/// The form in which the HTTP library writes the targets of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Form {
    /// As they are sent.
    Plain,
    /// Encoded, see [`crate::request_line`], on connections for one request each.
    Encoded,
}

/// How much of the request line of a connection is written.
#[derive(Debug)]
enum Progress {
    /// Nothing; the target is encoded.
    Unread,
    /// Some bytes of it.
    Begun(RequestLine),
    /// All of it, or the library writes it as it is sent.
    Done,
}

/// Wraps a transport of a client.
///
/// The HTTP library skips interim responses (status 1xx) without a limit, and changes targets.
#[derive(Debug)]
pub(crate) struct Transport<T> {
    inner: T,
    scanner: Scanner,
    progress: Progress,
}

impl<T> Transport<T> {
    pub(crate) fn new(inner: T, form: Form) -> Self {
        Self {
            inner,
            scanner: Scanner::default(),
            progress: match form {
                Form::Plain => Progress::Done,
                Form::Encoded => Progress::Unread,
            },
        }
    }
}

/// What the next received byte belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// The status line of a response, of which so many bytes are those of an interim one.
    StatusLine { matched: usize },
    /// The head of an interim response; whether its current line is empty so far.
    InterimHead { line_is_empty: bool },
    /// The final response, which is not scanned.
    FinalResponse,
}

/// Counts the interim responses to a request.
#[derive(Debug)]
struct Scanner {
    position: Position,
    count: usize,
}

impl Default for Scanner {
    fn default() -> Self {
        Self {
            position: Position::StatusLine { matched: 0 },
            count: 0,
        }
    }
}

impl Scanner {
    /// Scans received bytes; fails if there are too many interim responses.
    fn scan(&mut self, bytes: &[u8]) -> io::Result<()> {
        for byte in bytes {
            self.position = match self.position {
                Position::StatusLine { matched } => self.match_status_line(matched, *byte),
                Position::InterimHead { line_is_empty } => in_interim_head(line_is_empty, *byte),
                Position::FinalResponse => return Ok(()),
            };
            if self.count > MAX_INTERIM_RESPONSES {
                let reason = "too many interim responses";
                return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
            }
        }
        Ok(())
    }

    fn match_status_line(&mut self, matched: usize, byte: u8) -> Position {
        if INTERIM_PREFIX.get(matched) != Some(&byte) {
            return Position::FinalResponse;
        }
        let matched = matched + 1;
        if matched < INTERIM_PREFIX.len() {
            return Position::StatusLine { matched };
        }
        self.count += 1;
        Position::InterimHead {
            line_is_empty: false,
        }
    }

    /// Begins to scan the response to the next request, once the former one is being read.
    fn begin_request(&mut self) {
        if self.position == Position::FinalResponse {
            *self = Self::default();
        }
    }
}

fn in_interim_head(line_is_empty: bool, byte: u8) -> Position {
    match byte {
        b'\n' if line_is_empty => Position::StatusLine { matched: 0 },
        b'\n' => Position::InterimHead {
            line_is_empty: true,
        },
        b'\r' => Position::InterimHead { line_is_empty },
        _ => Position::InterimHead {
            line_is_empty: false,
        },
    }
}

impl<T: AsyncWrite + Unpin> Transport<T> {
    /// Writes the request line at the beginning of a head, and returns the length of the line that
    /// it replaces once it is written completely.
    fn poll_write_line(&mut self, cx: &mut Context<'_>, head: &[u8]) -> Poll<io::Result<usize>> {
        if let Progress::Unread = self.progress {
            self.progress = Progress::Begun(RequestLine::decode(head)?);
        }
        let Progress::Begun(line) = &mut self.progress else {
            return Poll::Ready(Ok(0));
        };
        while !line.unwritten().is_empty() {
            let count = ready!(Pin::new(&mut self.inner).poll_write(cx, line.unwritten()))?;
            if count == 0 {
                return Poll::Ready(Ok(0));
            }
            line.advance(count);
        }
        let replaced = line.replaced();
        self.progress = Progress::Done;
        Poll::Ready(Ok(replaced))
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Transport<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let count = ready!(Pin::new(&mut this.inner).poll_read(cx, buf))?;
        this.scanner.scan(&buf[..count])?;
        Poll::Ready(Ok(count))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Transport<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.scanner.begin_request();
        if let Progress::Done = this.progress {
            return Pin::new(&mut this.inner).poll_write(cx, buf);
        }
        this.poll_write_line(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.scanner.begin_request();
        if let Progress::Done = this.progress {
            return Pin::new(&mut this.inner).poll_write_vectored(cx, bufs);
        }
        let first = bufs.iter().find(|buf| !buf.is_empty());
        first.map_or(Poll::Ready(Ok(0)), |buf| this.poll_write_line(cx, buf))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_close(cx)
    }
}

impl<T: trillium_server_common::Transport> trillium_server_common::Transport for Transport<T> {
    fn set_linger(&mut self, linger: Option<Duration>) -> io::Result<()> {
        self.inner.set_linger(linger)
    }

    fn set_nodelay(&mut self, nodelay: bool) -> io::Result<()> {
        self.inner.set_nodelay(nodelay)
    }

    fn set_ip_ttl(&mut self, ttl: u32) -> io::Result<()> {
        self.inner.set_ip_ttl(ttl)
    }

    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.inner.peer_addr()
    }
}

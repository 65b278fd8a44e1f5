//! The other end of a connection, which may leave while nothing is sent to it.

use std::net;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use smol::future::or;
use smol::{Async, Timer};
use trillium::Conn;
use trillium_smol::async_net::TcpStream;

use crate::transport::Progress;

/// The interval at which a connection is checked for its end while its peer has sent bytes that are
/// not read: they hide the end from the reactor.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// How long a peer that has closed its sending side is waited for while it is sent nothing.
const HALF_CLOSE_PATIENCE: Duration = Duration::from_millis(150);
/// A timeout with which a poll does not wait.
const NO_WAIT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};

/// What a peer has closed of its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Closing {
    /// Nothing, as far as is known.
    Nothing {
        /// Whether the peer has sent bytes that are not read.
        has_unread: bool,
    },
    /// The side on which it sends, at least; a peer that has closed both sides looks the same until
    /// something is sent to it.
    Sending,
    /// Both sides.
    Both,
}

/// The peer of a connection; each request has it in its state.
#[derive(Debug, Clone)]
pub struct Peer {
    stream: Arc<Async<net::TcpStream>>,
    progress: Arc<Progress>,
}

impl Peer {
    pub(crate) fn new(stream: TcpStream, progress: Arc<Progress>) -> Self {
        Self {
            stream: stream.into(),
            progress,
        }
    }

    /// Waits until the peer has left: it has reset the connection, or has closed its sending side
    /// and is sent nothing for a while.
    ///
    /// A peer that has closed both sides resets the connection once something is sent to it, so one
    /// that only sends no more is waited for as long as it is sent something and this is called
    /// again now and then. Requests that the peer has sent meanwhile stay unread.
    ///
    /// Returns how long ago it was seen to have closed its sending side.
    pub async fn left(&self) -> Duration {
        let is_half_closed = self.closing().await == Closing::Sending;
        // The wait ends at a time, not after a number of checks: a process that gets little of its
        // processor is late with each of them.
        let seen_at = Instant::now();
        if is_half_closed {
            Timer::at(seen_at + HALF_CLOSE_PATIENCE).await;
        }
        seen_at.elapsed()
    }

    /// Waits until the peer has closed its sending side, or the whole connection.
    pub async fn closed(&self) {
        self.closing().await;
    }

    /// Records that content of the body of the current request was read.
    pub(crate) fn record_content(&self) {
        self.progress.record_content();
    }

    /// Returns the result of work, or `None` if the peer closes its sending side or the whole
    /// connection before it ends.
    async fn or_closed<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let closed = async {
            self.closed().await;
            None
        };
        or(async { Some(work.await) }, closed).await
    }

    /// Waits until the peer closes something.
    async fn closing(&self) -> Closing {
        loop {
            match self.look() {
                Closing::Nothing { has_unread: true } => {
                    Timer::after(CHECK_INTERVAL).await;
                }
                Closing::Nothing { has_unread: false } => {
                    if self.stream.readable().await.is_err() {
                        return Closing::Both;
                    }
                }
                closing => return closing,
            }
        }
    }

    /// Returns what the peer has closed so far.
    fn look(&self) -> Closing {
        let flags = PollFlags::IN | PollFlags::RDHUP;
        let mut polled = [PollFd::new(self.stream.get_ref(), flags)];
        if poll(&mut polled, Some(&NO_WAIT)).is_err() {
            return Closing::Nothing { has_unread: true };
        }
        let [polled] = polled;
        let events = polled.revents();
        if events.intersects(PollFlags::ERR | PollFlags::HUP) {
            Closing::Both
        } else if events.contains(PollFlags::RDHUP) {
            Closing::Sending
        } else {
            Closing::Nothing {
                has_unread: events.contains(PollFlags::IN),
            }
        }
    }
}

/// Returns the result of work for the request of a connection, or `None` if the peer closes its sending
/// side or the whole connection before it ends.
///
/// Nothing is read from the connection: what the peer sends ahead stays in the socket, where it has a
/// limit.
pub async fn or_closed<T>(conn: &Conn, work: impl Future<Output = T>) -> Option<T> {
    match conn.state::<Peer>() {
        Some(peer) => peer.or_closed(work).await,
        None => Some(work.await),
    }
}

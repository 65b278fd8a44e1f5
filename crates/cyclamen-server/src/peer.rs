//! The other end of a connection, which may leave while nothing is sent to it.

use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use smol::Timer;
use trillium_smol::async_net::TcpStream;

/// The interval at which a connection is checked for its end.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// How long a peer that has closed its sending side is waited for while it is sent nothing.
const HALF_CLOSE_PATIENCE: Duration = Duration::from_millis(200);
/// A timeout with which a poll does not wait.
const NO_WAIT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};

/// What a peer has closed of its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Closing {
    /// Nothing, as far as is known.
    Nothing,
    /// The side on which it sends, at least; a peer that has closed both sides looks the same until
    /// something is sent to it.
    Sending,
    /// Both sides.
    Both,
}

/// The peer of a connection; each request has it in its state.
#[derive(Debug, Clone)]
pub struct Peer(TcpStream);

impl Peer {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(stream)
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
        self.closed_for(HALF_CLOSE_PATIENCE).await
    }

    /// Waits until the peer has closed its sending side, or the whole connection.
    pub async fn closed(&self) {
        self.closed_for(Duration::ZERO).await;
    }

    async fn closed_for(&self, patience: Duration) -> Duration {
        let mut passed = Duration::ZERO;
        let mut seen_at = None;
        loop {
            Timer::after(CHECK_INTERVAL).await;
            let closing = self.closing();
            if closing != Closing::Nothing {
                seen_at = seen_at.or_else(|| Some(Instant::now()));
            }
            match closing {
                Closing::Nothing => {}
                Closing::Sending if passed < patience => passed += CHECK_INTERVAL,
                Closing::Sending | Closing::Both => {
                    return seen_at.map_or(Duration::ZERO, |at| at.elapsed());
                }
            }
        }
    }

    fn closing(&self) -> Closing {
        let mut polled = [PollFd::new(&self.0, PollFlags::RDHUP)];
        if poll(&mut polled, Some(&NO_WAIT)).is_err() {
            return Closing::Nothing;
        }
        let [polled] = polled;
        let events = polled.revents();
        if events.intersects(PollFlags::ERR | PollFlags::HUP) {
            Closing::Both
        } else if events.contains(PollFlags::RDHUP) {
            Closing::Sending
        } else {
            Closing::Nothing
        }
    }
}

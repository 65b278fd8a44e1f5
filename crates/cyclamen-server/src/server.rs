//! Accepts connections until the server closes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use futures::AsyncWriteExt;
use smol::Timer;
use swansong::{Guard, Swansong};
use trillium::Handler;
use trillium_http::HttpConfig;
use trillium_smol::async_net::{TcpListener, TcpStream};

use crate::connection;
use crate::timeouts::Timeouts;

/// The pause after a connection could not be accepted, such as for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The response to connections beyond the maximum.
const UNAVAILABLE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";
/// The number of connections beyond the maximum that are answered at once; others are closed.
const MAX_REJECTED: usize = 16;

/// The options of a server.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// The bounds of requests and the sizes of buffers.
    pub http: HttpConfig,
    /// The maximum number of concurrent connections; without one, there is no maximum.
    pub connections: Option<usize>,
    /// How long peers may take; the default sets no limits.
    pub timeouts: Arc<Timeouts>,
}

/// A running server; clones are handles of the same one.
#[derive(Debug, Clone)]
pub struct Server(Arc<Shared>);

/// What the connections of a server share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) options: Options,
    /// Shut down when the server closes; guarded by its connections.
    pub(crate) closing: Swansong,
    says_close: AtomicBool,
    /// The number of connections.
    count: AtomicUsize,
    /// The number of connections beyond the maximum that are being answered.
    rejected: AtomicUsize,
    /// The number of connections beyond the maximum, ever.
    refused: AtomicUsize,
}

impl Shared {
    /// Returns whether responses say that their connection closes.
    pub(crate) fn says_close(&self) -> bool {
        self.says_close.load(Ordering::Relaxed)
    }
}

impl Server {
    /// Starts a server that lets a handler respond to the requests of each connection.
    pub fn start(listener: TcpListener, options: Options, handler: impl Handler) -> Self {
        let shared = Arc::new(Shared {
            options,
            closing: Swansong::new(),
            says_close: AtomicBool::new(false),
            count: AtomicUsize::new(0),
            rejected: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
        });
        let guard = shared.closing.guard();
        smol::spawn(accept(guard, shared.clone(), listener, Arc::new(handler))).detach();
        Self(shared)
    }

    /// Makes each response, from the ones that have not begun, say that its connection closes after it.
    pub fn say_close(&self) {
        self.0.says_close.store(true, Ordering::Relaxed);
    }

    /// Returns the number of connections beyond the maximum that were refused.
    pub fn refused(&self) -> usize {
        self.0.refused.load(Ordering::Relaxed)
    }

    /// Accepts no more connections, and closes idle ones at once and the others after their response.
    ///
    /// The result completes once all of them are closed.
    pub fn close(&self) -> impl Future<Output = ()> + Send + use<> {
        self.say_close();
        self.0.closing.shut_down()
    }
}

/// The place of a connection: counted, and waited for when the server closes, until it is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    shared: Arc<Shared>,
    _guard: Guard,
}

impl Place {
    fn take(shared: &Arc<Shared>) -> Self {
        shared.count.fetch_add(1, Ordering::Relaxed);
        Self {
            _guard: shared.closing.guard(),
            shared: shared.clone(),
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.shared.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts connections, and holds the guard until the listener is closed: parameters are dropped in
/// reverse order.
async fn accept(
    _guard: Guard,
    shared: Arc<Shared>,
    listener: TcpListener,
    handler: Arc<impl Handler>,
) {
    while let Some(accepted) = shared.closing.interrupt(listener.accept()).await {
        match accepted {
            Ok((stream, _)) if has_room(&shared) => {
                let place = Place::take(&shared);
                let served = connection::serve(place, shared.clone(), stream, handler.clone());
                smol::spawn(served).detach();
            }
            Ok((stream, _)) => refuse(&shared, stream),
            Err(error) => {
                log::warn!("event=connection_not_accepted reason=\"{error}\"");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn has_room(shared: &Shared) -> bool {
    let connections = shared.options.connections;
    connections.is_none_or(|most| shared.count.load(Ordering::Relaxed) < most)
}

/// Answers a connection beyond the maximum, unless many are being answered.
fn refuse(shared: &Arc<Shared>, stream: TcpStream) {
    let refused = shared.refused.fetch_add(1, Ordering::Relaxed) + 1;
    // One line for each doubling, so that a crowd does not fill the log.
    if refused.is_power_of_two() {
        log::warn!("event=connections_refused count={refused}");
    }
    if shared.rejected.fetch_add(1, Ordering::Relaxed) >= MAX_REJECTED {
        shared.rejected.fetch_sub(1, Ordering::Relaxed);
        return;
    }
    let shared = shared.clone();
    let rejected = async move {
        reject(stream).await;
        shared.rejected.fetch_sub(1, Ordering::Relaxed);
    };
    smol::spawn(rejected).detach();
}

async fn reject(mut stream: TcpStream) {
    // The peer may have gone; there is nobody else to tell.
    let _ = stream.write_all(UNAVAILABLE).await;
    connection::linger(&stream, connection::LINGER_TIMEOUT).await;
}

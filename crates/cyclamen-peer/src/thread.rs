//! The thread that runs every connection, and a handle to it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_claim::{Attempt, Progress};
use futures::channel::oneshot;
use smol::LocalExecutor;
use smol::net::TcpListener;

use crate::client::{Call, Command, Connections};
use crate::error::Error;
use crate::message::{
    AdmissionRequest, AdmissionResponse, Gossip, PermitRequest, PermitResponse, Release,
};
use crate::server::{Server, Service};
use crate::traffic::Traffic;

/// Maximum number of calls queued for the thread.
const MAX_QUEUED_COMMANDS: usize = 16_384;
/// Timeout of calls that the peer handles without queueing.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Options of the peer connections.
#[derive(Debug, Clone)]
pub struct Options {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The secret shared by all entries.
    pub secret: Arc<str>,
    /// The addresses that may connect.
    pub allowed: Allowed,
}

/// The addresses that may connect; a peer must also present the secret.
#[derive(Debug, Clone)]
pub enum Allowed {
    /// Every address.
    Anyone,
    /// Only these addresses.
    Only(Vec<IpAddr>),
}

impl Allowed {
    pub(crate) fn allows(&self, address: IpAddr) -> bool {
        match self {
            Self::Anyone => true,
            Self::Only(addresses) => addresses.contains(&address),
        }
    }
}

/// A handle that makes calls to other entries from any thread.
#[derive(Clone)]
pub struct Peers {
    commands: async_channel::Sender<Command>,
    traffic: Arc<Traffic>,
}

/// Binds the listener and starts the thread.
pub fn start(options: Options, service: Arc<dyn Service>) -> io::Result<Peers> {
    let listener = std::net::TcpListener::bind(options.listen)?;
    listener.set_nonblocking(true)?;
    let listener = TcpListener::try_from(listener)?;
    let (commands, received) = async_channel::bounded(MAX_QUEUED_COMMANDS);
    let traffic = Arc::new(Traffic::default());
    let peers = Peers {
        commands,
        traffic: traffic.clone(),
    };
    let thread = std::thread::Builder::new().name("peers".into());
    thread.spawn(move || run(options, service, traffic, listener, received))?;
    Ok(peers)
}

fn run(
    options: Options,
    service: Arc<dyn Service>,
    traffic: Arc<Traffic>,
    listener: TcpListener,
    commands: async_channel::Receiver<Command>,
) {
    let executor = Rc::new(LocalExecutor::new());
    let server = Rc::new(Server {
        service,
        secret: options.secret.clone(),
        allowed: options.allowed,
        traffic: traffic.clone(),
    });
    let connections = Rc::new(Connections {
        secret: options.secret,
        traffic,
        executor: executor.clone(),
        entries: RefCell::new(BTreeMap::new()),
    });
    executor
        .spawn(server.listen(listener, executor.clone()))
        .detach();
    smol::block_on(executor.run(connections.run(commands)));
}

impl Peers {
    /// Returns the byte counters of all connections.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    async fn call<T>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        call: impl FnOnce(oneshot::Sender<Result<T, Error>>) -> Call,
    ) -> Result<T, Error> {
        let (reply_to, result) = oneshot::channel();
        let call = call(reply_to);
        let command = Command {
            address,
            timeout,
            call,
        };
        self.commands
            .try_send(command)
            .map_err(|_| Error::Unreachable)?;
        result.await.unwrap_or(Err(Error::Lost))
    }

    /// Sends gossip and returns the gossip of the peer.
    pub async fn gossip(&self, address: SocketAddr, gossip: Gossip) -> Result<Gossip, Error> {
        self.call(address, CALL_TIMEOUT, |reply_to| {
            Call::Gossip(Box::new(gossip), reply_to)
        })
        .await
    }

    /// Requests admission; dropping the future cancels the request.
    pub async fn admit(
        &self,
        address: SocketAddr,
        request: AdmissionRequest,
    ) -> Result<AdmissionResponse, Error> {
        let timeout = request.remaining + CALL_TIMEOUT;
        self.call(address, timeout, |reply_to| Call::Admit(request, reply_to))
            .await
    }

    /// Requests a permit.
    pub async fn permit(
        &self,
        address: SocketAddr,
        request: PermitRequest,
        timeout: Duration,
    ) -> Result<PermitResponse, Error> {
        self.call(address, timeout, |reply_to| Call::Permit(request, reply_to))
            .await
    }

    /// Releases tickets.
    pub async fn release(&self, address: SocketAddr, releases: Vec<Release>) -> Result<(), Error> {
        self.call(address, CALL_TIMEOUT, |reply_to| {
            Call::Release(releases, reply_to)
        })
        .await
    }

    /// Queries the progress of an attempt.
    pub async fn query_progress(
        &self,
        address: SocketAddr,
        attempt: Attempt,
    ) -> Result<Progress, Error> {
        self.call(address, CALL_TIMEOUT, |reply_to| {
            Call::Progress(attempt, reply_to)
        })
        .await
    }
}

//! The thread that runs every connection, and the handle to it.

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

use crate::client::{Call, Command, Links};
use crate::counted::Traffic;
use crate::error::Error;
use crate::message::{Answer, Ask, News, Release};
use crate::server::{Host, Service};

/// Calls that may wait for the thread.
const COMMAND_LIMIT: usize = 16_384;
/// The time for calls that are answered at once.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Where to listen and who may call.
#[derive(Debug, Clone)]
pub struct Options {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The secret that entries share.
    pub secret: Arc<str>,
    /// Who may call.
    pub allowed: Allowed,
}

/// Who may call, besides knowing the secret.
#[derive(Debug, Clone)]
pub enum Allowed {
    /// Whoever reaches the listener.
    Anyone,
    /// Callers from these addresses.
    Only(Vec<IpAddr>),
}

impl Allowed {
    pub(crate) fn allows(&self, caller: IpAddr) -> bool {
        match self {
            Self::Anyone => true,
            Self::Only(addresses) => addresses.contains(&caller),
        }
    }
}

/// Makes calls to other entries from any thread.
#[derive(Clone)]
pub struct Peers {
    commands: async_channel::Sender<Command>,
    traffic: Arc<Traffic>,
}

/// Begins to listen and starts the thread.
pub fn start(options: Options, service: Arc<dyn Service>) -> io::Result<Peers> {
    let listener = std::net::TcpListener::bind(options.listen)?;
    listener.set_nonblocking(true)?;
    let listener = TcpListener::try_from(listener)?;
    let (commands, received) = async_channel::bounded(COMMAND_LIMIT);
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
    let host = Rc::new(Host {
        service,
        secret: options.secret.clone(),
        allowed: options.allowed,
        traffic: traffic.clone(),
    });
    let links = Rc::new(Links {
        secret: options.secret,
        traffic,
        executor: executor.clone(),
        open: RefCell::new(BTreeMap::new()),
    });
    executor
        .spawn(host.listen(listener, executor.clone()))
        .detach();
    smol::block_on(executor.run(links.run(commands)));
}

impl Peers {
    /// The bytes that all connections have carried.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    async fn call<T>(
        &self,
        to: SocketAddr,
        timeout: Duration,
        call: impl FnOnce(oneshot::Sender<Result<T, Error>>) -> Call,
    ) -> Result<T, Error> {
        let (back, answer) = oneshot::channel();
        let call = call(back);
        let command = Command { to, timeout, call };
        self.commands
            .try_send(command)
            .map_err(|_| Error::Unreachable)?;
        answer.await.unwrap_or(Err(Error::Lost))
    }

    /// Gives and takes news.
    pub async fn gossip(&self, to: SocketAddr, news: News) -> Result<News, Error> {
        self.call(to, CALL_TIMEOUT, |back| Call::Gossip(news, back))
            .await
    }

    /// Asks for admission; dropping the future gives the request up.
    pub async fn admit(&self, to: SocketAddr, ask: Ask) -> Result<Answer, Error> {
        let timeout = ask.time_left + CALL_TIMEOUT;
        self.call(to, timeout, |back| Call::Admit(ask, back)).await
    }

    /// Gives tickets back.
    pub async fn release(&self, to: SocketAddr, releases: Vec<Release>) -> Result<(), Error> {
        self.call(to, CALL_TIMEOUT, |back| Call::Release(releases, back))
            .await
    }

    /// Asks what became of an attempt.
    pub async fn fate(&self, to: SocketAddr, attempt: Attempt) -> Result<Progress, Error> {
        self.call(to, CALL_TIMEOUT, |back| Call::Fate(attempt, back))
            .await
    }
}

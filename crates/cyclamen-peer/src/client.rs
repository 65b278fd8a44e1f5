//! The asking side of connections, one for each peer.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use cyclamen_claim::{Attempt, Progress};
use futures::FutureExt;
use futures::channel::oneshot;
use smol::future::or;
use smol::net::TcpStream;
use smol::{LocalExecutor, Timer};

use crate::counted::Traffic;
use crate::error::Error;
use crate::message::{Answer, Ask, News, Release};
use crate::network::network;
use crate::peer_capnp as wire;
use crate::{decode, encode};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// One call to a peer; the answer goes back over the channel.
pub(crate) enum Call {
    Gossip(News, oneshot::Sender<Result<News, Error>>),
    Admit(Ask, oneshot::Sender<Result<Answer, Error>>),
    Release(Vec<Release>, oneshot::Sender<Result<(), Error>>),
    Fate(Attempt, oneshot::Sender<Result<Progress, Error>>),
}

/// A call with its receiver and the time it may take.
pub(crate) struct Command {
    pub(crate) to: SocketAddr,
    pub(crate) timeout: Duration,
    pub(crate) call: Call,
}

/// The connections to peers.
pub(crate) struct Links {
    pub(crate) secret: Arc<str>,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) open: RefCell<BTreeMap<SocketAddr, wire::entry::Client>>,
}

impl Links {
    pub(crate) async fn run(self: Rc<Self>, commands: async_channel::Receiver<Command>) {
        while let Ok(command) = commands.recv().await {
            let answering = self.clone().answer(command);
            self.executor.spawn(answering).detach();
        }
    }

    async fn answer(self: Rc<Self>, command: Command) {
        let Command { to, timeout, call } = command;
        match call {
            Call::Gossip(news, back) => {
                self.exchange(to, timeout, back, |entry| gossip(entry, news))
                    .await;
            }
            Call::Admit(ask, back) => {
                self.exchange(to, timeout, back, |entry| admit(entry, ask))
                    .await;
            }
            Call::Release(releases, back) => {
                self.exchange(to, timeout, back, |entry| release(entry, releases))
                    .await;
            }
            Call::Fate(attempt, back) => {
                self.exchange(to, timeout, back, |entry| fate(entry, attempt))
                    .await;
            }
        }
    }

    /// Makes a call unless its asker goes away first; drops the connection if it fails.
    async fn exchange<T, F>(
        &self,
        to: SocketAddr,
        timeout: Duration,
        mut back: oneshot::Sender<Result<T, Error>>,
        call: impl FnOnce(wire::entry::Client) -> F,
    ) where
        F: Future<Output = Result<T, capnp::Error>>,
    {
        let calling = async {
            let entry = self.entry(to).await.ok_or(Error::Unreachable)?;
            let late = async {
                Timer::after(timeout).await;
                Err(Error::Lost)
            };
            let called = or(call(entry).map(|r| r.map_err(|_| Error::Lost)), late).await;
            if called.is_err() {
                self.open.borrow_mut().remove(&to);
            }
            called
        };
        let given_up = back.cancellation().map(|()| None);
        let answer = or(calling.map(Some), given_up).await;
        if let Some(answer) = answer {
            let _ = back.send(answer);
        }
    }

    async fn entry(&self, to: SocketAddr) -> Option<wire::entry::Client> {
        if let Some(entry) = self.open.borrow().get(&to) {
            return Some(entry.clone());
        }
        let late = async {
            Timer::after(CONNECT_TIMEOUT).await;
            None
        };
        let entry = or(self.connect(to), late).await?;
        self.open.borrow_mut().insert(to, entry.clone());
        Some(entry)
    }

    async fn connect(&self, to: SocketAddr) -> Option<wire::entry::Client> {
        let stream = TcpStream::connect(to).await.ok()?;
        let network = network(stream, self.traffic.clone(), Side::Client);
        let mut system = RpcSystem::new(Box::new(network), None);
        let gate: wire::gate::Client = system.bootstrap(Side::Server);
        self.executor.spawn(system.map(|_| ())).detach();
        let mut request = gate.enter_request();
        request.get().set_secret(&*self.secret);
        let response = request.send().promise.await.ok()?;
        response.get().ok()?.get_entry().ok()
    }
}

async fn gossip(entry: wire::entry::Client, news: News) -> Result<News, capnp::Error> {
    let mut request = entry.gossip_request();
    encode::news(request.get().init_news(), &news);
    let response = request.send().promise.await?;
    decode::news(response.get()?.get_news()?)
}

async fn admit(entry: wire::entry::Client, ask: Ask) -> Result<Answer, capnp::Error> {
    let mut request = entry.admit_request();
    encode::ask(request.get().init_ask(), &ask);
    let response = request.send().promise.await?;
    decode::answer(response.get()?.get_answer()?)
}

async fn release(entry: wire::entry::Client, releases: Vec<Release>) -> Result<(), capnp::Error> {
    let mut request = entry.release_request();
    let count = u32::try_from(releases.len()).unwrap_or(u32::MAX);
    encode::releases(request.get().init_releases(count), &releases);
    request.send().promise.await.map(|_| ())
}

async fn fate(entry: wire::entry::Client, attempt: Attempt) -> Result<Progress, capnp::Error> {
    let mut request = entry.fate_request();
    request.get().set_attempt(attempt.0);
    let response = request.send().promise.await?;
    Ok(decode::fate(response.get()?.get_fate()?))
}

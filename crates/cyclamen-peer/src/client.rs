//! The client side of connections, one for each peer.

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

use crate::error::Error;
use crate::message::{
    AdmissionRequest, AdmissionResponse, Gossip, PermitRequest, PermitResponse, Release,
};
use crate::network::network;
use crate::peer_capnp as wire;
use crate::traffic::Traffic;
use crate::{decode, encode};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A call to a peer; its result is sent over the channel.
pub(crate) enum Call {
    Gossip(Box<Gossip>, oneshot::Sender<Result<Gossip, Error>>),
    Admit(
        AdmissionRequest,
        oneshot::Sender<Result<AdmissionResponse, Error>>,
    ),
    Release(Vec<Release>, oneshot::Sender<Result<(), Error>>),
    Progress(Attempt, oneshot::Sender<Result<Progress, Error>>),
    Permit(
        PermitRequest,
        oneshot::Sender<Result<PermitResponse, Error>>,
    ),
}

/// A call with the address of the peer and a timeout.
pub(crate) struct Command {
    pub(crate) address: SocketAddr,
    pub(crate) timeout: Duration,
    pub(crate) call: Call,
}

/// The connections to peers, by address.
pub(crate) struct Connections {
    pub(crate) secret: Arc<str>,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) entries: RefCell<BTreeMap<SocketAddr, wire::entry::Client>>,
}

impl Connections {
    pub(crate) async fn run(self: Rc<Self>, commands: async_channel::Receiver<Command>) {
        while let Ok(command) = commands.recv().await {
            let task = self.clone().execute(command);
            self.executor.spawn(task).detach();
        }
    }

    async fn execute(self: Rc<Self>, command: Command) {
        let Command {
            address,
            timeout,
            call,
        } = command;
        match call {
            Call::Gossip(gossip, reply_to) => {
                self.exchange(address, timeout, reply_to, |entry| {
                    send_gossip(entry, *gossip)
                })
                .await;
            }
            Call::Admit(request, reply_to) => {
                self.exchange(address, timeout, reply_to, |entry| {
                    request_admission(entry, request)
                })
                .await;
            }
            Call::Release(releases, reply_to) => {
                self.exchange(address, timeout, reply_to, |entry| {
                    send_releases(entry, releases)
                })
                .await;
            }
            Call::Progress(attempt, reply_to) => {
                self.exchange(address, timeout, reply_to, |entry| {
                    query_progress(entry, attempt)
                })
                .await;
            }
            Call::Permit(request, reply_to) => {
                self.exchange(address, timeout, reply_to, |entry| {
                    request_permit(entry, request)
                })
                .await;
            }
        }
    }

    /// Makes a call, and removes the connection if the call fails.
    ///
    /// The call is cancelled if the receiver of its result is dropped.
    async fn exchange<T, F>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        mut reply_to: oneshot::Sender<Result<T, Error>>,
        call: impl FnOnce(wire::entry::Client) -> F,
    ) where
        F: Future<Output = Result<T, capnp::Error>>,
    {
        let call = async {
            let entry = self.entry(address).await.ok_or(Error::Unreachable)?;
            let timed_out = async {
                Timer::after(timeout).await;
                Err(Error::Lost)
            };
            let result = or(call(entry).map(|r| r.map_err(|_| Error::Lost)), timed_out).await;
            if result.is_err() {
                self.entries.borrow_mut().remove(&address);
            }
            result
        };
        let cancelled = reply_to.cancellation().map(|()| None);
        let result = or(call.map(Some), cancelled).await;
        if let Some(result) = result {
            let _ = reply_to.send(result);
        }
    }

    async fn entry(&self, address: SocketAddr) -> Option<wire::entry::Client> {
        if let Some(entry) = self.entries.borrow().get(&address) {
            return Some(entry.clone());
        }
        let timed_out = async {
            Timer::after(CONNECT_TIMEOUT).await;
            None
        };
        let entry = or(self.connect(address), timed_out).await?;
        self.entries.borrow_mut().insert(address, entry.clone());
        Some(entry)
    }

    async fn connect(&self, address: SocketAddr) -> Option<wire::entry::Client> {
        let stream = TcpStream::connect(address).await.ok()?;
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

async fn send_gossip(entry: wire::entry::Client, gossip: Gossip) -> Result<Gossip, capnp::Error> {
    let mut request = entry.gossip_request();
    encode::gossip(request.get().init_news(), &gossip);
    let response = request.send().promise.await?;
    decode::gossip(response.get()?.get_news()?)
}

async fn request_admission(
    entry: wire::entry::Client,
    admission: AdmissionRequest,
) -> Result<AdmissionResponse, capnp::Error> {
    let mut request = entry.admit_request();
    encode::admission_request(request.get().init_ask(), &admission);
    let response = request.send().promise.await?;
    decode::admission_response(response.get()?.get_answer()?)
}

async fn send_releases(
    entry: wire::entry::Client,
    releases: Vec<Release>,
) -> Result<(), capnp::Error> {
    let mut request = entry.release_request();
    let count = u32::try_from(releases.len()).unwrap_or(u32::MAX);
    encode::releases(request.get().init_releases(count), &releases);
    request.send().promise.await.map(|_| ())
}

async fn query_progress(
    entry: wire::entry::Client,
    attempt: Attempt,
) -> Result<Progress, capnp::Error> {
    let mut request = entry.fate_request();
    request.get().set_attempt(attempt.0);
    let response = request.send().promise.await?;
    Ok(decode::progress(response.get()?.get_fate()?))
}

async fn request_permit(
    entry: wire::entry::Client,
    permit: PermitRequest,
) -> Result<PermitResponse, capnp::Error> {
    let mut request = entry.permit_request();
    encode::permit_request(request.get().init_ask(), &permit);
    let response = request.send().promise.await?;
    decode::permit_response(response.get()?.get_answer()?)
}

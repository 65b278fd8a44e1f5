//! The answering side of a connection.

use std::pin::Pin;
use std::sync::Arc;

use capnp::Error;
use capnp::capability::Rc;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use cyclamen_claim::{Attempt, Progress};
use smol::LocalExecutor;
use smol::net::{TcpListener, TcpStream};
use subtle::ConstantTimeEq;

use crate::counted::Traffic;
use crate::message::{Admission, Answer, Ask, News, Release};
use crate::network::network;
use crate::peer_capnp as wire;
use crate::thread::Allowed;
use crate::{decode, encode};

/// A future that may move between threads.
pub type Pending<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Answers the calls of other entries.
///
/// An entry that admits nothing for others only exchanges news.
pub trait Service: Send + Sync + 'static {
    /// Takes and gives news.
    fn gossip(&self, news: News) -> News;

    /// Decides about admission; dropping the future gives the request up.
    fn admit(&self, _ask: Ask) -> Pending<Answer> {
        Box::pin(std::future::ready(Answer {
            admission: Admission::NotOwner,
            summary: None,
        }))
    }

    /// Takes tickets back.
    fn release(&self, _releases: Vec<Release>) {}

    /// Tells what became of an attempt.
    fn fate(&self, _attempt: Attempt) -> Progress {
        Progress::Unknown
    }
}

/// What a connection is answered with.
pub(crate) struct Host {
    pub(crate) service: Arc<dyn Service>,
    pub(crate) secret: Arc<str>,
    pub(crate) allowed: Allowed,
    pub(crate) traffic: Arc<Traffic>,
}

impl Host {
    pub(crate) async fn listen(
        self: std::rc::Rc<Self>,
        listener: TcpListener,
        executor: std::rc::Rc<LocalExecutor<'static>>,
    ) {
        loop {
            let Ok((stream, peer)) = listener.accept().await else {
                continue;
            };
            if self.allowed.allows(peer.ip()) {
                let serving = self.clone().serve(stream);
                executor.spawn(serving).detach();
            } else {
                log::warn!("event=peer_refused address={peer}");
            }
        }
    }

    async fn serve(self: std::rc::Rc<Self>, stream: TcpStream) {
        let network = network(stream, self.traffic.clone(), Side::Server);
        let gate: wire::gate::Client = capnp_rpc::new_client(Gate { host: self });
        let _ = RpcSystem::new(Box::new(network), Some(gate.client)).await;
    }
}

struct Gate {
    host: std::rc::Rc<Host>,
}

impl wire::gate::Server for Gate {
    async fn enter(
        self: Rc<Self>,
        params: wire::gate::EnterParams,
        mut results: wire::gate::EnterResults,
    ) -> Result<(), Error> {
        let presented = params.get()?.get_secret()?.to_str()?;
        let known: bool = presented
            .as_bytes()
            .ct_eq(self.host.secret.as_bytes())
            .into();
        if !known {
            return Err(Error::failed("wrong secret".into()));
        }
        let entry = Entry {
            service: self.host.service.clone(),
        };
        results.get().set_entry(capnp_rpc::new_client(entry));
        Ok(())
    }
}

struct Entry {
    service: Arc<dyn Service>,
}

impl wire::entry::Server for Entry {
    async fn gossip(
        self: Rc<Self>,
        params: wire::entry::GossipParams,
        mut results: wire::entry::GossipResults,
    ) -> Result<(), Error> {
        let news = decode::news(params.get()?.get_news()?)?;
        encode::news(results.get().init_news(), &self.service.gossip(news));
        Ok(())
    }

    async fn admit(
        self: Rc<Self>,
        params: wire::entry::AdmitParams,
        mut results: wire::entry::AdmitResults,
    ) -> Result<(), Error> {
        let ask = decode::ask(params.get()?.get_ask()?)?;
        let answer = self.service.admit(ask).await;
        encode::answer(results.get().init_answer(), &answer);
        Ok(())
    }

    async fn release(
        self: Rc<Self>,
        params: wire::entry::ReleaseParams,
        _: wire::entry::ReleaseResults,
    ) -> Result<(), Error> {
        let releases = decode::releases(params.get()?.get_releases()?)?;
        self.service.release(releases);
        Ok(())
    }

    async fn fate(
        self: Rc<Self>,
        params: wire::entry::FateParams,
        mut results: wire::entry::FateResults,
    ) -> Result<(), Error> {
        let attempt = Attempt(params.get()?.get_attempt());
        let fate = self.service.fate(attempt);
        results.get().set_fate(encode::fate(fate));
        Ok(())
    }
}

//! The server side of connections.

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

use crate::message::{
    Admission, AdmissionRequest, AdmissionResponse, Gossip, PermitRequest, PermitResponse, Release,
};
use crate::network::network;
use crate::peer_capnp as wire;
use crate::thread::Allowed;
use crate::traffic::Traffic;
use crate::{decode, encode};

/// A boxed future that can be sent between threads.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Handles the calls of other entries.
///
/// An entry that admits no requests of other entries implements only `gossip`.
pub trait Service: Send + Sync + 'static {
    /// Processes received gossip and returns the gossip of this entry.
    fn gossip(&self, received: Gossip) -> Gossip;

    /// Decides on an admission request; dropping the future cancels the request.
    fn admit(&self, _request: AdmissionRequest) -> BoxFuture<AdmissionResponse> {
        Box::pin(std::future::ready(AdmissionResponse {
            admission: Admission::NotOwner,
            summary: None,
        }))
    }

    /// Releases tickets.
    fn release(&self, _releases: Vec<Release>) {}

    /// Decides on a request for a permit.
    fn permit(&self, _request: PermitRequest) -> PermitResponse {
        PermitResponse::NotIssuer
    }

    /// Returns the progress of an attempt.
    fn progress(&self, _attempt: Attempt) -> Progress {
        Progress::Unknown
    }
}

/// Accepts connections and serves the calls on them.
pub(crate) struct Server {
    pub(crate) service: Arc<dyn Service>,
    pub(crate) secret: Arc<str>,
    pub(crate) allowed: Allowed,
    pub(crate) traffic: Arc<Traffic>,
}

impl Server {
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
                let connection = self.clone().serve(stream);
                executor.spawn(connection).detach();
            } else {
                log::warn!("event=peer_refused address={peer}");
            }
        }
    }

    async fn serve(self: std::rc::Rc<Self>, stream: TcpStream) {
        let network = network(stream, self.traffic.clone(), Side::Server);
        let gate: wire::gate::Client = capnp_rpc::new_client(Gate { server: self });
        let _ = RpcSystem::new(Box::new(network), Some(gate.client)).await;
    }
}

/// The bootstrap object of a connection, which returns an [`Entry`] in exchange for the secret.
struct Gate {
    server: std::rc::Rc<Server>,
}

impl wire::gate::Server for Gate {
    async fn enter(
        self: Rc<Self>,
        params: wire::gate::EnterParams,
        mut results: wire::gate::EnterResults,
    ) -> Result<(), Error> {
        let presented = params.get()?.get_secret()?.to_str()?;
        let is_valid: bool = presented
            .as_bytes()
            .ct_eq(self.server.secret.as_bytes())
            .into();
        if !is_valid {
            return Err(Error::failed("wrong secret".into()));
        }
        let entry = Entry {
            service: self.server.service.clone(),
        };
        results.get().set_entry(capnp_rpc::new_client(entry));
        Ok(())
    }
}

/// Passes the calls of an authenticated peer to the [`Service`].
struct Entry {
    service: Arc<dyn Service>,
}

impl wire::entry::Server for Entry {
    async fn gossip(
        self: Rc<Self>,
        params: wire::entry::GossipParams,
        mut results: wire::entry::GossipResults,
    ) -> Result<(), Error> {
        let received = decode::gossip(params.get()?.get_news()?)?;
        encode::gossip(results.get().init_news(), &self.service.gossip(received));
        Ok(())
    }

    async fn admit(
        self: Rc<Self>,
        params: wire::entry::AdmitParams,
        mut results: wire::entry::AdmitResults,
    ) -> Result<(), Error> {
        let request = decode::admission_request(params.get()?.get_ask()?)?;
        let response = self.service.admit(request).await;
        encode::admission_response(results.get().init_answer(), &response);
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
        let progress = self.service.progress(attempt);
        results.get().set_fate(encode::progress(progress));
        Ok(())
    }

    async fn permit(
        self: Rc<Self>,
        params: wire::entry::PermitParams,
        mut results: wire::entry::PermitResults,
    ) -> Result<(), Error> {
        let request = decode::permit_request(params.get()?.get_ask()?)?;
        let response = self.service.permit(request);
        encode::permit_response(results.get().init_answer(), response);
        Ok(())
    }
}

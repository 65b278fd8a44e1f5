//! A connector whose every failure to connect has one error kind.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use smol::Timer;
use smol::future::or;
use trillium_server_common::url::Url;
use trillium_server_common::{Connector, Destination};
use trillium_smol::ClientConfig;

/// Connects over TCP within a bounded time.
///
/// Every failure has the kind [`io::ErrorKind::NotConnected`], which no
/// failure after the connection has.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Dialer {
    inner: ClientConfig,
    timeout: Duration,
}

impl Dialer {
    pub(crate) fn new(timeout: Duration) -> Self {
        Self {
            inner: ClientConfig::new().with_nodelay(true),
            timeout,
        }
    }

    async fn bounded<T>(&self, dial: impl Future<Output = io::Result<T>>) -> io::Result<T> {
        let late = async {
            Timer::after(self.timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let dialed = or(dial, late).await;
        dialed.map_err(|e| io::Error::new(io::ErrorKind::NotConnected, e))
    }
}

impl Connector for Dialer {
    type Runtime = <ClientConfig as Connector>::Runtime;
    type Transport = <ClientConfig as Connector>::Transport;
    type Udp = <ClientConfig as Connector>::Udp;

    fn runtime(&self) -> Self::Runtime {
        self.inner.runtime()
    }

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        self.bounded(self.inner.connect(url)).await
    }

    async fn connect_to(&self, destination: Destination) -> io::Result<Self::Transport> {
        self.bounded(self.inner.connect_to(destination)).await
    }

    async fn resolve(&self, host: &str, port: u16) -> io::Result<Vec<SocketAddr>> {
        self.inner.resolve(host, port).await
    }
}

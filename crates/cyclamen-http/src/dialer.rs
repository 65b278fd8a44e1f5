//! A connector that reports every connection failure with the same error kind.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use smol::future::or;
use trillium_server_common::url::Url;
use trillium_server_common::{Connector, Destination};
use trillium_smol::ClientConfig;

use crate::alarm;
use crate::transport::{Form, Transport};

/// Connects over TCP with a timeout.
///
/// Every connection failure has the kind [`io::ErrorKind::NotConnected`]. No
/// failure after the connection is established has this kind.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Dialer {
    inner: ClientConfig,
    timeout: Duration,
    form: Form,
}

impl Dialer {
    pub(crate) fn new(timeout: Duration, form: Form) -> Self {
        Self {
            inner: ClientConfig::new().with_nodelay(true),
            timeout,
            form,
        }
    }

    async fn with_timeout<T>(&self, connect: impl Future<Output = io::Result<T>>) -> io::Result<T> {
        let timed_out = async {
            alarm::wait(self.timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let connected = or(connect, timed_out).await;
        connected.map_err(|e| io::Error::new(io::ErrorKind::NotConnected, e))
    }
}

impl Connector for Dialer {
    type Runtime = <ClientConfig as Connector>::Runtime;
    type Transport = Transport<<ClientConfig as Connector>::Transport>;
    type Udp = <ClientConfig as Connector>::Udp;

    fn runtime(&self) -> Self::Runtime {
        self.inner.runtime()
    }

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        let connected = self.with_timeout(self.inner.connect(url)).await;
        connected.map(|inner| Transport::new(inner, self.form))
    }

    async fn connect_to(&self, destination: Destination) -> io::Result<Self::Transport> {
        let connecting = self.inner.connect_to(destination);
        let connected = self.with_timeout(connecting).await;
        connected.map(|inner| Transport::new(inner, self.form))
    }

    async fn resolve(&self, host: &str, port: u16) -> io::Result<Vec<SocketAddr>> {
        self.inner.resolve(host, port).await
    }
}

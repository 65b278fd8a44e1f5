//! Connections of callers, which note what is sent on them.

use std::convert::Infallible;
use std::io::{IoSlice, Result};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use trillium_server_common::{AsyncRead, AsyncWrite, Binding, Transport};
use trillium_smol::SmolTransport;
use trillium_smol::async_net::{TcpStream, unix::UnixStream};

use super::{Caller, Progress};

/// A connection as the server accepts it.
type Accepted = Binding<SmolTransport<TcpStream>, SmolTransport<UnixStream>>;

/// Makes each accepted connection one that notes what is sent on it.
#[derive(Debug, Clone)]
pub(crate) struct Acceptor;

impl trillium_server_common::Acceptor<Accepted> for Acceptor {
    type Output = Connection;
    type Error = Infallible;

    async fn accept(&self, accepted: Accepted) -> std::result::Result<Connection, Infallible> {
        Ok(Connection {
            accepted,
            progress: Arc::default(),
        })
    }

    fn is_secure(&self) -> bool {
        false
    }
}

/// A connection that notes what is sent on it.
#[derive(Debug)]
pub(crate) struct Connection {
    accepted: Accepted,
    progress: Arc<Progress>,
}

impl Connection {
    /// Returns the caller of the request that was read last, to whom nothing of the response is sent.
    pub(super) fn caller(&self) -> Option<Caller> {
        self.progress.record_write();
        let stream = self.accepted.get_tcp()?.clone().into_inner();
        Some(Caller {
            stream,
            progress: self.progress.clone(),
            is_chunked: false,
        })
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.accepted).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.progress.record_write();
        Pin::new(&mut self.accepted).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.progress.record_write();
        Pin::new(&mut self.accepted).poll_write_vectored(cx, slices)
    }

    /// The server flushes a connection once it has written all that it has.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(Pin::new(&mut self.accepted).poll_flush(cx))?;
        self.progress.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.accepted).poll_close(cx)
    }
}

impl Transport for Connection {
    fn set_linger(&mut self, linger: Option<std::time::Duration>) -> Result<()> {
        self.accepted.set_linger(linger)
    }

    fn set_nodelay(&mut self, nodelay: bool) -> Result<()> {
        self.accepted.set_nodelay(nodelay)
    }

    fn set_ip_ttl(&mut self, ttl: u32) -> Result<()> {
        self.accepted.set_ip_ttl(ttl)
    }

    fn peer_addr(&self) -> Result<Option<SocketAddr>> {
        self.accepted.peer_addr()
    }
}

//! Checks whether a server accepts connections.

use std::net::SocketAddr;
use std::time::Duration;

use smol::future::or;
use smol::net::TcpStream;

use crate::alarm;

/// Returns whether a server accepts a connection in time; the connection is closed unused.
pub async fn accepts(address: SocketAddr, timeout: Duration) -> bool {
    let connecting = async { TcpStream::connect(address).await.is_ok() };
    let timed_out = async {
        alarm::wait(timeout).await;
        false
    };
    or(connecting, timed_out).await
}

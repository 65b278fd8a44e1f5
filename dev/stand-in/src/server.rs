//! HTTP listeners with one handler each.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use rustix::net::{self, AddressFamily, SocketFlags, SocketType};
use trillium::Handler;
use trillium_server_common::ServerHandle;
use trillium_smol::async_net;

/// A running listener, which shuts down when it is dropped.
pub struct Server {
    /// The address that it listens on.
    pub address: SocketAddr,
    handle: ServerHandle,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.handle.shut_down();
    }
}

/// Listens on an address; port zero selects a free port.
pub fn listen(address: SocketAddr, handler: impl Handler) -> std::io::Result<Server> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let listener: async_net::TcpListener = listener.try_into()?;
    let handle = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_prebound_server(listener)
        .spawn(handler);
    Ok(Server { address, handle })
}

/// Returns an address on loopback that no other listener of this process uses.
///
/// The port is not reserved, so two calls could return the same one before it is bound; the
/// host part therefore differs from call to call.
///
/// A child process that another thread starts has a copy of the socket until it executes its
/// program. The socket therefore never listens, so that others can bind its address meanwhile.
pub fn free_address() -> std::io::Result<SocketAddr> {
    static LAST: AtomicU16 = AtomicU16::new(1);
    let [high, low] = LAST.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let ip = IpAddr::from([127, 1, high, low]);
    let socket = net::socket_with(
        AddressFamily::INET,
        SocketType::STREAM,
        SocketFlags::CLOEXEC,
        None,
    )?;
    net::sockopt::set_socket_reuseaddr(&socket, true)?;
    net::bind(&socket, &SocketAddr::new(ip, 0))?;
    Ok(net::getsockname(&socket)?.try_into()?)
}

/// Reads the body of a request; returns no bytes if reading fails.
pub async fn read_body(conn: &mut trillium::Conn) -> Vec<u8> {
    conn.request_body().read_bytes().await.unwrap_or_default()
}

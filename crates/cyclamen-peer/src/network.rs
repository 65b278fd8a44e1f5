//! A connection as a network of two parties.

use std::sync::Arc;

use capnp_rpc::{rpc_twoparty_capnp::Side, twoparty};
use futures::AsyncReadExt;
use futures::io::{BufReader, BufWriter, ReadHalf};
use smol::net::TcpStream;

use crate::counted::{Counted, Traffic};

/// The network of a connection whose bytes are counted.
pub(crate) type Network = twoparty::VatNetwork<BufReader<ReadHalf<Counted<TcpStream>>>>;

/// Prepares a connection for RPC.
pub(crate) fn network(stream: TcpStream, traffic: Arc<Traffic>, side: Side) -> Network {
    let _ = stream.set_nodelay(true);
    let stream = Counted {
        inner: stream,
        traffic,
    };
    let (reader, writer) = stream.split();
    let (reader, writer) = (BufReader::new(reader), BufWriter::new(writer));
    twoparty::VatNetwork::new(reader, writer, side, Default::default())
}

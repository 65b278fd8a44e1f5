//! The two-party RPC network of a connection.

use std::sync::Arc;

use capnp_rpc::{rpc_twoparty_capnp::Side, twoparty};
use futures::AsyncReadExt;
use futures::io::{BufReader, BufWriter, ReadHalf};
use smol::net::TcpStream;

use crate::traffic::{CountingStream, Traffic};

/// The RPC network of a connection with byte counters.
pub(crate) type Network = twoparty::VatNetwork<BufReader<ReadHalf<CountingStream<TcpStream>>>>;

/// Creates the RPC network of a connection.
pub(crate) fn network(stream: TcpStream, traffic: Arc<Traffic>, side: Side) -> Network {
    let _ = stream.set_nodelay(true);
    let stream = CountingStream {
        inner: stream,
        traffic,
    };
    let (reader, writer) = stream.split();
    let (reader, writer) = (BufReader::new(reader), BufWriter::new(writer));
    twoparty::VatNetwork::new(reader, writer, side, Default::default())
}

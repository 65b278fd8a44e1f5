//! The bodies of requests, which may be refused before they have been read to their end.
//!
//! A body that comes in chunks is read by [`Reader`], which tells the connection of its content: framing
//! without content, such as trailers, is limited.

use std::io::ErrorKind;

use futures::{AsyncReadExt, FutureExt};
use trillium::RequestBody;
use trillium_http::{Conn, Error, KnownHeaderName};

use crate::peer::Peer;
use crate::transport::Transport;

/// The size of the buffer for parts of a body.
const BUFFER_BYTES: usize = 4 << 10;
/// The maximum number of bytes of the rest of a body that are read.
const MAX_REST_BYTES: usize = 64 << 10;

/// Returns whether a body was not read because it exceeds the maximum length, however it is framed.
pub fn is_too_long(error: &Error) -> bool {
    match error {
        Error::ReceivedBodyTooLong(_) => true,
        // A body in chunks shows its length only while it is read.
        Error::Io(error) => error.kind() == ErrorKind::Unsupported,
        _ => false,
    }
}

/// Reads the body of a request.
pub struct Reader<'a> {
    body: RequestBody<'a>,
    peer: Option<Peer>,
}

impl<'a> Reader<'a> {
    /// Begins to read the body of a request, of `limit` bytes at most.
    pub fn new(conn: &'a mut trillium::Conn, limit: u64) -> Self {
        let peer = conn.state().cloned();
        let body = conn.request_body().with_max_len(limit);
        Self { body, peer }
    }

    /// Reads some bytes; none at the end of the body.
    pub async fn read(&mut self, buffer: &mut [u8]) -> Result<usize, Error> {
        let count = self.body.read(buffer).await?;
        if let Some(peer) = &self.peer {
            peer.record_content();
        }
        Ok(count)
    }

    /// Reads the rest of the body.
    pub async fn read_to_end(mut self) -> Result<Vec<u8>, Error> {
        let mut content = Vec::new();
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            match self.read(&mut buffer).await? {
                0 => return Ok(content),
                count => content.extend_from_slice(&buffer[..count]),
            }
        }
    }
}

/// Returns whether the next request of a connection can be read, because the current one's body has been
/// read to its end; a small rest that has come is read.
pub(crate) fn is_at_end(conn: &mut Conn<Transport>) -> bool {
    let headers = conn.request_headers_mut();
    // Without a length, the rest may be out of step: what was read before an error is lost.
    let is_readable = headers.has_header(KnownHeaderName::ContentLength)
        && !headers.has_header(KnownHeaderName::Expect);
    // After its answer, a `100 Continue` would make a client send a body in vain.
    headers.remove(KnownHeaderName::Expect);
    if is_readable {
        read_rest(conn);
    }
    // A body that is not at its end cannot read nothing.
    matches!(read(conn, &mut []), Some(Ok(0)))
}

/// Reads what has come of a body, as far as it is small.
fn read_rest(conn: &mut Conn<Transport>) {
    let mut buffer = [0; BUFFER_BYTES];
    let mut rest = 0;
    while rest < MAX_REST_BYTES
        && let Some(Ok(count)) = read(conn, &mut buffer)
        && count > 0
    {
        rest += count;
    }
}

/// Reads from a body unless it would have to be waited for.
fn read(conn: &mut Conn<Transport>, buffer: &mut [u8]) -> Option<std::io::Result<usize>> {
    conn.request_body().read(buffer).now_or_never()
}

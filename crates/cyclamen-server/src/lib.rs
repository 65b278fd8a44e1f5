//! HTTP/1.1 servers that close their connections gracefully.
//!
//! A server that is to close says so first: each response says that its connection closes after it, so
//! that callers move away while new connections are still accepted. Then it accepts no more, closes idle
//! connections and the others after their response. A connection is closed only after its peer has
//! received what was sent: one that is closed with unread bytes would be reset, which may take the end of
//! a response along.
//!
//! A request may be answered before its body has been read to its end. The rest is never read as a request:
//! its connection closes after the response, which says so.
//!
//! Each request has its [`Peer`] in its state, which tells a handler when the other end has left.

mod body;
mod connection;
mod peer;
mod server;
mod shutdown;
mod timeouts;
mod transport;

pub use body::{Reader, is_too_long};
pub use peer::{Peer, or_closed};
pub use server::{Options, Server};
pub use shutdown::Shutdown;
pub use timeouts::Timeouts;

//! Calls between entry instances over Cap'n Proto RPC.
//!
//! One thread runs every connection, since RPC objects stay on their thread.
//! [`Peers`] sends calls to it from any thread; a [`Service`] answers the
//! calls of other entries. A connection begins with the shared secret.

mod client;
mod counted;
mod decode;
mod encode;
mod error;
mod network;
mod server;
mod thread;

pub mod message;

#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::unwrap_used)]
#[rustfmt::skip]
#[path = "peer_capnp.rs"]
mod peer_capnp;

pub use counted::Traffic;
pub use error::Error;
pub use message::{Answer, Ask, News, Release};
pub use server::{Pending, Service};
pub use thread::{Allowed, Options, Peers, start};

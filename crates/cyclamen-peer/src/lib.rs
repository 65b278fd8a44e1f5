//! Calls between entry instances over Cap'n Proto RPC.
//!
//! A single thread runs every connection, because RPC objects cannot move between
//! threads. [`Peers`] sends calls to it from any thread, and a [`Service`] handles the
//! calls of other entries. A connection is authenticated with the shared secret first.

mod client;
mod decode;
mod encode;
mod error;
mod network;
mod server;
mod thread;
mod traffic;

pub mod message;

#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::unwrap_used)]
#[rustfmt::skip]
#[path = "peer_capnp.rs"]
mod peer_capnp;

pub use error::Error;
pub use message::{
    AdmissionRequest, AdmissionResponse, Capability, Gossip, PermitRequest, PermitResponse, Release,
};
pub use server::{BoxFuture, Service};
pub use thread::{Allowed, Options, Peers, start};
pub use traffic::Traffic;

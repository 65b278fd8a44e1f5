//! HTTP calls that tell whether a request may have been sent.
//!
//! A refusal of the system says "not run" only where that is certain, so every
//! error here says whether any byte of the request can have left the process.

mod client;
mod dialer;
mod error;

pub use client::{Client, Options, Request, Response, StreamingResponse};
pub use error::Error;

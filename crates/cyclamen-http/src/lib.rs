//! HTTP calls whose errors state whether the request may have been sent.
//!
//! A refused request is reported as not run only where that is certain. Every
//! error therefore states whether any byte of the request can have left the
//! process.

mod alarm;
mod client;
mod connect;
mod dialer;
mod error;
mod message;
mod request_line;
mod target;
mod transport;

pub use client::{Client, Options};
pub use connect::accepts;
pub use error::Error;
pub use message::{Forward, Request, Response, StreamingResponse};
pub use target::{InvalidTarget, Target};

//! Requests and responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use trillium_client::ResponseBody;
use trillium_http::{Headers, Method};

use crate::error::Error;
use crate::target::Target;

/// An HTTP request.
#[derive(Debug)]
pub struct Request<'a> {
    /// The method.
    pub method: Method,
    /// The absolute URL.
    pub url: &'a str,
    /// The headers, without those that the connection sets itself.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
    /// Timeout for the complete response, or for its head if the body is streamed.
    pub timeout: Duration,
}

impl Default for Request<'_> {
    fn default() -> Self {
        Self {
            method: Method::Get,
            url: "",
            headers: Headers::new(),
            body: Vec::new(),
            timeout: Duration::from_secs(2),
        }
    }
}

/// A caller's request that is sent on, with its target as it is, over a new connection.
#[derive(Debug)]
pub struct Forward<'a> {
    /// The address to which it is sent.
    pub address: SocketAddr,
    /// The method.
    pub method: Method,
    /// The target.
    pub target: &'a Target,
    /// The headers, without those that the connection sets itself.
    pub headers: Headers,
    /// The body, which the attempts of a request share.
    pub body: Arc<[u8]>,
    /// Timeout for the complete response, or for its head if the body is streamed.
    pub timeout: Duration,
}

/// A response whose body has been read completely.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns whether the status is in the range 200 to 299.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Decodes the body from JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|_| Error::Malformed)
    }
}

/// A response on a dedicated connection whose body has not been read yet.
///
/// Dropping it closes the connection, which signals the peer to stop.
#[derive(Debug)]
pub struct StreamingResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Headers,
    /// The body; a read fails if the connection closes before the body is complete.
    pub body: ResponseBody<'static>,
}

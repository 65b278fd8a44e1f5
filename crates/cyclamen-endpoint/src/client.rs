//! Reports of workers and orders to them.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_domain::{Order, Report};
use cyclamen_http::{Error, Request};
use cyclamen_types::instance;
use trillium_http::Method;

use crate::order::Message;

/// Durations of calls to workers.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The time for a report or an order.
    pub timeout: Duration,
    /// The time between two chunks of a stream.
    pub chunk_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(1),
            chunk_timeout: Duration::from_secs(10),
        }
    }
}

/// The client of workers.
#[derive(Debug, Clone)]
pub struct Client {
    pub(crate) http: cyclamen_http::Client,
    pub(crate) options: Options,
}

impl Client {
    /// Creates a client that shares the connection pool of `http`.
    pub fn new(http: cyclamen_http::Client, options: Options) -> Self {
        Self { http, options }
    }

    /// Asks a worker of a model engine for its report.
    pub async fn report(&self, address: SocketAddr) -> Result<Report, Error> {
        let url = format!("http://{address}/worker/state");
        self.http.get_json(&url, self.options.timeout).await
    }

    /// Asks a plain service whether it is well; it has no incarnation and no group.
    pub async fn health(&self, address: SocketAddr) -> Result<Report, Error> {
        let url = format!("http://{address}/healthz");
        let request = Request {
            url: &url,
            timeout: self.options.timeout,
            ..Request::default()
        };
        let reply = self.http.call(request).await?;
        Ok(Report {
            incarnation: instance::Incarnation::default(),
            assignment: None,
            ready: reply.is_success(),
            cold: false,
            running: 0,
        })
    }

    /// Sends an order to a worker; whether the worker follows it.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> Result<bool, Error> {
        let url = format!("http://{address}/worker/order");
        let body = serde_json::to_vec(&Message::from(order)).map_err(|_| Error::Malformed)?;
        let request = Request {
            method: Method::Post,
            url: &url,
            body,
            timeout: self.options.timeout,
            ..Request::default()
        };
        Ok(self.http.call(request).await?.is_success())
    }
}

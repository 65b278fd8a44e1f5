//! Client for probing workers and sending orders to them.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_domain::{Order, Report};
use cyclamen_http::{Error, Request};
use cyclamen_types::instance;
use trillium_http::Method;

use crate::order::Message;
use crate::{HEALTH_PATH, ORDER_PATH, REPORT_PATH};

/// Options of a [`Client`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Timeout for a probe or an order.
    pub timeout: Duration,
    /// Maximum time between two chunks of a stream.
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

/// A client for workers.
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

    /// Probes a worker of a model engine and returns its report.
    pub async fn report(&self, address: SocketAddr) -> Result<Report, Error> {
        let url = format!("http://{address}{REPORT_PATH}");
        self.http.get_json(&url, self.options.timeout).await
    }

    /// Probes the health of a plain service, which has no incarnation and no group.
    pub async fn health(&self, address: SocketAddr) -> Result<Report, Error> {
        let url = format!("http://{address}{HEALTH_PATH}");
        let request = Request {
            url: &url,
            timeout: self.options.timeout,
            ..Request::default()
        };
        let response = self.http.call(request).await?;
        Ok(Report {
            incarnation: instance::Incarnation::default(),
            assignment: None,
            ready: response.is_success(),
            cold: false,
            running: 0,
        })
    }

    /// Sends an order to a worker and returns whether the worker accepted it.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> Result<bool, Error> {
        let url = format!("http://{address}{ORDER_PATH}");
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

//! Client of the table service and the instance list.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_cache::{Delta, Key, Revision, Row};
use cyclamen_http::Request;
use serde::Serialize;

use crate::decode::{self, OddItems};
use crate::error::Error;
use crate::instances::List;
use crate::transaction::{Outcome, Transaction};

/// Options of a [`Client`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The address of the platform's services.
    pub address: SocketAddr,
    /// Timeout of a call.
    pub timeout: Duration,
}

/// A client of the platform's services.
#[derive(Debug, Clone)]
pub struct Client {
    http: cyclamen_http::Client,
    options: Options,
    odd_listings: OddItems,
}

#[derive(Debug, Serialize)]
struct ReadRequest {
    keys: Vec<Key>,
}

impl Client {
    /// Creates a client that shares the connection pool of `http`.
    pub fn new(http: cyclamen_http::Client, options: Options) -> Self {
        Self {
            http,
            options,
            odd_listings: OddItems::default(),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.options.address)
    }

    /// Returns the body of a successful response.
    async fn get(&self, url: &str) -> Result<Vec<u8>, Error> {
        let request = Request {
            url,
            timeout: self.options.timeout,
            ..Request::default()
        };
        let response = self.http.call(request).await?;
        let body = response.is_success().then_some(response.body);
        body.ok_or(Error::Lost)
    }

    /// Commits a transaction.
    pub async fn transact(&self, transaction: &Transaction) -> Result<Outcome, Error> {
        if transaction.not_encoded.is_some() {
            return Err(Error::NotEncoded);
        }
        let url = self.url("/table/transact");
        Ok(self
            .http
            .post_json(&url, transaction, self.options.timeout)
            .await?)
    }

    /// Reads rows; rows that were never written are omitted.
    pub async fn read(&self, keys: impl IntoIterator<Item = Key>) -> Result<Vec<Row>, Error> {
        let keys = keys.into_iter().collect();
        let url = self.url("/table/read");
        Ok(self
            .http
            .post_json(&url, &ReadRequest { keys }, self.options.timeout)
            .await?)
    }

    /// Reads the rows under a prefix that changed after a revision.
    pub async fn changes(&self, prefix: &str, since: Revision) -> Result<Delta, Error> {
        let url = self.url(&format!("/table/changes?prefix={prefix}&since={since}"));
        decode::delta(&self.get(&url).await?)
    }

    /// Reads the list of instances, without those whose entries cannot be decoded.
    pub async fn instances(&self) -> Result<List, Error> {
        let url = self.url("/instances");
        self.odd_listings.list(&self.get(&url).await?)
    }
}

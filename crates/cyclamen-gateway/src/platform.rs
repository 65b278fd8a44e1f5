//! The interface between a gateway and the users' platform, implemented by an adapter.

mod dialect;
pub mod poll;
pub mod share;
mod store;

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use cyclamen_cache::{Era, Revision};
use cyclamen_quota::Naming;
use cyclamen_replica::{Command, Outcome};
use cyclamen_types::{group, instance};

pub use dialect::Dialect;
pub use poll::Poll;
pub use store::{
    Changes, Commit, DecodeError, Error, Record, Row, Snapshot, Subject, Table, Transaction,
};

/// A boxed future that can be sent between threads.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// What the head of a worker's response says of the worker, whatever the response is.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Notices {
    /// Whether the worker is leaving.
    pub is_leaving: bool,
    /// The rate limit that it names.
    pub limit: Naming,
}

/// What a worker responded, or that it did not.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Response<T> {
    /// The result of the call.
    pub result: T,
    /// What the worker said of itself; `None` if no response belongs to the call.
    pub notices: Option<Notices>,
}

/// What a worker reports of its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkerReport {
    /// Its incarnation, if it says.
    pub incarnation: Option<instance::Incarnation>,
    /// The fencing token of its group membership, if it says.
    pub fence: Option<group::Fence>,
    /// Number of requests that it runs.
    pub running: u32,
    /// Number of requests in its queue.
    pub queued: u32,
    /// The time that it takes, as a multiple of that of a sound worker; zero if it does not say.
    pub pace: f64,
    /// The time that the counts may be older than the response.
    pub age: Duration,
}

/// The store and the workers of a platform, and its names of headers and paths.
pub trait Platform: Send + Sync + 'static {
    /// Returns the names of headers and paths.
    fn dialect(&self) -> &Dialect;

    /// Returns the highest era of the store that any of its responses told.
    fn era(&self) -> Era;

    /// Reads a complete table.
    fn read(&self, table: Table) -> BoxFuture<Result<Snapshot, Error>>;

    /// Waits for rows of a table that change after a revision; a revision of a former era has
    /// expired.
    fn follow(
        &self,
        table: Table,
        after: Revision,
        poll: Poll,
    ) -> BoxFuture<Result<Changes, Error>>;

    /// Commits a transaction; a condition with a revision of a former era does not hold.
    fn commit(&self, transaction: Transaction) -> BoxFuture<Result<Commit, Error>>;

    /// Returns what a row describes.
    fn subject(&self, table: Table, key: &str) -> Subject;

    /// Decodes a row that is not deleted.
    fn decode(&self, row: &Row) -> Result<Record, DecodeError>;

    /// Sends an order to a worker.
    fn order(&self, command: &Command) -> BoxFuture<Response<Outcome>>;

    /// Probes a worker; returns whether it responded within the timeout.
    fn probe(&self, address: SocketAddr, timeout: Duration) -> BoxFuture<Response<bool>>;

    /// Asks a worker for its load; none if it did not respond within the timeout, or with none that
    /// can be read.
    fn report(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> BoxFuture<Response<Option<WorkerReport>>>;

    /// Probes a worker without sending it a request, which would take the slot of another one;
    /// returns whether it accepted a connection within the timeout.
    fn connects(&self, address: SocketAddr, timeout: Duration) -> BoxFuture<bool>;
}
